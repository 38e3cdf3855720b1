//! Whether a request can still begin in time at a target that no dispatcher assigned.
//!
//! Load pattern: all entries start at the same time after a loss of power, and the callers that
//! waited return at once. Until there is a dispatcher, each entry chooses targets itself and knows
//! little of what the others send. In half a second they gave the engines prompts for a whole one;
//! every later request waited behind these, long after the entries were back.

use std::time::Duration;

use crate::queue;

/// The time limit of a request that has not been sent to any target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// How long the request has waited so far.
    pub waited: Duration,
    /// Its objective for the first token.
    pub objective: Duration,
}

impl Limit {
    /// Returns whether a request that waits at a target for this backlog would begin no later than
    /// one that waits for a dispatcher. A target without a backlog begins at once, so it is always
    /// in time.
    #[must_use]
    pub fn allows(self, backlog: Duration) -> bool {
        backlog.is_zero() || self.waited + backlog <= queue::max_wait(self.objective)
    }
}

/// Returns the prompt tokens that a target probably has to prefill, of which this entry sent `own`.
/// `known` includes what the other entries reported, and may be hundreds of milliseconds old. Other
/// entries without a dispatcher choose as this one does, and so have sent about as much.
#[must_use]
pub fn prefill_tokens(own: u64, known: u64, entries: usize) -> u64 {
    let entries = u64::try_from(entries).unwrap_or(u64::MAX);
    known.max(own.saturating_mul(entries))
}
