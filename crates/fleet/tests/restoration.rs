//! What counts as evidence after the table store was restored from an older copy.

use std::time::Duration;

use fleet::restoration::{Change, Restoration};
use proptest::prelude::*;
use types::Time;

/// More than the time that the operator gets to write the configuration again.
const SETTLED: Duration = Duration::from_secs(3);
/// More than the time after which a configuration that was not written again is given up.
const REVERTED: Duration = Duration::from_secs(11);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// An entry that was running when the store was restored at `at(0)`, as the `era`-th time.
fn restored(era: u64) -> Restoration {
    let mut restoration = Restoration::default();
    assert_eq!(restoration.on_era(era - 1, at(0)), Change::Started);
    restoration.on_began(None);
    assert_eq!(restoration.on_era(era, at(0)), Change::Restored);
    restoration
}

/// Guards against an entry that starts long after the last restoration and refuses requests with
/// keys until the operator's next change.
#[test]
fn an_entry_that_starts_in_an_old_era_relies_on_the_store() {
    let mut restoration = Restoration::default();
    assert_eq!(restoration.on_era(3, at(100)), Change::Started);
    restoration.on_config(5, false);
    // Until it knows when the era began, that may have been just now.
    assert!(!restoration.confirms(Some(5), at(101)));
    // An era that did not begin with a restoration, as far as known, is recorded as 0.
    restoration.on_recorded(0);
    restoration.on_store_time(70_000, at(101));
    assert!(restoration.confirms(Some(5), at(101)));
    assert_eq!(restoration.on_era(3, at(200)), Change::None);
    assert!(restoration.confirms(Some(5), at(200)));
    assert!(!restoration.lags(Some(6)));
    assert!(!restoration.reverts(6, at(200) + REVERTED));
}

/// Guards against an entry that starts just after a restoration and takes the configuration of the
/// copy for the newest one.
#[test]
fn an_entry_that_starts_in_the_gap_waits_for_the_operator() {
    let mut restoration = Restoration::default();
    restoration.on_era(1, at(5000));
    restoration.on_config(5, false);
    // The time is on the store's clock, which is not related yet.
    restoration.on_recorded(90_000);
    assert_eq!(restoration.began(), Some(at(5000)));
    restoration.on_store_time(90_600, at(5100));
    assert_eq!(restoration.began(), Some(at(4500)));
    assert!(!restoration.confirms(Some(5), at(5100)));
    // Later replies do not move it.
    restoration.on_store_time(92_000, at(5200));
    assert_eq!(restoration.began(), Some(at(4500)));
    let settled = at(4500) + SETTLED;
    assert!(restoration.confirms(Some(5), settled));
    assert!(restoration.unsettled_for(settled).is_zero());
}

/// Guards against a time that was recorded for an earlier era and ends the wait of the current one.
#[test]
fn the_beginning_of_an_earlier_era_changes_nothing() {
    let mut restoration = Restoration::default();
    restoration.on_era(1, at(0));
    restoration.on_recorded(0);
    assert_eq!(restoration.on_era(2, at(100)), Change::Restored);
    restoration.on_config(5, false);
    restoration.on_store_time(70_000, at(110));
    assert_eq!(restoration.began(), Some(at(100)));
    assert!(!restoration.confirms(Some(5), at(110)));
}

/// Guards against a second restoration within a second that inherits what the first era had
/// already shown.
#[test]
fn a_second_restoration_starts_the_wait_again() {
    let mut restoration = restored(1);
    restoration.on_config(6, true);
    assert!(restoration.confirms(Some(6), at(500)));
    assert_eq!(restoration.on_era(2, at(900)), Change::Restored);
    assert!(!restoration.confirms(Some(6), at(901)));
    assert!(restoration.lags(Some(6)));
    // The copy may have been made before the configuration was written again.
    restoration.on_config(5, false);
    let settled = at(900) + SETTLED;
    assert!(!restoration.confirms(Some(6), settled));
    // A late response of the era before says nothing.
    assert_eq!(restoration.on_era(1, at(950)), Change::None);
    assert_eq!((restoration.era(), restoration.began()), (2, Some(at(900))));
    restoration.on_config(6, true);
    assert!(restoration.confirms(Some(6), at(1000)));
}

/// Guards against evidence for a configuration that the copy lacks, and against an older one of the
/// copy that replaces it while the operator may still write it again.
#[test]
fn an_older_configuration_is_no_evidence() {
    let mut restoration = restored(1);
    restoration.on_config(5, false);
    assert!(restoration.lags(Some(6)));
    assert!(!restoration.confirms(Some(6), at(0) + SETTLED));
    assert!(!restoration.reverts(6, at(0) + SETTLED));
    restoration.on_config(6, true);
    assert!(!restoration.lags(Some(6)));
    assert!(restoration.confirms(Some(6), at(0) + SETTLED));
    assert!(!restoration.reverts(6, at(0) + REVERTED));
}

/// Guards against a configuration that the operator never got acknowledged and that stays in force,
/// or keeps the entry from serving, until the end.
#[test]
fn a_configuration_that_is_not_written_again_is_given_up() {
    let mut restoration = restored(1);
    restoration.on_config(5, false);
    assert!(restoration.reverts(6, at(0) + REVERTED));
    assert!(restoration.confirms(Some(5), at(0) + REVERTED));
}

/// Guards against a restored store without any configuration that counts as evidence for one.
#[test]
fn a_copy_without_configuration_is_no_evidence() {
    let restoration = restored(1);
    assert!(!restoration.confirms(Some(1), at(0) + REVERTED));
    assert!(!restoration.reverts(1, at(0) + REVERTED));
}

/// Guards against a configuration of the copy that is taken for the newest one although a newer one
/// was acknowledged and lost.
#[test]
fn an_equal_configuration_in_the_copy_confirms_only_after_the_wait() {
    let mut restoration = restored(1);
    restoration.on_config(5, false);
    assert!(!restoration.confirms(Some(5), at(1000)));
    assert!(restoration.confirms(Some(5), at(0) + SETTLED));
}

/// Guards against an entry that refuses requests although the operator has written again.
#[test]
fn a_configuration_written_again_confirms_at_once() {
    let mut restoration = restored(1);
    restoration.on_config(5, false);
    restoration.on_config(5, true);
    assert!(restoration.confirms(Some(5), at(10)));
    restoration.on_config(7, true);
    assert!(restoration.confirms(Some(7), at(20)));
}

proptest! {
    /// Guards against evidence that is given too early, or never, in any order of reports: it needs
    /// a listed configuration as new as the known one, and either a change in this era or the wait.
    #[test]
    fn evidence_needs_the_newest_configuration_and_a_change_or_the_wait(
        listings in prop::collection::vec((1..6u64, any::<bool>()), 0..6),
        known in prop::option::of(1..6u64),
        elapsed_ms in 0..6000u64,
    ) {
        let mut restoration = restored(4);
        for (version, is_change) in &listings {
            restoration.on_config(*version, *is_change);
        }
        let listed = listings.last().map(|(version, _)| *version);
        let changed = listings.iter().any(|(_, is_change)| *is_change);
        let now = at(elapsed_ms);
        let waited = restoration.unsettled_for(now).is_zero();
        prop_assert!(waited || elapsed_ms < 3000);
        prop_assert_eq!(restoration.confirms(known, now), listed >= known && (changed || waited));
        prop_assert_eq!(restoration.lags(known), listed < known);
        prop_assert!(!restoration.reverts(known.unwrap_or(0), now));
    }
}
