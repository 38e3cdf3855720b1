//! Estimates of the prefill rates of engines: one of all engines, from the time to first token, and
//! one of each target, from the loads that the entries report to its dispatcher.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use types::{Target, Time};

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

    /// Returns the time to first token without any prefill.
    #[must_use]
    pub fn base(&self) -> Duration {
        Duration::from_secs_f64(self.base_ms / 1000.0)
    }
}

/// The prefill rates of the targets of a cell, as its dispatcher observes them.
///
/// Load pattern: engines of one service differ in speed, and each may be slow for some hundred
/// milliseconds. A target reads its prompts one after another, so the time between the first tokens
/// of two prompts of which the second was already waiting is the time to read the second one,
/// however long it waited. Nothing is learnt from a prompt that did not wait, because it may have
/// fetched its segments, unless it was read faster than expected.
#[derive(Debug, Default)]
pub struct Rates {
    /// The rate before anything is known of a cell.
    prior: Rate,
    /// The throughput of all targets, the prior of each of them.
    all: Average,
    meters: HashMap<Target, Meter>,
}

/// What is expected of a target at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    tokens_per_ms: f64,
    base: Duration,
    /// How long the target has been reading the reported prompts, if there are any.
    read: Option<Duration>,
}

/// Tokens that were read and the time that it took, both with exponential decay.
#[derive(Debug, Clone, Copy, Default)]
struct Average {
    tokens: f64,
    ms: f64,
}

/// A prompt without a first token.
#[derive(Debug, Clone, Copy)]
struct Prompt {
    tokens: u64,
    sent: Time,
    /// Whether a later prompt was finished first, so that the report of this one is late or lost.
    overtaken: bool,
}

/// The prompts of all entries at a target, and its throughput.
#[derive(Debug, Default)]
struct Meter {
    prompts: VecDeque<Prompt>,
    /// The reported tokens of these prompts.
    unread: u64,
    /// When the last long prompt was finished, if no report has been missed since.
    finished: Option<Time>,
    /// Tokens of short prompts that were finished since.
    short_tokens: u64,
    /// Since when the tokens of the known prompts exceed the reported ones.
    exceeded_since: Option<Time>,
    normal: Average,
    recent: Average,
    /// When `recent` was last updated.
    updated: Time,
}

/// The time constant of the normal rate of a target, in ms of reading.
const NORMAL_MS: f64 = 10_000.0;
/// The time constant of the recent rate, in ms.
const RECENT_MS: f64 = 250.0;
/// The time constant of the rate of all targets, in ms of reading.
const ALL_MS: f64 = 60_000.0;
/// The weight of the prior in each of these rates, in ms of reading.
const NORMAL_PRIOR_MS: f64 = 300.0;
const RECENT_PRIOR_MS: f64 = 50.0;
const ALL_PRIOR_MS: f64 = 1000.0;
/// The recent rate counts if it is below this share of the normal one; above, it is within the
/// noise of single prompts.
const SLOW_SHARE: f64 = 0.75;
/// The lowest recent rate as a share of the normal one. Below, reports are missing.
const MIN_SHARE: f64 = 0.25;
/// How late a report may be that a gossip message makes up for.
const REPORT_DELAY: Duration = Duration::from_millis(700);
/// The range of plausible rates of one prompt, as multiples of the rate of all targets.
const PLAUSIBLE_SHARES: (f64, f64) = (0.1, 4.0);
/// Prompts with at least this many tokens to prefill take long enough to be measured.
const MEASURED_TOKENS: u64 = 1000;

impl Average {
    /// Returns the average in tokens per millisecond.
    fn rate(&self, prior: f64, prior_ms: f64) -> f64 {
        (self.tokens + prior * prior_ms) / (self.ms + prior_ms)
    }

    fn decay(&mut self, ms: f64, constant_ms: f64) {
        let share = (-ms / constant_ms).exp();
        self.tokens *= share;
        self.ms *= share;
    }

    fn add(&mut self, tokens: f64, ms: f64) {
        self.tokens += tokens;
        self.ms += ms;
    }
}

impl Rates {
    /// Sets the rate that is assumed before anything is known of a cell.
    pub fn on_prior(&mut self, prior: Rate) {
        self.prior = prior;
    }

    /// Records the tokens of all prompts at a target without a first token. If they are fewer than
    /// before, `is_first_token` says whether this is due to a first token; otherwise a request has
    /// failed, its entry is gone, or a report was lost.
    pub fn on_load(&mut self, target: &Target, unread: u64, is_first_token: bool, now: Time) {
        self.record(target, unread, is_first_token, now);
        if let Some(meter) = self.meters.get_mut(target) {
            meter.reconcile(now);
        }
    }

    fn record(&mut self, target: &Target, unread: u64, is_first_token: bool, now: Time) {
        if !self.meters.contains_key(target) {
            if unread == 0 {
                return;
            }
            self.meters.insert(target.clone(), Meter::default());
        }
        let base = self.prior.base();
        let all = self.all.rate(self.prior.tokens_per_ms, ALL_PRIOR_MS);
        let Some(meter) = self.meters.get_mut(target) else {
            return;
        };
        if unread == meter.unread && !is_first_token {
            return;
        }
        let before = meter.unread;
        meter.unread = unread;
        if unread >= before {
            if is_first_token {
                meter.finished = None;
            }
            // A late report of a prompt that has finished adds nothing.
            let is_known = meter.sum() > before.saturating_add(MEASURED_TOKENS);
            if unread > before && !is_known {
                meter.prompts.push_back(Prompt {
                    tokens: unread - before,
                    sent: now,
                    overtaken: false,
                });
            }
            return;
        }
        let removed = before - unread;
        let finished = meter.finished;
        let prompt = meter.remove(removed, is_first_token);
        // A short prompt hardly counts, and an overtaken one has been accounted for.
        let counts = removed >= MEASURED_TOKENS && prompt.is_none_or(|prompt| !prompt.overtaken);
        let Some(prompt) = prompt.filter(|_| is_first_token) else {
            if counts {
                meter.finished = None;
            }
            return;
        };
        if removed < MEASURED_TOKENS {
            meter.short_tokens = meter.short_tokens.saturating_add(removed);
            return;
        }
        let short_tokens = std::mem::take(&mut meter.short_tokens);
        meter.finished = Some(now);
        if prompt.overtaken {
            return;
        }
        let waiting_since = prompt.sent + base;
        let measured = finished.filter(|finished| waiting_since <= *finished);
        let (tokens, ms) = match measured {
            Some(finished) => (
                removed.saturating_add(short_tokens) as f64,
                millis(now.since(finished)),
            ),
            None => (removed as f64, millis(now.since(waiting_since))),
        };
        let expected = meter.normal.rate(all, NORMAL_PRIOR_MS);
        let is_faster = removed >= LONG_TOKENS && tokens > expected * ms;
        if measured.is_none() && !is_faster {
            return;
        }
        let (slowest, fastest) = (all * PLAUSIBLE_SHARES.0, all * PLAUSIBLE_SHARES.1);
        let ms = ms.clamp(tokens / fastest, tokens / slowest);
        meter
            .recent
            .decay(millis(now.since(meter.updated)), RECENT_MS);
        meter.recent.add(tokens, ms);
        meter.updated = now;
        for (average, constant_ms) in [(&mut meter.normal, NORMAL_MS), (&mut self.all, ALL_MS)] {
            average.decay(ms, constant_ms);
            average.add(tokens, ms);
        }
    }

    /// Forgets a target that has restarted under its name.
    pub fn on_restart(&mut self, target: &Target) {
        self.meters.remove(target);
    }

    /// Drops the state of targets that no longer exist.
    pub fn retain<Known>(&mut self, known: Known)
    where
        Known: Fn(&Target) -> bool,
    {
        self.meters.retain(|target, _| known(target));
    }

    /// Returns what is expected of a target: its normal rate, or the recent one while that is
    /// clearly lower.
    #[must_use]
    pub fn estimate(&self, target: &Target, now: Time) -> Estimate {
        let base = self.prior.base();
        let all = self.all.rate(self.prior.tokens_per_ms, ALL_PRIOR_MS);
        let Some(meter) = self.meters.get(target) else {
            return Estimate::new(all, base);
        };
        let normal = meter.normal.rate(all, NORMAL_PRIOR_MS);
        let mut recent = meter.recent;
        recent.decay(millis(now.since(meter.updated)), RECENT_MS);
        let reading = meter.reading(base);
        // The prompt that is being read has taken at least this long.
        if let Some((prompt, started)) = reading {
            let (tokens, ms) = (prompt.tokens as f64, millis(now.since(started)));
            if ms * normal > tokens {
                recent.add(tokens, ms);
            }
        }
        let rate = match recent.rate(normal, RECENT_PRIOR_MS) {
            recent if recent < normal * SLOW_SHARE => recent.max(normal * MIN_SHARE),
            _ => normal,
        };
        let mut estimate = Estimate::new(rate, base);
        let current = reading.or_else(|| meter.current().map(|prompt| (prompt, prompt.sent)));
        if let Some((prompt, started)) = current {
            // Its first token is overdue after this time.
            let due = estimate.first_token(prompt.tokens);
            let delay = if reading.is_some() {
                base
            } else {
                Duration::ZERO
            };
            estimate.read = Some((now.since(started) + delay).min(due));
        }
        estimate
    }

    /// Returns the expected time to first token of a prompt with `tokens` tokens to prefill that
    /// does not queue at its target.
    #[must_use]
    pub fn first_token(&self, target: &Target, tokens: u64, now: Time) -> Duration {
        self.estimate(target, now).first_token(tokens)
    }

    /// Returns the lowest, the median and the highest normal rate of the observed targets.
    #[must_use]
    pub fn spread(&self) -> Option<[f64; 3]> {
        let all = self.all.rate(self.prior.tokens_per_ms, ALL_PRIOR_MS);
        let observed = self.meters.values().filter(|meter| meter.normal.ms > 0.0);
        let rates = observed.map(|meter| meter.normal.rate(all, NORMAL_PRIOR_MS));
        let mut rates: Vec<f64> = rates.collect();
        rates.sort_by(f64::total_cmp);
        let last = rates.len().checked_sub(1)?;
        Some([rates[0], rates[last / 2], rates[last]])
    }
}

impl Estimate {
    fn new(tokens_per_ms: f64, base: Duration) -> Self {
        Self {
            tokens_per_ms,
            base,
            read: None,
        }
    }

    /// Returns the rate in tokens per millisecond.
    #[must_use]
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Returns the time to prefill a number of tokens.
    #[must_use]
    pub fn duration(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.tokens_per_ms / 1000.0)
    }

    /// Returns the expected time to first token of a prompt that does not queue at the target.
    #[must_use]
    pub fn first_token(&self, tokens: u64) -> Duration {
        self.base + self.duration(tokens)
    }

    /// Returns the time until the target has read the prompts that are reported there, at least.
    ///
    /// A prompt counts as unread until its first token is reported. The target has begun with the
    /// next one by then.
    #[must_use]
    pub fn backlog(&self, unread: u64) -> Duration {
        let read = self
            .read
            .map(|read| self.duration(unread).saturating_sub(read));
        read.unwrap_or_default()
    }
}

impl Meter {
    /// Returns the tokens of the known prompts. They exceed the reported ones after a report that
    /// combines several changes, and before a late report of a prompt that has finished.
    fn sum(&self) -> u64 {
        let tokens = self.prompts.iter().map(|prompt| prompt.tokens);
        tokens.fold(0, u64::saturating_add)
    }

    /// Drops the oldest prompts if those known have exceeded the reported ones for too long.
    fn reconcile(&mut self, now: Time) {
        let mut sum = self.sum();
        if sum <= self.unread {
            self.exceeded_since = None;
            return;
        }
        if now.since(*self.exceeded_since.get_or_insert(now)) < REPORT_DELAY {
            return;
        }
        while sum > self.unread
            && let Some(dropped) = self.prompts.pop_front()
        {
            sum = sum.saturating_sub(dropped.tokens);
        }
    }

    /// Removes the prompt with this number of tokens, if it is known.
    fn remove(&mut self, tokens: u64, is_first_token: bool) -> Option<Prompt> {
        let index = self
            .prompts
            .iter()
            .position(|prompt| prompt.tokens == tokens);
        let mut removed = index.and_then(|index| self.prompts.remove(index));
        if let Some(removed) = removed.as_mut().filter(|_| is_first_token) {
            let earlier = self.prompts.iter_mut().take(index.unwrap_or(0));
            for prompt in earlier.filter(|prompt| prompt.tokens >= MEASURED_TOKENS) {
                // Then the target has read both since the last report.
                removed.overtaken |= !prompt.overtaken;
                prompt.overtaken = true;
            }
        }
        removed
    }

    /// Returns the long prompt that the target is reading. Short ones may wait for their segments
    /// meanwhile.
    fn current(&self) -> Option<&Prompt> {
        let mut prompts = self.prompts.iter();
        prompts.find(|prompt| !prompt.overtaken && prompt.tokens >= MEASURED_TOKENS)
    }

    /// Returns the current prompt and when its reading began, up to the delay of a first token, if
    /// it was already waiting then.
    fn reading(&self, base: Duration) -> Option<(&Prompt, Time)> {
        let finished = self.finished?;
        let prompt = self.current()?;
        (prompt.sent + base <= finished).then_some((prompt, finished))
    }
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
