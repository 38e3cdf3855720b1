//! Limits on buffered messages and on the length of streams.

use fleet::buffers::{Buffers, Reservation};
use fleet::stream::{Limit, Verdict};
use proptest::prelude::*;

const KIB: usize = 1 << 10;

/// Guards against sound requests that fail because of a few endless responses: eight of these grow
/// next to forty short ones, with a limit of 4 MiB.
#[test]
fn short_responses_continue_beside_endless_ones() {
    let mut buffers = Buffers::new(4096 * KIB);
    let mut endless = [0; 8];
    let mut failed = 0;
    for round in 0..2000 {
        let held = &mut endless[round % 8];
        match buffers.reserve(*held, 16 * KIB) {
            Reservation::Granted => *held += 16 * KIB,
            Reservation::Exhausted => {
                failed += 1;
                buffers.release(std::mem::take(held));
            }
        }
        for _ in 0..40 {
            assert_eq!(buffers.reserve(0, 30 * KIB), Reservation::Granted);
        }
        assert!(buffers.used() <= 4096 * KIB + 40 * 30 * KIB + 8 * 64 * KIB);
        buffers.release(40 * 30 * KIB);
    }
    assert!(failed > 0);
}

proptest! {
    /// Guards against bytes that are counted and never released.
    #[test]
    fn granted_bytes_are_counted(sizes in prop::collection::vec((0..8usize, 0..300_000usize), 0..200)) {
        let mut buffers = Buffers::new(1 << 20);
        let mut held = [0usize; 8];
        for (index, more) in sizes {
            if buffers.reserve(held[index], more) == Reservation::Granted {
                held[index] += more;
            }
            prop_assert_eq!(buffers.used(), held.iter().sum::<usize>());
        }
    }

    /// Guards against streams that are cut off although they are no longer than requested.
    #[test]
    fn a_stream_of_the_requested_length_is_within_the_limit(output in 0..100_000u64, size in 1..4096u64) {
        let mut limit = Limit::new(Some(output));
        for _ in 0..output {
            prop_assert_eq!(limit.consume(1, size), Verdict::Within);
        }
    }
}

/// Guards against overflowing counters, since a caller may request any number of tokens.
#[test]
fn any_token_count_is_a_valid_limit() {
    let mut limit = Limit::new(Some(u64::MAX));
    assert_eq!(limit.consume(u64::MAX - 1, 1), Verdict::Within);
    assert_eq!(limit.consume(2, 1), Verdict::TooManyEvents);
}
