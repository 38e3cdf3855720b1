//! Guards against a team that exceeds its rate across all entries by more than the documented
//! overshoot, and against one that is refused everything while its coordinator is unresponsive.

use std::time::Duration;

use admission::{Coordinator, Limiter, Rate, Throttle};
use proptest::prelude::*;
use types::{Team, Time};

#[derive(Debug, Clone)]
enum Step {
    /// A request at this entry.
    Request(usize),
    /// The grants in transit arrive.
    Deliver,
    /// The grants in transit are lost.
    Lose,
    /// Another entry becomes the coordinator, with full buckets.
    Change,
    Wait(u64),
}

const ENTRIES: usize = 3;

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        40 => (0..ENTRIES).prop_map(Step::Request),
        20 => Just(Step::Deliver),
        1 => Just(Step::Lose),
        1 => Just(Step::Change),
        10 => (1u64..120).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..1500)
}

proptest! {
    #[test]
    fn a_team_gets_its_rate_and_no_more(steps in steps(), per_second in 1u32..200, burst in 1u32..50) {
        let (team, rate) = (Team::from("team"), Rate { per_second, burst });
        let mut limiters: Vec<Limiter> = (0..ENTRIES).map(|_| Limiter::default()).collect();
        let mut coordinator = Coordinator::default();
        let (mut now, mut admitted, mut changes) = (Time(0), 0, 0);
        let mut uses_share = false;
        let mut grants = Vec::new();
        for step in steps {
            match step {
                Step::Request(entry) => match limiters[entry].acquire(&team, rate, ENTRIES, now) {
                    Throttle::Admit => admitted += 1,
                    Throttle::Refill(requested) => {
                        grants.push((entry, coordinator.grant(&team, rate, requested, now)));
                    }
                    Throttle::Wait | Throttle::Refuse(_) => {}
                },
                Step::Deliver => {
                    for (entry, granted) in grants.drain(..) {
                        limiters[entry].on_grant(&team, granted, now);
                    }
                }
                Step::Lose => {
                    uses_share |= !grants.is_empty();
                    grants.clear();
                }
                Step::Change => {
                    coordinator = Coordinator::default();
                    changes += 1;
                }
                Step::Wait(millis) => {
                    uses_share |= !grants.is_empty();
                    now = now + Duration::from_millis(millis);
                }
            }
        }
        let seconds = now.since(Time(0)).as_secs_f64();
        let refilled = f64::from(rate.per_second) * seconds;
        let mut bound = f64::from(burst) * (1.0 + f64::from(changes)) + refilled;
        if uses_share {
            let share = rate.share(ENTRIES);
            bound += ENTRIES as f64 * (f64::from(share.burst) + f64::from(share.per_second) * seconds);
        }
        prop_assert!(f64::from(admitted) <= bound + 1.0, "{admitted} admitted, at most {bound:.1}");
    }

    #[test]
    fn an_unresponsive_coordinator_leaves_each_entry_its_share(per_second in 1u32..1000, entries in 1usize..100) {
        let (team, rate) = (Team::from("team"), Rate { per_second, burst: per_second });
        let mut limiter = Limiter::default();
        let mut admitted = 0u32;
        for millis in 0..10_000 {
            let decision = limiter.acquire(&team, rate, entries, Time::from_millis(millis));
            admitted += u32::from(decision == Throttle::Admit);
        }
        let share = (per_second / entries as u32).max(1);
        prop_assert!(admitted >= share * 6, "{admitted} at a share of {share} in 10 s");
        prop_assert!(admitted <= share * 11, "{admitted} at a share of {share} in 10 s");
    }
}

#[test]
fn an_empty_grant_refuses_briefly_without_a_new_grant_request() {
    let (team, mut limiter) = (Team::from("team"), Limiter::default());
    let rate = Rate {
        per_second: 10,
        burst: 10,
    };
    assert_eq!(
        limiter.acquire(&team, rate, 3, Time(0)),
        Throttle::Refill(1)
    );
    assert_eq!(limiter.acquire(&team, rate, 3, Time(0)), Throttle::Wait);
    limiter.on_grant(&team, 0, Time(0));
    let refused = limiter.acquire(&team, rate, 3, Time(0));
    assert_eq!(refused, Throttle::Refuse(Duration::from_millis(100)));
    let again = limiter.acquire(&team, rate, 3, Time::from_millis(100));
    assert_eq!(again, Throttle::Refill(1));
}

#[test]
fn expired_and_duplicate_grants_are_not_used() {
    let (team, mut limiter) = (Team::from("team"), Limiter::default());
    let rate = Rate {
        per_second: 100,
        burst: 100,
    };
    assert_eq!(
        limiter.acquire(&team, rate, 3, Time(0)),
        Throttle::Refill(10)
    );
    limiter.on_grant(&team, 10, Time(0));
    assert_eq!(limiter.acquire(&team, rate, 3, Time(0)), Throttle::Admit);
    // A late duplicate of the grant adds nothing.
    limiter.on_grant(&team, 10, Time(0));
    for _ in 0..8 {
        assert_eq!(limiter.acquire(&team, rate, 3, Time(0)), Throttle::Admit);
    }
    let late = limiter.acquire(&team, rate, 3, Time::from_millis(1001));
    assert_eq!(late, Throttle::Refill(10));
    limiter.on_grant(&team, 10, Time::from_millis(1001));
    for _ in 0..10 {
        let decision = limiter.acquire(&team, rate, 3, Time::from_millis(1001));
        assert_eq!(decision, Throttle::Admit);
    }
    limiter.on_grant(&team, 10, Time::from_millis(1001));
    let next = limiter.acquire(&team, rate, 3, Time::from_millis(1001));
    assert_eq!(next, Throttle::Refill(10));
}

#[test]
fn an_idle_team_accumulates_at_most_its_burst() {
    let (team, mut coordinator) = (Team::from("team"), Coordinator::default());
    let rate = Rate {
        per_second: 100,
        burst: 20,
    };
    assert_eq!(coordinator.grant(&team, rate, 1000, Time(0)), 20);
    let later = Time::from_millis(100_000);
    assert_eq!(coordinator.grant(&team, rate, 1000, later), 20);
    assert_eq!(coordinator.grant(&team, rate, 1000, later), 0);
}
