//! Gossip between entries.

use fleet::cache::{Key, Report};
use fleet::gossip::{Peers, State};
use fleet::placement::Load;
use types::{Revision, Time};

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn state(from: &str, sequence: u64, running: u32) -> State {
    let load = Load {
        running,
        prefill_tokens: 0,
        kv_tokens: u64::from(running) * 1000,
    };
    State {
        from: from.to_owned(),
        incarnation: 7,
        sequence,
        loads: vec![("t".into(), load)],
        ..State::default()
    }
}

fn running(peers: &Peers, own: u32, count: usize) -> u32 {
    let own = Load {
        running: own,
        ..Load::default()
    };
    peers.total_load(&"t".into(), own, count).running
}

/// Guards against messages that are counted twice or out of order.
#[test]
fn only_the_newest_message_of_a_peer_counts() {
    let mut peers = Peers::default();
    assert!(peers.on_state(&state("a", 2, 3), at(0)));
    assert!(!peers.on_state(&state("a", 1, 9), at(1)));
    assert!(!peers.on_state(&state("a", 2, 9), at(2)));
    assert_eq!(running(&peers, 1, 1), 4);
    assert!(peers.on_state(&state("a", 3, 5), at(3)));
    assert_eq!(running(&peers, 1, 1), 6);
}

/// Guards against an entry that receives no messages and considers all targets idle.
#[test]
fn without_messages_peers_are_assumed_to_have_the_same_load() {
    let mut peers = Peers::default();
    assert_eq!(running(&peers, 2, 4), 10);
    peers.on_state(&state("a", 1, 3), at(0));
    peers.expire(4, at(10_000));
    assert_eq!(running(&peers, 2, 4), 10);
}

/// Guards against a restarted peer whose messages count as old.
#[test]
fn messages_of_a_restarted_peer_count() {
    let mut peers = Peers::default();
    peers.on_state(&state("a", 90, 3), at(0));
    let mut first = state("a", 1, 1);
    first.incarnation = 8;
    assert!(peers.on_state(&first, at(1)));
    assert_eq!(running(&peers, 0, 1), 1);
}

/// Guards against peers that never get a message, and a cost that grows with the number of entries.
#[test]
fn each_peer_gets_a_message_within_a_round() {
    let names: Vec<String> = (0..23).map(|index| index.to_string()).collect();
    let mut peers = Peers::default();
    let ticks = Peers::round(names.len()).as_millis() / fleet::gossip::INTERVAL.as_millis();
    let mut recipients = std::collections::BTreeSet::new();
    for _ in 0..ticks {
        let chosen = peers.next_recipients(&names);
        assert!(chosen.len() <= fleet::gossip::FAN_OUT);
        recipients.extend(chosen.into_iter().map(str::to_owned));
    }
    assert_eq!(recipients.len(), names.len());
}

/// Guards against an entry that reads stale data and continues to accept revoked keys, and against
/// one that refuses requests in the moment in which all entries learn of a change.
#[test]
fn a_newer_configuration_of_peers_counts_after_a_delay() {
    let mut peers = Peers::default();
    let mut newer = state("a", 1, 0);
    newer.config_version = 8;
    peers.on_state(&newer, at(1000));
    newer.sequence = 2;
    peers.on_state(&newer, at(1500));
    assert!(!peers.has_newer_config(7, at(1900)));
    assert!(peers.has_newer_config(7, at(2000)));
    assert!(!peers.has_newer_config(8, at(2000)));
}

fn retired_key(name: usize) -> Key {
    Key {
        namespace: "m.1".into(),
        id: name.to_string().into(),
    }
}

fn announce_retired(peers: &mut Peers, names: std::ops::Range<usize>) {
    for name in names {
        let key = retired_key(name);
        peers.on_retired("big".into(), key);
    }
}

/// Guards against evicting segments before all entries have received a message that lists them,
/// with so many entries that a gossip round takes seconds; and against an entry that starts
/// meanwhile, and gets its first message after the eviction but before the host's report of it.
#[test]
fn retired_segments_are_listed_until_three_rounds_after_their_eviction() {
    for count in [1, 27, 100, 300] {
        let mut peers = Peers::default();
        announce_retired(&mut peers, 0..2);
        let rounds = Peers::round(count) * 3;
        peers.expire(count, at(60_000));
        assert_eq!(peers.segments().retired.len(), 2, "{count} entries");
        peers.on_evicted(&"big".into(), &[retired_key(0)], at(60_000));
        peers.expire(count, at(60_000) + rounds);
        assert_eq!(peers.segments().retired.len(), 2, "{count} entries");
        peers.expire(count, at(90_000));
        let left = peers.segments().retired;
        assert_eq!(left, [("big".into(), retired_key(1))], "{count} entries");
    }
}

/// Guards against retired segments that newer ones displace from the messages.
#[test]
fn every_message_lists_all_retired_segments() {
    let mut peers = Peers::default();
    let (mut next, mut evicted) = (0, 0);
    for tick in 0..100 {
        let now = at(tick * 100);
        peers.expire(27, now);
        let count = peers.retire_capacity().min(30);
        announce_retired(&mut peers, next..next + count);
        next += count;
        let listed = peers.segments().retired;
        for name in evicted..next {
            assert!(listed.iter().any(|(_, key)| *key == retired_key(name)));
        }
        assert!(listed.len() <= 80, "{tick}");
        assert!(
            peers.retire_capacity() + (next - evicted) == 80,
            "at tick {tick}"
        );
        // They are evicted after two seconds.
        if tick % 20 == 19 {
            let keys: Vec<Key> = (evicted..next).map(retired_key).collect();
            peers.on_evicted(&"big".into(), &keys, now);
            evicted = next;
        }
    }
    assert!(next >= 400, "{next}");
}

fn suspecting(from: &str, sequence: u64, suspected: &[&str]) -> State {
    State {
        suspected: suspected.iter().map(|name| (*name).to_owned()).collect(),
        ..state(from, sequence, 0)
    }
}

/// Guards against evicting segments that an entry behind a network partition is still using.
#[test]
fn eviction_waits_for_a_suspected_entry_that_peers_hear() {
    let mut peers = Peers::default();
    peers.on_state(&state("a", 1, 0), at(0));
    peers.on_state(&state("b", 1, 0), at(0));
    peers.expire(27, at(1000));
    assert!(peers.may_evict());
    peers.on_state(&state("b", 2, 0), at(1900));
    peers.expire(27, at(2000));
    assert_eq!(peers.suspected(), ["a"]);
    assert!(!peers.may_evict());
    // The entry is back.
    peers.on_state(&state("a", 2, 0), at(7000));
    peers.on_state(&state("b", 3, 0), at(7000));
    peers.expire(27, at(7000));
    assert!(peers.may_evict());
    // An entry that is shutting down no longer uses anything.
    let last = State {
        leaving: true,
        ..state("a", 3, 0)
    };
    peers.on_state(&last, at(7100));
    peers.on_state(&state("b", 4, 0), at(9900));
    peers.expire(27, at(10_000));
    assert!(peers.may_evict());
}

/// Guards against hosts that fill up because an entry is dead or stalled: no entry hears from it,
/// and it uses nothing before it has read the reports.
#[test]
fn eviction_does_not_wait_for_an_entry_that_nobody_hears() {
    let mut peers = Peers::default();
    for name in ["a", "b", "c"] {
        peers.on_state(&state(name, 1, 0), at(0));
    }
    for name in ["b", "c"] {
        peers.on_state(&state(name, 2, 0), at(1500));
    }
    peers.expire(27, at(2000));
    assert!(!peers.may_evict());
    peers.on_state(&suspecting("b", 3, &["a"]), at(2100));
    assert!(!peers.may_evict());
    peers.on_state(&suspecting("c", 3, &["a"]), at(2200));
    assert!(peers.may_evict());
    // Only the latest message of each entry counts.
    peers.on_state(&suspecting("c", 4, &[]), at(2300));
    assert!(!peers.may_evict());
    peers.on_state(&suspecting("c", 5, &["a"]), at(2400));
    // An entry that has just started never heard from it.
    peers.on_state(&suspecting("d", 1, &[]), at(2500));
    assert!(peers.may_evict());
    // A dead entry is dropped after a while.
    for number in 6..20 {
        for name in ["b", "c"] {
            peers.on_state(&suspecting(name, number, &[]), at(number * 1000));
        }
    }
    peers.expire(27, at(19_100));
    assert!(peers.may_evict());
}

/// Guards against an entry that missed a restoration of the table store, whose versions are lower
/// afterwards, and does not see that it is behind.
#[test]
fn an_entry_of_the_era_before_is_behind() {
    let mut peers = Peers::default();
    let mut report = state("a", 1, 0);
    report.operator_version = Revision::new(1, 900).into();
    peers.on_state(&report, at(0));
    let later = at(60_000);
    let own = u64::from(Revision::new(1, 900));
    assert!(!peers.has_newer_operator_data(own, later));
    // The peer has read a snapshot of the restored store, which shows no change yet.
    report.sequence = 2;
    report.operator_version = Revision::new(2, 0).into();
    peers.on_state(&report, at(1000));
    assert!(peers.has_newer_operator_data(own, later));
    let snapshot = u64::from(Revision::new(2, 40));
    assert!(!peers.has_newer_operator_data(snapshot, later));
    // A late report of the era before does not hide the newer one.
    let mut late = state("b", 1, 0);
    late.operator_version = Revision::new(1, 1200).into();
    peers.on_state(&late, at(1100));
    assert!(peers.has_newer_operator_data(own, later));
    assert!(!peers.has_newer_operator_data(snapshot, later));
    report.sequence = 3;
    report.operator_version = Revision::new(2, 41).into();
    peers.on_state(&report, at(1200));
    assert!(peers.has_newer_operator_data(snapshot, later));
}

/// Guards against an entry that counts as behind forever because of a configuration that was given
/// up after a restoration of the table store.
#[test]
fn a_configuration_that_was_given_up_is_not_newer() {
    let mut peers = Peers::default();
    let mut report = state("a", 1, 0);
    report.config_version = 6;
    peers.on_state(&report, at(0));
    let later = at(60_000);
    assert!(peers.has_newer_config(5, later));
    peers.on_reverted(6);
    assert!(!peers.has_newer_config(5, later));
    // Another entry still uses it.
    report.sequence = 2;
    peers.on_state(&report, at(100));
    assert!(!peers.has_newer_config(5, later));
    report.sequence = 3;
    report.config_version = 7;
    peers.on_state(&report, at(200));
    assert!(peers.has_newer_config(6, later));
}

/// Guards against reports of a host's former boot that are forwarded as those of the new one: the
/// segments are gone, or are just being saved again (MIXED check).
#[test]
fn reports_of_a_former_boot_are_not_forwarded() {
    let report = |id: &str| Report {
        present: true,
        key: Key {
            namespace: "m.1".into(),
            id: id.into(),
        },
        tokens: 800,
    };
    let mut peers = Peers::default();
    peers.on_reports(&"big".into(), 1, &[report("a")], at(0));
    peers.on_reports(&"other".into(), 7, &[report("b")], at(0));
    peers.on_reports(&"big".into(), 2, &[report("c")], at(50));
    let forwarded = peers.reports().into_iter();
    let forwarded: Vec<String> = forwarded
        .map(|(_, report)| report.key.id.to_string())
        .collect();
    assert_eq!(forwarded, ["b", "c"]);
}

/// Guards against an entry that hears no other one, and evicts what they fetch or fetches what they
/// evict: it may be the one that is cut off.
#[test]
fn an_entry_that_hears_no_other_one_is_isolated() {
    let mut peers = Peers::default();
    let started = at(1000);
    assert!(!peers.is_isolated(0, started, at(1000)));
    assert!(peers.is_isolated(2, started, at(1000)));
    peers.on_state(&state("a", 1, 0), at(1500));
    assert!(!peers.is_isolated(2, started, at(1500)));
    peers.expire(2, at(2500));
    assert_eq!(peers.count(), 0);
    assert!(peers.is_isolated(2, started, at(21_400)));
    // The others are gone for good.
    assert!(!peers.is_isolated(2, started, at(21_500)));
}
