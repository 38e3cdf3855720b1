//! Memory of engines that is kept free for requests that cannot wait.
//!
//! Load pattern: short prompts with a tight latency objective arrive in a burst. Long prompts, which
//! may wait several times as long, have just taken what memory was free, and the short ones are
//! refused before any of it is released.

use std::time::Duration;

use types::Time;

/// The memory that patient requests leave free on each target of a cell.
#[derive(Debug, Clone, Copy, Default)]
pub struct Reserve {
    /// The fraction of a target's memory, as of `updated`.
    fraction: f64,
    updated: Time,
    /// The requests for which it is kept; `None` before the first shortage.
    holder: Option<Holder>,
}

/// The kind of requests for which memory is kept.
#[derive(Debug, Clone, Copy)]
struct Holder {
    rank: u8,
    patience: Duration,
    /// The largest memory demand of one of them, in tokens.
    kv_tokens: u64,
    /// When one of them last found no memory.
    short_at: Time,
}

/// Upper limit of the reserve, as a fraction of a target's memory.
const MAX_FRACTION: f64 = 0.3;
/// Growth of the reserve per second of shortage.
const GROWTH_PER_S: f64 = 1.0;
/// Decline of the reserve per second without a shortage.
const DECLINE_PER_S: f64 = 0.15;
/// The longest time between two observations that counts as one shortage.
const MAX_STEP: Duration = Duration::from_millis(50);
/// How long after its last shortage a kind of requests holds the reserve.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(2);
/// A request that may wait this many times as long as another one is patient compared to it.
const PATIENCE: u32 = 2;
/// A request that needs this many times the memory of another one is large compared to it.
const LARGENESS: u64 = 2;

impl Reserve {
    /// Records that no target has memory for a queued request with this rank, of a kind that may
    /// wait for `patience` in all, which needs `kv_tokens`.
    pub fn on_shortage(&mut self, rank: u8, patience: Duration, kv_tokens: u64, now: Time) {
        let takes_over = self.holder.is_none_or(|holder| {
            now.since(holder.short_at) >= HOLDER_TIMEOUT || holder.patience >= patience * PATIENCE
        });
        if takes_over {
            *self = Self {
                fraction: 0.0,
                updated: now,
                holder: Some(Holder {
                    rank,
                    patience,
                    kv_tokens,
                    short_at: now,
                }),
            };
            return;
        }
        let Some(holder) = &mut self.holder else {
            return;
        };
        if patience >= holder.patience * PATIENCE {
            return;
        }
        holder.kv_tokens = holder.kv_tokens.max(kv_tokens);
        let elapsed = now.since(self.updated);
        let growth = match now.since(holder.short_at) <= MAX_STEP {
            true => elapsed.min(MAX_STEP).as_secs_f64() * GROWTH_PER_S,
            false => -elapsed.as_secs_f64() * DECLINE_PER_S,
        };
        holder.short_at = now;
        self.fraction = (self.fraction + growth).clamp(0.0, MAX_FRACTION);
        self.updated = now;
    }

    /// Returns the fraction of a target's memory that a request has to leave free; its arguments are
    /// those of [`Self::on_shortage`].
    ///
    /// Only large requests leave memory to others: holding small ones back frees little of it.
    #[must_use]
    pub fn fraction(&self, rank: u8, patience: Duration, kv_tokens: u64, now: Time) -> f64 {
        let Some(holder) = self.holder else {
            return 0.0;
        };
        let is_patient = patience >= holder.patience * PATIENCE;
        let is_large = kv_tokens >= holder.kv_tokens.saturating_mul(LARGENESS);
        if rank < holder.rank || !is_patient || !is_large {
            return 0.0;
        }
        self.current(now)
    }

    /// Returns the fraction of a target's memory that is kept free now.
    #[must_use]
    pub fn current(&self, now: Time) -> f64 {
        let idle = now.since(self.updated).saturating_sub(MAX_STEP);
        (self.fraction - idle.as_secs_f64() * DECLINE_PER_S).max(0.0)
    }
}
