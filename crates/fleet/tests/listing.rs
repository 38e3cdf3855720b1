//! Discovery of targets through neighbours.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::cell::Node;
use fleet::discovery::{Action, HEARTBEAT, Limits, MAX_LEADERS, Neighbours, Notice, leaders};
use fleet::roster::{Member, Roster};
use proptest::prelude::*;
use types::{Target, Time};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn neighbours() -> Neighbours {
    Neighbours::new(Limits::new(Duration::from_millis(4000)))
}

fn member(id: &str, revision: u64, draining: bool) -> Member {
    Member {
        id: id.into(),
        service: "engines".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        domain: "pier".into(),
        slots: 4,
        draining,
        cold_remaining: Duration::ZERO,
        started_ms: None,
        build: "1".into(),
        weights: Vec::new(),
        revision,
    }
}

fn notice(from: &str, cursor: u64, digest: u64, staleness_ms: u64) -> Notice {
    Notice {
        from: from.to_owned(),
        cursor,
        staleness: Duration::from_millis(staleness_ms),
        digest,
        ..Notice::default()
    }
}

/// Guards against all entries polling the table store, and against failure domains without a
/// leader.
#[test]
fn two_leaders_of_each_domain_poll_the_store() {
    let nodes: Vec<Node> = (0..300)
        .map(|index| Node {
            name: format!("entry-{index}"),
            domain: format!("d{}", index % 6).as_str().into(),
            weight: 0.1,
        })
        .collect();
    let mut all = Vec::new();
    for domain in 0..6 {
        let domain = format!("d{domain}");
        let chosen = leaders(&domain.as_str().into(), &nodes, |_| true);
        assert_eq!(chosen.len(), MAX_LEADERS);
        let first = chosen[0].clone();
        let without = leaders(&domain.as_str().into(), &nodes, |name| name != first);
        assert_eq!(without.len(), MAX_LEADERS);
        assert!(!without.contains(&first));
        assert_eq!(without[0], chosen[1]);
        all.extend(chosen);
    }
    assert_eq!(all.len(), 12);
}

/// Guards against entries that rely on a neighbour which has failed or is rejected by the table
/// store.
#[test]
fn without_an_up_to_date_neighbour_the_store_is_polled() {
    let mut neighbours = neighbours();
    assert_eq!(
        neighbours.next_action(false, false, Some(5), at(0)),
        Action::PollStore(Some(5))
    );
    neighbours.on_notice(&notice("a", 10, 7, 100), 7, at(0));
    assert_eq!(
        neighbours.next_action(false, false, Some(5), at(1500)),
        Action::Idle
    );
    // No heartbeat; the changes continue from the version at which the lists were identical.
    assert_eq!(
        neighbours.next_action(false, false, Some(5), at(1700)),
        Action::PollStore(Some(10))
    );
    for heartbeat in 0..8 {
        let now = 2000 + heartbeat * 500;
        neighbours.on_notice(&notice("a", 10, 7, 100 + heartbeat * 500), 7, at(now));
    }
    assert_eq!(
        neighbours.next_action(false, false, Some(5), at(5600)),
        Action::PollStore(Some(10))
    );
}

/// How often an entry that relies on its neighbours checks their lists.
const CHECK_INTERVAL: u64 = 200;

/// Guards against requests to a target that has left, by an entry that relies on its neighbours
/// while both leaders have lost the table store (DRAIN check); and against polls of the store by
/// followers of a healthy leader. The leader's call is answered at the end of each wait.
#[test]
fn a_follower_polls_the_store_before_the_drain_limit() {
    for drain_ms in [1000, 2000, 3000, 4000] {
        let limits = Limits::new(Duration::from_millis(drain_ms));
        let mut neighbours = Neighbours::new(limits);
        let wait = u64::try_from(limits.max_wait.as_millis()).expect("a few seconds");
        let mut replied = 0;
        for now in (0..20_000).step_by(50) {
            if now - replied >= wait || now % 500 == 0 {
                replied = if now - replied >= wait { now } else { replied };
                neighbours.on_notice(&notice("a", 10, 7, now - replied), 7, at(now));
            }
            if now % CHECK_INTERVAL == 0 {
                let next = neighbours.next_action(false, false, Some(10), at(now));
                assert_eq!(next, Action::Idle, "{drain_ms}, at {now}");
            }
        }
        // The leaders lose the store just after their last reply, and go on with their heartbeats.
        for now in (20_000..30_000).step_by(50) {
            if now % 500 == 0 {
                neighbours.on_notice(&notice("a", 10, 7, now - replied), 7, at(now));
            }
            if now % CHECK_INTERVAL == 0 {
                let next = neighbours.next_action(false, false, Some(10), at(now));
                let is_late = now - replied >= drain_ms;
                assert!(next != Action::Idle || !is_late, "{drain_ms}, at {now}");
            }
        }
    }
}

/// Guards against hundreds of entries that all read each change while they start together, before
/// they receive notices of their neighbours.
#[test]
fn a_new_entry_waits_for_its_neighbours_for_a_moment() {
    let mut neighbours = neighbours();
    assert_eq!(
        neighbours.next_action(false, true, Some(5), at(0)),
        Action::Idle
    );
    assert_eq!(
        neighbours.next_action(false, true, None, at(0)),
        Action::PollStore(None)
    );
    assert_eq!(
        neighbours.next_action(true, true, Some(5), at(0)),
        Action::PollStore(Some(5))
    );
}

/// Guards against a list that stays wrong after a lost notice.
#[test]
fn a_diverged_list_is_read_completely() {
    let mut neighbours = neighbours();
    neighbours.on_notice(&notice("a", 10, 7, 100), 7, at(0));
    neighbours.on_notice(&notice("a", 12, 8, 100), 7, at(500));
    assert_eq!(
        neighbours.next_action(false, false, Some(5), at(700)),
        Action::Idle
    );
    neighbours.on_notice(&notice("a", 12, 8, 100), 7, at(1000));
    let next = neighbours.next_action(false, false, Some(5), at(1400));
    assert_eq!(next, Action::Fetch("a".to_owned()));
    neighbours.on_fetch_failed("a".to_owned(), at(1400));
    assert_eq!(
        neighbours.next_action(false, false, Some(5), at(1400)),
        Action::Idle
    );
    neighbours.on_fetched();
    neighbours.on_notice(&notice("a", 12, 8, 100), 8, at(1500));
    assert_eq!(
        neighbours.next_action(false, false, Some(5), at(3000)),
        Action::Idle
    );
}

/// Guards against a leader that reads the whole list from the table store whenever its list briefly
/// differs from that of the other leader.
#[test]
fn a_leader_continues_with_changes() {
    let mut neighbours = neighbours();
    for now in 0..20 {
        neighbours.on_notice(&notice("a", 10 + now, now, 100), 1000 + now, at(now * 500));
    }
    assert_eq!(
        neighbours.next_action(true, false, Some(25), at(9600)),
        Action::PollStore(Some(25))
    );
    assert_eq!(
        neighbours.next_action(true, false, None, at(9600)),
        Action::PollStore(None)
    );
}

/// Guards against a late report by another path that restores a removed target, or lets a draining
/// one get requests.
#[test]
fn of_two_reports_the_newer_row_counts() {
    let mut roster = Roster::default();
    assert!(roster.upsert(member("a", 5, true), at(0)));
    assert!(!roster.upsert(member("a", 4, false), at(10)));
    assert!(
        roster
            .get(&"a".into())
            .is_some_and(|record| record.member.draining)
    );
    assert!(!roster.remove(&"a".into(), 4, at(20)));
    assert!(roster.remove(&"a".into(), 6, at(30)));
    assert!(!roster.upsert(member("a", 5, false), at(40)));
    assert!(roster.get(&"a".into()).is_none());
    assert!(roster.upsert(member("a", 7, false), at(50)));
}

/// A change of one row in the table store.
#[derive(Debug, Clone)]
struct Change {
    target: usize,
    draining: bool,
    removed: bool,
}

fn change() -> impl Strategy<Value = Change> {
    (0..8usize, any::<bool>(), any::<bool>()).prop_map(|(target, draining, removed)| Change {
        target,
        draining,
        removed,
    })
}

proptest! {
    /// Guards against lists that do not converge when notices are lost, delayed or duplicated:
    /// within some heartbeats after the last change, an entry has the list of the leaders.
    #[test]
    fn lists_converge(
        changes in prop::collection::vec(change(), 1..60),
        outcomes in prop::collection::vec((0..4u8, any::<bool>()), 200),
    ) {
        let mut store: BTreeMap<Target, Option<Member>> = BTreeMap::new();
        let mut leader_lists = [Roster::default(), Roster::default()];
        let mut read = [0u64; 2];
        let mut own = Roster::default();
        let mut neighbours = neighbours();
        let mut cursor = Some(0);
        let mut rows: Vec<(u64, Target, Option<Member>)> = Vec::new();
        let mut delayed: Vec<Notice> = Vec::new();
        let mut outcomes = outcomes.into_iter().cycle();
        let end = changes.len() as u64 + 12;
        let mut changes = changes.into_iter();
        for step in 0..end {
            let now = at(step * u64::try_from(HEARTBEAT.as_millis()).expect("short"));
            let revision = step + 1;
            if let Some(change) = changes.next() {
                let id: Target = format!("t{}", change.target).as_str().into();
                let row = (!change.removed).then(|| member(&id, revision, change.draining));
                store.insert(id.clone(), row.clone());
                rows.push((revision, id, row));
            }
            for (index, leader) in leader_lists.iter_mut().enumerate() {
                let (outcome, lags) = outcomes.next().expect("endless");
                if lags && step + 6 < end {
                    continue;
                }
                let mut notice = notice(["a", "b"][index], revision, 0, 100);
                for (at_row, id, row) in rows.iter().filter(|(at_row, ..)| *at_row > read[index]) {
                    match row {
                        Some(row) => {
                            leader.upsert(row.clone(), now);
                            notice.updated.push(row.clone());
                        }
                        None => {
                            leader.remove(id, *at_row, now);
                            notice.removed.push((id.clone(), *at_row));
                        }
                    }
                }
                read[index] = revision;
                notice.digest = leader.digest();
                let lost = outcome == 0 && step + 6 < end;
                if outcome == 1 {
                    delayed.push(notice.clone());
                }
                if !lost {
                    apply(&mut own, &mut neighbours, &notice, now);
                }
            }
            if step % 3 == 0
                && let Some(notice) = delayed.pop()
            {
                apply(&mut own, &mut neighbours, &notice, now);
            }
            match neighbours.next_action(false, false, cursor, now) {
                Action::Idle => {}
                Action::Fetch(name) => {
                    let index = usize::from(name == "b");
                    let members = leader_lists[index].iter().map(|record| Member::clone(&record.member));
                    own.replace(members.collect(), read[index], now);
                    neighbours.on_fetched();
                }
                Action::PollStore(_) => {
                    for (at_row, id, row) in &rows {
                        match row {
                            Some(row) => { own.upsert(row.clone(), now); }
                            None => { own.remove(id, *at_row, now); }
                        }
                    }
                    cursor = Some(revision);
                }
            }
        }
        // A row may have been rewritten with the same content, which need not be propagated.
        let expected: Vec<u64> = store.values().flatten().map(Member::fingerprint).collect();
        let mut actual: Vec<&Member> = own.iter().map(|record| &*record.member).collect();
        actual.sort_by(|one, other| one.id.cmp(&other.id));
        let actual: Vec<u64> = actual.into_iter().map(Member::fingerprint).collect();
        prop_assert_eq!(actual, expected);
    }
}

fn apply(own: &mut Roster, neighbours: &mut Neighbours, notice: &Notice, now: Time) {
    for member in &notice.updated {
        own.upsert(member.clone(), now);
    }
    for (id, revision) in &notice.removed {
        own.remove(id, *revision, now);
    }
    neighbours.on_notice(notice, own.digest(), now);
}
