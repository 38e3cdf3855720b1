//! Estimate of the prefill rate of engines, from the time to first token.

use std::time::Duration;

/// The prefill rate of engines, learned from the time to first token.
///
/// Engines differ between deployments, and nothing reports their speed to an entry. Most requests
/// also queue at their engine, so the estimate follows the faster ones among the long prompts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Tokens per millisecond.
    tokens_per_ms: f64,
    /// Time to first token without any prefill, in ms.
    base_ms: f64,
}

/// The initial rate, in tokens per millisecond; between those of the operators' engines, which
/// prefill 55 and 75.
const DEFAULT_TOKENS_PER_MS: f64 = 60.0;
/// The initial time to first token without any prefill, in ms.
const DEFAULT_BASE_MS: f64 = 50.0;
/// The range of plausible rates, in tokens per millisecond.
const PLAUSIBLE_TOKENS_PER_MS: (f64, f64) = (2.0, 2000.0);
/// Prompts with at most this many tokens to prefill update the base time.
const SHORT_TOKENS: u64 = 300;
/// Prompts with at least this many tokens to prefill update the rate.
const LONG_TOKENS: u64 = 3000;
/// Weights of observations that are faster and slower than the current rate. Together they keep the
/// rate near that of the fastest tenth of the observations.
const RATE_WEIGHTS: (f64, f64) = (0.1, 0.012);
/// The same for the base time, which stays near the minimum.
const BASE_WEIGHTS: (f64, f64) = (0.2, 0.01);

impl Default for Rate {
    fn default() -> Self {
        Self {
            tokens_per_ms: DEFAULT_TOKENS_PER_MS,
            base_ms: DEFAULT_BASE_MS,
        }
    }
}

impl Rate {
    /// Records the time to first token of a prompt with `tokens` tokens to prefill.
    pub fn observe(&mut self, tokens: u64, took: Duration) {
        let took_ms = took.as_secs_f64() * 1000.0;
        if tokens <= SHORT_TOKENS {
            let weight = match took_ms < self.base_ms {
                true => BASE_WEIGHTS.0,
                false => BASE_WEIGHTS.1,
            };
            self.base_ms += weight * (took_ms - self.base_ms);
            return;
        }
        if tokens < LONG_TOKENS {
            return;
        }
        let prefill_ms = (took_ms - self.base_ms).max(1.0);
        let rate = (tokens as f64 / prefill_ms)
            .clamp(PLAUSIBLE_TOKENS_PER_MS.0, PLAUSIBLE_TOKENS_PER_MS.1);
        let weight = match rate > self.tokens_per_ms {
            true => RATE_WEIGHTS.0,
            false => RATE_WEIGHTS.1,
        };
        self.tokens_per_ms += weight * (rate - self.tokens_per_ms);
    }

    /// Returns the time to prefill a number of tokens.
    #[must_use]
    pub fn duration(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.tokens_per_ms / 1000.0)
    }

    /// Returns the rate in tokens per millisecond.
    #[must_use]
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }
}
