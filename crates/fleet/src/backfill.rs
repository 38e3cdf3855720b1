//! Backfill: places small requests while a large one waits for memory.
//!
//! Load pattern: engines are lost under a burst of long prompts. The first requests of the queue
//! need more memory than any engine has left, and short prompts behind them, for which there is
//! room, wait until they are refused.

use types::Target;

use crate::dispatcher::Offer;

/// Why no target can take a request now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Shortage {
    /// No target is eligible for this request; others may have some.
    Targets,
    /// All targets are busy with prefills, or have no slot.
    Prefill,
    /// The request has to leave the free memory to requests that cannot wait.
    Reserve,
    /// No target that could begin its prefill has enough memory. The named target has most.
    Memory(Target),
}

/// The requests of a queue that wait for memory, found by trying the queue in order.
#[derive(Debug, Clone, Default)]
pub struct Blocked {
    /// The smallest memory demand for which no target had room, in tokens.
    smallest: Option<u64>,
    /// The target that is drained for the first of these requests.
    drained: Option<Target>,
}

impl Blocked {
    /// Records a request for which no target has enough memory; `roomiest` has most.
    ///
    /// That target takes no smaller requests from behind the first blocked one. Its load falls until
    /// the request fits, so that a stream of small requests does not starve a large one.
    pub fn on_memory_shortage(&mut self, kv_tokens: u64, roomiest: Target) {
        self.smallest = Some(
            self.smallest
                .map_or(kv_tokens, |least| least.min(kv_tokens)),
        );
        self.drained.get_or_insert(roomiest);
    }

    /// Whether a request with this memory demand is blocked, so that trying it is useless.
    #[must_use]
    pub fn blocks(&self, kv_tokens: u64) -> bool {
        self.smallest.is_some_and(|least| kv_tokens >= least)
    }

    /// Returns the target that requests behind the blocked ones must not take.
    #[must_use]
    pub fn drained(&self) -> Option<&Target> {
        self.drained.as_ref()
    }
}

/// Returns the target with the largest part of its memory free.
pub(crate) fn roomiest(offers: &[Offer]) -> Option<Target> {
    let filled = |offer: &Offer| {
        let candidate = &offer.candidate;
        candidate.load.kv_tokens as f64 / candidate.kv_capacity.max(1) as f64
    };
    let least = offers
        .iter()
        .min_by(|one, other| filled(one).total_cmp(&filled(other)));
    least.map(|offer| offer.target.clone())
}
