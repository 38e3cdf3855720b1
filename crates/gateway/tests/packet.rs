//! Datagrams between entries.

use std::time::Duration;

use fleet::cell::Cell;
use fleet::desk::{Ask, Demand, Name, Reply};
use fleet::kept::{Key, Late, Report};
use fleet::peers::{Update, Word};
use fleet::placement::Load;
use gateway::packet::{FORMAT, MOST_BYTES, Message, Problem, open, seal};
use proptest::prelude::*;

const SECRET: [u8; 32] = [7; 32];

fn word() -> Word {
    let key = Key {
        space: "m.1".into(),
        id: "5c1e".into(),
    };
    Word {
        from: "entry-1".into(),
        start: 9,
        number: 4,
        config: 12,
        proof: Some(77_000),
        operator: 900,
        warm: true,
        loads: vec![("t".into(), Load::default())],
        heard: vec![("t".into(), Duration::from_millis(120))],
        late: vec![(
            "store".into(),
            Late {
                sum_ms: -40.0,
                count: 3,
            },
        )],
        changing: vec!["t".into()],
        changed: vec![("u".into(), "m".into(), 2)],
        used: vec![("store".into(), key.clone())],
        retired: vec![("store".into(), key.clone())],
        hosts: vec![("store".into(), Some(77)), ("other".into(), None)],
        news: vec![(
            "store".into(),
            Report {
                held: true,
                key,
                tokens: 800,
            },
        )],
        delays: vec![(cell(), Duration::from_millis(70))],
        silent: vec!["entry-9".into()],
        reading: vec![(
            "big".into(),
            Key {
                space: "m.1".into(),
                id: "a".into(),
            },
        )],
        leaves: true,
    }
}

fn cell() -> Cell {
    Cell {
        service: "engines".into(),
        domain: Some("pier".into()),
        shard: 1,
        shards: 2,
    }
}

fn name() -> Name {
    Name {
        asker: "entry-1".into(),
        start: 9,
        number: 12,
    }
}

/// One message of each kind.
fn messages() -> Vec<Message> {
    let demand = Demand {
        model: Some("m".into()),
        team: Some("parks".into()),
        parts: vec![("5c1e".into(), 800), ("91bd".into(), 410)],
        own: 250,
        need: 1100,
        left_out: vec!["t".into()],
        unreached: vec!["pier".into()],
    };
    let ask = Ask {
        name: name(),
        cell: cell(),
        rank: 1,
        limit: Duration::from_millis(180),
        queue: true,
        demand,
    };
    let update = Update {
        from: "entry-1".into(),
        start: 9,
        number: 5,
        loads: vec![("t".into(), Load::default())],
        told: vec![12],
        heard: vec!["t".into()],
        failed: vec!["u".into()],
        refused: vec!["v".into()],
        changing: vec!["w".into()],
    };
    let replies = [
        Reply::Granted("t".into(), vec![true, false]),
        Reply::Waits,
        Reply::Busy(Duration::from_millis(30)),
        Reply::Refused(Duration::from_millis(900)),
        Reply::Elsewhere,
    ];
    let replies = replies.map(|reply| Message::Reply(name(), reply));
    let others = [
        Message::Word(word()),
        Message::Update(update),
        Message::Ask(ask),
        Message::Cancel(name()),
    ];
    others.into_iter().chain(replies).collect()
}

fn authentic(bytes: &[u8]) -> Vec<u8> {
    let mut datagram = blake3::keyed_hash(&SECRET, bytes).as_bytes().to_vec();
    datagram.extend_from_slice(bytes);
    datagram
}

#[test]
fn a_message_arrives_as_it_was_sent() {
    for message in messages() {
        let datagram = seal(&SECRET, &message).expect("a datagram");
        assert_eq!(open(&SECRET, &datagram), Ok(message));
    }
}

#[test]
fn a_word_of_a_stranger_is_not_used() {
    let datagram = seal(&[8; 32], &Message::Word(word())).expect("a datagram");
    assert_eq!(open(&SECRET, &datagram), Err(Problem::Forged));
    assert_eq!(open(&SECRET, &datagram[..20]), Err(Problem::Short));
}

/// Guards against an entry that ends by itself during an upgrade: a word of another layout was
/// decoded as a list of 174 TB, which cannot be allocated.
#[test]
fn a_word_of_another_layout_is_not_decoded() {
    let mut bytes = vec![1];
    bytes.extend_from_slice(&[0xfd; 200]);
    assert_eq!(open(&SECRET, &authentic(&bytes)), Err(Problem::Format(1)));
}

#[test]
fn a_word_that_fits_no_datagram_is_not_sent() {
    let mut long = word();
    long.from = "x".repeat(MOST_BYTES);
    assert!(matches!(
        seal(&SECRET, &Message::Word(long)),
        Err(Problem::Malformed(_))
    ));
}

proptest! {
    /// Guards against lengths that are allocated before they are checked.
    #[test]
    fn no_authentic_bytes_end_the_process(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut with_format = vec![FORMAT];
        with_format.extend_from_slice(&bytes);
        let _ = open(&SECRET, &authentic(&with_format));
    }
}
