use std::collections::HashMap;

use types::{Attempt, Team, Time};

/// A request submitted for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The attempt to send.
    pub attempt: Attempt,
    /// The team that issued the request.
    pub team: Team,
    /// The fair-queueing weight of the team.
    pub share: u32,
    /// The cost of the request: tokens to prefill, or another unit chosen by the caller.
    pub work: u32,
    /// The shedding priority; requests with lower values are shed first.
    pub priority: u8,
    /// The deadline of the caller.
    pub deadline: Time,
}

/// The requests queued for a slot, ordered by weighted fair queueing across teams.
///
/// Each request gets a virtual finish time: its cost divided by the team's share, added to the
/// team's previous finish time. The earliest finish time is served first, so a short prompt
/// overtakes a long one of another team. A team that was idle starts at the current virtual time,
/// so it cannot accumulate credit.
#[derive(Debug)]
pub(crate) struct Queue {
    waiting: Vec<Waiting>,
    last: HashMap<Team, u64>,
    present: u64,
    arrivals: u64,
    limit: usize,
}

#[derive(Debug)]
struct Waiting {
    start: u64,
    tag: u64,
    arrival: u64,
    ask: Job,
}

/// Virtual time of one unit of cost for a team of share 1; shares go up to 1,000.
const UNIT: u64 = 1_000;

impl Queue {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            waiting: Vec::new(),
            last: HashMap::new(),
            present: 0,
            arrivals: 0,
            limit,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request. Returns the request that is shed if the queue is over its limit: among those
    /// of the lowest priority, the one that would be served last.
    pub(crate) fn push(&mut self, ask: Job) -> Option<Job> {
        let start = self
            .present
            .max(self.last.get(&ask.team).copied().unwrap_or(0));
        let tag = start + UNIT * u64::from(ask.work.max(1)) / u64::from(ask.share.max(1));
        self.last.insert(ask.team.clone(), tag);
        self.arrivals += 1;
        self.waiting.push(Waiting {
            start,
            tag,
            arrival: self.arrivals,
            ask,
        });
        if self.waiting.len() <= self.limit {
            return None;
        }
        let shed = (0..self.waiting.len()).max_by_key(|&index| {
            let waiting = &self.waiting[index];
            let priority = std::cmp::Reverse(waiting.ask.priority);
            (priority, waiting.tag, waiting.arrival)
        })?;
        Some(self.waiting.swap_remove(shed).ask)
    }

    /// Removes the request to serve next.
    pub(crate) fn pop(&mut self) -> Option<Job> {
        let next = (0..self.waiting.len())
            .min_by_key(|&index| (self.waiting[index].tag, self.waiting[index].arrival))?;
        let next = self.waiting.swap_remove(next);
        self.present = self.present.max(next.start);
        if self.waiting.is_empty() {
            // Virtual times only order requests that are queued together, so the state of idle
            // teams can be dropped.
            self.last.clear();
        }
        Some(next.ask)
    }

    /// Removes a request whose deadline has passed.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<Job> {
        let expired = self.waiting.iter().position(|w| w.ask.deadline <= now)?;
        Some(self.waiting.swap_remove(expired).ask)
    }

    /// Removes a request; returns whether it was queued.
    pub(crate) fn remove(&mut self, attempt: Attempt) -> bool {
        let found = self.waiting.iter().position(|w| w.ask.attempt == attempt);
        found.map(|index| self.waiting.swap_remove(index)).is_some()
    }
}
