use std::time::Duration;

use types::Time;

/// The load of a target as reported by its agent. It becomes stale, because only responses carry
/// it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    /// The expected wait of a long prompt.
    pub wait: Duration,
    /// The number of prompts that the target prefills in turn (round robin).
    pub prefilling: u32,
    /// The time at which the load was received.
    pub received_at: Time,
}

/// The components of the expected time to first token.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Estimate {
    /// The time spent waiting for a slot at the target.
    pub queue: Duration,
    /// The time to fetch cached KV blocks over the bandwidth-limited link.
    pub fetch: Duration,
    /// The time to recompute the context that is not fetched.
    pub recompute: Duration,
}

impl Load {
    /// Returns the expected wait of a prompt whose own prefill takes `own`.
    ///
    /// An engine that prefills in turn lets each other prompt advance by at most the length of this
    /// one, so a short prompt does not wait for the whole prefill of a long one.
    #[must_use]
    pub fn expected_wait(&self, own: Duration) -> Duration {
        self.wait.min(own.saturating_mul(self.prefilling))
    }
}

impl Estimate {
    /// Returns the expected time to first token; fetching overlaps with waiting for a slot.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.queue.max(self.fetch) + self.recompute
    }
}

/// A candidate and the condition under which the next one is preferred. Candidates are tried in the
/// order of the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ranked {
    /// The index into the list of estimates.
    pub index: usize,
    /// The wait above which the next candidate is expected to be faster. The target's agent knows
    /// the actual wait and redirects the request if it is longer.
    pub max_wait: Duration,
}

/// The excess of the wait over the estimate of the next candidate above which a request is
/// redirected. It pays for the round trip; margins of 5 and 50 ms give the same figures, see
/// `docs/routing.md`.
pub const REDIRECT_MARGIN: Duration = Duration::from_millis(20);
/// The maximum number of redirects of a request; after that it stays where it is.
pub const MAX_REDIRECTS: u32 = 2;

/// Returns the assumed prefill time of a number of tokens. Only the order of the candidates depends
/// on it, so 100 µs per token serves for every model.
#[must_use]
pub fn prefill_time(tokens: u32) -> Duration {
    Duration::from_micros(100) * tokens
}

/// Orders candidates by increasing estimate.
///
/// The sort is stable and the candidates come in rendezvous-hash order, so that a conversation
/// returns to the same target while the estimates are equal.
#[must_use]
pub fn rank(estimates: &[Estimate], margin: Duration) -> Vec<Ranked> {
    let mut order: Vec<usize> = (0..estimates.len()).collect();
    order.sort_by_key(|&index| estimates[index].total());
    let next = order
        .iter()
        .skip(1)
        .map(|&index| Some(estimates[index].total()));
    order
        .iter()
        .zip(next.chain([None]))
        .map(|(&index, next)| Ranked {
            index,
            max_wait: next.map_or(Duration::MAX, |wait| wait.saturating_add(margin)),
        })
        .collect()
}
