//! Builds that have served lately, and those that began streams.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use fleet::builds::{History, Log, MAX_STREAMS, Origin, Recorded, Step, Stream};
use proptest::prelude::*;
use types::{Build, Service, Time};

const WINDOW: Duration = Duration::from_secs(12);

fn at(millis: u64) -> Time {
    Time::from_millis(1_000_000 + millis)
}

fn recorded(builds: &[&str]) -> Recorded {
    let builds = builds.iter().map(|build| Build::from(*build));
    BTreeMap::from([("e".into(), builds.collect())])
}

/// The list of a service whose targets have these builds.
fn list(history: &mut History, builds: &[&str], now: Time) -> bool {
    let service = Service::from("e");
    let builds: Vec<Build> = builds.iter().map(|build| Build::from(*build)).collect();
    let listed = builds.iter().map(|build| (&service, build));
    history.on_listed(listed, now)
}

fn origin(history: &History, now: Time) -> Origin {
    history.origin(&"e".into(), Some(now), now)
}

fn known(build: &str) -> Origin {
    Origin::Known(build.into())
}

/// Guards against a stream of an entry that is gone which goes on at the only build in the list,
/// although the one that began it has just left.
#[test]
fn a_build_that_left_before_the_start_is_remembered_by_the_row() {
    let mut history = History::default();
    history.on_recorded(Some(&recorded(&["1", "2"])), false, WINDOW, at(0));
    list(&mut history, &["2"], at(10));
    assert_eq!(origin(&history, at(10)), Origin::Unknown);
    history.expire(WINDOW, at(11_000));
    assert_eq!(origin(&history, at(11_000)), Origin::Unknown);
    history.expire(WINDOW, at(12_000));
    assert_eq!(origin(&history, at(12_000)), known("2"));
}

/// Guards against the same if no entry has recorded anything: after an upgrade, or if the row is
/// lost.
#[test]
fn without_a_row_nothing_is_presumed_for_the_window() {
    let mut history = History::default();
    list(&mut history, &["2"], at(0));
    assert_eq!(origin(&history, at(0)), Origin::Unknown);
    history.on_recorded(None, false, WINDOW, at(5));
    assert_eq!(origin(&history, at(11_000)), Origin::Unknown);
    assert_eq!(origin(&history, at(12_005)), known("2"));
}

/// Guards against an entry that is cut off from the table store and presumes for any time that no
/// other build has appeared.
#[test]
fn no_build_is_presumed_from_an_outdated_list() {
    let mut history = History::default();
    history.on_recorded(Some(&recorded(&["1"])), false, WINDOW, at(0));
    list(&mut history, &["1"], at(0));
    let origin = |confirmed_at, now| history.origin(&"e".into(), confirmed_at, now);
    assert_eq!(origin(None, at(0)), Origin::Unknown);
    assert_eq!(origin(Some(at(0)), at(2100)), known("1"));
    assert_eq!(origin(Some(at(0)), at(3000)), Origin::Unknown);
    assert_eq!(origin(Some(at(2900)), at(3000)), known("1"));
}

/// Guards against refusing all streams at the first start of a deployment.
#[test]
fn at_the_first_start_no_build_can_have_left() {
    let mut history = History::default();
    history.on_recorded(None, true, WINDOW, at(0));
    list(&mut history, &["1", "1"], at(5));
    assert_eq!(origin(&history, at(5)), known("1"));
}

/// Guards against a build that still serves but is forgotten, and one that has left but is not.
#[test]
fn a_build_is_forgotten_a_window_after_it_has_left() {
    let mut history = History::default();
    history.on_recorded(None, true, WINDOW, at(0));
    assert!(list(&mut history, &["1"], at(0)));
    assert!(list(&mut history, &["1", "2"], at(100)));
    assert!(!list(&mut history, &["2"], at(200)));
    history.expire(WINDOW, at(12_000));
    assert_eq!(origin(&history, at(12_000)), Origin::Unknown);
    // A target that is not listed any more may still begin or resume streams.
    history.on_begun(&"e".into(), &"1".into(), at(12_100));
    history.expire(WINDOW, at(24_000));
    assert_eq!(origin(&history, at(24_000)), Origin::Unknown);
    history.expire(WINDOW, at(24_200));
    assert_eq!(origin(&history, at(24_200)), known("2"));
    assert!(list(&mut history, &["1", "2"], at(24_300)));
}

/// Guards against a row that loses a build which another entry has recorded, by an entry that does
/// not know it.
#[test]
fn only_an_entry_that_covers_the_window_removes_builds_from_the_row() {
    let mut history = History::default();
    history.on_recorded(Some(&recorded(&["2"])), false, WINDOW, at(0));
    list(&mut history, &["2"], at(0));
    let row = recorded(&["1", "2"]);
    assert_eq!(history.record(Some(&row), false), Step::Keep);
    let step = history.record(Some(&row), true);
    assert_eq!(step, Step::Write(recorded(&["2"])));
    assert_eq!(history.record(Some(&recorded(&["2"])), true), Step::Keep);
    list(&mut history, &["2", "3"], at(100));
    let step = history.record(Some(&row), false);
    assert_eq!(step, Step::Write(recorded(&["1", "2", "3"])));
    let step = history.record(None, false);
    assert_eq!(step, Step::Write(recorded(&["2", "3"])));
}

/// Guards against a second record that changes the build of a stream, and against a log without
/// bounds.
#[test]
fn the_first_record_of_a_stream_counts_and_the_oldest_are_dropped() {
    let mut log = Log::default();
    let stream = |number: usize| Stream((number as u128).to_le_bytes());
    log.add(stream(0), &"1".into(), at(0));
    log.add(stream(0), &"2".into(), at(1));
    assert_eq!(log.get(&stream(0)), Some(&"1".into()));
    for number in 1..=MAX_STREAMS {
        log.add_own(stream(number), &"2".into(), at(2));
    }
    assert_eq!(log.get(&stream(0)), None);
    assert_eq!(log.own().count(), MAX_STREAMS);
    log.expire(WINDOW, at(12_002));
    assert_eq!(log.own().count(), 0);
}

proptest! {
    /// Guards against an origin that is presumed although another build has served within the
    /// window, whatever the order of lists and restarts.
    #[test]
    fn a_presumed_origin_is_the_only_build_of_the_window(
        steps in proptest::collection::vec((0_u64..6000, 0_u8..8, any::<bool>()), 1..40)
    ) {
        let mut history = History::default();
        history.on_recorded(None, true, WINDOW, at(0));
        let (mut time, mut row) = (0, None);
        // When each build last served.
        let mut served: BTreeMap<&str, u64> = BTreeMap::new();
        let mut serving: BTreeSet<&str> = BTreeSet::new();
        for (pause, builds, restarts) in steps {
            time += pause;
            served.extend(serving.iter().map(|build| (*build, time)));
            let all = ["1", "2", "3"];
            let present = all.iter().enumerate().filter(|(bit, _)| builds & (1 << bit) != 0);
            serving = present.map(|(_, build)| *build).collect();
            served.extend(serving.iter().map(|build| (*build, time)));
            if restarts {
                history = History::default();
                history.on_recorded(row.as_ref(), row.is_none(), WINDOW, at(time));
            }
            let listed: Vec<&str> = serving.iter().copied().collect();
            list(&mut history, &listed, at(time));
            history.expire(WINDOW, at(time));
            if let Step::Write(wanted) = history.record(row.as_ref(), !restarts) {
                row = Some(wanted);
            }
            if let Origin::Known(only) = origin(&history, at(time)) {
                let window = WINDOW.as_millis() as u64;
                let recent = served.iter().filter(|(_, at)| time - **at < window);
                prop_assert!(recent.map(|(build, _)| *build).all(|build| *only == *build));
            }
        }
    }
}

/// Guards against a stream that is told to other entries again and again, or by entries that have
/// only been told of it.
#[test]
fn a_stream_is_told_once_by_the_entry_at_which_it_began() {
    let stream = |number: u8| Stream([number; 16]);
    let mut log = Log::default();
    log.add(stream(1), &"1".into(), at(0));
    assert!(!log.add_own(stream(1), &"1".into(), at(1)));
    assert!(log.add_own(stream(2), &"2".into(), at(2)));
    assert!(!log.add_own(stream(2), &"1".into(), at(3)));
    let own: Vec<_> = log.own().collect();
    assert_eq!(own, [(stream(2), &"2".into())]);
}
