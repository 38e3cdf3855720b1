//! The prefill rate, learned from responses that usually queued at their engine.

use std::time::Duration;

use fleet::prefill::Rate;
use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

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
