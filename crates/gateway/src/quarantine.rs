//! Keeps segments of prompts away from targets that they crash.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fleet::quarantine::{Crash, Decision, Evidence, Fingerprint, Segment};
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

/// A request that tests whether quarantined segments still crash targets. Dropped before it is
/// sent, it makes room for another one.
#[derive(Debug)]
pub(crate) struct Trial<Adapter> {
    shared: Rc<Shared<Adapter>>,
    segments: Vec<Segment>,
    sent: bool,
}

impl<Adapter> Trial<Adapter> {
    pub(crate) fn new(shared: &Rc<Shared<Adapter>>, segments: Vec<Segment>) -> Self {
        Self {
            shared: Rc::clone(shared),
            segments,
            sent: false,
        }
    }

    /// Records that the request is sent.
    pub(crate) fn on_sent(&mut self) {
        self.sent = true;
    }
}

impl<Adapter> Drop for Trial<Adapter> {
    fn drop(&mut self) {
        if !self.sent {
            let mut quarantine = self.shared.quarantine.borrow_mut();
            quarantine.on_trial_unsent(&self.segments);
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
pub(crate) fn decide<Adapter>(shared: &Shared<Adapter>, admitted: &Admitted) -> Decision {
    // An entry that is not registered hears no others.
    let rank = |segment: &str| shared.live_rank(segment).unwrap_or(0);
    let mut quarantine = shared.quarantine.borrow_mut();
    quarantine.decide(&admitted.segments, rank, now())
}

/// Waits until one of the segments of a request is quarantined.
pub(crate) async fn quarantined<Adapter>(shared: &Shared<Adapter>, admitted: &Admitted) {
    if admitted.segments.is_empty() {
        return std::future::pending().await;
    }
    loop {
        // Registered before the check, so that no change between the two is missed.
        let changed = shared.quarantine_changed.notified();
        let is_refused = {
            let mut quarantine = shared.quarantine.borrow_mut();
            let decision = quarantine.decide(&admitted.segments, |_| usize::MAX, now());
            matches!(decision, Decision::Refuse(..))
        };
        if is_refused {
            return;
        }
        changed.await;
    }
}

/// Records the first event of a response.
pub(crate) fn on_begun<Adapter>(shared: &Shared<Adapter>, admitted: &Admitted) {
    if admitted.segments.is_empty() {
        return;
    }
    let acquitted = {
        let mut quarantine = shared.quarantine.borrow_mut();
        quarantine.on_begun(&admitted.segments, now())
    };
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
        quarantine.evidence_of(&acquitted, now())
    };
    gossip::broadcast(shared, &Message::Crashes(evidence));
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
    let (is_new, evidence) = {
        let mut quarantine = shared.quarantine.borrow_mut();
        let is_new = quarantine.on_crash(&segments, crash);
        (is_new, quarantine.evidence_of(&segments, now()))
    };
    shared.metrics.lost_to_crashes.inc();
    Event::new("target_crashed")
        .with("request", &*request)
        .with("target", &*member.id)
        .with("fingerprint", fingerprint.to_string())
        .with("segments", describe(&evidence))
        .with("in_flight_ms", millis(crash.in_flight))
        .warn();
    if is_new {
        gossip::broadcast(&shared, &Message::Crashes(evidence));
        shared.quarantine_changed.notify_waiters();
    }
}

/// Merges what another entry knows of crashes.
pub(crate) fn on_evidence<Adapter>(shared: &Shared<Adapter>, evidence: &[Evidence]) {
    let time = now();
    let mut is_changed = false;
    for segment in evidence {
        let mut quarantine = shared.quarantine.borrow_mut();
        is_changed |= quarantine.on_evidence(segment, time);
    }
    if is_changed {
        shared.quarantine_changed.notify_waiters();
    }
}

/// Drops old evidence and updates the gauge of quarantined segments.
pub(crate) fn sweep<Adapter>(shared: &Shared<Adapter>, time: Time) {
    let quarantined = {
        let mut quarantine = shared.quarantine.borrow_mut();
        quarantine.expire(time);
        quarantine.quarantined(time)
    };
    let quarantined = i64::try_from(quarantined).unwrap_or(i64::MAX);
    shared.metrics.quarantined.set(quarantined);
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
