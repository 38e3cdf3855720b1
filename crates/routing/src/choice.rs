use std::time::Duration;

use types::Time;

/// What an agent says of its target's load; it ages, since only answers carry it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    /// How long a long prompt would wait.
    pub wait: Duration,
    /// Prompts that the target computes in turn.
    pub prefilling: u32,
    /// When this was heard.
    pub received_at: Time,
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

impl Load {
    /// Returns the wait of a prompt that takes the time `own` to compute.
    ///
    /// An engine that computes in turn lets each other prompt go ahead by no more than the length
    /// of this one, so a short prompt does not wait for the whole of a long one.
    #[must_use]
    pub fn expected_wait(&self, own: Duration) -> Duration {
        self.wait.min(own.saturating_mul(self.prefilling))
    }
}

impl Estimate {
    /// Returns the expected time to first token; fetching overlaps with queueing.
    #[must_use]
    pub fn total(&self) -> Duration {
        self.queue.max(self.fetch) + self.recompute
    }
}

/// A candidate in the order in which it is to be tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ranked {
    /// The position among the candidates.
    pub index: usize,
    /// The wait above which the next candidate is expected to be faster; the target's agent, which
    /// knows the wait, sends the request back then.
    pub max_wait: Duration,
}

/// How much longer than at the next candidate a wait may be before a request is sent back. It pays
/// for the round trip; margins of 5 and 50 ms give the same figures, see `docs/routing.md`.
pub const REDIRECT_MARGIN: Duration = Duration::from_millis(20);
/// How often a request is sent back; after that it stays where it is.
pub const MAX_REDIRECTS: u32 = 2;

/// Returns the time that tokens of a prompt are assumed to take; only the order of the candidates
/// depends on it, so 100 µs a token serves for every model.
#[must_use]
pub fn prefill_time(tokens: u32) -> Duration {
    Duration::from_micros(100) * tokens
}

/// Orders candidates by their estimates, the least first.
///
/// The sort is stable and candidates come in the order of the rendezvous hash, so that a
/// conversation returns to the same target while the estimates are equal.
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
