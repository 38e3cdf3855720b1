use std::collections::{BTreeMap, VecDeque};

use types::Attempt;

use crate::{Outcome, Status};

/// What an agent remembers of its own claimed attempts.
///
/// It is the one place that decides whether an attempt may be sent, so that a promise never to
/// send it and the decision to send it cannot both be given. Attempts that it no longer
/// remembers are not sent, and nothing is promised of them.
#[derive(Debug)]
pub struct Attempts {
    attempts: BTreeMap<Attempt, Known>,
    order: VecDeque<Attempt>,
    limit: usize,
}

#[derive(Debug)]
enum Known {
    Open,
    Sent,
    /// Sent, and its outcome will not be known.
    Lost,
    Done(Outcome),
    Never,
}

impl Attempts {
    /// Starts empty; `limit` bounds the number of attempts that are remembered.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            attempts: BTreeMap::new(),
            order: VecDeque::new(),
            limit,
        }
    }

    /// Records an attempt before its claim is written.
    pub fn register(&mut self, attempt: Attempt) {
        if self.order.len() >= self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.attempts.remove(&oldest);
        }
        self.attempts.insert(attempt, Known::Open);
        self.order.push_back(attempt);
    }

    /// Decides whether the attempt may be sent now; says yes at most once for each attempt.
    pub fn try_mark_sent(&mut self, attempt: Attempt) -> bool {
        match self.attempts.get_mut(&attempt) {
            Some(known @ Known::Open) => {
                *known = Known::Sent;
                true
            }
            _ => false,
        }
    }

    /// Records that an attempt that was not sent never will be.
    pub fn mark_never_sent(&mut self, attempt: Attempt) {
        if let Some(known @ Known::Open) = self.attempts.get_mut(&attempt) {
            *known = Known::Never;
        }
    }

    /// Records that a permitted attempt certainly did not reach the target.
    pub fn mark_undelivered(&mut self, attempt: Attempt) {
        if let Some(known @ Known::Sent) = self.attempts.get_mut(&attempt) {
            *known = Known::Never;
        }
    }

    /// Records that the outcome of a permitted attempt will not be known.
    pub fn mark_outcome_unknown(&mut self, attempt: Attempt) {
        if let Some(known @ Known::Sent) = self.attempts.get_mut(&attempt) {
            *known = Known::Lost;
        }
    }

    /// Records the answer to an attempt.
    pub fn record_outcome(&mut self, attempt: Attempt, outcome: Outcome) {
        if let Some(known @ Known::Sent) = self.attempts.get_mut(&attempt) {
            *known = Known::Done(outcome);
        }
    }

    /// Forgets an attempt whose outcome is in its row.
    pub fn remove(&mut self, attempt: Attempt) {
        if self.attempts.remove(&attempt).is_some() {
            self.order.retain(|&kept| kept != attempt);
        }
    }

    /// Says whether waiting would let [`Attempts::resolve`] say more.
    #[must_use]
    pub fn is_pending(&self, attempt: Attempt) -> bool {
        matches!(self.attempts.get(&attempt), Some(Known::Open | Known::Sent))
    }

    /// Answers another agent; an attempt that is not sent yet never will be.
    pub fn resolve(&mut self, attempt: Attempt) -> Status {
        self.mark_never_sent(attempt);
        match self.attempts.get(&attempt) {
            Some(Known::Never) => Status::NeverSent,
            Some(Known::Done(outcome)) => Status::Done(outcome.clone()),
            Some(Known::Open | Known::Sent | Known::Lost) => Status::Sent,
            None => Status::Unknown,
        }
    }
}
