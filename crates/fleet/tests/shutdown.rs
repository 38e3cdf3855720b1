//! Which requests a stopping process may still send to a target.

use std::time::Duration;

use fleet::catalog::{Delivery, Route};
use fleet::shutdown::{Lag, Shutdown, Stage};
use proptest::prelude::*;
use types::Time;

const GRACE: Duration = Duration::from_secs(8);
const SHUTDOWN: Shutdown = Shutdown {
    grace: GRACE,
    lag: Duration::ZERO,
};
const STAGES: [Stage; 3] = [Stage::Arriving, Stage::Waiting, Stage::Repeating];
const DELIVERIES: [Delivery; 3] = [Delivery::Idempotent, Delivery::AtMostOnce, Delivery::Stream];

fn route(delivery: Delivery, objective: Duration) -> Route {
    Route {
        name: "r".into(),
        host: "a.example".into(),
        prefix: "/r/".into(),
        delivery,
        timeout: Duration::from_secs(60),
        objective,
        gap_objective: Duration::from_millis(250),
        rank: 1,
        split: Vec::new(),
        max_attempts: 2,
        public: false,
        resumable: true,
    }
}

/// Guards against refusals of requests that would be served in time, while the balancer still sends
/// callers to the entry.
#[test]
fn all_requests_are_accepted_until_the_balancer_notices() {
    let noticed = Duration::from_millis(2300);
    for (delivery, stage) in DELIVERIES
        .iter()
        .flat_map(|delivery| STAGES.map(|stage| (*delivery, stage)))
    {
        for objective in [150, 800, 30_000].map(Duration::from_millis) {
            let route = route(delivery, objective);
            assert!(
                SHUTDOWN.accepts(&route, stage, Duration::from_secs(60), noticed),
                "{delivery:?} {stage:?} {objective:?}"
            );
        }
    }
}

/// Guards against refusals of quick requests long before the exit, while their domain has no other
/// entry.
#[test]
fn a_quick_request_is_accepted_long_after_a_stream() {
    let late = Duration::from_secs(6);
    let patient = Duration::from_secs(15);
    let objective = Duration::from_millis(150);
    for delivery in [Delivery::Idempotent, Delivery::AtMostOnce] {
        assert!(SHUTDOWN.accepts(&route(delivery, objective), Stage::Arriving, patient, late));
    }
    let stream = route(Delivery::Stream, objective);
    assert!(!SHUTDOWN.accepts(&stream, Stage::Arriving, patient, late));
    assert!(!SHUTDOWN.accepts(&stream, Stage::Waiting, patient, late));
    assert!(SHUTDOWN.accepts(&stream, Stage::Repeating, patient, late));
}

/// Guards against requests that a slow target cannot serve before the exit: the time that they may
/// take counts, not only that since the shutdown began.
#[test]
fn a_request_that_may_outlast_the_grace_period_is_refused() {
    let late = Duration::from_secs(5);
    let slow = Duration::from_secs(1);
    for (delivery, stage) in DELIVERIES
        .iter()
        .flat_map(|delivery| STAGES.map(|stage| (*delivery, stage)))
    {
        let route = route(delivery, slow);
        assert!(!SHUTDOWN.accepts(&route, stage, Duration::from_secs(60), late));
        // Its own deadline ends it before the exit.
        assert!(SHUTDOWN.accepts(&route, stage, Duration::from_secs(6), late));
    }
}

/// Guards against streams that are cut off at the end of a long grace period although the balancer
/// had long noticed the shutdown when they arrived.
#[test]
fn a_long_grace_period_accepts_no_later_streams() {
    let shutdown = Shutdown {
        grace: Duration::from_secs(20),
        ..SHUTDOWN
    };
    let route = route(Delivery::Stream, Duration::from_millis(800));
    let late = Duration::from_secs(3);
    let accepts = |deadline| shutdown.accepts(&route, Stage::Arriving, deadline, late);
    assert!(!accepts(Duration::from_secs(25)));
    assert!(!accepts(Duration::from_secs(17)));
    assert!(accepts(Duration::from_secs(16)));
}

/// Guards against a busy entry that takes its last steps too late to end before it is killed, and
/// against one that cuts requests off which it accepted in time.
#[test]
fn a_late_event_loop_has_time_for_its_last_steps() {
    for lag in [50, 100, 250].map(Duration::from_millis) {
        let shutdown = Shutdown { lag, ..SHUTDOWN };
        for delivery in DELIVERIES {
            let limit = shutdown.response_limit(delivery);
            assert!(limit + 4 * lag <= GRACE, "{lag:?} {delivery:?} {limit:?}");
        }
    }
    let suspended = Shutdown {
        lag: Duration::from_secs(4),
        ..SHUTDOWN
    };
    for delivery in DELIVERIES {
        let limit = suspended.response_limit(delivery);
        assert!(limit > GRACE.mul_f64(0.8), "{delivery:?} {limit:?}");
    }
}

/// Guards against a lag that counts long after the host has recovered, or not at all while others
/// follow it.
#[test]
fn the_greatest_lag_of_the_last_seconds_counts() {
    let at = |millis: u64| Time::from_millis(1_000_000 + millis);
    let mut lag = Lag::default();
    assert_eq!(lag.greatest(), Duration::ZERO);
    lag.on_sample(Duration::from_millis(300), at(0));
    lag.on_sample(Duration::from_millis(10), at(4000));
    assert_eq!(lag.greatest(), Duration::from_millis(300));
    lag.on_sample(Duration::from_millis(20), at(5000));
    assert_eq!(lag.greatest(), Duration::from_millis(20));
}

proptest! {
    /// Guards against requests that are sent when their responses have no time left, and against
    /// stages that refuse what they have accepted.
    #[test]
    fn no_request_is_sent_after_the_response_limit(
        grace in 1000_u64..60_000, objective in 1_u64..30_000, deadline in 0_u64..90_000,
        delivery in 0_usize..3, lag in 0_u64..3_000,
    ) {
        let shutdown = Shutdown {
            grace: Duration::from_millis(grace),
            lag: Duration::from_millis(lag),
        };
        let route = route(DELIVERIES[delivery], Duration::from_millis(objective));
        let deadline = Duration::from_millis(deadline);
        let last = STAGES.map(|stage| shutdown.last_start(&route, stage, deadline));
        prop_assert!(last.iter().all(|last| *last <= shutdown.response_limit(route.delivery)));
        prop_assert!(last[0] <= last[1] && last[1] <= last[2]);
        prop_assert!(shutdown.response_limit(route.delivery) < shutdown.usable());
        let earliest = shutdown.earliest_response_limit(route.delivery);
        prop_assert!(earliest <= shutdown.response_limit(route.delivery));
    }

    /// Guards against streams that are cut before their deadline because the event loop has become
    /// later since they were accepted: the balancer had noticed the shutdown, so their callers
    /// would have been served elsewhere.
    #[test]
    fn a_stream_accepted_late_is_not_cut_by_a_later_event_loop(
        grace in 4000_u64..60_000, deadline_percent in 80_u64..100, since in 2400_u64..30_000,
        lag in 0_u64..200, later_lag in 0_u64..3_000,
    ) {
        let shutdown = |lag| Shutdown {
            grace: Duration::from_millis(grace),
            lag: Duration::from_millis(lag),
        };
        let route = route(Delivery::Stream, Duration::from_millis(500));
        let deadline = Duration::from_millis(grace * deadline_percent / 100);
        let since = Duration::from_millis(since.min(grace / 2));
        if shutdown(lag).accepts(&route, Stage::Arriving, deadline, since) {
            prop_assert!(deadline <= shutdown(later_lag).response_limit(Delivery::Stream));
        }
    }
}
