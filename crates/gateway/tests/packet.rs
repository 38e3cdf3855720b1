//! Datagrams between entries.

use std::time::Duration;

use fleet::builds::Stream;
use fleet::cache::{Key, Lateness, Report};
use fleet::cell::Cell;
use fleet::dispatcher::{Demand, Id, Reply, Request};
use fleet::gossip::{Receipt, State, StoreState, Update};
use fleet::namespace::Scope;
use fleet::placement::Load;
use fleet::quarantine::{Evidence, Fingerprint, requests};
use gateway::packet::{FORMAT, MAX_DATAGRAM_BYTES, Message, Problem, open, seal};
use proptest::prelude::*;

const SECRET: [u8; 32] = [7; 32];

fn state() -> State {
    let key = Key {
        namespace: "m.1".into(),
        id: "5c1e".into(),
    };
    State {
        from: "entry-1".into(),
        incarnation: 9,
        sequence: 4,
        config_version: 12,
        evidence: Some(77_000),
        operator_version: 900,
        warm: true,
        loads: vec![("t".into(), Load::default())],
        last_heard: vec![("t".into(), Duration::from_millis(120))],
        lateness: vec![(
            "store".into(),
            Lateness {
                sum_ms: -40.0,
                count: 3,
            },
        )],
        updating: vec!["t".into()],
        updated: vec![("u".into(), "m".into(), 2)],
        used: vec![("store".into(), key.clone())],
        retired: vec![("store".into(), key.clone())],
        stores: vec![store_state("store", Some(77)), store_state("other", None)],
        evictors: vec![("store".into(), "entry-2".to_owned())],
        received: Some(Receipt {
            incarnation: 11,
            sequence: 800,
        }),
        reports: vec![(
            "store".into(),
            Report {
                present: true,
                key,
                tokens: 800,
            },
        )],
        queue_delays: vec![(cell(), Duration::from_millis(70))],
        suspected: vec!["entry-9".into()],
        crashes: vec![evidence()],
        crashing_requests: vec![request_evidence()],
        pinned: vec![(
            "big".into(),
            Key {
                namespace: "m.1".into(),
                id: "a".into(),
            },
        )],
        leaving: true,
    }
}

fn store_state(name: &str, boot: Option<u64>) -> StoreState {
    StoreState {
        store: name.into(),
        boot,
        age: Duration::from_millis(300),
        boot_age: Duration::from_millis(90_000),
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

fn evidence() -> Evidence {
    Evidence {
        segment: "12ca9047".into(),
        crashes: vec![(
            u64::MAX,
            Duration::from_millis(300),
            Duration::from_millis(20),
        )],
        begun: Some(Duration::from_secs(3)),
    }
}

fn request_evidence() -> requests::Evidence {
    requests::Evidence {
        request: Fingerprint([7; 16]),
        crashes: evidence().crashes,
        begun: None,
    }
}

fn id() -> Id {
    Id {
        sender: "entry-1".into(),
        incarnation: 9,
        sequence: 12,
    }
}

/// Returns messages of most kinds, with every reply.
fn messages() -> Vec<Message> {
    let demand = Demand {
        model: Some("m".into()),
        scope: Scope::Team("parks".into()),
        segments: vec![("5c1e".into(), 800), ("91bd".into(), 410)],
        unique_tokens: 250,
        kv_tokens: 1100,
        excluded: vec!["t".into()],
        unreachable: vec!["pier".into()],
        build: Some("1.1".into()),
    };
    let request = Request {
        id: id(),
        cell: cell(),
        rank: 1,
        max_wait: Duration::from_millis(170),
        patience: Duration::from_millis(180),
        queue: true,
        demand,
    };
    let update = Update {
        from: "entry-1".into(),
        incarnation: 9,
        sequence: 5,
        loads: vec![("t".into(), Load::default())],
        acknowledged: vec![12],
        heard: vec!["t".into()],
        failed: vec!["u".into()],
        refused: vec!["v".into()],
        updating: vec!["w".into()],
    };
    let replies = [
        Reply::Granted("t".into(), vec![true, false]),
        Reply::Queued,
        Reply::Busy(Duration::from_millis(30)),
        Reply::Refused(Duration::from_millis(900)),
        Reply::NotDispatcher,
    ];
    let replies = replies.map(|reply| Message::Reply(id(), reply, true));
    let others = [
        Message::State(Box::new(state())),
        Message::Update(update),
        Message::Request(request),
        Message::Cancel(id()),
        Message::Crashes(vec![evidence()]),
        Message::CrashingRequest(request_evidence()),
        Message::Began(vec![(Stream([3; 16]), "1.1".into())]),
        Message::AskOrigin(7, Stream([4; 16])),
        Message::Origin(7, "1.1".into()),
    ];
    others.into_iter().chain(replies).collect()
}

fn with_mac(bytes: &[u8]) -> Vec<u8> {
    let mut datagram = blake3::keyed_hash(&SECRET, bytes).as_bytes().to_vec();
    datagram.extend_from_slice(bytes);
    datagram
}

#[test]
fn messages_are_decoded_as_they_were_encoded() {
    for message in messages() {
        let datagram = seal(&SECRET, &message).expect("a datagram");
        assert_eq!(open(&SECRET, &datagram), Ok(message));
    }
}

#[test]
fn a_datagram_without_the_secret_is_rejected() {
    let datagram = seal(&[8; 32], &Message::State(Box::new(state()))).expect("a datagram");
    assert_eq!(open(&SECRET, &datagram), Err(Problem::Unauthenticated));
    assert_eq!(open(&SECRET, &datagram[..20]), Err(Problem::TooShort));
}

/// Guards against a crash during an upgrade: a datagram of another layout was decoded as a list of
/// 174 TB, which cannot be allocated.
#[test]
fn a_datagram_of_another_format_is_not_decoded() {
    let mut bytes = vec![1];
    bytes.extend_from_slice(&[0xfd; 200]);
    assert_eq!(
        open(&SECRET, &with_mac(&bytes)),
        Err(Problem::UnsupportedFormat(1))
    );
}

#[test]
fn an_oversized_message_is_not_encoded() {
    let mut oversized = state();
    oversized.from = "x".repeat(MAX_DATAGRAM_BYTES);
    assert!(matches!(
        seal(&SECRET, &Message::State(Box::new(oversized))),
        Err(Problem::Malformed(_))
    ));
}

proptest! {
    /// Guards against allocating a length before it is checked.
    #[test]
    fn decoding_of_authentic_bytes_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut payload = vec![FORMAT];
        payload.extend_from_slice(&bytes);
        let _ = open(&SECRET, &with_mac(&payload));
    }
}

/// Guards against numbers of another entry that overflow when the loads and segments of several
/// targets are added.
#[test]
fn extreme_numbers_of_another_entry_are_limited() {
    let mut state = state();
    let load = Load {
        running: u32::MAX,
        prefill_tokens: u64::MAX,
        kv_tokens: u64::MAX,
    };
    state.loads = vec![("t".into(), load), ("u".into(), load)];
    let report = |id: &str| {
        let key = Key {
            namespace: "m.1".into(),
            id: id.into(),
        };
        let tokens = u64::MAX;
        let present = true;
        (
            "store".into(),
            Report {
                present,
                key,
                tokens,
            },
        )
    };
    state.reports = vec![report("a"), report("b")];
    let datagram = seal(&SECRET, &Message::State(Box::new(state))).expect("a datagram");
    let Ok(Message::State(state)) = open(&SECRET, &datagram) else {
        panic!("a state");
    };
    let mut tokens = state.reports.iter().map(|(_, report)| report.tokens);
    assert!(tokens.try_fold(0_u64, u64::checked_add).is_some());
    let mut running = state.loads.iter().map(|(_, load)| load.running);
    assert!(running.try_fold(0_u32, u32::checked_add).is_some());
    let mut kv_tokens = state.loads.iter().map(|(_, load)| load.kv_tokens);
    assert!(kv_tokens.try_fold(0_u64, u64::checked_add).is_some());
}
