//! Placement without a dispatcher, replayed in virtual time.

use std::time::Duration;

use fleet::lateness::{Limit, prefill_tokens};
use fleet::placement::{Candidate, Load, best};

const OBJECTIVE: Duration = Duration::from_millis(500);
const ENTRIES: usize = 8;
const TARGETS: usize = 39;
const TOKENS: u64 = 3700;
const TOKENS_PER_MS: u64 = 60;

fn prefill(tokens: u64) -> Duration {
    Duration::from_millis(tokens / TOKENS_PER_MS)
}

fn candidate(backlog: Duration) -> Candidate {
    Candidate {
        load: Load::default(),
        backlog,
        prefill_tokens: TOKENS,
        prefill_time: prefill(TOKENS),
        fetch_time: Duration::ZERO,
        slots: 128,
        kv_capacity: 64_251,
        kv_tokens: TOKENS,
        remote: false,
        outdated: false,
    }
}

/// Guards against entries that all start at the same time and give the targets more prompts than
/// these can begin within the objective.
#[test]
fn entries_without_dispatchers_do_not_overload_the_targets() {
    let mut sent = [[0_u64; TARGETS]; ENTRIES];
    let limit = Limit {
        waited: Duration::ZERO,
        objective: OBJECTIVE,
    };
    // The requests arrive faster than any target finishes a prompt or any entry reports its load.
    for number in 0_u32..1000 {
        let own = &mut sent[number as usize % ENTRIES];
        let (targets, candidates): (Vec<usize>, Vec<Candidate>) = own
            .iter()
            .map(|own| prefill(prefill_tokens(*own, *own, ENTRIES)))
            .enumerate()
            .filter(|(_, backlog)| limit.allows(*backlog))
            .map(|(target, backlog)| (target, candidate(backlog)))
            .unzip();
        if let Some(index) = best(&candidates, number.wrapping_mul(2_654_435_761)) {
            own[targets[index]] += TOKENS;
        }
    }
    let total = |target| sent.iter().map(|own| own[target]).sum::<u64>();
    let longest = (0..TARGETS).map(total).max().map(prefill);
    assert!(longest <= Some(OBJECTIVE), "{longest:?}");
    assert!((0..TARGETS).all(|target| total(target) > 0));
}

/// Guards against a request that is kept from an idle target because it has waited.
#[test]
fn an_idle_target_is_always_in_time() {
    let limit = Limit {
        waited: OBJECTIVE,
        objective: OBJECTIVE,
    };
    assert!(limit.allows(Duration::ZERO));
    assert!(!limit.allows(Duration::from_millis(1)));
}

/// Guards against an entry that ignores what the others reported.
#[test]
fn reported_loads_count_if_they_are_greater() {
    assert_eq!(prefill_tokens(100, 5000, 8), 5000);
    assert_eq!(prefill_tokens(1000, 1200, 8), 8000);
}
