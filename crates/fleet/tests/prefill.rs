//! The prefill rate, learned from responses that usually queued at their engine.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::prefill::{Rate, Rates};
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::{Target, Time};

/// Guards against placement by the rate of another deployment's engines: replays prompts at engines
/// of different speed, with random queueing delays.
#[test]
fn the_rate_follows_the_engines() {
    for rate in [10.0, 55.0, 75.0, 300.0] {
        let mut random = ChaCha8Rng::seed_from_u64(3);
        let mut estimate = Rate::default();
        for _ in 0..2000 {
            let tokens = random.random_range(100..12_000u64);
            let waited = match random.random_bool(0.5) {
                true => 0.0,
                false => -random.random::<f64>().ln() * 120.0,
            };
            let took = 70.0 + waited + tokens as f64 / rate;
            estimate.observe(tokens, Duration::from_secs_f64(took / 1000.0));
        }
        let estimated = estimate.tokens_per_ms();
        assert!(
            (rate * 0.75..=rate * 1.25).contains(&estimated),
            "{rate} {estimated}"
        );
    }
}

proptest! {
    /// Guards against overflowing times, whatever was observed.
    #[test]
    fn any_observation_leaves_a_usable_rate(
        observations in prop::collection::vec((any::<u64>(), any::<u32>()), 0..200),
    ) {
        let mut estimate = Rate::default();
        for (tokens, micros) in observations {
            estimate.observe(tokens, Duration::from_micros(u64::from(micros)));
        }
        prop_assert!(estimate.duration(u64::MAX) > Duration::ZERO);
        prop_assert!((1.0..=2000.0).contains(&estimate.tokens_per_ms()));
    }
}

/// A target that reads one prompt after another, and the reports of its load.
struct Engine {
    target: Target,
    random: ChaCha8Rng,
    /// The share of reports that are lost; the next gossip round makes up for them.
    lost: f64,
    /// When the target has read all prompts, in ms.
    free_at: f64,
    /// Changes of the reported load: when they arrive, by how much, and whether for a first token.
    reports: BTreeMap<u64, Vec<(i64, bool)>>,
    unread: i64,
}

/// The time to first token without the prefill, in ms.
const BASE_MS: f64 = 53.0;
/// The delay of a load report, in ms.
const REPORT_MS: f64 = 4.0;
/// The time until a gossip round makes up for a lost report, in ms.
const ROUND_MS: f64 = 400.0;

impl Engine {
    fn new(name: &str, seed: u64) -> Self {
        Self {
            target: name.into(),
            random: ChaCha8Rng::seed_from_u64(seed),
            lost: 0.0,
            free_at: 0.0,
            reports: BTreeMap::new(),
            unread: 0,
        }
    }

    fn report(&mut self, at_ms: f64, change: i64, is_first_token: bool) {
        let is_lost = self.lost > 0.0 && self.random.random_bool(self.lost);
        let delay = if is_lost { ROUND_MS } else { REPORT_MS };
        let at = ((at_ms + delay) * 1000.0) as u64;
        let report = (change, is_first_token && !is_lost);
        self.reports.entry(at).or_default().push(report);
    }

    /// Sends prompts for `ms` from `from_ms` on, so that up to `queue_ms` of reading wait at the
    /// target, and reports the loads. Half of the prompts fetch nearly everything.
    fn run<Speed>(
        &mut self,
        rates: &mut Rates,
        (from_ms, ms): (u64, u64),
        queue_ms: f64,
        speed: Speed,
    ) where
        Speed: Fn(f64) -> f64,
    {
        for now in from_ms..from_ms + ms {
            let now_ms = now as f64;
            while self.free_at < now_ms + queue_ms {
                let (tokens, fetch_ms) = match self.random.random_bool(0.5) {
                    true => (self.random.random_range(2000..12_000u64), 0.0),
                    false => (self.random.random_range(60..800u64), 40.0),
                };
                let start = self.free_at.max(now_ms + REPORT_MS / 2.0);
                let mut left = tokens as f64;
                let mut end = start;
                while left > 0.0 {
                    left -= speed(end);
                    end += 1.0;
                }
                end += left / speed(end);
                self.free_at = end;
                let first = end.max(now_ms + fetch_ms) + BASE_MS;
                self.report(now_ms, tokens as i64, false);
                self.report(first, -(tokens as i64), true);
            }
            self.deliver(rates, now * 1000);
        }
    }

    fn deliver(&mut self, rates: &mut Rates, until: u64) {
        while let Some(entry) = self
            .reports
            .first_entry()
            .filter(|entry| *entry.key() <= until)
        {
            let at = Time(*entry.key());
            for (change, is_first_token) in entry.remove() {
                self.unread += change;
                let unread = u64::try_from(self.unread).unwrap_or(0);
                rates.on_load(&self.target, unread, is_first_token, at);
            }
        }
    }
}

fn assert_near(rate: f64, expected: f64, tolerance: f64, of: &str) {
    let range = expected * (1.0 - tolerance)..=expected * (1.0 + tolerance);
    assert!(range.contains(&rate), "{of}: {rate}, not {expected}");
}

/// Guards against prompts placed by a common rate. Load: every third engine reads 1.3 times slower
/// than the others, which read 41.4 tokens/ms, and half of the prompts fetch their segments.
#[test]
fn uneven_targets_are_told_apart() {
    let mut rates = Rates::default();
    for index in 0..9 {
        let speed = if index % 3 == 2 { 41.4 / 1.3 } else { 41.4 };
        let mut engine = Engine::new(&format!("t-{index}"), index);
        engine.run(&mut rates, (0, 5000), 150.0, |_| speed);
        let rate = rates
            .estimate(&engine.target, Time::from_millis(5000))
            .tokens_per_ms();
        assert_near(rate, speed, 0.1, &engine.target);
    }
}

/// Guards against overfilled targets. Load: engines read 91.8 tokens/ms, but 2.5 times slower in
/// spells of 600 ms.
#[test]
fn spells_of_slowness_are_followed() {
    let (speed, slow) = (91.8, 91.8 / 2.5);
    let (mut rates, mut engine) = (Rates::default(), Engine::new("t", 5));
    let at = |now_ms: f64| {
        if now_ms % 4000.0 >= 3400.0 {
            slow
        } else {
            speed
        }
    };
    for spell in 0..5 {
        let start = spell * 4000;
        engine.run(&mut rates, (start, 3400), 150.0, at);
        let before = rates
            .estimate(&engine.target, Time::from_millis(start + 3400))
            .tokens_per_ms();
        assert_near(before, speed, 0.15, "before");
        engine.run(&mut rates, (start + 3400, 400), 150.0, at);
        let during = rates
            .estimate(&engine.target, Time::from_millis(start + 3800))
            .tokens_per_ms();
        assert!(during < speed * 0.7, "{during} in a spell");
        engine.run(&mut rates, (start + 3800, 200), 150.0, at);
    }
    engine.run(&mut rates, (20_000, 800), 150.0, |_| speed);
    let after = rates
        .estimate(&engine.target, Time::from_millis(20_800))
        .tokens_per_ms();
    assert_near(after, speed, 0.15, "after the spells");
}

/// Guards against a deployment whose engines are 1.5 times slower or faster than the prior.
#[test]
fn a_wrong_prior_is_corrected() {
    for speed in [40.0, 90.0] {
        let (mut rates, mut engine) = (Rates::default(), Engine::new("t", 7));
        engine.run(&mut rates, (0, 2500), 150.0, |_| speed);
        let now = Time::from_millis(2500);
        assert_near(
            rates.estimate(&engine.target, now).tokens_per_ms(),
            speed,
            0.12,
            "known",
        );
        // A new target gets the rate of the others.
        assert_near(
            rates.estimate(&"new".into(), now).tokens_per_ms(),
            speed,
            0.25,
            "new",
        );
        let first = rates.first_token(&"t".into(), 9000, now).as_secs_f64() * 1000.0;
        assert_near(first, 50.0 + 9000.0 / speed, 0.12, "first token");
    }
}

/// Guards against the rate of a target's previous process, which ran on a slower host.
#[test]
fn a_restarted_target_starts_anew() {
    let mut rates = Rates::default();
    let mut others = Engine::new("other", 1);
    others.run(&mut rates, (0, 5000), 150.0, |_| 60.0);
    let mut engine = Engine::new("t", 2);
    engine.run(&mut rates, (0, 5000), 150.0, |_| 25.0);
    let now = Time::from_millis(5000);
    assert_near(
        rates.estimate(&engine.target, now).tokens_per_ms(),
        25.0,
        0.1,
        "before",
    );
    rates.on_restart(&engine.target);
    assert!(rates.estimate(&engine.target, now).tokens_per_ms() > 35.0);
    let mut restarted = Engine::new("t", 3);
    restarted.run(&mut rates, (5000, 1500), 150.0, |_| 60.0);
    let rate = rates
        .estimate(&engine.target, Time::from_millis(6500))
        .tokens_per_ms();
    assert_near(rate, 60.0, 0.1, "after");
}

/// Guards against rates learnt from gaps in the reports. Load: a tenth of the reports is lost, and
/// the requests of an entry that dies end without a first token.
#[test]
fn lost_reports_do_not_change_the_rate() {
    for seed in 0..5 {
        let (mut rates, mut engine) = (Rates::default(), Engine::new("t", seed));
        engine.lost = 0.1;
        engine.run(&mut rates, (0, 1500), 200.0, |_| 45.0);
        let mut learnt = Vec::new();
        for start in (1500..6500).step_by(50) {
            engine.run(&mut rates, (start, 50), 200.0, |_| 45.0);
            learnt.push(
                rates
                    .estimate(&engine.target, Time::from_millis(start + 50))
                    .tokens_per_ms(),
            );
        }
        learnt.sort_by(f64::total_cmp);
        assert_near(learnt[20], 45.0, 0.2, "the slowest fifth");
        assert_near(learnt[99], 45.0, 0.2, "the fastest");
        let now = Time::from_millis(6500);
        rates.on_load(&engine.target, 0, false, now);
        assert_near(
            rates.estimate(&engine.target, now).tokens_per_ms(),
            45.0,
            0.2,
            "dead entry",
        );
        assert_eq!(
            rates.estimate(&engine.target, now).backlog(0),
            Duration::ZERO
        );
    }
}

/// Guards against a target that counts as free while its entries report unread prompts. Load: an
/// engine that reads 41.4 tokens/ms, of which 60 are expected.
#[test]
fn the_backlog_follows_the_reports() {
    let (mut rates, mut engine) = (Rates::default(), Engine::new("t", 9));
    for start in (0..4000).step_by(50) {
        engine.run(&mut rates, (start, 50), 300.0, |_| 41.4);
        let now_ms = start + 50 + REPORT_MS as u64;
        let now = Time::from_millis(now_ms);
        engine.deliver(&mut rates, now.0);
        let left = engine.free_at - now_ms as f64;
        let unread = u64::try_from(engine.unread).expect("unread tokens");
        let backlog = rates
            .estimate(&engine.target, now)
            .backlog(unread)
            .as_secs_f64()
            * 1000.0;
        assert!(backlog <= left + 120.0, "{start}: {backlog} of {left}");
        if start > 1500 {
            assert!(backlog >= left - 90.0, "{start}: {backlog} of {left}");
        }
    }
}
