//! Which entries record when a weight version was released.

use std::time::Duration;

use fleet::recording::{Row, Step, Turn, is_recorder, recheck_delay};
use proptest::prelude::*;

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

/// Guards against a row that one entry writes and the next one corrects by the error of its clock.
#[test]
fn a_recorded_time_within_the_error_of_the_clock_is_kept() {
    let row = |released_ms| {
        Some(Row {
            version: 7,
            released_ms,
        })
    };
    assert_eq!(Step::new(row(Some(10_050)), 10_000), Step::Keep);
    assert_eq!(Step::new(row(Some(10_500)), 10_000), Step::Write(7));
    assert_eq!(Step::new(row(None), 10_000), Step::Keep);
    assert_eq!(Step::new(None, 10_000), Step::Write(0));
}

/// Guards against an entry that has just started and reads a recorded time for the last time before
/// the others had their turns to correct it, and against endless calls.
#[test]
fn a_recent_time_is_read_again_after_the_turns_of_the_others() {
    let released_ms = 50_000;
    let mut store_time_ms = released_ms;
    let mut reads = Vec::new();
    while let Some(delay) = recheck_delay(released_ms, store_time_ms, ENTRIES) {
        store_time_ms += u64::try_from(delay.as_millis()).expect("a short delay");
        reads.push(Duration::from_millis(store_time_ms - released_ms));
        assert!(reads.len() <= 2, "{reads:?}");
    }
    for rank in 0..ENTRIES {
        let (Turn::After(turn) | Turn::AsSuccessor(turn)) = Turn::new(Some(rank), ENTRIES);
        assert!(reads.iter().any(|read| *read > turn), "{turn:?} {reads:?}");
    }
    let checked = called_after(Some(MAX_CALLERS - 1), None).expect("a check");
    assert!(reads[0] > checked && reads[0] < checked * 2, "{reads:?}");
}

proptest! {
    /// Guards against a recorded time that moves later, and against one that stays later than any
    /// entry knows, in whatever order the entries check it.
    #[test]
    fn the_recorded_time_moves_only_to_the_earliest_known(
        known in prop::collection::vec(0..20_000u64, 1..8),
    ) {
        let mut row: Option<Row> = None;
        for &known_ms in &known {
            let before = row.and_then(|row| row.released_ms);
            if let Step::Write(expected) = Step::new(row, known_ms) {
                prop_assert_eq!(expected, row.map_or(0, |row| row.version));
                prop_assert!(before.is_none_or(|before| known_ms < before));
                row = Some(Row { version: expected + 1, released_ms: Some(known_ms) });
            }
        }
        let recorded = row.and_then(|row| row.released_ms).expect("a recorded time");
        let earliest = known.iter().min().copied().expect("a known time");
        prop_assert!((earliest..=earliest + 100).contains(&recorded));
    }
}
