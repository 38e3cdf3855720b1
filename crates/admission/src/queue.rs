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
    queued: Vec<Queued>,
    last_finish: HashMap<Team, u64>,
    virtual_time: u64,
    arrivals: u64,
    limit: usize,
}

#[derive(Debug)]
struct Queued {
    start: u64,
    finish: u64,
    arrival: u64,
    job: Job,
}

/// Virtual time of one unit of cost for a team of share 1; shares go up to 1,000.
const VIRTUAL_TIME_PER_COST: u64 = 1_000;

impl Queue {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            queued: Vec::new(),
            last_finish: HashMap::new(),
            virtual_time: 0,
            arrivals: 0,
            limit,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.queued.len()
    }

    /// Adds a request. Returns the request that is shed if the queue is over its limit: among those
    /// of the lowest priority, the one that would be served last.
    pub(crate) fn push(&mut self, job: Job) -> Option<Job> {
        let start = self
            .virtual_time
            .max(self.last_finish.get(&job.team).copied().unwrap_or(0));
        let finish = start
            + VIRTUAL_TIME_PER_COST * u64::from(job.work.max(1)) / u64::from(job.share.max(1));
        self.last_finish.insert(job.team.clone(), finish);
        self.arrivals += 1;
        self.queued.push(Queued {
            start,
            finish,
            arrival: self.arrivals,
            job,
        });
        if self.queued.len() <= self.limit {
            return None;
        }
        let shed = (0..self.queued.len()).max_by_key(|&index| {
            let queued = &self.queued[index];
            let priority = std::cmp::Reverse(queued.job.priority);
            (priority, queued.finish, queued.arrival)
        })?;
        Some(self.queued.swap_remove(shed).job)
    }

    /// Removes the request to serve next.
    pub(crate) fn pop(&mut self) -> Option<Job> {
        let next = (0..self.queued.len())
            .min_by_key(|&index| (self.queued[index].finish, self.queued[index].arrival))?;
        let next = self.queued.swap_remove(next);
        self.virtual_time = self.virtual_time.max(next.start);
        if self.queued.is_empty() {
            // Virtual times only order requests that are queued together, so the state of idle
            // teams can be dropped.
            self.last_finish.clear();
        }
        Some(next.job)
    }

    /// Removes a request whose deadline has passed.
    pub(crate) fn pop_expired(&mut self, now: Time) -> Option<Job> {
        let expired = self
            .queued
            .iter()
            .position(|queued| queued.job.deadline <= now)?;
        Some(self.queued.swap_remove(expired).job)
    }

    /// Removes a request; returns whether it was queued.
    pub(crate) fn remove(&mut self, attempt: Attempt) -> bool {
        let found = self
            .queued
            .iter()
            .position(|queued| queued.job.attempt == attempt);
        found.map(|index| self.queued.swap_remove(index)).is_some()
    }
}
