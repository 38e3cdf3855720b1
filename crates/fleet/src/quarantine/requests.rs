//! Quarantine of requests that crash the targets which run them.
//!
//! Load pattern: callers repeat a request with new ids, at any entry, each time after it has
//! crashed the targets that ran it. Nothing else is wrong with the targets, and they serve other
//! requests until the next repeat arrives.
//!
//! Unlike a segment of a prompt, which sound requests share, a request is recognized exactly, so
//! less evidence suffices. The first response that begins acquits it.

use std::collections::HashMap;
use std::time::Duration;

use types::Time;

use super::record::{Record, Told};
use super::{Crash, Fingerprint};

/// The crashes that are evidence against each request, as one entry knows them.
#[derive(Debug, Default)]
pub struct Requests {
    records: HashMap<Fingerprint, Record>,
}

/// What one entry tells the others about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// The request.
    pub request: Fingerprint,
    /// The crashes, each with the target's number, the time since the request was lost, and how long
    /// it had been in flight.
    pub crashes: Vec<(u64, Duration, Duration)>,
    /// The time since a response to the request last began.
    pub begun: Option<Duration>,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent.
    Send,
    /// It may be sent, as the only one that tests whether the request still crashes targets.
    Trial,
    /// It must not be sent for at least this long.
    Refuse(Duration),
}

/// The number of successive crashes that quarantine a request. One crash must not cost a request its
/// ordinary retry.
const MIN_SUCCESSIVE: usize = 2;
/// The number of crashed targets that quarantine a request even if they crashed together, or another
/// request was lost with all of them.
const MIN_TARGETS: usize = 3;
/// How long the first quarantine of a request lasts.
const BASE_TERM: Duration = Duration::from_secs(10);
/// By how much each further crash prolongs the quarantine; each trial of a deadly request costs a
/// target.
const TERM_FACTOR: u32 = 4;
/// The maximum duration of a quarantine.
const MAX_TERM: Duration = Duration::from_secs(3600);
/// How long the quarantine lasts if all targets crashed together: another cause is likely, and one
/// trial tells.
const COINCIDENCE_TERM: Duration = Duration::from_secs(1);
/// How long a trial may take until the next entry may make one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// The same if all targets crashed together.
const COINCIDENCE_TRIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// When a caller may retry if the quarantine is over, but another request tests it.
const TRIAL_RETRY: Duration = Duration::from_secs(5);
/// How long a record without crashes is kept, so that other entries learn of the acquittal.
const ACQUITTED_TTL: Duration = Duration::from_secs(10);
/// How long a record that leads to no quarantine is kept.
const SUSPECTED_TTL: Duration = Duration::from_secs(120);
/// How long a quarantined request is remembered, in durations of its last quarantine.
const REMEMBERED_TERMS: u32 = 4;
/// Maximum number of records; each crash adds one for each request that it lost.
const MAX_RECORDS: usize = 4096;
/// Maximum number of requests in one message.
const MAX_EVIDENCE: usize = 8;

impl Requests {
    /// Returns whether there is no evidence about any request, so that fingerprints are not needed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records that a target crashed while it had a request and had not begun to respond. Returns
    /// whether this is new evidence.
    pub fn on_crash(&mut self, request: Fingerprint, crash: Crash) -> bool {
        if !self.records.contains_key(&request) && !self.make_room() {
            return false;
        }
        self.records.entry(request).or_default().add(crash)
    }

    /// Records the first event of a response. Returns whether there was evidence against the
    /// request, which is void now.
    pub fn on_begun(&mut self, request: Fingerprint, now: Time) -> bool {
        let record = self.records.get_mut(&request);
        record.is_some_and(|record| record.on_begun(now))
    }

    /// Returns whether a request may be sent. `rank` is the place of this entry in the order in
    /// which entries may test it after its quarantine.
    pub fn decide(&mut self, request: Fingerprint, rank: usize, now: Time) -> Decision {
        if !self.is_suspect(request) {
            return Decision::Send;
        }
        let Some(record) = self.records.get_mut(&request) else {
            return Decision::Send;
        };
        let remaining = record.last_crash() + term(record);
        let remaining = remaining.since(now);
        if !remaining.is_zero() {
            return Decision::Refuse(remaining);
        }
        if !may_be_tested(record, rank, now) {
            return Decision::Refuse(TRIAL_RETRY);
        }
        record.trial = Some(now);
        Decision::Trial
    }

    /// Returns whether a request that was sent and has not begun must be withdrawn: it crashes one
    /// target after the other.
    #[must_use]
    pub fn must_withdraw(&self, request: Fingerprint) -> bool {
        let record = self.records.get(&request);
        record.is_some_and(|record| record.chain() >= MIN_SUCCESSIVE) && self.is_suspect(request)
    }

    /// Records that a request which was to be a trial was not sent.
    pub fn on_trial_unsent(&mut self, request: Fingerprint) {
        if let Some(record) = self.records.get_mut(&request) {
            record.trial = None;
        }
    }

    /// Returns the number of requests with enough evidence for a quarantine.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        let requests = self.records.keys();
        requests
            .filter(|request| self.is_suspect(**request))
            .count()
    }

    /// Returns what to tell other entries, the requests with the most crashed targets first.
    #[must_use]
    pub fn evidence(&self, now: Time) -> Vec<Evidence> {
        let mut records: Vec<_> = self.records.iter().collect();
        records.sort_by(|(left, left_record), (right, right_record)| {
            let by_targets = right_record.crashes.len().cmp(&left_record.crashes.len());
            let by_age = right_record.changed.cmp(&left_record.changed);
            by_targets.then(by_age).then(left.cmp(right))
        });
        let records = records.into_iter().take(MAX_EVIDENCE);
        records
            .map(|(request, record)| Evidence::new(*request, record.told(now)))
            .collect()
    }

    /// Returns what to tell other entries about a request.
    #[must_use]
    pub fn evidence_of(&self, request: Fingerprint, now: Time) -> Option<Evidence> {
        let record = self.records.get(&request)?;
        Some(Evidence::new(request, record.told(now)))
    }

    /// Merges what another entry has told; returns whether this changes anything.
    pub fn on_evidence(&mut self, evidence: &Evidence, now: Time) -> bool {
        let request = evidence.request;
        let is_known = self.records.contains_key(&request);
        if !is_known && (evidence.crashes.is_empty() || !self.make_room()) {
            return false;
        }
        let told = Told {
            crashes: evidence.crashes.clone(),
            begun: evidence.begun,
        };
        let record = self.records.entry(request).or_default();
        let is_changed = record.merge(&told, now);
        // An expired record would be passed on between entries for ever.
        if self.is_expired(request, now) {
            self.records.remove(&request);
            return false;
        }
        is_changed
    }

    /// Drops records that are no longer of use.
    pub fn expire(&mut self, now: Time) {
        let requests = self.records.keys().copied();
        let expired: Vec<_> = requests
            .filter(|request| self.is_expired(*request, now))
            .collect();
        for request in expired {
            self.records.remove(&request);
        }
    }

    /// Returns whether there is enough evidence against a request.
    ///
    /// A request that only ran beside deadly ones is told apart by the crashes: each of them is
    /// explained by another request that was lost in more. Of two requests with the same two
    /// crashes, either may be the cause; the third crash tells.
    fn is_suspect(&self, request: Fingerprint) -> bool {
        let Some(record) = self.records.get(&request) else {
            return false;
        };
        let count = record.crashes.len();
        if count < MIN_TARGETS && record.chain() < MIN_SUCCESSIVE {
            return false;
        }
        let others = || self.records.iter().filter(|(other, _)| **other != request);
        if count < MIN_TARGETS && others().any(|(_, other)| other.covers(record)) {
            return false;
        }
        let is_explained = |crash: &Crash| {
            let mut stronger = others().filter(|(_, other)| other.crashes.len() > count);
            stronger.any(|(_, other)| other.may_have(crash))
        };
        !record.crashes.iter().all(is_explained)
    }

    fn is_expired(&self, request: Fingerprint, now: Time) -> bool {
        let Some(record) = self.records.get(&request) else {
            return false;
        };
        let ttl = if record.crashes.is_empty() {
            ACQUITTED_TTL
        } else if self.is_suspect(request) {
            term(record)
                .saturating_mul(REMEMBERED_TERMS)
                .max(SUSPECTED_TTL)
        } else {
            SUSPECTED_TTL
        };
        now.since(record.changed) >= ttl
    }

    /// Makes room for another record by dropping the weakest one; returns whether there is room.
    fn make_room(&mut self) -> bool {
        if self.records.len() < MAX_RECORDS {
            return true;
        }
        let weakest = self
            .records
            .iter()
            .filter(|(_, record)| record.crashes.len() < MIN_SUCCESSIVE)
            .min_by_key(|(request, record)| (record.crashes.len(), record.changed, **request))
            .map(|(request, _)| *request);
        weakest.is_some_and(|request| self.records.remove(&request).is_some())
    }
}

impl Evidence {
    fn new(request: Fingerprint, told: Told) -> Self {
        Self {
            request,
            crashes: told.crashes,
            begun: told.begun,
        }
    }
}

/// Returns how long the quarantine lasts from the last crash on.
fn term(record: &Record) -> Duration {
    let Some(further) = record.chain().checked_sub(MIN_SUCCESSIVE) else {
        return COINCIDENCE_TERM;
    };
    let further = u32::try_from(further).unwrap_or(u32::MAX);
    let factor = TERM_FACTOR.saturating_pow(further);
    BASE_TERM.saturating_mul(factor).min(MAX_TERM)
}

/// Returns whether the entry with this rank may make a trial. One more entry may after each timeout,
/// since those before it may get no such request.
fn may_be_tested(record: &Record, rank: usize, now: Time) -> bool {
    let timeout = match record.chain() < MIN_SUCCESSIVE {
        true => COINCIDENCE_TRIAL_TIMEOUT,
        false => TRIAL_TIMEOUT,
    };
    let is_tested = record.trial.is_some_and(|trial| now.since(trial) < timeout);
    let overdue = now.since(record.last_crash() + term(record));
    let turn = overdue.as_millis() / timeout.as_millis();
    !is_tested && rank as u128 <= turn
}
