//! Per-entry shares of the quotas that all entries have in common.

use std::time::Duration;

use fleet::quota::{Policy, Ramp, Retries};
use proptest::prelude::*;
use types::Time;

const POLICY: Policy = Policy {
    ratio: 0.2,
    window: Duration::from_secs(10),
    extra: 56.0,
};

proptest! {
    /// Guards against entries that together exceed the operators' retry limit, even though none of
    /// them receives gossip from another.
    #[test]
    fn retries_of_all_entries_stay_within_the_limit(
        entries in 1usize..12,
        requests in prop::collection::vec((0usize..12, 0u64..200), 1..400),
    ) {
        let mut all: Vec<Retries<&str>> = (0..entries).map(|_| Retries::new(POLICY)).collect();
        let mut now = 0;
        let (mut sent, mut retried) = (Vec::new(), Vec::new());
        for (entry, pause) in requests {
            now += pause;
            let time = Time::from_millis(now);
            let retries = &mut all[entry % entries];
            retries.on_request(&"s", time);
            sent.push(now);
            // Retry as often as the entry permits.
            while retries.try_retry(&"s", entries, time) {
                retried.push(now);
            }
            let recent = |list: &[u64]| list.iter().filter(|at| now - **at < 10_000).count() as f64;
            prop_assert!(recent(&retried) <= POLICY.ratio * recent(&sent) + POLICY.extra);
        }
    }

    /// Guards against a cold target that gets more requests from all entries together than it
    /// tolerates.
    #[test]
    fn a_cold_target_gets_no_more_than_it_tolerates(
        entries in 1usize..30,
        requests in prop::collection::vec((0usize..30, 0u64..20), 1..600),
    ) {
        const LIMIT: f64 = 27.5;
        let mut all: Vec<Ramp<&str>> = (0..entries).map(|_| Ramp::default()).collect();
        let mut now = 0;
        let mut sent: Vec<u64> = Vec::new();
        for (entry, pause) in requests {
            now += pause;
            let time = Time::from_millis(now);
            let ramp = &mut all[entry % entries];
            if ramp.allows(&"t", LIMIT, entries, time) {
                ramp.on_sent(&"t", time);
                sent.push(now);
            }
            let recent = sent.iter().filter(|at| now - **at < 1000).count();
            prop_assert!(recent as f64 <= LIMIT);
        }
    }
}
