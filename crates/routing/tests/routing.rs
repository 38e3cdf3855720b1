//! Guards against a change of one target that moves the conversations of others (whose context
//! would have to be recomputed), against a ranking that redirects requests without a gain, and
//! against the use of stale loads.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use routing::{Budget, Estimate, Key, Load, Loads, Table, rank};
use types::Time;

fn table(members: &BTreeSet<u8>) -> Table<String, u8> {
    let mut table = Table::default();
    for &member in members {
        table.insert("model".to_owned(), &format!("agent-{member}"), member);
    }
    table
}

fn estimate(millis: u64) -> Estimate {
    Estimate {
        queue: Duration::from_millis(millis),
        ..Estimate::default()
    }
}

proptest! {
    #[test]
    fn only_the_conversations_of_a_removed_target_move(
        members in proptest::collection::btree_set(any::<u8>(), 2..40),
        removed in any::<proptest::sample::Index>(),
        conversation in any::<u64>(),
    ) {
        let key = Key::new(&[&conversation.to_le_bytes()]);
        let removed = *removed.get(&members.iter().copied().collect::<Vec<_>>());
        let before = table(&members);
        let before: Vec<u8> = before.candidates("model", key, 4).into_iter().copied().collect();
        let mut rest = members;
        rest.remove(&removed);
        let after = table(&rest);
        let after: Vec<u8> = after.candidates("model", key, 4).into_iter().copied().collect();
        let remaining: Vec<u8> = before.into_iter().filter(|&member| member != removed).collect();
        prop_assert!(after.starts_with(&remaining));
    }

    #[test]
    fn ranking_lists_each_candidate_once_with_its_max_wait(waits in proptest::collection::vec(0u64..500, 0..9)) {
        let estimates: Vec<Estimate> = waits.iter().copied().map(estimate).collect();
        let ranked = rank(&estimates, Duration::from_millis(20));
        let mut seen: Vec<usize> = ranked.iter().map(|ranked| ranked.index).collect();
        for pair in ranked.windows(2) {
            let (first, second) = (estimates[pair[0].index].total(), estimates[pair[1].index].total());
            prop_assert!(first <= second);
            prop_assert_eq!(pair[0].max_wait, second + Duration::from_millis(20));
        }
        prop_assert_eq!(ranked.last().map(|ranked| ranked.max_wait), waits.last().map(|_| Duration::MAX));
        seen.sort_unstable();
        prop_assert_eq!(seen, (0..waits.len()).collect::<Vec<_>>());
    }

    #[test]
    fn expected_wait_shrinks_with_age_and_with_a_shorter_prompt(wait in 0u64..3000, age in 0u64..4000, own in 0u64..500) {
        let mut loads = Loads::default();
        let load = Load { wait: Duration::from_millis(wait), prefilling: 3, received_at: Time(0) };
        loads.record("a", load);
        let now = Time::from_millis(age);
        let seen = loads.expected_wait("a", Duration::from_millis(own), now).unwrap();
        prop_assert!(seen <= Duration::from_millis(wait.saturating_sub(age).min(own * 3)));
        prop_assert!(age <= 2000 || seen.is_zero());
    }
}

#[test]
fn a_failed_target_is_excluded_only_briefly() {
    let mut loads = Loads::default();
    loads.record_failure("a", Time(0));
    assert_eq!(
        loads.expected_wait("a", Duration::MAX, Time::from_millis(499)),
        None
    );
    assert_eq!(
        loads.expected_wait("a", Duration::MAX, Time::from_millis(501)),
        Some(Duration::ZERO)
    );
}

#[test]
fn an_old_load_does_not_replace_a_newer_one() {
    let mut loads = Loads::default();
    let load = |wait, received_at| Load {
        wait: Duration::from_millis(wait),
        prefilling: 1,
        received_at: Time(received_at),
    };
    loads.record("a", load(100, 20));
    loads.record("a", load(7, 10));
    let wait = loads.expected_wait("a", Duration::from_secs(9), Time(20));
    assert_eq!(wait, Some(Duration::from_millis(100)));
}

#[test]
fn retries_stay_within_a_tenth_of_the_requests() {
    let mut budget = Budget::default();
    let mut retries = 0;
    for _ in 0..1000 {
        budget.on_request();
        retries += u32::from(budget.try_retry());
    }
    assert!(retries <= 110, "{retries} retries for 1000 requests");
}

#[test]
fn an_unlimited_candidate_list_contains_every_target() {
    let members: BTreeSet<u8> = (0..9).collect();
    let key = Key::new(&[b"c"]);
    let table = table(&members);
    assert_eq!(table.candidates("model", key, usize::MAX).len(), 9);
}

#[test]
fn conversations_are_distributed_evenly() {
    let table = table(&(0..9).collect());
    let mut counts = [0; 9];
    for conversation in 0..9000u64 {
        let key = Key::new(&[&conversation.to_le_bytes()]);
        counts[usize::from(*table.candidates("model", key, 1)[0])] += 1;
    }
    assert!(
        counts.iter().all(|count| (850..1150).contains(count)),
        "{counts:?}"
    );
}
