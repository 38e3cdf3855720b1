//! Loads, health and choice of targets.

use std::time::Duration;

use fleet::catalog::{Delivery, Route};
use fleet::placement::{Candidate, Load, Tracker, best};
use fleet::shutdown::{Shutdown, Stage};
use proptest::prelude::*;
use types::{Target, Time};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn target() -> Target {
    "t".into()
}

fn candidate() -> Candidate {
    Candidate {
        load: Load::default(),
        backlog: Duration::ZERO,
        prefill_tokens: 1700,
        prefill_time: Duration::from_millis(23),
        fetch_time: Duration::ZERO,
        slots: 128,
        kv_capacity: 64_000,
        kv_tokens: 6000,
        remote: false,
        outdated: false,
    }
}

/// Guards against requests that wait for a dead target: it sends nothing at all while it has
/// requests.
#[test]
fn a_target_that_sends_nothing_while_it_has_requests_is_avoided() {
    let mut tracker = Tracker::default();
    tracker.on_sent(&target(), 1, 1, at(0));
    assert!(!tracker.avoids(&target(), at(500)));
    assert!(tracker.avoids(&target(), at(700)));
    tracker.on_heard(&target(), at(800));
    assert!(!tracker.avoids(&target(), at(900)));
}

/// Guards against prompts that are prefilled twice because a busy engine counts as dead: each of
/// many entries has one request there and receives nothing during earlier prefills, but some other
/// entry gets events all the time.
#[test]
fn a_target_that_a_peer_hears_is_not_unresponsive() {
    let mut tracker = Tracker::default();
    tracker.on_sent(&target(), 1, 1, at(0));
    for millis in (0..1600).step_by(100) {
        tracker.on_heard_by_peer(&target(), at(millis));
        assert!(
            !tracker.avoids(&target(), at(millis + 50)),
            "at {millis} ms"
        );
    }
    // A late report about an earlier time changes nothing.
    tracker.on_heard_by_peer(&target(), at(100));
    assert!(!tracker.avoids(&target(), at(1600)));
    assert!(tracker.avoids(&target(), at(2200)));
}

/// Guards against requests that wait for a target which only this entry cannot reach.
#[test]
fn a_target_that_only_peers_hear_is_avoided_eventually() {
    let mut tracker = Tracker::default();
    tracker.on_sent(&target(), 1, 1, at(0));
    tracker.on_heard_by_peer(&target(), at(1900));
    assert!(tracker.avoids(&target(), at(1950)));
}

/// Guards against entries that keep reporting a dead target as alive to each other: only received
/// data counts as a sign of life, not a sent request.
#[test]
fn a_sent_request_is_no_sign_of_life() {
    let mut tracker = Tracker::default();
    tracker.on_sent(&target(), 1, 1, at(0));
    assert_eq!(tracker.last_heard(at(100)).count(), 0);
    tracker.on_heard(&target(), at(200));
    let heard: Vec<_> = tracker.last_heard(at(300)).collect();
    assert_eq!(heard, [(&target(), Duration::from_millis(100))]);
}

/// Guards against an idle target that counts as unresponsive, immediately when it gets a request.
#[test]
fn an_idle_target_is_not_unresponsive() {
    let mut tracker = Tracker::default();
    tracker.on_sent(&target(), 1, 1, at(0));
    tracker.on_heard(&target(), at(10));
    tracker.on_end(&target(), 1);
    assert!(!tracker.avoids(&target(), at(60_000)));
    tracker.on_sent(&target(), 1, 1, at(60_000));
    assert!(!tracker.avoids(&target(), at(60_100)));
}

/// Guards against failing targets that are retried at full rate.
#[test]
fn failures_double_the_backoff_and_a_success_resets_it() {
    let mut tracker = Tracker::default();
    tracker.on_failure(&target(), at(0));
    assert!(tracker.avoids(&target(), at(399)));
    assert!(!tracker.avoids(&target(), at(401)));
    tracker.on_failure(&target(), at(1000));
    assert!(tracker.avoids(&target(), at(1700)));
    tracker.on_success(&target());
    assert!(!tracker.avoids(&target(), at(1701)));
}

/// Guards against an engine that gets more than its KV memory holds.
#[test]
fn a_target_with_full_kv_memory_is_closed() {
    let mut one = candidate();
    one.load = Load {
        running: 10,
        prefill_tokens: 0,
        kv_tokens: 45_000,
    };
    assert!(!one.is_open());
    // The largest request always fits an idle target, so it is never starved.
    one.load = Load::default();
    one.kv_tokens = 100_000;
    assert!(one.is_open());
}

/// Guards against starts on older weights while other targets have newer ones.
#[test]
fn newer_weights_are_preferred() {
    let mut old = candidate();
    old.outdated = true;
    assert_eq!(best(&[old, candidate()], 0), Some(1));
    assert_eq!(best(&[old], 0), Some(0));
    assert_eq!(best(&[], 0), None);
}

/// Guards against late streams that a process truncates at its shutdown. Found in herrera-memorial
/// trouble-2.
#[test]
fn a_stopping_process_refuses_streams_before_plain_requests() {
    let mut route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        delivery: Delivery::Stream,
        timeout: Duration::from_secs(15),
        objective: Duration::from_millis(800),
        gap_objective: Duration::from_millis(250),
        rank: 0,
        split: Vec::new(),
        max_attempts: 1,
        public: false,
        resumable: false,
    };
    let shutdown = Shutdown {
        grace: Duration::from_secs(8),
        lag: Duration::ZERO,
    };
    let accepts = |route: &Route, since_ms| {
        let since = Duration::from_millis(since_ms);
        shutdown.accepts(route, Stage::Arriving, since + route.timeout, since)
    };
    // The balancer sends callers for two seconds; streams that begin after three may be cut off.
    assert!(accepts(&route, 2100));
    assert!(!accepts(&route, 3000));
    route.delivery = Delivery::AtMostOnce;
    assert!(accepts(&route, 3000));
    assert!(!accepts(&route, 6600));
}

proptest! {
    /// Guards against loads that do not return to zero: a leak would exclude targets for good.
    #[test]
    fn loads_return_to_zero(requests in prop::collection::vec((1u64..9000, 1u64..9000), 1..50)) {
        let mut tracker = Tracker::default();
        for (prefill_tokens, kv_tokens) in &requests {
            tracker.on_sent(&target(), *prefill_tokens, *kv_tokens, at(0));
        }
        for (prefill_tokens, kv_tokens) in &requests {
            tracker.on_first_token(&target(), *prefill_tokens);
            tracker.on_end(&target(), *kv_tokens);
        }
        prop_assert_eq!(tracker.load(&target()), Load::default());
    }
}
