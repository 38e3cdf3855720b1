//! Words between entries.

use fleet::peers::{Peers, Word};
use fleet::placement::Load;
use types::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn word(from: &str, number: u64, running: u32) -> Word {
    let load = Load {
        running,
        reading: 0,
        memory: u64::from(running) * 1000,
    };
    Word {
        from: from.to_owned(),
        start: 7,
        number,
        loads: vec![("t".into(), load)],
        ..Word::default()
    }
}

fn running(peers: &Peers, own: u32, count: usize) -> u32 {
    let own = Load {
        running: own,
        ..Load::default()
    };
    peers.total(&"t".into(), own, count).running
}

/// Guards against words that are counted twice or arrive out of order.
#[test]
fn only_the_newest_word_of_a_peer_counts() {
    let mut peers = Peers::default();
    assert!(peers.on_word(&word("a", 2, 3), at(0)));
    assert!(!peers.on_word(&word("a", 1, 9), at(1)));
    assert!(!peers.on_word(&word("a", 2, 9), at(2)));
    assert_eq!(running(&peers, 1, 1), 4);
    assert!(peers.on_word(&word("a", 3, 5), at(3)));
    assert_eq!(running(&peers, 1, 1), 6);
}

/// Guards against an entry that hears nobody and takes all targets for idle.
#[test]
fn without_words_the_others_are_assumed_to_do_the_same() {
    let mut peers = Peers::default();
    assert_eq!(running(&peers, 2, 4), 10);
    peers.on_word(&word("a", 1, 3), at(0));
    peers.expire(4, at(10_000));
    assert_eq!(running(&peers, 2, 4), 10);
}

/// Guards against a peer that restarted and whose words count as old.
#[test]
fn a_restarted_peer_is_heard_again() {
    let mut peers = Peers::default();
    peers.on_word(&word("a", 90, 3), at(0));
    let mut first = word("a", 1, 1);
    first.start = 8;
    assert!(peers.on_word(&first, at(1)));
    assert_eq!(running(&peers, 0, 1), 1);
}

/// Guards against peers that are left out, or a cost that grows with the number of entries.
#[test]
fn each_peer_has_its_turn_within_a_cycle() {
    let names: Vec<String> = (0..23).map(|index| index.to_string()).collect();
    let mut peers = Peers::default();
    let ticks = Peers::cycle(names.len()).as_millis() / fleet::peers::TICK.as_millis();
    let mut told = std::collections::BTreeSet::new();
    for _ in 0..ticks {
        let turn = peers.turn(&names);
        assert!(turn.len() <= fleet::peers::FAN_OUT);
        told.extend(turn.into_iter().map(str::to_owned));
    }
    assert_eq!(told.len(), names.len());
}

/// Guards against an entry that reads old data and goes on with keys that were taken away, and
/// against one that closes its doors in the moment in which all learn of a change.
#[test]
fn a_newer_configuration_of_others_counts_after_a_moment() {
    let mut peers = Peers::default();
    let mut newer = word("a", 1, 0);
    newer.config = 8;
    peers.on_word(&newer, at(1000));
    newer.number = 2;
    peers.on_word(&newer, at(1500));
    assert!(!peers.is_ahead(7, at(1900)));
    assert!(peers.is_ahead(7, at(2000)));
    assert!(!peers.is_ahead(8, at(2000)));
}
