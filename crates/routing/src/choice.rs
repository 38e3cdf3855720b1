use std::time::Duration;

use types::Time;

/// What an entry last heard of a target's load; it ages, since answers carry it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    /// Requests that run or wait at the target.
    pub in_flight: u32,
    /// Requests that the target may run now.
    pub limit: u32,
    /// How long the target's agent expects a new request to wait.
    pub wait: Duration,
    /// Prompts that the target computes in turn.
    pub computing: u32,
    /// When this was heard.
    pub heard: Time,
}

/// The parts of the expected time to first token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Estimate {
    /// Waiting for a slot at the target.
    pub queue: Duration,
    /// Fetching kept context over the limited link.
    pub fetch: Duration,
    /// Recomputing the context that is not fetched.
    pub recompute: Duration,
}

impl Estimate {
    /// Returns the expected time to first token; fetching overlaps with queueing.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.queue.max(self.fetch) + self.recompute
    }
}

/// Returns the index of the candidate with the least estimate; the earlier one wins a tie, since
/// candidates come in the order of the rendezvous hash.
#[must_use]
pub fn choose(estimates: &[Estimate]) -> Option<usize> {
    (0..estimates.len()).min_by_key(|&index| estimates[index].total())
}
