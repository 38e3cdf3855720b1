//! Accepting configurations under faults: the results that operators get must match the platform.

mod support;

use std::collections::BTreeSet;

use platform::config::{self, Record};
use proptest::prelude::*;
use support::{Fake, Fault, Report, Task, operate, run, run_without_faults};
use types::Version;

const FAULTS: [Fault; 8] = [
    Fault::None,
    Fault::Unreachable,
    Fault::AnswerLost,
    Fault::RequestLost,
    Fault::Delayed,
    Fault::AfterAll,
    Fault::Duplicated,
    Fault::Corrupt,
];

/// Compares the results that two operators got with the final state of the platform.
fn check(fake: &Fake, base: u64, reported: &[(String, Report)]) -> Result<(), String> {
    let (head, records) = fake.deliver_late_writes();
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
    for (name, reported) in reported {
        let accepted_at = records
            .iter()
            .find(|record| record.change == *name)
            .map(|record| record.version);
        let is_consistent = match reported {
            Report::Accepted(version) => accepted_at == Some(*version),
            Report::Conflict(version) => {
                accepted_at.is_none() && version.0 > base && *version <= head.version
            }
            Report::NotRun => accepted_at.is_none(),
            Report::Unknown => true,
        };
        if !is_consistent {
            return Err(format!(
                "{name} got {reported:?}, but its change is at {accepted_at:?} of {head:?}"
            ));
        }
    }
    Ok(())
}

fn operators(fake: &Fake, round: u32, base: u64, calls: u32) -> Vec<Task<(String, Report)>> {
    let operator = |name: &str| -> Task<(String, Report)> {
        let (fake, name) = (fake.clone(), format!("{name}-{round}"));
        Box::pin(async move {
            let reported = operate(fake, name.clone(), Version(base), calls).await;
            (name, reported)
        })
    };
    vec![operator("ana"), operator("ben")]
}

/// Guards against races and lost responses that make a tool report a wrong outcome, apply a change
/// twice or decrease the head's version.
///
/// Explores all interleavings of two operators with one call each and up to two faults, each with
/// at most 24 steps.
#[test]
fn two_operators_get_correct_outcomes_in_every_interleaving() {
    const DEPTH: usize = 24;
    let mut path: Vec<(usize, usize)> = Vec::new();
    let (mut runs, mut deepest) = (0_u64, 0);
    let mut outcomes = BTreeSet::new();
    loop {
        let fake = Fake::default();
        let (mut depth, mut faults, mut head) = (0, 0, Version(0));
        let observer = fake.clone();
        let reported = run(operators(&fake, 0, 0, 1), |running| {
            let now = observer.accepted_version();
            assert!(now >= head, "the head's version fell from {head} to {now}");
            head = now;
            let fault_kinds = if faults < 2 { FAULTS.len() } else { 1 };
            if depth == path.len() {
                path.push((0, running.len() * fault_kinds));
            }
            let (choice, _) = path[depth];
            depth += 1;
            assert!(depth <= DEPTH, "a run has more than {DEPTH} steps");
            let fault = FAULTS[choice % fault_kinds];
            faults += u32::from(fault != Fault::None);
            (running[choice / fault_kinds], fault)
        });
        if let Err(problem) = check(&fake, 0, &reported) {
            panic!("{problem}; path {path:?}");
        }
        let (accepted, _) = fake.deliver_late_writes();
        if accepted.version.0 > 0 {
            run_without_faults(config::load(&fake, &accepted))
                .expect("an accepted configuration can be loaded");
        }
        runs += 1;
        deepest = deepest.max(depth);
        for (_, reported) in reported {
            outcomes.insert(format!("{reported:?}"));
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
    println!("{runs} runs, at most {deepest} steps, outcomes: {outcomes:?}");
    // An outcome that never occurred would not have been tested.
    for outcome in [
        "Accepted(Version(1))",
        "Conflict(Version(1))",
        "NotRun",
        "Unknown",
    ] {
        assert!(outcomes.contains(outcome), "{outcome} never occurred");
    }
}

proptest! {
    /// Guards against wrong outcomes when calls are retried after failures and several changes
    /// follow each other: three rounds of two racing operators under random faults.
    #[test]
    fn retried_calls_get_correct_outcomes(
        steps in prop::collection::vec((any::<bool>(), 0..16_usize), 0..120),
        calls in 1..5_u32,
    ) {
        let fake = Fake::default();
        let mut steps = steps.into_iter();
        let mut reported = Vec::new();
        for round in 0..3 {
            let base = fake.deliver_late_writes().0.version.0;
            let results = run(operators(&fake, round, base, calls), |running| {
                let (first, fault) = steps.next().unwrap_or((true, 0));
                let task = if first { running[0] } else { running[running.len() - 1] };
                (task, FAULTS.get(fault).copied().unwrap_or(Fault::None))
            });
            reported.push((base, results));
        }
        // The outcomes of earlier rounds remain correct whatever was accepted afterwards.
        for (base, results) in reported {
            if let Err(problem) = check(&fake, base, &results) {
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

/// Guards against a tool that reports a conflict although its own change was accepted, because
/// another one was accepted on top of it.
#[test]
fn a_change_with_a_lost_response_is_found_under_later_changes() {
    let fake = Fake::default();
    let mut steps = [Fault::None, Fault::None, Fault::None, Fault::AnswerLost].into_iter();
    let first_try = operate(fake.clone(), "ana".to_owned(), Version(0), 1);
    // The read that would tell the outcome of the change fails as well.
    let reported = run(vec![Box::pin(first_try) as Task<Report>], |_| {
        (0, steps.next().unwrap_or(Fault::Unreachable))
    });
    assert_eq!(reported, [Report::Unknown]);
    assert_eq!(
        run_without_faults(operate(fake.clone(), "ben".to_owned(), Version(1), 1)),
        Report::Accepted(Version(2))
    );
    assert_eq!(
        run_without_faults(operate(fake.clone(), "ana".to_owned(), Version(0), 1)),
        Report::Accepted(Version(1))
    );
    assert_eq!(fake.deliver_late_writes().0.version, Version(2));
}

/// Guards against a process that adopts rules other than the accepted ones.
#[test]
fn a_missing_or_changed_object_is_an_error() {
    let fake = Fake::default();
    run_without_faults(config::propose(&fake, Version(0), "# ana", record("ana"))).unwrap();
    let (head, _) = run_without_faults(config::head(&fake)).unwrap();
    assert_eq!(
        run_without_faults(config::load(&fake, &head)).unwrap().text,
        "# ana"
    );
    let name = format!("config/{}", head.digest);
    fake.corrupt(&name);
    let changed = run_without_faults(config::load(&fake, &head))
        .unwrap_err()
        .to_string();
    assert!(changed.contains("does not match its digest"), "{changed}");
    fake.remove(&name);
    let missing = run_without_faults(config::load(&fake, &head))
        .unwrap_err()
        .to_string();
    assert!(missing.contains("is missing"), "{missing}");
}
