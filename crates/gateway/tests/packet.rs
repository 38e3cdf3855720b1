//! Datagrams between entries.

use std::time::Duration;

use fleet::kept::{Key, Late, Report};
use fleet::peers::Word;
use fleet::placement::Load;
use gateway::packet::{MOST_BYTES, Problem, open, seal};
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
    }
}

fn authentic(bytes: &[u8]) -> Vec<u8> {
    let mut datagram = blake3::keyed_hash(&SECRET, bytes).as_bytes().to_vec();
    datagram.extend_from_slice(bytes);
    datagram
}

#[test]
fn a_word_arrives_as_it_was_sent() {
    let datagram = seal(&SECRET, &word()).expect("a datagram");
    assert_eq!(open(&SECRET, &datagram), Ok(word()));
}

#[test]
fn a_word_of_a_stranger_is_not_used() {
    let datagram = seal(&[8; 32], &word()).expect("a datagram");
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
    assert!(matches!(seal(&SECRET, &long), Err(Problem::Malformed(_))));
}

proptest! {
    /// Guards against lengths that are allocated before they are checked.
    #[test]
    fn no_authentic_bytes_end_the_process(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut with_format = vec![3];
        with_format.extend_from_slice(&bytes);
        let _ = open(&SECRET, &authentic(&with_format));
    }
}
