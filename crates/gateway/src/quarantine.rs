//! Keeps requests and segments of prompts away from targets that they crash.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fleet::quarantine::{Crash, Decision, Evidence, Fingerprint, Segment, requests};
use fleet::roster::Member;
use tokio::net::TcpStream;
use types::Time;

use crate::adapter::{Platform, Prompt};
use crate::attempt::Admitted;
use crate::clock::now;
use crate::connection::CONNECT_TIMEOUT;
use crate::gossip;
use crate::logging::Event;
use crate::packet::Message;
use crate::serve::millis;
use crate::shared::Shared;

/// How long a lost request waits for the check whether its target still listens. The target's host
/// has just closed a connection, so it responds within a round trip.
const CHECK_WAIT: Duration = Duration::from_millis(60);
/// The length of the longest segment id that is told to other entries as it is.
const MAX_ID_BYTES: usize = 64;

/// Whether a request may be sent.
#[derive(Debug)]
pub(crate) enum Verdict<Adapter> {
    /// It may be sent.
    Send,
    /// It may be sent, as a test.
    Trial(Trial<Adapter>),
    /// It must not be sent for at least this long.
    Refuse(Duration),
}

/// A request that tests whether it, or quarantined segments of its prompt, still crash targets.
/// Dropped before it is sent, it makes room for another one.
#[derive(Debug)]
pub(crate) struct Trial<Adapter> {
    shared: Rc<Shared<Adapter>>,
    segments: Vec<Segment>,
    /// Set if the request itself is quarantined.
    request: Option<Fingerprint>,
    sent: bool,
}

impl<Adapter> Trial<Adapter> {
    /// Records that the request is sent.
    pub(crate) fn on_sent(&mut self) {
        self.sent = true;
    }
}

impl<Adapter> Drop for Trial<Adapter> {
    fn drop(&mut self) {
        if self.sent {
            return;
        }
        let mut quarantine = self.shared.quarantine.borrow_mut();
        quarantine.segments.on_trial_unsent(&self.segments);
        if let Some(request) = self.request {
            quarantine.requests.on_trial_unsent(request);
        }
    }
}

/// Returns the segments of a prompt that other prompts may share: all but the last one.
pub(crate) fn shared_segments(prompt: Option<&Prompt>) -> Vec<Segment> {
    let segments = prompt.map_or(&[][..], |prompt| &prompt.segments);
    let shared = segments.iter().take(segments.len().saturating_sub(1));
    let shared = shared.map(|segment| match segment.id.len() {
        // A message to other entries has room for several.
        0..=MAX_ID_BYTES => Arc::from(&*segment.id),
        _ => Arc::from(blake3::hash(segment.id.as_bytes()).to_hex().as_str()),
    });
    shared.collect()
}

/// Returns whether a request may be sent now.
pub(crate) fn decide<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
) -> Verdict<Adapter> {
    // An entry that is not registered hears no others.
    let rank = |suspect: &str| shared.live_rank(suspect).unwrap_or(0);
    let mut quarantine = shared.quarantine.borrow_mut();
    let fingerprint = (!quarantine.requests.is_empty()).then(|| admitted.fingerprint(shared));
    let request = fingerprint.map_or(requests::Decision::Send, |fingerprint| {
        let rank = rank(&fingerprint.to_string());
        quarantine.requests.decide(fingerprint, rank, now())
    });
    let request = match request {
        requests::Decision::Send => None,
        requests::Decision::Trial => fingerprint,
        requests::Decision::Refuse(retry_after) => return Verdict::Refuse(retry_after),
    };
    let segments = match quarantine.segments.decide(&admitted.segments, rank, now()) {
        Decision::Send if request.is_none() => return Verdict::Send,
        Decision::Send => Vec::new(),
        Decision::Trial(segments) => segments,
        Decision::Refuse(_, retry_after) => {
            if let Some(request) = request {
                quarantine.requests.on_trial_unsent(request);
            }
            return Verdict::Refuse(retry_after);
        }
    };
    Verdict::Trial(Trial {
        shared: Rc::clone(shared),
        segments,
        request,
        sent: false,
    })
}

/// Waits until a request that was sent must be withdrawn, because it or one of the segments of its
/// prompt is quarantined.
pub(crate) async fn quarantined<Adapter>(shared: &Shared<Adapter>, admitted: &Admitted) {
    loop {
        // Registered before the check, so that no change between the two is missed.
        let changed = shared.quarantine_changed.notified();
        let is_refused = {
            let mut quarantine = shared.quarantine.borrow_mut();
            let decision = quarantine
                .segments
                .decide(&admitted.segments, |_| usize::MAX, now());
            let requests = &quarantine.requests;
            matches!(decision, Decision::Refuse(..))
                || !requests.is_empty() && requests.must_withdraw(admitted.fingerprint(shared))
        };
        if is_refused {
            return;
        }
        changed.await;
    }
}

/// Records the first event of a response.
pub(crate) fn on_begun<Adapter>(shared: &Shared<Adapter>, admitted: &Admitted) {
    let (acquitted, fingerprint) = {
        let mut quarantine = shared.quarantine.borrow_mut();
        let acquitted = match admitted.segments.is_empty() {
            true => Vec::new(),
            false => quarantine.segments.on_begun(&admitted.segments, now()),
        };
        let requests = &mut quarantine.requests;
        let fingerprint = (!requests.is_empty()).then(|| admitted.fingerprint(shared));
        (
            acquitted,
            fingerprint.filter(|fingerprint| requests.on_begun(*fingerprint, now())),
        )
    };
    if let Some(fingerprint) = fingerprint {
        Event::new("request_acquitted")
            .with("fingerprint", fingerprint.to_string())
            .with("request", &*admitted.head.id)
            .info();
        publish(shared, fingerprint);
    }
    if acquitted.is_empty() {
        return;
    }
    for segment in &acquitted {
        Event::new("segment_acquitted")
            .with("segment", &**segment)
            .with("request", &*admitted.head.id)
            .info();
    }
    let evidence = {
        let quarantine = shared.quarantine.borrow();
        quarantine.segments.evidence_of(&acquitted, now())
    };
    gossip::broadcast(shared, &Message::Crashes(evidence));
    shared.quarantine_changed.notify_waiters();
}

/// Tells all other entries what is known of a request.
fn publish<Adapter>(shared: &Shared<Adapter>, request: Fingerprint) {
    let evidence = {
        let quarantine = shared.quarantine.borrow();
        quarantine.requests.evidence_of(request, now())
    };
    if let Some(evidence) = evidence {
        gossip::broadcast(shared, &Message::CrashingRequest(evidence));
    }
    shared.quarantine_changed.notify_waiters();
}

/// Handles the loss of a request whose response had not begun: if the target has crashed, this is
/// evidence against the segments of the prompt, if it has one.
///
/// Connections are also lost one at a time, so a target counts as crashed only if it refuses new
/// ones.
pub(crate) async fn on_lost<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    member: &Arc<Member>,
    sent: Time,
) where
    Adapter: Platform,
{
    // The check goes on if the caller leaves meanwhile.
    let check = tokio::task::spawn_local(check_crash(
        Rc::clone(shared),
        admitted.head.id.clone(),
        admitted.fingerprint(shared),
        admitted.segments.clone(),
        Arc::clone(member),
        sent,
    ));
    // The next attempt of a request counts as sent after the crash in any case.
    let _ = tokio::time::timeout(CHECK_WAIT, check).await;
}

async fn check_crash<Adapter>(
    shared: Rc<Shared<Adapter>>,
    request: Box<str>,
    fingerprint: Fingerprint,
    segments: Vec<Segment>,
    member: Arc<Member>,
    sent: Time,
) where
    Adapter: Platform,
{
    let lost = now();
    let connecting = TcpStream::connect(member.address);
    let is_refused = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    };
    if !is_refused {
        return;
    }
    let crash = Crash {
        target: start_number(&member),
        lost,
        in_flight: lost.since(sent),
    };
    let (is_new, is_new_for_request, crashes, evidence) = {
        let mut quarantine = shared.quarantine.borrow_mut();
        let is_new = quarantine.segments.on_crash(&segments, crash);
        let is_new_for_request = quarantine.requests.on_crash(fingerprint, crash);
        let crashes = quarantine.requests.evidence_of(fingerprint, now());
        let crashes = crashes.map(|evidence| evidence.crashes.len());
        let evidence = quarantine.segments.evidence_of(&segments, now());
        (is_new, is_new_for_request, crashes, evidence)
    };
    shared.metrics.lost_to_crashes.inc();
    Event::new("target_crashed")
        .with("request", &*request)
        .with("target", &*member.id)
        .with("fingerprint", fingerprint.to_string())
        .with("crashes", crashes)
        .with("segments", describe(&evidence))
        .with("in_flight_ms", millis(crash.in_flight))
        .warn();
    if is_new_for_request {
        publish(&shared, fingerprint);
    }
    if is_new {
        gossip::broadcast(&shared, &Message::Crashes(evidence));
        shared.quarantine_changed.notify_waiters();
    }
}

/// Merges what another entry knows of crashes.
pub(crate) fn on_evidence<Adapter>(
    shared: &Shared<Adapter>,
    segments: &[Evidence],
    requests: &[requests::Evidence],
) {
    let time = now();
    let mut is_changed = false;
    {
        let mut quarantine = shared.quarantine.borrow_mut();
        for evidence in segments {
            is_changed |= quarantine.segments.on_evidence(evidence, time);
        }
        for evidence in requests {
            is_changed |= quarantine.requests.on_evidence(evidence, time);
        }
    }
    if is_changed {
        shared.quarantine_changed.notify_waiters();
    }
}

/// Drops old evidence and updates the gauges of what is quarantined.
pub(crate) fn sweep<Adapter>(shared: &Shared<Adapter>, time: Time) {
    let (segments, requests) = {
        let mut quarantine = shared.quarantine.borrow_mut();
        quarantine.segments.expire(time);
        quarantine.requests.expire(time);
        let segments = quarantine.segments.quarantined(time);
        (segments, quarantine.requests.quarantined())
    };
    let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
    shared.metrics.quarantined.set(gauge(segments));
    shared.metrics.quarantined_requests.set(gauge(requests));
}

/// Returns the number of a target's start.
fn start_number(member: &Member) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(member.id.as_bytes());
    hasher.update(&member.started_ms.unwrap_or(0).to_le_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Describes for logs the number of crashes of each segment.
fn describe(evidence: &[Evidence]) -> String {
    let segments = evidence
        .iter()
        .map(|evidence| format!("{} {}", evidence.segment, evidence.crashes.len()));
    segments.collect::<Vec<_>>().join(", ")
}
