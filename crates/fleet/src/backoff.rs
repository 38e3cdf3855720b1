//! Back-off of dispatchers that did not reply.
//!
//! Load pattern: all entries start at the same time after a loss of power, and callers that were
//! waiting return to them at once. A dispatcher that is 50 ms late misses the replies of thirty
//! requests. It is still the best one to ask for the next request: without dispatchers each entry
//! chooses targets from its own load alone, and together they overload the same targets.

use std::collections::HashMap;
use std::time::Duration;

use types::Time;

/// The dispatchers that did not reply, by name.
#[derive(Debug, Default)]
pub struct Backoffs {
    by_name: HashMap<String, Backoff>,
}

/// The back-off of a dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// Consecutive requests without a reply; those sent before the back-off began count once.
    pub failures: u32,
    /// How long the dispatcher gets no requests.
    pub delay: Duration,
    /// When the delay began.
    since: Time,
}

/// The time spent waiting for a reply, without the time in which the waiting process did not run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Waited(Duration);

/// How long an unresponsive dispatcher gets no requests; doubled with each further failure.
const BACK_OFF: Duration = Duration::from_millis(1000);
/// The maximum of this back-off.
const MAX_BACK_OFF: Duration = Duration::from_secs(4);
/// How long an entry gets no requests after replying that it is not a dispatcher: it is starting or
/// stopping.
const NOT_DISPATCHER_BACK_OFF: Duration = Duration::from_millis(250);
/// How late a timer may be before the process counts as stalled meanwhile.
const TIMER_SLACK: Duration = Duration::from_millis(5);

impl Backoffs {
    /// Returns whether a dispatcher gets no requests now.
    #[must_use]
    pub fn contains(&self, name: &str, now: Time) -> bool {
        let backoff = self.by_name.get(name);
        backoff.is_some_and(|backoff| now < backoff.since + backoff.delay)
    }

    /// Records that a request that was sent at `sent` got no reply. Returns the back-off unless the
    /// request was sent before the last one began, and so says nothing new.
    ///
    /// The dispatcher is not asked during the back-off even if other messages from it arrive,
    /// because it may be too slow to be useful.
    pub fn on_silence(&mut self, name: &str, sent: Time, now: Time) -> Option<Backoff> {
        let last = self.by_name.get(name).copied();
        if last.is_some_and(|last| sent < last.since) {
            return None;
        }
        let failures = last.map_or(0, |last| last.failures);
        let backoff = Backoff {
            failures: failures + 1,
            delay: (BACK_OFF * 2u32.saturating_pow(failures.min(4))).min(MAX_BACK_OFF),
            since: now,
        };
        self.by_name.insert(name.to_owned(), backoff);
        Some(backoff)
    }

    /// Records that an entry replied that it is not a dispatcher.
    pub fn on_not_dispatcher(&mut self, name: &str, now: Time) {
        let backoff = Backoff {
            failures: 0,
            delay: NOT_DISPATCHER_BACK_OFF,
            since: now,
        };
        self.by_name.insert(name.to_owned(), backoff);
    }

    /// Records a reply; it ends the back-off.
    pub fn on_reply(&mut self, name: &str) {
        self.by_name.remove(name);
    }
}

impl Waited {
    /// Adds a wait that was to end after `planned` and took `actual`. If it ended late, the replies
    /// that arrived in the meantime are still to be read.
    pub fn add(&mut self, planned: Duration, actual: Duration) {
        self.0 += actual.min(planned + TIMER_SLACK);
    }

    /// Returns whether the wait has reached a limit.
    #[must_use]
    pub fn has_reached(self, limit: Duration) -> bool {
        self.0 >= limit
    }
}
