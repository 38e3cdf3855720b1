//! Queues of requests that wait at an entry or a dispatcher for a target with free capacity.
//!
//! An engine whose KV memory is full evicts cached segments, has to prefill them again and slows
//! down all its requests. Therefore requests wait in these queues, where their order can be
//! chosen, and not at the engine.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;
use std::time::Duration;

use types::Time;

/// Position in a queue: the rank of the request, then the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    rank: u8,
    number: u64,
}

/// Queues by name: of the services for requests that wait at their entry, and of the cells for
/// placement requests that wait at their dispatcher.
#[derive(Debug)]
pub struct Queues<Name> {
    queues: HashMap<Name, Queue>,
    next_number: u64,
}

/// The queue of one service or cell.
#[derive(Debug, Default)]
struct Queue {
    waiting: BTreeSet<Ticket>,
    /// Moving average of the time between two dispatches from the queue while others waited, in
    /// seconds.
    interval_s: f64,
    last: Option<Time>,
}

/// What a queued request does now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Look for a target.
    Try,
    /// Wait for its turn.
    Wait,
    /// Give up: the request will not be served in time. The caller may retry after this time.
    Refuse(Duration),
}

/// Number of requests that may look for a target at the same time; more than one, since a small
/// request may fit where the first one does not.
const LOOKAHEAD: usize = 3;
/// Maximum wait as a fraction of the objective. A refusal later than an eighth of the objective has
/// cost the caller time; a request dispatched later than half of it misses the objective in most
/// cases.
const MAX_WAIT_FRACTION: f64 = 0.45;
/// Minimum and maximum retry delay of a refused caller.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(400), Duration::from_millis(2500));
/// Weight of the newest interval in the moving average.
const SMOOTHING: f64 = 0.1;
/// Upper limit of an interval, in seconds; longer ones are idle times and say nothing about the
/// rate.
const MAX_INTERVAL_S: f64 = 0.5;

/// Returns the maximum wait of a request with this latency objective.
#[must_use]
pub fn max_wait(objective: Duration) -> Duration {
    objective.mul_f64(MAX_WAIT_FRACTION)
}

impl Ticket {
    /// The position before all requests.
    pub const FIRST: Self = Self { rank: 0, number: 0 };

    /// Returns the position behind all requests of a rank and of more urgent ones.
    #[must_use]
    pub fn behind(rank: u8) -> Self {
        Self {
            rank,
            number: u64::MAX,
        }
    }
}

impl<Name> Default for Queues<Name> {
    fn default() -> Self {
        Self {
            queues: HashMap::new(),
            next_number: 0,
        }
    }
}

impl<Name> Queues<Name>
where
    Name: Eq + Hash + Clone,
{
    /// Adds a request with a rank; 0 is the most urgent.
    pub fn push(&mut self, name: &Name, rank: u8) -> Ticket {
        self.next_number += 1;
        let ticket = Ticket {
            rank,
            number: self.next_number,
        };
        let queue = self.queues.entry(name.clone()).or_default();
        queue.waiting.insert(ticket);
        ticket
    }

    /// Returns what to do with a request that has waited for `waited` and may wait for `max_wait`
    /// in total; `draw` is uniformly distributed between 0 and 1 and spreads the retries of refused
    /// callers.
    #[must_use]
    pub fn decide(
        &self,
        name: &Name,
        ticket: Ticket,
        waited: Duration,
        max_wait: Duration,
        draw: f64,
    ) -> Decision {
        let ahead = self
            .queues
            .get(name)
            .map_or(0, |queue| queue.waiting.range(..ticket).count());
        self.decide_behind(name, ahead, waited, max_wait, draw)
    }

    /// As [`Self::decide`], for a request with `ahead` others before it. A request that may pass
    /// some of those before it in the queue does not count them.
    #[must_use]
    pub fn decide_behind(
        &self,
        name: &Name,
        ahead: usize,
        waited: Duration,
        max_wait: Duration,
        draw: f64,
    ) -> Decision {
        let Some(queue) = self.queues.get(name) else {
            return Decision::Try;
        };
        let expected = Duration::from_secs_f64(queue.interval_s * ahead as f64);
        if waited >= max_wait || (ahead >= LOOKAHEAD && waited + expected > max_wait) {
            let drain_time = Duration::from_secs_f64(queue.interval_s * queue.waiting.len() as f64);
            let retry_after = drain_time.clamp(RETRY_DELAY.0, RETRY_DELAY.1);
            return Decision::Refuse(retry_after.mul_f64(0.75 + 0.75 * draw));
        }
        match ahead < LOOKAHEAD {
            true => Decision::Try,
            false => Decision::Wait,
        }
    }

    /// Removes a request; `served` tells whether it was dispatched to a target.
    pub fn remove(&mut self, name: &Name, ticket: Ticket, served: bool, now: Time) {
        let Some(queue) = self.queues.get_mut(name) else {
            return;
        };
        queue.waiting.remove(&ticket);
        if !served {
            return;
        }
        if let Some(last) = queue.last
            && !queue.waiting.is_empty()
        {
            let interval_s = now.since(last).as_secs_f64().min(MAX_INTERVAL_S);
            queue.interval_s += SMOOTHING * (interval_s - queue.interval_s);
        }
        queue.last = Some(now);
        if queue.waiting.is_empty() {
            queue.interval_s *= 1.0 - SMOOTHING;
        }
    }

    /// Returns the expected wait of a request that is queued now.
    #[must_use]
    pub fn expected_wait(&self, name: &Name) -> Duration {
        self.queues.get(name).map_or(Duration::ZERO, |queue| {
            Duration::from_secs_f64(queue.interval_s * queue.waiting.len() as f64)
        })
    }

    /// Returns the requests of a queue in order.
    #[must_use]
    pub fn tickets(&self, name: &Name) -> Vec<Ticket> {
        let queue = self.queues.get(name);
        queue.map_or_else(Vec::new, |queue| queue.waiting.iter().copied().collect())
    }

    /// Returns the number of requests in a queue.
    #[must_use]
    pub fn len(&self, name: &Name) -> usize {
        self.queues.get(name).map_or(0, |queue| queue.waiting.len())
    }

    /// Returns the number of requests in all queues.
    #[must_use]
    pub fn total(&self) -> usize {
        self.queues.values().map(|queue| queue.waiting.len()).sum()
    }

    /// Returns whether a queue has no requests.
    #[must_use]
    pub fn is_empty(&self, name: &Name) -> bool {
        self.len(name) == 0
    }
}
