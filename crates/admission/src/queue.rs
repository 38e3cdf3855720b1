use std::collections::HashMap;

use types::{Attempt, Team, Time};

/// A request that asks for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The attempt that would be sent.
    pub attempt: Attempt,
    /// Whose request it is.
    pub team: Team,
    /// The weight of the team.
    pub share: u32,
    /// What the target has to do for it, in tokens to compute or another unit of the caller.
    pub work: u32,
    /// The greater, the later it is shed.
    pub priority: u8,
    /// When the caller gives up.
    pub deadline: Time,
}

/// The requests that wait for a slot, ordered fairly by team.
///
/// Weighted fair queueing: each request gets a tag that lies its work, divided by the team's share,
/// behind the team's last one, and the least tag goes first. A short prompt so passes a long one
/// of another team. A team that was idle starts at the present tag, so that it cannot save up a
/// claim on the target.
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

/// The tag of one unit of work for a team of share 1; shares go up to 1,000.
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

    /// Adds a request; returns the one that is shed when too many wait: of the lowest priority,
    /// the one that would have been served last.
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

    /// Takes the request that is served next.
    pub(crate) fn pop(&mut self) -> Option<Job> {
        let next = (0..self.waiting.len())
            .min_by_key(|&index| (self.waiting[index].tag, self.waiting[index].arrival))?;
        let next = self.waiting.swap_remove(next);
        self.present = self.present.max(next.start);
        if self.waiting.is_empty() {
            // Tags only order requests that wait together, so the memory of idle teams can go.
            self.last.clear();
        }
        Some(next.ask)
    }

    /// Takes a request whose caller has given up.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<Job> {
        let expired = self.waiting.iter().position(|w| w.ask.deadline <= now)?;
        Some(self.waiting.swap_remove(expired).ask)
    }

    /// Takes a request out, if it waits.
    pub(crate) fn remove(&mut self, attempt: Attempt) -> bool {
        let found = self.waiting.iter().position(|w| w.ask.attempt == attempt);
        found.map(|index| self.waiting.swap_remove(index)).is_some()
    }
}
