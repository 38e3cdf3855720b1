//! Which entries record when a weight version was released.

use std::time::Duration;

use fleet::recording::{Turn, is_recorder};

/// The number of entries in a large deployment.
const ENTRIES: usize = 300;
/// The most entries that may call the store about a release while all are up.
const MAX_CALLERS: usize = 5;

/// Returns after which time an entry calls the store about a release that it learns of as a change.
fn called_after(rank: Option<usize>, later_rank: Option<usize>) -> Option<Duration> {
    match Turn::new(rank, ENTRIES) {
        Turn::After(delay) => Some(delay),
        Turn::AsSuccessor(delay) => is_recorder(later_rank).then_some(delay),
    }
}

/// Guards against priced calls by all entries of a large deployment, and against a release that
/// only one entry records.
#[test]
fn a_few_entries_call_the_store_one_after_another() {
    let calls = (0..ENTRIES).filter_map(|rank| called_after(Some(rank), Some(rank)));
    let calls: Vec<Duration> = calls.collect();
    assert!((3..=MAX_CALLERS).contains(&calls.len()), "{calls:?}");
    assert_eq!(calls[0], Duration::ZERO);
    assert_eq!(calls[1], Duration::ZERO);
    assert!(calls[1..].is_sorted_by(|earlier, later| earlier < later));
}

/// Guards against a release that nobody records because all entries that should do so are killed at
/// once, as in the outage of a failure domain.
#[test]
fn entries_that_become_the_first_ones_take_over() {
    assert!(called_after(Some(MAX_CALLERS), Some(0)).is_some());
    assert!(called_after(Some(ENTRIES - 1), Some(1)).is_some());
    assert_eq!(called_after(Some(MAX_CALLERS), Some(MAX_CALLERS)), None);
}

/// Guards against a release that nobody records because it arrives before the entries that have
/// just started know their ranks.
#[test]
fn an_entry_that_learns_its_rank_later_may_still_record() {
    assert!(called_after(None, Some(0)).is_some());
    assert_eq!(called_after(None, None), None);
}
