use std::collections::{BTreeMap, VecDeque};

use types::Attempt;

use crate::{Outcome, Status};

/// The states of an agent's own claimed attempts.
///
/// Both the decision to send an attempt and the promise never to send it are made here, so they
/// cannot contradict each other. An attempt that has been evicted is not sent, and its status is
/// reported as unknown.
#[derive(Debug)]
pub struct Attempts {
    attempts: BTreeMap<Attempt, Progress>,
    order: VecDeque<Attempt>,
    limit: usize,
}

#[derive(Debug)]
enum Progress {
    Pending,
    Sent,
    /// Sent, and the outcome will not become known.
    OutcomeUnknown,
    Done(Outcome),
    NeverSent,
}

impl Attempts {
    /// Creates an empty table that remembers at most `limit` attempts.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            attempts: BTreeMap::new(),
            order: VecDeque::new(),
            limit,
        }
    }

    /// Records a new attempt; must be called before its claim is written. Evicts the oldest attempt
    /// when the table is full.
    pub fn register(&mut self, attempt: Attempt) {
        if self.order.len() >= self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.attempts.remove(&oldest);
        }
        self.attempts.insert(attempt, Progress::Pending);
        self.order.push_back(attempt);
    }

    /// Returns whether the attempt may be sent now, and marks it as sent if so; returns `true` at
    /// most once per attempt.
    pub fn try_mark_sent(&mut self, attempt: Attempt) -> bool {
        match self.attempts.get_mut(&attempt) {
            Some(progress @ Progress::Pending) => {
                *progress = Progress::Sent;
                true
            }
            _ => false,
        }
    }

    /// Marks an attempt that has not been sent as one that never will be.
    pub fn mark_never_sent(&mut self, attempt: Attempt) {
        if let Some(progress @ Progress::Pending) = self.attempts.get_mut(&attempt) {
            *progress = Progress::NeverSent;
        }
    }

    /// Records that an attempt marked as sent certainly did not reach the target.
    pub fn mark_undelivered(&mut self, attempt: Attempt) {
        if let Some(progress @ Progress::Sent) = self.attempts.get_mut(&attempt) {
            *progress = Progress::NeverSent;
        }
    }

    /// Records that the outcome of a sent attempt will not become known.
    pub fn mark_outcome_unknown(&mut self, attempt: Attempt) {
        if let Some(progress @ Progress::Sent) = self.attempts.get_mut(&attempt) {
            *progress = Progress::OutcomeUnknown;
        }
    }

    /// Records the outcome of a sent attempt.
    pub fn record_outcome(&mut self, attempt: Attempt, outcome: Outcome) {
        if let Some(progress @ Progress::Sent) = self.attempts.get_mut(&attempt) {
            *progress = Progress::Done(outcome);
        }
    }

    /// Removes an attempt whose outcome has been stored in its row.
    pub fn remove(&mut self, attempt: Attempt) {
        if self.attempts.remove(&attempt).is_some() {
            self.order.retain(|&other| other != attempt);
        }
    }

    /// Returns whether the result of [`Attempts::resolve`] may still improve by waiting.
    #[must_use]
    pub fn is_pending(&self, attempt: Attempt) -> bool {
        matches!(
            self.attempts.get(&attempt),
            Some(Progress::Pending | Progress::Sent)
        )
    }

    /// Returns the status to report to another agent. An attempt that has not been sent by now
    /// never will be.
    pub fn resolve(&mut self, attempt: Attempt) -> Status {
        self.mark_never_sent(attempt);
        match self.attempts.get(&attempt) {
            Some(Progress::NeverSent) => Status::NeverSent,
            Some(Progress::Done(outcome)) => Status::Done(outcome.clone()),
            Some(Progress::Pending | Progress::Sent | Progress::OutcomeUnknown) => Status::Sent,
            None => Status::Unknown,
        }
    }
}
