//! Small requests behind large ones that wait for memory, replayed in virtual time.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use fleet::dispatcher::{Dispatcher, Offer, Reply, Request};
use support::{at, granted};
use types::Target;

const LARGE: u64 = 7000;
const SMALL: u64 = 800;

fn request(number: u64, rank: u8, kv_tokens: u64) -> Request {
    support::request(number, rank, kv_tokens, Duration::from_millis(400))
}

/// Returns a target whose requests in flight take this much memory.
fn offer(target: &str, kv_tokens: u64, request: &Request) -> Offer {
    support::offer(target, 1, kv_tokens, request)
}

/// Returns the requests that were granted a target.
fn numbers(replies: &[(Request, Reply)]) -> Vec<u64> {
    let granted = replies.iter().filter(|(_, reply)| granted(reply).is_some());
    granted.map(|(request, _)| request.id.sequence).collect()
}

/// Guards against small requests that wait until they are refused, although there is room for them,
/// because the first requests of the queue need more memory than any target has left.
#[test]
fn large_requests_without_memory_do_not_block_small_ones() {
    let mut dispatcher = Dispatcher::default();
    let full = |request: &Request| {
        vec![
            offer("a", 34_000, request),
            offer("b", 34_500, request),
            offer("c", 35_000, request),
        ]
    };
    for number in 0..5 {
        let reply = dispatcher.on_request(request(number, 1, LARGE), full, 0, at(0));
        assert_eq!(reply, Reply::Queued);
    }
    dispatcher.poll(full, 0, at(1));
    let reply = dispatcher.on_request(request(10, 1, SMALL), full, 0, at(2));
    assert!(granted(&reply).is_some(), "{reply:?}");
    // A queued one passes as well: it arrives while all targets are busy.
    let busy = |request: &Request| {
        let mut offers = full(request);
        for offer in &mut offers {
            offer.candidate.load.running = 64;
        }
        offers
    };
    assert_eq!(
        dispatcher.on_request(request(11, 1, SMALL), busy, 0, at(3)),
        Reply::Queued
    );
    assert_eq!(numbers(&dispatcher.poll(full, 0, at(4))), [11]);
}

/// Guards against less urgent small requests that pass a more urgent one which could be placed.
#[test]
fn a_request_that_fits_is_not_passed() {
    let mut dispatcher = Dispatcher::default();
    let none = |_: &Request| Vec::new();
    for (number, rank, kv_tokens) in [(1, 2, SMALL), (2, 1, LARGE), (3, 0, SMALL)] {
        dispatcher.on_request(request(number, rank, kv_tokens), none, 0, at(0));
    }
    let replies = dispatcher.poll(|request| vec![offer("a", 20_000, request)], 0, at(5));
    assert_eq!(numbers(&replies), [3, 2, 1]);
}

/// The small requests that run at a target.
#[derive(Debug, Default)]
struct Engine {
    ends: VecDeque<u64>,
    large: bool,
}

/// Guards against a large request that starves behind a steady stream of small ones: three engines
/// whose memory the small ones could fill again and again.
#[test]
fn small_requests_do_not_starve_a_large_one() {
    let mut dispatcher = Dispatcher::default();
    let names = ["a", "b", "c"];
    let mut engines: [Engine; 3] = Default::default();
    let run_ms = 300;
    for engine in &mut engines {
        engine.ends = (0..44).map(|number| number * run_ms / 44).collect();
    }
    let mut large_at = None;
    for now in 0..800 {
        let offers = |engines: &[Engine; 3], request: &Request| {
            let loads = names.iter().zip(engines);
            let offers = loads.map(|(name, engine)| {
                let small = engine.ends.len() as u64 * SMALL;
                offer(name, small + if engine.large { LARGE } else { 0 }, request)
            });
            offers.collect::<Vec<Offer>>()
        };
        for engine in &mut engines {
            while engine.ends.front().is_some_and(|end| *end <= now) {
                engine.ends.pop_front();
            }
        }
        let mut replies = Vec::new();
        if now == 5 {
            let large = request(9999, 1, LARGE);
            dispatcher.on_request(large, |request| offers(&engines, request), 0, at(now));
        }
        // Twice as many small requests as the engines can take.
        let mut small = request(now, 1, SMALL);
        small.max_wait = Duration::from_millis(60);
        let reply = dispatcher.on_request(
            small.clone(),
            |request| offers(&engines, request),
            0,
            at(now),
        );
        replies.push((small, reply));
        replies.extend(dispatcher.poll(|request| offers(&engines, request), 0, at(now)));
        for (request, reply) in &replies {
            let Some(target) = granted(reply) else {
                continue;
            };
            let index = names
                .iter()
                .position(|name| *name == target)
                .expect("known");
            dispatcher.on_acknowledged(&request.id);
            match request.id.sequence {
                9999 => {
                    engines[index].large = true;
                    large_at = Some(now);
                }
                _ => engines[index].ends.push_back(now + run_ms),
            }
        }
    }
    let waited = large_at.expect("the large request is placed") - 5;
    assert!(waited <= 400, "{waited} ms");
}

/// Guards against an estimate of the wait that counts requests which the new one passes, and
/// refuses it at once.
#[test]
fn requests_that_are_passed_do_not_count_in_the_estimated_wait() {
    let mut dispatcher = Dispatcher::default();
    let roomy: Target = "a".into();
    let full = |request: &Request| vec![offer(&roomy, 36_000, request)];
    // Slow dispatches set a long expected wait for each request ahead.
    for number in 0..40 {
        let mut patient = request(number, 1, LARGE);
        patient.max_wait = Duration::from_secs(10);
        dispatcher.on_request(patient, full, 0, at(0));
    }
    let mut now = 0;
    let one_slot = |request: &Request| {
        let mut offer = offer("a", 0, request);
        offer.candidate.slots = 2;
        vec![offer]
    };
    for _ in 0..3 {
        now += 100;
        for (request, _) in dispatcher.poll(one_slot, 0, at(now)) {
            dispatcher.on_acknowledged(&request.id);
        }
    }
    assert!(dispatcher.queued() > 30);
    dispatcher.poll(full, 0, at(now + 1));
    let reply = dispatcher.on_request(request(100, 1, 3000), full, 0, at(now + 2));
    assert_eq!(reply, Reply::Queued);
}
