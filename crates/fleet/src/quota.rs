//! Each entry's share of what all entries may send together.
//!
//! Shares are fixed parts of the whole, so the sum keeps the bound also when no entry hears another.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::Duration;

use types::Time;

/// Bounds on requests that are sent once more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Repeats for each request.
    pub ratio: f64,
    /// The span over which both are counted.
    pub window: Duration,
    /// Repeats of all entries together that need no requests.
    pub extra: f64,
}

/// Counts requests and repeats of one service.
#[derive(Debug, Default)]
struct Count {
    requests: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

/// The retry budget of one entry, by service.
#[derive(Debug)]
pub struct Retries<Name> {
    terms: Policy,
    counts: HashMap<Name, Count>,
}

/// The part of the ratio that is used; the rest covers requests at the edges of the window.
const USED: f64 = 0.75;

impl<Name> Retries<Name>
where
    Name: Eq + Hash + Clone,
{
    /// Starts with nothing counted.
    #[must_use]
    pub fn new(terms: Policy) -> Self {
        Self {
            terms,
            counts: HashMap::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn on_request(&mut self, service: &Name, now: Time) {
        let window = self.terms.window;
        let count = self.counts.entry(service.clone()).or_default();
        count.requests.push_back(now);
        trim(&mut count.requests, now, window);
    }

    /// Takes one repeat, if the share of one of `entries` entries allows it.
    pub fn try_retry(&mut self, service: &Name, entries: usize, now: Time) -> bool {
        let terms = self.terms;
        let count = self.counts.entry(service.clone()).or_default();
        trim(&mut count.requests, now, terms.window);
        trim(&mut count.repeats, now, terms.window);
        let share = (terms.extra / entries.max(1) as f64).floor();
        let allowed = terms.ratio * USED * count.requests.len() as f64 + share * USED;
        if count.repeats.len() as f64 + 1.0 > allowed {
            return false;
        }
        count.repeats.push_back(now);
        true
    }
}

/// Limits the requests that one entry sends to a cold target.
#[derive(Debug)]
pub struct Ramp<Name> {
    sent: HashMap<Name, VecDeque<Time>>,
}

/// The span over which requests to a cold target are counted; a little more than the second of the
/// bound, since requests travel for different times.
const RAMP_WINDOW: Duration = Duration::from_millis(1150);

impl<Name> Default for Ramp<Name> {
    fn default() -> Self {
        Self {
            sent: HashMap::new(),
        }
    }
}

impl<Name> Ramp<Name>
where
    Name: Eq + Hash + Clone,
{
    /// Says whether one of `entries` entries may send another request to a target that tolerates
    /// `limit` requests a second from all of them.
    pub fn allows(&mut self, target: &Name, limit: f64, entries: usize, now: Time) -> bool {
        let share = (limit / entries.max(1) as f64).floor();
        let Some(sent) = self.sent.get_mut(target) else {
            return share >= 1.0;
        };
        trim(sent, now, RAMP_WINDOW);
        sent.len() as f64 + 1.0 <= share
    }

    /// Counts a request; all are counted, because a target may turn cold at any moment.
    pub fn on_sent(&mut self, target: &Name, now: Time) {
        let sent = self.sent.entry(target.clone()).or_default();
        sent.push_back(now);
        trim(sent, now, RAMP_WINDOW);
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, known: impl Fn(&Name) -> bool) {
        self.sent.retain(|name, _| known(name));
    }
}

fn trim(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|&at| now.since(at) >= window) {
        times.pop_front();
    }
}
