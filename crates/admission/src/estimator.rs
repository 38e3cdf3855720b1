use std::collections::HashMap;
use std::time::Duration;

use types::{Attempt, Time};

/// Estimates how long a new request waits at an engine, from what the agent sent and what came
/// back.
///
/// An engine computes prompts one after another, so the wait is the work of the prompts that have
/// no first token yet. The rate is learned from the engine itself, since it differs by model and
/// by accelerator.
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

/// The rate that is assumed before the first answer: 100 µs a token.
const INITIAL_RATE: f64 = 100.0;
/// The time a request is assumed to run before the first one ended.
const INITIAL_RUN: Duration = Duration::from_secs(1);
/// The weight of the newest observation.
const SMOOTHING: f64 = 0.1;
/// Prompts with less to compute say more of the overhead than of the rate.
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
    /// Records a request that is on its way, with the tokens that the engine has to compute.
    pub fn on_sent(&mut self, attempt: Attempt, tokens: u32, now: Time) {
        self.pending.insert(attempt, Pending { tokens, sent: now });
        self.started.insert(attempt, now);
    }

    /// Records the first token of an answer.
    pub fn on_first_token(&mut self, attempt: Attempt, now: Time) {
        let Some(pending) = self.pending.remove(&attempt) else {
            return;
        };
        // The engine turned to this prompt when it had finished the one before.
        let since = pending.sent.max(self.last_first);
        self.last_first = now;
        if pending.tokens < LEAST_TOKENS {
            return;
        }
        let observed = now.since(since).as_micros() as f64 / f64::from(pending.tokens);
        self.micros_per_token += SMOOTHING * (observed - self.micros_per_token);
    }

    /// Records the end of a request, with or without an answer.
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

    /// Returns the wait that a new request would find when `waiting` requests are ahead of it for
    /// one of `slots` slots.
    #[must_use]
    pub fn expected_wait(&self, now: Time, waiting: u32, slots: u32) -> Duration {
        let tokens: u64 = self.pending.values().map(|p| u64::from(p.tokens)).sum();
        let oldest = self.pending.values().map(|p| p.sent).min().unwrap_or(now);
        let done = now.since(oldest.max(self.last_first));
        self.prefill_time(tokens).saturating_sub(done) + self.run * waiting / slots.max(1)
    }

    /// Returns the time that the engine takes to compute tokens of a prompt.
    #[must_use]
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        Duration::from_micros((self.micros_per_token * tokens as f64) as u64)
    }
}
