//! Detection of unreachable failure domains.

use std::time::Duration;

use fleet::reachability::{Finding, Reachability};
use proptest::prelude::*;
use types::{Domain, Target, Time};

fn at(ms: u64) -> Time {
    Time::default() + Duration::from_millis(ms)
}

fn domain(name: &str) -> Domain {
    name.into()
}

fn target(name: &str) -> Target {
    name.into()
}

#[test]
fn a_domain_is_unreachable_after_two_failed_targets() {
    let mut reachability = Reachability::default();
    let pier = domain("pier");
    assert_eq!(
        reachability.on_failed(&pier, &target("a"), at(0)),
        Finding::Inconclusive
    );
    assert!(!reachability.is_unreachable(&pier));
    assert_eq!(
        reachability.on_failed(&pier, &target("b"), at(40)),
        Finding::Unreachable
    );
    assert!(reachability.is_unreachable(&pier));
    assert!(!reachability.is_unreachable(&domain("bluff")));
    assert_eq!(
        reachability.on_failed(&pier, &target("c"), at(50)),
        Finding::AlreadyKnown
    );
    assert_eq!(reachability.unreachable(), std::slice::from_ref(&pier));
    assert_eq!(
        reachability.on_reached(&pier, at(3040)),
        Some(Duration::from_secs(3))
    );
    assert!(reachability.unreachable().is_empty());
    assert_eq!(reachability.on_reached(&pier, at(3050)), None);
}

/// A single dead target says nothing about its failure domain, however often it is tried.
#[test]
fn one_dead_target_does_not_make_its_domain_unreachable() {
    let mut reachability = Reachability::default();
    let pier = domain("pier");
    for ms in (0..5000).step_by(100) {
        assert_eq!(
            reachability.on_failed(&pier, &target("a"), at(ms)),
            Finding::Inconclusive
        );
    }
}

#[test]
fn failures_far_apart_or_with_a_success_between_do_not_add_up() {
    let mut reachability = Reachability::default();
    let pier = domain("pier");
    reachability.on_failed(&pier, &target("a"), at(0));
    assert_eq!(
        reachability.on_failed(&pier, &target("b"), at(1600)),
        Finding::Inconclusive
    );
    reachability.on_reached(&pier, at(1700));
    assert_eq!(
        reachability.on_failed(&pier, &target("c"), at(1800)),
        Finding::Inconclusive
    );
}

proptest! {
    /// A failure domain in which something was reached is used again at once, whatever failed
    /// before.
    #[test]
    fn a_reached_domain_is_reachable(failed in prop::collection::vec((0..4u8, 0..3000u64), 0..40)) {
        let mut reachability = Reachability::default();
        let pier = domain("pier");
        let mut time = 0;
        for (name, after) in failed {
            time += after;
            reachability.on_failed(&pier, &target(&name.to_string()), at(time));
        }
        reachability.on_reached(&pier, at(time));
        prop_assert!(!reachability.is_unreachable(&pier));
        prop_assert!(reachability.unreachable().is_empty());
    }
}
