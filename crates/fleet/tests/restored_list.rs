//! The target list of a table store that was restored from an older copy.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::restoration::LIST_SETTLE_TIME;
use fleet::roster::{Member, OUTAGE_GRACE, Roster};
use proptest::prelude::*;
use types::{Revision, Target, Time};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn revision(era: u64, version: u64) -> u64 {
    Revision::new(era, version).into()
}

fn member(id: &str, era: u64, version: u64, started_ms: u64, draining: bool) -> Member {
    Member {
        id: id.into(),
        service: "engines".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "pier".into(),
        slots: 4,
        draining,
        cold_remaining: Duration::ZERO,
        started_ms: Some(started_ms),
        build: "1".into(),
        weights: Vec::new(),
        revision: revision(era, version),
    }
}

/// Returns whether a target would get requests.
fn is_used(roster: &Roster, id: &str) -> bool {
    roster
        .get(&id.into())
        .is_some_and(|record| !record.member.draining)
}

/// Guards against a target that starts in the lost seconds, writes its row again and is dropped
/// because the next list of the store is the first one that shows it.
#[test]
fn a_target_that_is_first_listed_again_by_a_second_list_is_used() {
    let mut roster = Roster::default();
    roster.upsert(member("new", 0, 20, 1, false), at(0));
    roster.merge_restored(Vec::new(), revision(1, 10), at(1000));
    assert!(is_used(&roster, "new"));
    let listed = vec![member("new", 1, 11, 1, false)];
    roster.merge_restored(listed.clone(), revision(1, 12), at(1500));
    roster.expire(at(1000) + OUTAGE_GRACE);
    assert!(is_used(&roster, "new"));
    roster.replace(listed, revision(1, 12), at(1000) + LIST_SETTLE_TIME);
    assert!(is_used(&roster, "new"));
}

/// Guards against a target that vanished in the outage, wrote its row again before the store was
/// read, and is still missing after the rows of the copy have been replaced.
#[test]
fn a_target_that_vanished_in_the_outage_is_used_after_the_settle_time() {
    let mut roster = Roster::default();
    roster.upsert(member("back", 0, 5, 1, false), at(0));
    roster.on_store_outage(at(900));
    roster.remove(&"back".into(), revision(0, 20), at(950));
    let listed = vec![member("back", 1, 11, 1, false)];
    roster.merge_restored(listed.clone(), revision(1, 12), at(1000));
    roster.expire(at(950) + OUTAGE_GRACE);
    roster.replace(listed, revision(1, 30), at(1000) + LIST_SETTLE_TIME);
    assert!(is_used(&roster, "back"));
}

/// Guards against a neighbour that started from the copy, and whose list brings back a target that
/// has left or drains.
#[test]
fn the_list_of_a_neighbour_that_read_the_copy_brings_nothing_back() {
    let mut roster = Roster::default();
    roster.upsert(member("gone", 0, 5, 1, false), at(0));
    roster.remove(&"gone".into(), revision(0, 21), at(10));
    roster.upsert(member("drains", 0, 22, 1, true), at(20));
    roster.upsert(member("stays", 0, 7, 1, false), at(20));
    let copy = vec![
        member("gone", 1, 5, 1, false),
        member("drains", 1, 6, 1, false),
        member("stays", 1, 7, 1, false),
    ];
    for now in [1000, 1800, 2600] {
        roster.adopt(copy.clone(), revision(1, 12), at(now));
        assert!(!is_used(&roster, "gone"));
        assert!(!is_used(&roster, "drains"));
        assert!(is_used(&roster, "stays"));
    }
    // After the settle time the neighbour's list is taken as it is.
    let list = vec![member("stays", 1, 31, 1, false)];
    let settled = at(1000) + LIST_SETTLE_TIME;
    roster.adopt(list.clone(), revision(1, 40), settled);
    roster.expire(settled + OUTAGE_GRACE);
    let mut neighbour = Roster::default();
    neighbour.replace(list, revision(1, 40), settled);
    assert_eq!(roster.digest(), neighbour.digest());
}

/// Guards against a list whose first page was sent before the neighbour had read the copy, so that
/// its cursor is of the era before.
#[test]
fn a_list_of_two_eras_brings_nothing_back() {
    let mut roster = Roster::default();
    roster.upsert(member("gone", 0, 5, 1, false), at(0));
    roster.remove(&"gone".into(), revision(0, 21), at(10));
    let pages = vec![
        member("early", 0, 7, 1, false),
        member("gone", 1, 5, 1, false),
    ];
    roster.adopt(pages, revision(0, 22), at(1000));
    assert!(is_used(&roster, "early"));
    assert!(!is_used(&roster, "gone"));
}

/// The state of a target, as it would write it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Truth {
    started_ms: u64,
    draining: bool,
    gone: bool,
}

/// What happens to a target before the restoration.
#[derive(Debug, Clone, Copy)]
enum Past {
    Start,
    Drain,
    Leave,
}

/// What happens after the restoration.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// The entry reads the list of the store, itself or through a neighbour.
    List { by_neighbour: bool },
    /// The target writes its row again; the entry learns of it if the change reaches it.
    Rewrite { target: usize, reaches: bool },
    /// A report of the time before arrives late, for the second time.
    Late(usize),
    /// This number of milliseconds passes.
    Elapse(u64),
}

/// The table of the store.
#[derive(Debug, Clone, Default)]
struct Store {
    era: u64,
    version: u64,
    /// Start, drain state and version of each target.
    rows: BTreeMap<Target, (u64, bool, u64)>,
}

impl Store {
    fn write(&mut self, id: &Target, truth: Truth) -> Member {
        self.version += 1;
        let row = (truth.started_ms, truth.draining, self.version);
        self.rows.insert(id.clone(), row);
        self.member(id, row)
    }

    fn member(&self, id: &Target, (started_ms, draining, version): (u64, bool, u64)) -> Member {
        member(id, self.era, version, started_ms, draining)
    }

    fn list(&self) -> Vec<Member> {
        let rows = self.rows.iter();
        rows.map(|(id, row)| self.member(id, *row)).collect()
    }

    fn cursor(&self) -> u64 {
        revision(self.era, self.version)
    }
}

/// A report of the time before the restoration.
#[derive(Debug, Clone)]
enum Report {
    Upsert(Member),
    Remove(Target, u64),
}

fn deliver(roster: &mut Roster, report: &Report, now: Time) {
    match report {
        Report::Upsert(member) => {
            roster.upsert(member.clone(), now);
        }
        Report::Remove(id, revision) => {
            roster.remove(id, *revision, now);
        }
    }
}

const TARGETS: usize = 4;

fn id(target: usize) -> Target {
    format!("t{target}").as_str().into()
}

fn past() -> impl Strategy<Value = (usize, Past)> {
    let past = prop::sample::select(vec![Past::Start, Past::Start, Past::Drain, Past::Leave]);
    (0..TARGETS, past)
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => any::<bool>().prop_map(|by_neighbour| Event::List { by_neighbour }),
        3 => (0..TARGETS, any::<bool>())
            .prop_map(|(target, reaches)| Event::Rewrite { target, reaches }),
        1 => (0..20usize).prop_map(Event::Late),
        2 => (1..300u64).prop_map(Event::Elapse),
    ]
}

/// Applies what happened before the restoration; returns the copy, the truth and the reports.
fn play_past(
    events: &[(usize, Past)],
    copied_after: usize,
    roster: &mut Roster,
) -> (Store, BTreeMap<Target, Truth>, Vec<Report>) {
    let mut store = Store::default();
    let mut copy = store.clone();
    let mut truths: BTreeMap<Target, Truth> = BTreeMap::new();
    let mut reports = Vec::new();
    for (index, (target, past)) in events.iter().enumerate() {
        if index == copied_after {
            copy = store.clone();
        }
        let id = id(*target);
        let started_ms = 1000 + index as u64;
        let truth = truths.get(&id).copied();
        let truth = match (past, truth) {
            (Past::Start, _) => Truth {
                started_ms,
                draining: false,
                gone: false,
            },
            (Past::Drain, Some(truth)) if !truth.gone => Truth {
                draining: true,
                ..truth
            },
            (Past::Leave, Some(truth)) if !truth.gone => Truth {
                gone: true,
                ..truth
            },
            _ => continue,
        };
        truths.insert(id.clone(), truth);
        let report = if truth.gone {
            store.version += 1;
            store.rows.remove(&id);
            Report::Remove(id, store.cursor())
        } else {
            Report::Upsert(store.write(&id, truth))
        };
        deliver(roster, &report, at(0));
        reports.push(report);
    }
    if copied_after >= events.len() {
        copy = store;
    }
    (copy, truths, reports)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Guards against a row of the copy that lets a target get requests which is known to drain or
    /// to be gone, against a target that wrote its row again and is not used, and against a list
    /// that differs from that of the store after the settle time.
    #[test]
    fn rows_of_the_copy_undo_nothing(
        pasts in prop::collection::vec(past(), 0..16),
        copied_after in 0..16usize,
        events in prop::collection::vec(event(), 0..30),
    ) {
        let mut roster = Roster::default();
        let (mut store, truths, reports) = play_past(&pasts, copied_after, &mut roster);
        store.era = 1;
        let mut clock = 20_000;
        let mut rewritten: Vec<Target> = Vec::new();
        roster.merge_restored(store.list(), store.cursor(), at(clock));
        for event in events {
            match event {
                Event::List { by_neighbour: true } => {
                    roster.adopt(store.list(), store.cursor(), at(clock));
                }
                Event::List { by_neighbour: false } => {
                    roster.merge_restored(store.list(), store.cursor(), at(clock));
                }
                Event::Rewrite { target, reaches } => {
                    let id = id(target);
                    let Some(truth) = truths.get(&id).filter(|truth| !truth.gone) else {
                        continue;
                    };
                    let member = store.write(&id, *truth);
                    rewritten.push(id.clone());
                    if reaches {
                        roster.upsert(member, at(clock));
                        prop_assert_eq!(is_used(&roster, &id), !truth.draining);
                    }
                }
                Event::Late(index) => {
                    if let Some(report) = reports.get(index) {
                        deliver(&mut roster, report, at(clock));
                    }
                }
                // Live targets write again within the grace period, and the store drops the rows
                // of others within the settle time.
                Event::Elapse(millis) => {
                    let elapsed = clock + millis - 20_000;
                    if elapsed < 2000 {
                        clock += millis;
                        roster.expire(at(clock));
                    }
                }
            }
            for (id, truth) in &truths {
                let is_known_not_to_serve = truth.gone || truth.draining;
                prop_assert!(!is_known_not_to_serve || !is_used(&roster, id), "{id} is used");
                prop_assert!(is_known_not_to_serve || is_used(&roster, id), "{id} is not used");
            }
        }
        // The live targets that have not written their rows again do so, unheard.
        for (id, truth) in truths.iter().filter(|(_, truth)| !truth.gone) {
            store.write(id, *truth);
        }
        let live = |id: &Target| truths.get(id).is_some_and(|truth| !truth.gone);
        store.rows.retain(|id, _| live(id));
        store.version += 1;
        let settled = at(20_000) + LIST_SETTLE_TIME;
        roster.expire(settled);
        roster.replace(store.list(), store.cursor(), settled);
        roster.expire(settled + OUTAGE_GRACE);
        let mut expected = Roster::default();
        expected.replace(store.list(), store.cursor(), settled);
        prop_assert_eq!(roster.digest(), expected.digest());
        prop_assert_eq!(roster.iter().count(), expected.iter().count());
    }
}
