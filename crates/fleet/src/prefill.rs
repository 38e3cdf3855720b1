//! Estimate of the prefill rate of engines, from the time to first token.

use std::time::Duration;

/// The prefill rate of engines, learned from the time to first token.
///
/// Engines differ between deployments, and nothing reports their speed to an entry. Most requests
/// also queue at their engine, so the estimate follows the faster ones among the long prompts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Tokens per millisecond.
    rate: f64,
    /// Time to first token without any prefill, in ms.
    base: f64,
}

/// The initial rate, in tokens per millisecond; between those of the operators' engines, which
/// prefill 55 and 75.
const USUAL: f64 = 60.0;
/// The initial time to first token without any prefill, in ms.
const USUAL_BASE: f64 = 50.0;
/// The range of plausible rates, in tokens per millisecond.
const BELIEVED: (f64, f64) = (2.0, 2000.0);
/// Prompts with at most this many tokens to prefill update the base time.
const SHORT: u64 = 300;
/// Prompts with at least this many tokens to prefill update the rate.
const LONG: u64 = 3000;
/// Weights of observations that are faster and slower than the current rate. Together they keep the
/// rate near that of the fastest tenth of the observations.
const WEIGHTS: (f64, f64) = (0.1, 0.012);
/// The same for the base time, which stays near the minimum.
const BASE_WEIGHTS: (f64, f64) = (0.2, 0.01);

impl Default for Rate {
    fn default() -> Self {
        Self {
            rate: USUAL,
            base: USUAL_BASE,
        }
    }
}

impl Rate {
    /// Records the time to first token of a prompt with `tokens` tokens to prefill.
    pub fn observe(&mut self, tokens: u64, took: Duration) {
        let took = took.as_secs_f64() * 1000.0;
        if tokens <= SHORT {
            let weight = match took < self.base {
                true => BASE_WEIGHTS.0,
                false => BASE_WEIGHTS.1,
            };
            self.base += weight * (took - self.base);
            return;
        }
        if tokens < LONG {
            return;
        }
        let reading = (took - self.base).max(1.0);
        let rate = (tokens as f64 / reading).clamp(BELIEVED.0, BELIEVED.1);
        let weight = match rate > self.rate {
            true => WEIGHTS.0,
            false => WEIGHTS.1,
        };
        self.rate += weight * (rate - self.rate);
    }

    /// Returns the time to prefill a number of tokens.
    #[must_use]
    pub fn duration(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.rate / 1000.0)
    }

    /// Returns the rate in tokens per millisecond.
    #[must_use]
    pub fn tokens_per_ms(&self) -> f64 {
        self.rate
    }
}
