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
    pending: HashMap<Attempt, Pending>,
    started: HashMap<Attempt, Time>,
    run: Duration,
    last_first: Time,
}

#[derive(Debug)]
struct Pending {
    tokens: u32,
    sent: Time,
}

/// Prefill time per token in microseconds that is assumed before the first observation.
const INITIAL_RATE: f64 = 100.0;
/// Run time of a request that is assumed before the first observation.
const INITIAL_RUN: Duration = Duration::from_secs(1);
/// Weight of the newest observation in the exponential moving averages.
const SMOOTHING: f64 = 0.1;
/// Prompts with fewer tokens to prefill are not observed, because fixed overhead dominates their
/// time.
const LEAST_TOKENS: u32 = 256;

impl Default for Estimator {
    fn default() -> Self {
        Self {
            micros_per_token: INITIAL_RATE,
            pending: HashMap::new(),
            started: HashMap::new(),
            run: INITIAL_RUN,
            last_first: Time::default(),
        }
    }
}

impl Estimator {
    /// Records a sent request, with the number of tokens that the engine has to prefill.
    pub fn on_sent(&mut self, attempt: Attempt, tokens: u32, now: Time) {
        self.pending.insert(attempt, Pending { tokens, sent: now });
        self.started.insert(attempt, now);
    }

    /// Records the first token of a response.
    pub fn on_first_token(&mut self, attempt: Attempt, now: Time) {
        let Some(pending) = self.pending.remove(&attempt) else {
            return;
        };
        // The engine started this prompt when it had finished the previous one.
        let since = pending.sent.max(self.last_first);
        self.last_first = now;
        if pending.tokens < LEAST_TOKENS {
            return;
        }
        let observed = now.since(since).as_micros() as f64 / f64::from(pending.tokens);
        self.micros_per_token += SMOOTHING * (observed - self.micros_per_token);
    }

    /// Records the end of a request, whether or not it got a response.
    pub fn on_end(&mut self, attempt: Attempt, now: Time) {
        let answered = self.pending.remove(&attempt).is_none();
        if let Some(started) = self.started.remove(&attempt)
            && answered
        {
            let run = now.since(started);
            self.run = self.run.mul_f64(1.0 - SMOOTHING) + run.mul_f64(SMOOTHING);
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
        let oldest = self.pending.values().map(|p| p.sent).min().unwrap_or(now);
        let done = now.since(oldest.max(self.last_first));
        self.prefill_time(tokens).saturating_sub(done) + self.run * waiting / slots.max(1)
    }

    /// Returns the estimated time to prefill the given number of tokens.
    #[must_use]
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_micros((self.micros_per_token * tokens as f64) as u64)
    }
}
