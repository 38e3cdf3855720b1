//! Checks the encoded size of each message, as stated in `docs/control.md`.

mod common;

use std::sync::Arc;

use common::{address, member, message_size, rules};
use control::{Body, Change, Fetch, Gossip, Message, Record, Stamp, Update, diff};
use types::Version;

fn gossip(records: usize) -> Message {
    Message::Gossip(Gossip {
        from: address(3_000),
        ready: true,
        version: Version(100_000),
        hosts: Stamp {
            count: 10_000,
            reader: u16::MAX,
        },
        size: 3_330,
        members: u64::MAX,
        records: (0..records)
            .map(|index| Arc::<Record>::from(member(index + 90)))
            .collect(),
    })
}

/// Guards against messages that exceed the sizes on which the budget of 4 KB/s per node is based.
#[test]
fn message_sizes_stay_within_limits() {
    let one_line = Update {
        config: Some(Change {
            version: Version(100_001),
            digest: [7; 32],
            body: Body::Delta(diff(&rules(4_200, 0), &rules(4_200, 2_100))),
        }),
        hosts: None,
    };
    let fetch = Fetch {
        version: Version(100_000),
        full: false,
        hosts: Stamp::default(),
    };
    let answer = (0..204).map(|index| Arc::<Record>::from(member(index + 90)));
    let messages = [
        ("Gossip without records", gossip(0), 50),
        ("Gossip with 8 records", gossip(8), 1_300),
        ("Fetch", Message::Fetch(fetch), 30),
        (
            "Update of two changed lines",
            Message::Update(one_line),
            400,
        ),
        ("Compare", Message::Compare(vec![u32::MAX; 256]), 1_400),
        ("Records, 204", Message::Records(answer.collect()), 32_000),
        ("Probe", Message::Probe(address(3_000)), 30),
        ("Probed", Message::Probed(true), 10),
    ];
    for (name, message, limit) in &messages {
        let bytes = message_size(message);
        println!("{name}: {bytes} bytes");
        assert!(bytes <= *limit, "{name} takes {bytes} bytes");
    }
}
