//! Requests that cannot wait, behind long ones that have taken the memory, replayed in virtual time.

mod support;

use std::time::Duration;

use fleet::dispatcher::{Dispatcher, Offer, Request};
use fleet::reserve::Reserve;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{at, granted, offer};

const TARGETS: [&str; 9] = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];

/// A kind of requests.
#[derive(Debug, Clone, Copy)]
struct Kind {
    kv_tokens: u64,
    run_ms: u64,
    max_wait: Duration,
    /// The probability of an arrival in each millisecond.
    rate: f64,
}

/// Short prompts with an objective of 400 ms; more of them than fit beside the long ones.
const SHORT: Kind = Kind {
    kv_tokens: 1000,
    run_ms: 1700,
    max_wait: Duration::from_millis(180),
    rate: 0.15,
};

/// Long prompts with an objective of 1,200 ms.
const LONG: Kind = Kind {
    kv_tokens: 7000,
    run_ms: 800,
    max_wait: Duration::from_millis(540),
    rate: 0.02,
};

fn request(sequence: u64, kind: Kind) -> Request {
    support::request(sequence, 1, kind.kv_tokens, kind.max_wait)
}

/// Replays a burst. Returns the share of the requests of each kind that was placed.
fn replay(kinds: [Kind; 2]) -> [f64; 2] {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut dispatcher = Dispatcher::default();
    // The end and the memory of each request that runs, by target.
    let mut running: Vec<Vec<(u64, u64)>> = vec![Vec::new(); TARGETS.len()];
    let (mut arrived, mut placed) = ([0.0; 2], [0.0; 2]);
    let mut sequence = 0;
    for now in 0..6000 {
        for requests in &mut running {
            requests.retain(|(end, _)| *end > now);
        }
        let offers = |running: &[Vec<(u64, u64)>], request: &Request| {
            let targets = TARGETS.iter().zip(running);
            let offers = targets.map(|(target, requests)| {
                let count = u32::try_from(requests.len()).expect("few");
                let kv_tokens = requests.iter().map(|(_, tokens)| tokens).sum();
                offer(target, count, kv_tokens, request)
            });
            offers.collect::<Vec<Offer>>()
        };
        let mut replies = Vec::new();
        for (index, kind) in kinds.into_iter().enumerate() {
            if random.random_bool(kind.rate) {
                sequence += 2;
                let request = request(sequence + index as u64, kind);
                arrived[index] += 1.0;
                let offers = |request: &Request| offers(&running, request);
                let reply = dispatcher.on_request(request.clone(), offers, 0, at(now));
                replies.push((request, reply));
            }
        }
        replies.extend(dispatcher.poll(|request| offers(&running, request), 0, at(now)));
        for (request, reply) in replies {
            let Some(target) = granted(&reply) else {
                continue;
            };
            dispatcher.on_acknowledged(&request.id);
            let index = (request.id.sequence % 2) as usize;
            placed[index] += 1.0;
            let position = TARGETS.iter().position(|name| *name == target);
            let end = now + kinds[index].run_ms;
            running[position.expect("known")].push((end, request.demand.kv_tokens));
        }
    }
    [placed[0] / arrived[0], placed[1] / arrived[1]]
}

/// Guards against short prompts that are refused because long ones, which could have waited, have
/// taken the memory.
#[test]
fn patient_requests_leave_memory_for_those_that_cannot_wait() {
    let [short, long] = replay([SHORT, LONG]);
    assert!(short > 0.97, "{short} of the short prompts were placed");
    assert!(long > 0.3, "{long} of the long prompts were placed");
}

/// Guards against a reserve that is kept although nobody needs it.
#[test]
fn memory_is_given_back_when_no_request_is_short_of_it() {
    let (impatient, patient) = (Duration::from_millis(180), Duration::from_millis(540));
    let mut reserve = Reserve::default();
    for now in (0..500).step_by(5) {
        reserve.on_shortage(1, impatient, 1000, at(now));
        // Those that may wait do not add to the reserve, and do not take it over.
        reserve.on_shortage(1, patient, 7000, at(now + 1));
    }
    assert!(reserve.fraction(1, patient, 7000, at(500)) > 0.25);
    assert!(reserve.fraction(1, patient, 7000, at(4000)) <= 0.0);
}

/// Guards against a reserve that holds back requests which are more urgent, or which can wait no
/// longer than those that it is kept for.
#[test]
fn urgent_requests_may_use_the_reserve() {
    let impatient = Duration::from_millis(180);
    let mut reserve = Reserve::default();
    for now in (0..500).step_by(5) {
        reserve.on_shortage(1, impatient, 1000, at(now));
    }
    assert!(reserve.fraction(0, Duration::from_millis(540), 7000, at(500)) <= 0.0);
    assert!(reserve.fraction(1, Duration::from_millis(270), 7000, at(500)) <= 0.0);
    assert!(reserve.fraction(2, Duration::from_millis(540), 7000, at(500)) > 0.25);
}

/// Guards against small requests that are refused so that large ones get their memory, because the
/// large ones have the tighter objective.
#[test]
fn small_requests_do_not_leave_memory_to_large_ones() {
    let (large, small) = (
        Kind {
            max_wait: Duration::from_millis(450),
            rate: 0.08,
            ..LONG
        },
        Kind {
            max_wait: Duration::from_millis(900),
            rate: 0.05,
            ..SHORT
        },
    );
    let [small, _] = replay([small, large]);
    assert!(small > 0.97, "{small} of the short prompts were placed");
}
