//! How fast engines read prompts, as seen from their answers.

use std::time::Duration;

/// The rate at which engines read prompts, learned from first events.
///
/// Engines differ by deployment, and nothing tells an entry how fast they are. Most requests wait at
/// their engine for others, so the rate is that of the faster ones among the long prompts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Tokens in a millisecond.
    rate: f64,
    /// The time until the first event without reading, in ms.
    base: f64,
}

/// The rate before the first long prompts, in tokens in a millisecond; between those of the operators'
/// engines, which read 55 and 75.
const USUAL: f64 = 60.0;
/// The time without reading before the first short prompts, in ms.
const USUAL_BASE: f64 = 50.0;
/// The rates that are believed, in tokens in a millisecond.
const BELIEVED: (f64, f64) = (2.0, 2000.0);
/// Prompts with fewer tokens to read tell the time without reading.
const SHORT: u64 = 300;
/// Prompts with more tokens to read tell the rate.
const LONG: u64 = 3000;
/// The weight of an observation that is faster than the rate, and that of a slower one: together they
/// keep the rate near the faster tenth.
const WEIGHTS: (f64, f64) = (0.1, 0.012);
/// The same for the time without reading, which stays near the shortest.
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
    /// Records when the first event of a prompt came, of which `tokens` had to be read.
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

    /// Returns how long it takes to read a number of tokens.
    #[must_use]
    pub fn duration(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.rate / 1000.0)
    }

    /// Returns the rate in tokens in a millisecond.
    #[must_use]
    pub fn tokens_per_ms(&self) -> f64 {
        self.rate
    }
}
