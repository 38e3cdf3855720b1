//! Dispatchers that are slow to reply, in virtual time.

use std::time::Duration;

use fleet::backoff::{Backoffs, Waited};
use types::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Guards against a dispatcher that is given up for seconds because it missed the replies of many
/// requests at once.
#[test]
fn requests_that_waited_together_count_as_one_failure() {
    let mut backoffs = Backoffs::default();
    let noticed = (0..30).filter_map(|sent| backoffs.on_silence("d", at(sent), at(60)));
    assert_eq!(noticed.map(|backoff| backoff.failures).max(), Some(1));
    assert!(backoffs.contains("d", at(1059)));
    assert!(!backoffs.contains("d", at(1060)));
}

/// Guards against a dead dispatcher that costs every caller a wait each second.
#[test]
fn a_dispatcher_that_stays_silent_is_asked_less_often() {
    let mut backoffs = Backoffs::default();
    let mut now = 0;
    let delays: Vec<u128> = (0..4)
        .filter_map(|_| {
            let backoff = backoffs.on_silence("d", at(now), at(now + 40))?;
            now += 40 + u64::try_from(backoff.delay.as_millis()).ok()?;
            Some(backoff.delay.as_millis())
        })
        .collect();
    assert_eq!(delays, [1000, 2000, 4000, 4000]);
    backoffs.on_reply("d");
    assert!(!backoffs.contains("d", at(now)));
}

/// Guards against an entry that takes all dispatchers for silent because it was itself stalled and
/// has not read their replies.
#[test]
fn a_stall_of_the_waiting_process_does_not_count() {
    let mut waited = Waited::default();
    waited.add(Duration::from_millis(15), Duration::from_millis(300));
    assert!(!waited.has_reached(Duration::from_millis(40)));
    waited.add(Duration::from_millis(25), Duration::from_millis(26));
    assert!(waited.has_reached(Duration::from_millis(40)));
}
