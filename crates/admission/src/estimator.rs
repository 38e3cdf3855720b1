use std::collections::HashMap;
use std::time::Duration;

use types::{Attempt, Time};

/// Estimates the queueing delay of a new request at an engine from the requests sent and the
/// responses received.
///
/// An engine prefills prompts one after another, so the delay is the prefill time of the prompts
/// that have no first token yet. The prefill rate is learned from observations, because it differs
/// by model and accelerator.
#[derive(Debug)]
pub struct Estimator {
    micros_per_token: f64,
    pending: HashMap<Attempt, Prefill>,
    sent: HashMap<Attempt, Time>,
    mean_run_time: Duration,
    last_first_token: Time,
}

#[derive(Debug)]
struct Prefill {
    tokens: u32,
    sent_at: Time,
}

/// Prefill time per token in microseconds that is assumed before the first observation.
const INITIAL_MICROS_PER_TOKEN: f64 = 100.0;
/// Run time of a request that is assumed before the first observation.
const INITIAL_RUN_TIME: Duration = Duration::from_secs(1);
/// Weight of the newest observation in the exponential moving averages.
const SMOOTHING: f64 = 0.1;
/// Prompts with fewer tokens to prefill do not update the estimate, because fixed overhead
/// dominates their time.
const MIN_TOKENS: u32 = 256;

impl Default for Estimator {
    fn default() -> Self {
        Self {
            micros_per_token: INITIAL_MICROS_PER_TOKEN,
            pending: HashMap::new(),
            sent: HashMap::new(),
            mean_run_time: INITIAL_RUN_TIME,
            last_first_token: Time::default(),
        }
    }
}

impl Estimator {
    /// Records a sent request, with the number of tokens that the engine has to prefill.
    pub fn on_sent(&mut self, attempt: Attempt, tokens: u32, now: Time) {
        self.pending.insert(
            attempt,
            Prefill {
                tokens,
                sent_at: now,
            },
        );
        self.sent.insert(attempt, now);
    }

    /// Records the first token of a response.
    pub fn on_first_token(&mut self, attempt: Attempt, now: Time) {
        let Some(pending) = self.pending.remove(&attempt) else {
            return;
        };
        // The engine started this prompt when it had finished the previous one.
        let prefill_start = pending.sent_at.max(self.last_first_token);
        self.last_first_token = now;
        if pending.tokens < MIN_TOKENS {
            return;
        }
        let observed = now.since(prefill_start).as_micros() as f64 / f64::from(pending.tokens);
        self.micros_per_token += SMOOTHING * (observed - self.micros_per_token);
    }

    /// Records the end of a request, whether or not it got a response.
    pub fn on_end(&mut self, attempt: Attempt, now: Time) {
        let answered = self.pending.remove(&attempt).is_none();
        if let Some(sent) = self.sent.remove(&attempt)
            && answered
        {
            let run_time = now.since(sent);
            self.mean_run_time =
                self.mean_run_time.mul_f64(1.0 - SMOOTHING) + run_time.mul_f64(SMOOTHING);
        }
    }

    /// Returns the number of prompts that have no first token yet.
    #[must_use]
    pub fn prefilling(&self) -> u32 {
        self.pending.len() as u32
    }

    /// Returns the expected wait of a new request when `waiting` requests are ahead of it for one
    /// of `slots` slots.
    #[must_use]
    pub fn expected_wait(&self, now: Time, waiting: u32, slots: u32) -> Duration {
        let tokens: u64 = self.pending.values().map(|p| u64::from(p.tokens)).sum();
        let oldest = self
            .pending
            .values()
            .map(|p| p.sent_at)
            .min()
            .unwrap_or(now);
        let elapsed = now.since(oldest.max(self.last_first_token));
        self.prefill_time(tokens).saturating_sub(elapsed)
            + self.mean_run_time * waiting / slots.max(1)
    }

    /// Returns the estimated time to prefill the given number of tokens.
    #[must_use]
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_micros((self.micros_per_token * tokens as f64) as u64)
    }
}
