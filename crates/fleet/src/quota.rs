//! Per-entry shares of the quotas that all entries have in common.
//!
//! Each entry gets a fixed fraction of a quota, so the total stays within the quota even when
//! entries receive no gossip from each other.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::Duration;

use types::Time;

/// Limits on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Sliding window over which requests and retries are counted.
    pub window: Duration,
    /// Retries that all entries together may send regardless of the number of requests.
    pub extra: f64,
}

/// Recent requests and retries of one service.
#[derive(Debug, Default)]
struct History {
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

/// The retry budget of one entry, by service.
#[derive(Debug)]
pub struct Retries<Name> {
    policy: Policy,
    histories: HashMap<Name, History>,
}

/// The fraction of the ratio that is used; the rest allows for requests at the edges of the window.
const USABLE_FRACTION: f64 = 0.75;

impl<Name> Retries<Name>
where
    Name: Eq + Hash + Clone,
{
    /// Creates an empty budget.
    #[must_use]
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            histories: HashMap::new(),
        }
    }

    /// Records a request of a caller.
    pub fn on_request(&mut self, service: &Name, now: Time) {
        let window = self.policy.window;
        let history = self.histories.entry(service.clone()).or_default();
        history.requests.push_back(now);
        drop_expired(&mut history.requests, now, window);
    }

    /// Uses one retry if the share of this entry, one of `entries`, permits it. Returns whether it
    /// does.
    pub fn try_retry(&mut self, service: &Name, entries: usize, now: Time) -> bool {
        let policy = self.policy;
        let history = self.histories.entry(service.clone()).or_default();
        drop_expired(&mut history.requests, now, policy.window);
        drop_expired(&mut history.retries, now, policy.window);
        let share = (policy.extra / entries.max(1) as f64).floor();
        let allowed = policy.ratio * USABLE_FRACTION * history.requests.len() as f64
            + share * USABLE_FRACTION;
        if history.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        history.retries.push_back(now);
        true
    }
}

/// Rate limit for the requests that one entry sends to cold targets.
#[derive(Debug)]
pub struct Ramp<Name> {
    sent: HashMap<Name, VecDeque<Time>>,
}

/// The window over which requests to a cold target are counted. It is slightly longer than the
/// second of the limit because network delay varies between requests.
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
    /// Returns whether one of `entries` entries may send another request to a target that tolerates
    /// `limit` requests per second from all of them.
    pub fn allows(&mut self, target: &Name, limit: f64, entries: usize, now: Time) -> bool {
        let share = (limit / entries.max(1) as f64).floor();
        let Some(sent) = self.sent.get_mut(target) else {
            return share >= 1.0;
        };
        drop_expired(sent, now, RAMP_WINDOW);
        sent.len() as f64 + 1.0 <= share
    }

    /// Records a sent request. All requests are recorded because a target may become cold at any
    /// time.
    pub fn on_sent(&mut self, target: &Name, now: Time) {
        let sent = self.sent.entry(target.clone()).or_default();
        sent.push_back(now);
        drop_expired(sent, now, RAMP_WINDOW);
    }

    /// Drops the state of targets that no longer exist.
    pub fn retain(&mut self, known: impl Fn(&Name) -> bool) {
        self.sent.retain(|name, _| known(name));
    }
}

fn drop_expired(times: &mut VecDeque<Time>, now: Time, window: Duration) {
    while times.front().is_some_and(|&at| now.since(at) >= window) {
        times.pop_front();
    }
}
