//! Quarantine of prompt segments that crash the targets which begin to respond to them.
//!
//! Load pattern: one segment, shared by a few prompts in a hundred, makes each engine crash that
//! begins a response. Every request with it costs as many engines as its route allows attempts,
//! together with all other work there, until none is left. The other segments of these prompts, and
//! their callers, are shared with sound requests.
//!
//! A crash is evidence against the segments of all requests that the target had not begun to answer.
//! The first event of a response acquits all segments of its request. Entries share the evidence, so
//! that all of them together lose no more targets than one entry would.

use std::collections::HashMap;
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;
use std::time::Duration;

use types::Time;

mod record;
pub mod requests;

use record::{Record, Told};
use requests::Requests;

/// The identifier of a segment of a prompt.
pub type Segment = Arc<str>;

/// Identifies a request by its content, whatever id its caller gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint(pub [u8; 16]);

impl Display for Fingerprint {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// What crashes targets, as one entry knows it.
#[derive(Debug, Default)]
pub struct Register {
    /// Segments of prompts.
    pub segments: Quarantine,
    /// Whole requests.
    pub requests: Requests,
}

/// The crashes that are evidence against each segment, as one entry knows them.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<Segment, Record>,
    begun: Begun,
}

/// The loss of a request whose target crashed before the first event of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Identifies the target and its start; requests lost in the same crash have the same number.
    pub target: u64,
    /// When the connection to the target was lost.
    pub lost: Time,
    /// How long before that the request was sent.
    pub in_flight: Duration,
}

/// What one entry tells the others about a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evidence {
    /// The segment.
    pub segment: Segment,
    /// The crashes, each with the target's number, the time since the request was lost, and how long
    /// it had been in flight.
    pub crashes: Vec<(u64, Duration, Duration)>,
    /// The time since a response to a prompt with this segment last began.
    pub begun: Option<Duration>,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent.
    Send,
    /// It may be sent, as the only one that tests whether these segments still crash targets.
    Trial(Vec<Segment>),
    /// It must not be sent, because of this segment. The quarantine lasts for at least this long.
    Refuse(Segment, Duration),
}

/// The segments with which responses have recently begun, in two generations of bounded size.
#[derive(Debug, Default)]
struct Begun {
    recent: HashMap<Segment, Time>,
    previous: HashMap<Segment, Time>,
}

/// The number of successive crashes that quarantine a segment.
const MIN_CRASHES: usize = 2;
/// The number of successive crashes that quarantine a segment with which responses began shortly
/// before them: it was probably only present when targets crashed for other reasons.
const MIN_CRASHES_IF_BEGUN: usize = 4;
/// How long a response speaks for the segments of its prompt.
const BEGUN_WINDOW: Duration = Duration::from_secs(60);
/// How long the first quarantine of a segment lasts.
const BASE_TERM: Duration = Duration::from_secs(10);
/// By how much each further crash prolongs the quarantine; each trial of a deadly segment costs a
/// target.
const TERM_FACTOR: u32 = 4;
/// The maximum duration of a quarantine.
const MAX_TERM: Duration = Duration::from_secs(3600);
/// How long a request that tests a segment may take until another one may be sent.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(30);
/// When a caller may retry if the quarantine is over, but another request tests the segment.
const TRIAL_RETRY: Duration = Duration::from_secs(5);
/// How long a record without crashes is kept, so that other entries learn of the acquittal.
const ACQUITTED_TTL: Duration = Duration::from_secs(10);
/// How long a record that leads to no quarantine is kept.
const SUSPECTED_TTL: Duration = Duration::from_secs(120);
/// How long a quarantined segment is remembered, in durations of its last quarantine.
const REMEMBERED_TERMS: u32 = 4;
/// Maximum number of records. A crash adds one for each segment of the requests that it lost, up to
/// a thousand for each prompt.
const MAX_RECORDS: usize = 4096;
/// Maximum number of segments in one message.
const MAX_EVIDENCE: usize = 16;
/// Maximum number of segments in one generation of [`Begun`].
const MAX_BEGUN: usize = 4096;

impl Quarantine {
    /// Records that a target crashed while it had a request with these segments and had not begun
    /// to respond. Returns whether this is new evidence against any of them.
    pub fn on_crash(&mut self, segments: &[Segment], crash: Crash) -> bool {
        let mut is_new = false;
        for segment in segments {
            let begun = self.begun.last(segment);
            if !self.records.contains_key(segment) && !self.make_room() {
                continue;
            }
            let record = self.records.entry(Arc::clone(segment)).or_default();
            record.recall(begun);
            is_new |= record.add(crash);
        }
        is_new
    }

    /// Records the first event of a response to a prompt with these segments. Returns the segments
    /// against which there was evidence, which is void now.
    pub fn on_begun(&mut self, segments: &[Segment], now: Time) -> Vec<Segment> {
        let mut acquitted = Vec::new();
        for segment in segments {
            self.begun.insert(segment, now);
            if let Some(record) = self.records.get_mut(segment)
                && record.on_begun(now)
            {
                acquitted.push(Arc::clone(segment));
            }
        }
        acquitted
    }

    /// Returns whether a request with these segments may be sent. `rank` is the place of this entry
    /// in the order in which entries may test a segment after its quarantine.
    pub fn decide<Rank>(&mut self, segments: &[Segment], rank: Rank, now: Time) -> Decision
    where
        Rank: Fn(&str) -> usize,
    {
        let is_cause = |segment: &&Segment| self.is_cause(segment, segments, now);
        let causes: Vec<Segment> = segments.iter().filter(is_cause).cloned().collect();
        let remaining = |segment: &Segment| {
            let record = self.records.get(segment);
            record.map_or(Duration::ZERO, |record| {
                record.quarantined_until().since(now)
            })
        };
        let Some(longest) = causes.iter().max_by_key(|segment| remaining(segment)) else {
            return Decision::Send;
        };
        let remaining = remaining(longest);
        if !remaining.is_zero() {
            return Decision::Refuse(Arc::clone(longest), remaining);
        }
        let may_test = |segment: &Segment| {
            let record = self.records.get(segment);
            record.is_some_and(|record| record.may_be_tested(rank(segment), now))
        };
        if let Some(untestable) = causes.iter().find(|segment| !may_test(segment)) {
            return Decision::Refuse(Arc::clone(untestable), TRIAL_RETRY);
        }
        for segment in &causes {
            if let Some(record) = self.records.get_mut(segment) {
                record.trial = Some(now);
            }
        }
        Decision::Trial(causes)
    }

    /// Records that a request which was to test these segments was not sent.
    pub fn on_trial_unsent(&mut self, segments: &[Segment]) {
        for segment in segments {
            if let Some(record) = self.records.get_mut(segment) {
                record.trial = None;
            }
        }
    }

    /// Returns whether a segment is held to be the cause of crashes in a request with these
    /// segments. It is not if another segment was present in the same crashes and in further ones.
    /// If other segments were present in exactly the same crashes, any of them may be the cause, so
    /// only requests with all of them are affected.
    fn is_cause(&self, segment: &Segment, request: &[Segment], now: Time) -> bool {
        let Some(record) = self.records.get(segment) else {
            return false;
        };
        if !record.is_sufficient(now) {
            return false;
        }
        self.records.iter().all(|(other, other_record)| {
            let explains_all = other_record.covers(record);
            if other == segment || !explains_all {
                return true;
            }
            let explains_more = other_record.crashes.len() > record.crashes.len();
            !explains_more && request.contains(other)
        })
    }

    /// Returns the segments that are quarantined or suspected, with the number of their crashes.
    pub fn suspects(&self) -> impl Iterator<Item = (&Segment, usize)> {
        let suspects = self.records.iter();
        suspects
            .map(|(segment, record)| (segment, record.chain()))
            .filter(|(_, crashes)| *crashes > 0)
    }

    /// Returns the number of segments with enough evidence for a quarantine.
    #[must_use]
    pub fn quarantined(&self, now: Time) -> usize {
        let records = self.records.values();
        records.filter(|record| record.is_sufficient(now)).count()
    }

    /// Returns what to tell other entries, the segments with the most crashes first.
    #[must_use]
    pub fn evidence(&self, now: Time) -> Vec<Evidence> {
        let mut records: Vec<_> = self.records.iter().collect();
        records.sort_by(|(left, left_record), (right, right_record)| {
            let by_crashes = right_record.chain().cmp(&left_record.chain());
            let by_age = right_record.changed.cmp(&left_record.changed);
            by_crashes.then(by_age).then(left.cmp(right))
        });
        let records = records.into_iter().take(MAX_EVIDENCE);
        records
            .map(|(segment, record)| record.evidence(segment, now))
            .collect()
    }

    /// Returns what to tell other entries about these segments.
    #[must_use]
    pub fn evidence_of(&self, segments: &[Segment], now: Time) -> Vec<Evidence> {
        let records = segments
            .iter()
            .filter_map(|segment| self.records.get_key_value(segment));
        let mut records: Vec<_> = records.collect();
        records.sort_by_key(|(_, record)| std::cmp::Reverse(record.chain()));
        let records = records.into_iter().take(MAX_EVIDENCE);
        records
            .map(|(segment, record)| record.evidence(segment, now))
            .collect()
    }

    /// Merges what another entry has told; returns whether this changes anything.
    pub fn on_evidence(&mut self, evidence: &Evidence, now: Time) -> bool {
        let segment = &evidence.segment;
        let is_known = self.records.contains_key(segment);
        if !is_known && (evidence.crashes.is_empty() || !self.make_room()) {
            return false;
        }
        let own_begun = self.begun.last(segment);
        let record = self.records.entry(Arc::clone(segment)).or_default();
        record.recall(own_begun);
        let told = Told {
            crashes: evidence.crashes.clone(),
            begun: evidence.begun,
        };
        let is_changed = record.merge(&told, now);
        // An expired record would be passed on between entries for ever.
        if record.is_expired(now) {
            self.records.remove(segment);
            return false;
        }
        is_changed
    }

    /// Drops records that are no longer of use.
    pub fn expire(&mut self, now: Time) {
        self.records.retain(|_, record| !record.is_expired(now));
    }

    /// Makes room for another record by dropping the weakest one; returns whether there is room.
    fn make_room(&mut self) -> bool {
        if self.records.len() < MAX_RECORDS {
            return true;
        }
        let weakest = self
            .records
            .iter()
            .filter(|(_, record)| record.chain() < MIN_CRASHES)
            .min_by_key(|(segment, record)| (record.chain(), record.changed, Arc::clone(segment)))
            .map(|(segment, _)| Arc::clone(segment));
        weakest.is_some_and(|segment| self.records.remove(&segment).is_some())
    }
}

impl Record {
    fn evidence(&self, segment: &Segment, now: Time) -> Evidence {
        let told = self.told(now);
        Evidence {
            segment: Arc::clone(segment),
            crashes: told.crashes,
            begun: told.begun,
        }
    }

    fn is_sufficient(&self, now: Time) -> bool {
        self.chain() >= self.min_crashes(now)
    }

    fn min_crashes(&self, now: Time) -> usize {
        let first = self.crashes.first().map_or(now, |crash| crash.lost);
        let has_begun = self
            .begun
            .is_some_and(|begun| first.since(begun) < BEGUN_WINDOW);
        if has_begun {
            MIN_CRASHES_IF_BEGUN
        } else {
            MIN_CRASHES
        }
    }

    /// Returns whether the entry with this rank may test the segment. One more entry may after each
    /// [`TRIAL_TIMEOUT`], since those before it may get no request with the segment.
    fn may_be_tested(&self, rank: usize, now: Time) -> bool {
        let is_tested = self
            .trial
            .is_some_and(|trial| now.since(trial) < TRIAL_TIMEOUT);
        let overdue = now.since(self.quarantined_until());
        let turn = overdue.as_millis() / TRIAL_TIMEOUT.as_millis();
        !is_tested && rank as u128 <= turn
    }

    fn is_expired(&self, now: Time) -> bool {
        let ttl = if self.crashes.is_empty() {
            ACQUITTED_TTL
        } else if self.is_sufficient(now) {
            self.term().saturating_mul(REMEMBERED_TERMS)
        } else {
            SUSPECTED_TTL
        };
        now.since(self.changed) >= ttl
    }

    fn quarantined_until(&self) -> Time {
        self.last_crash() + self.term()
    }

    fn term(&self) -> Duration {
        let further = self.chain().saturating_sub(MIN_CRASHES);
        let further = u32::try_from(further).unwrap_or(u32::MAX);
        let factor = TERM_FACTOR.saturating_pow(further);
        BASE_TERM.saturating_mul(factor).min(MAX_TERM)
    }
}

impl Begun {
    fn insert(&mut self, segment: &Segment, now: Time) {
        if let Some(time) = self.recent.get_mut(segment) {
            *time = now;
            return;
        }
        if self.recent.len() >= MAX_BEGUN {
            self.previous = std::mem::take(&mut self.recent);
        }
        self.recent.insert(Arc::clone(segment), now);
    }

    fn last(&self, segment: &str) -> Option<Time> {
        let recent = self.recent.get(segment);
        recent.or_else(|| self.previous.get(segment)).copied()
    }
}
