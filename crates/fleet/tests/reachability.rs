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
fn a_cut_link_is_known_after_two_targets() {
    let mut reach = Reachability::default();
    let pier = domain("pier");
    assert_eq!(
        reach.on_failed(&pier, &target("a"), at(0)),
        Finding::Inconclusive
    );
    assert!(!reach.is_unreachable(&pier));
    assert_eq!(
        reach.on_failed(&pier, &target("b"), at(40)),
        Finding::Unreachable
    );
    assert!(reach.is_unreachable(&pier));
    assert!(!reach.is_unreachable(&domain("bluff")));
    assert_eq!(
        reach.on_failed(&pier, &target("c"), at(50)),
        Finding::AlreadyKnown
    );
    assert_eq!(reach.unreachable(), std::slice::from_ref(&pier));
    assert_eq!(
        reach.on_reached(&pier, at(3040)),
        Some(Duration::from_secs(3))
    );
    assert!(reach.unreachable().is_empty());
    assert_eq!(reach.on_reached(&pier, at(3050)), None);
}

/// A single dead target says nothing about its failure domain, however often it is tried.
#[test]
fn one_dead_target_cuts_nothing_off() {
    let mut reach = Reachability::default();
    let pier = domain("pier");
    for ms in (0..5000).step_by(100) {
        assert_eq!(
            reach.on_failed(&pier, &target("a"), at(ms)),
            Finding::Inconclusive
        );
    }
}

#[test]
fn failures_far_apart_or_with_a_success_between_cut_nothing_off() {
    let mut reach = Reachability::default();
    let pier = domain("pier");
    reach.on_failed(&pier, &target("a"), at(0));
    assert_eq!(
        reach.on_failed(&pier, &target("b"), at(1600)),
        Finding::Inconclusive
    );
    reach.on_reached(&pier, at(1700));
    assert_eq!(
        reach.on_failed(&pier, &target("c"), at(1800)),
        Finding::Inconclusive
    );
}

proptest! {
    /// A failure domain in which something was reached is used again at once, whatever failed
    /// before.
    #[test]
    fn what_was_reached_is_used(failed in prop::collection::vec((0..4u8, 0..3000u64), 0..40)) {
        let mut reach = Reachability::default();
        let pier = domain("pier");
        let mut time = 0;
        for (name, after) in failed {
            time += after;
            reach.on_failed(&pier, &target(&name.to_string()), at(time));
        }
        reach.on_reached(&pier, at(time));
        prop_assert!(!reach.is_unreachable(&pier));
        prop_assert!(reach.unreachable().is_empty());
    }
}
