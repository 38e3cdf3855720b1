//! Requests that may begin on outdated weights only for a limited time.

use std::time::Duration;

use fleet::expiry::Expiry;
use types::Time;

const LIMIT: Duration = Duration::from_secs(10);

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

/// Guards against requests that are sent so late that they can only be withdrawn.
#[test]
fn no_request_is_sent_shortly_before_the_weights_expire() {
    let expiry = Expiry::new(at(1000), LIMIT).expect("an expiry");
    assert!(expiry.allows_sending(at(9499)));
    assert!(!expiry.allows_sending(at(9500)));
}

/// Guards against requests that begin after the expiry, because the target learns too late that
/// they were withdrawn.
#[test]
fn requests_are_withdrawn_before_the_weights_expire() {
    let expiry = Expiry::new(at(1000), LIMIT).expect("an expiry");
    assert_eq!(expiry.remaining_wait(at(5000)), Duration::from_millis(5700));
    assert_eq!(expiry.remaining_wait(at(10_700)), Duration::ZERO);
    assert_eq!(expiry.remaining_wait(at(20_000)), Duration::ZERO);
    assert!(!expiry.is_past(at(10_999)));
    assert!(expiry.is_past(at(11_000)));
}

/// Guards against withdrawals where the operators set no bound.
#[test]
fn without_a_bound_weights_do_not_expire() {
    assert_eq!(Expiry::new(at(0), Duration::MAX), None);
}
