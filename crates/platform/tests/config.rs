//! Accepting a configuration under faults: what an operator is told has to match the platform.

mod support;

use std::collections::BTreeSet;

use platform::config::{self, Record};
use proptest::prelude::*;
use support::{Fake, Fault, Task, Told, calm, operate, run};
use types::Version;

const FAULTS: [Fault; 8] = [
    Fault::None,
    Fault::Unreachable,
    Fault::AnswerLost,
    Fault::RequestLost,
    Fault::Late,
    Fault::Last,
    Fault::Twice,
    Fault::Corrupt,
];

/// Compares what two operators were told with what the platform holds in the end.
fn check(fake: &Fake, base: u64, told: &[(String, Told)]) -> Result<(), String> {
    let (head, records) = fake.settle();
    let changes: Vec<&str> = records
        .iter()
        .map(|record| record.change.as_str())
        .collect();
    let unique: BTreeSet<&&str> = changes.iter().collect();
    if unique.len() != changes.len() {
        return Err(format!("a change was applied twice: {changes:?}"));
    }
    if let Some(last) = records.last()
        && (last.version != head.version || last.digest != head.digest)
    {
        return Err(format!("the head {head:?} is not the last record {last:?}"));
    }
    for (name, told) in told {
        let at = records
            .iter()
            .find(|record| record.change == *name)
            .map(|record| record.version);
        let right = match told {
            Told::Accepted(version) => at == Some(*version),
            Told::Raced(version) => at.is_none() && version.0 > base && *version <= head.version,
            Told::NotRun => at.is_none(),
            Told::Unknown => true,
        };
        if !right {
            return Err(format!(
                "{name} was told {told:?}, but its change is at {at:?} of {head:?}"
            ));
        }
    }
    Ok(())
}

fn operators(fake: &Fake, round: u32, base: u64, calls: u32) -> Vec<Task<(String, Told)>> {
    let operator = |name: &str| -> Task<(String, Told)> {
        let (fake, name) = (fake.clone(), format!("{name}-{round}"));
        Box::pin(async move {
            let told = operate(fake, name.clone(), Version(base), calls).await;
            (name, told)
        })
    };
    vec![operator("ana"), operator("ben")]
}

/// Guards against a lost answer or a race in any order of steps that makes a tool report the wrong
/// outcome, apply a change twice or let the head go back.
///
/// All interleavings of two operators with one call each are run, with up to two faults anywhere,
/// at most 24 steps deep.
#[test]
fn two_operators_are_told_the_truth_in_every_interleaving() {
    const DEPTH: usize = 24;
    let mut path: Vec<(usize, usize)> = Vec::new();
    let (mut runs, mut deepest) = (0_u64, 0);
    let mut seen = BTreeSet::new();
    loop {
        let fake = Fake::default();
        let (mut depth, mut faults, mut head) = (0, 0, Version(0));
        let watched = fake.clone();
        let told = run(operators(&fake, 0, 0, 1), |running| {
            let now = watched.peek();
            assert!(now >= head, "the head went back from {head} to {now}");
            head = now;
            let kinds = if faults < 2 { FAULTS.len() } else { 1 };
            if depth == path.len() {
                path.push((0, running.len() * kinds));
            }
            let (choice, _) = path[depth];
            depth += 1;
            assert!(depth <= DEPTH, "a run has more than {DEPTH} steps");
            let fault = FAULTS[choice % kinds];
            faults += u32::from(fault != Fault::None);
            (running[choice / kinds], fault)
        });
        if let Err(problem) = check(&fake, 0, &told) {
            panic!("{problem}; path {path:?}");
        }
        let (accepted, _) = fake.settle();
        if accepted.version.0 > 0 {
            calm(config::load(&fake, &accepted)).expect("what is accepted can be loaded");
        }
        runs += 1;
        deepest = deepest.max(depth);
        for (_, told) in told {
            seen.insert(format!("{told:?}"));
        }
        path.truncate(depth);
        while path
            .last()
            .is_some_and(|&(choice, options)| choice + 1 == options)
        {
            path.pop();
        }
        match path.last_mut() {
            Some((choice, _)) => *choice += 1,
            None => break,
        }
    }
    println!("{runs} runs, at most {deepest} steps, told: {seen:?}");
    // An exploration that never met a kind of outcome would prove nothing about it.
    for outcome in [
        "Accepted(Version(1))",
        "Raced(Version(1))",
        "NotRun",
        "Unknown",
    ] {
        assert!(seen.contains(outcome), "{outcome} was never told");
    }
}

proptest! {
    /// Guards against wrong reports when calls are repeated after failures and several changes pile
    /// up: three rounds of two racing operators under random faults.
    #[test]
    fn repeated_calls_are_told_the_truth(
        steps in prop::collection::vec((any::<bool>(), 0..16_usize), 0..120),
        calls in 1..5_u32,
    ) {
        let fake = Fake::default();
        let mut steps = steps.into_iter();
        let mut told = Vec::new();
        for round in 0..3 {
            let base = fake.settle().0.version.0;
            let answers = run(operators(&fake, round, base, calls), |running| {
                let (first, fault) = steps.next().unwrap_or((true, 0));
                let task = if first { running[0] } else { running[running.len() - 1] };
                (task, FAULTS.get(fault).copied().unwrap_or(Fault::None))
            });
            told.push((base, answers));
        }
        // What was told in an early round stays true, whatever was accepted on top.
        for (base, answers) in told {
            if let Err(problem) = check(&fake, base, &answers) {
                return Err(TestCaseError::fail(problem));
            }
        }
    }
}

fn record(name: &str) -> Record {
    Record {
        version: Version(0),
        change: name.to_owned(),
        who: name.to_owned(),
        why: String::new(),
        when: 0,
        digest: String::new(),
    }
}

/// Guards against a tool that reports a lost race when its own change was accepted and another one
/// on top of it.
#[test]
fn a_lost_answer_is_found_under_later_changes() {
    let fake = Fake::default();
    let mut steps = [Fault::None, Fault::None, Fault::None, Fault::AnswerLost].into_iter();
    let ana = operate(fake.clone(), "ana".to_owned(), Version(0), 1);
    // The read that would settle the change fails as well.
    let told = run(vec![Box::pin(ana) as Task<Told>], |_| {
        (0, steps.next().unwrap_or(Fault::Unreachable))
    });
    assert_eq!(told, [Told::Unknown]);
    assert_eq!(
        calm(operate(fake.clone(), "ben".to_owned(), Version(1), 1)),
        Told::Accepted(Version(2))
    );
    assert_eq!(
        calm(operate(fake.clone(), "ana".to_owned(), Version(0), 1)),
        Told::Accepted(Version(1))
    );
    assert_eq!(fake.settle().0.version, Version(2));
}

/// Guards against a process that adopts rules that are not the accepted ones.
#[test]
fn a_missing_or_changed_object_is_an_error() {
    let fake = Fake::default();
    calm(config::propose(&fake, Version(0), "# ana", record("ana"))).unwrap();
    let (head, _) = calm(config::head(&fake)).unwrap();
    assert_eq!(calm(config::load(&fake, &head)).unwrap().text, "# ana");
    let name = format!("config/{}", head.digest);
    fake.corrupt(&name);
    let changed = calm(config::load(&fake, &head)).unwrap_err().to_string();
    assert!(changed.contains("does not match its digest"), "{changed}");
    fake.remove(&name);
    let missing = calm(config::load(&fake, &head)).unwrap_err().to_string();
    assert!(missing.contains("is missing"), "{missing}");
}
