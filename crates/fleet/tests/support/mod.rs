//! Placement requests and targets for tests of the dispatcher.

#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::time::Duration;

use fleet::cell::Cell;
use fleet::dispatcher::{Demand, Id, Offer, Reply, Request};
use fleet::placement::{Candidate, Load};
use types::Time;

/// The KV memory of a target, in tokens.
pub const KV_CAPACITY: u64 = 47_000;

pub fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Returns a request of a kind that may wait this long.
pub fn request(sequence: u64, rank: u8, kv_tokens: u64, patience: Duration) -> Request {
    Request {
        id: Id {
            sender: "entry-1".into(),
            incarnation: 7,
            sequence,
        },
        cell: Cell {
            service: "engines".into(),
            domain: Some("pier".into()),
            shard: 0,
            shards: 1,
        },
        rank,
        max_wait: patience,
        patience,
        queue: true,
        demand: Demand {
            kv_tokens,
            ..Demand::default()
        },
    }
}

/// Returns a target that prefills the prompt in a moment, with this load.
pub fn offer(target: &str, running: u32, kv_tokens: u64, request: &Request) -> Offer {
    Offer {
        target: target.into(),
        candidate: Candidate {
            load: Load {
                running,
                prefill_tokens: 0,
                kv_tokens,
            },
            backlog: Duration::ZERO,
            prefill_tokens: 10,
            prefill_time: Duration::from_millis(1),
            fetch_time: Duration::ZERO,
            slots: 64,
            kv_capacity: KV_CAPACITY,
            kv_tokens: request.demand.kv_tokens,
            remote: false,
            outdated: false,
        },
        resident: Vec::new(),
    }
}

/// Returns the granted target.
pub fn granted(reply: &Reply) -> Option<&str> {
    match reply {
        Reply::Granted(target, _) => Some(target),
        _ => None,
    }
}
