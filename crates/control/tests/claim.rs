//! Guards against a call with an idempotency key that runs twice, and against a wrong "not run"
//! verdict, under faults of the platform, the network and the agents: lost, late and duplicated
//! writes, failed reads, lost queries, and agents that crash and restart.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use control::claim::{Step, Written};
use control::{Acquisition, Attempts, Claim, Denial, Lookup, Outcome, State, Status};
use proptest::prelude::*;
use types::{Attempt, Incarnation, Verdict};

const AGENTS: usize = 2;

/// Length of the explored schedules; all schedules of this length are covered.
const DEPTH: usize = 10;

#[derive(Debug)]
struct Agent {
    incarnation: u64,
    ledger: Attempts,
}

#[derive(Debug)]
enum Stage {
    Waiting(Box<Acquisition>, Step),
    Sent(u64),
    Stopped(Denial),
    Ended,
}

#[derive(Debug)]
struct Try {
    agent: usize,
    incarnation: u64,
    stage: Stage,
}

#[derive(Debug, Default)]
struct World {
    agents: Vec<Agent>,
    row: Option<(u64, Claim)>,
    versions: u64,
    late: Vec<(u64, Claim)>,
    max_tries: usize,
    tries: Vec<Try>,
    executed: Vec<usize>,
}

impl World {
    fn new(max_tries: usize) -> Self {
        let agent = |_| Agent {
            incarnation: 1,
            ledger: Attempts::new(8),
        };
        Self {
            agents: (0..AGENTS).map(agent).collect(),
            max_tries,
            ..Self::default()
        }
    }

    fn claim(&self, index: usize, state: State) -> Claim {
        let run = &self.tries[index];
        Claim {
            attempt: Attempt(index as u128),
            agent: run.agent.to_string(),
            incarnation: Incarnation(run.incarnation),
            digest: "call".into(),
            state,
        }
    }

    fn commit(&mut self, expect: u64, claim: Claim) -> Written {
        if self.row.as_ref().map_or(0, |row| row.0) != expect {
            return Written::Conflict;
        }
        self.versions += 1;
        self.row = Some((self.versions, claim));
        Written::Applied(self.versions)
    }

    fn outcome(index: usize) -> Outcome {
        Outcome {
            status: 200,
            body: index.to_string(),
        }
    }

    /// Performs one of the possible events, encoded in `choice`; impossible ones are ignored.
    fn step(&mut self, choice: usize) {
        let (kind, which) = (choice % 5, choice / 5);
        if which < self.tries.len() {
            return self.advance(which, kind);
        }
        match kind {
            0 | 1 if self.tries.len() < self.max_tries => self.begin(kind % AGENTS),
            2 | 3 => self.crash(kind % AGENTS),
            4 if !self.late.is_empty() => {
                let (expect, claim) = self.late.remove(0);
                self.commit(expect, claim);
            }
            _ => {}
        }
    }

    fn begin(&mut self, agent: usize) {
        let incarnation = self.agents[agent].incarnation;
        let index = self.tries.len();
        self.tries.push(Try {
            agent,
            incarnation,
            stage: Stage::Ended,
        });
        self.agents[agent].ledger.register(Attempt(index as u128));
        let (acquire, step) = Acquisition::start(self.claim(index, State::Claimed));
        self.tries[index].stage = Stage::Waiting(Box::new(acquire), step);
    }

    fn crash(&mut self, agent: usize) {
        let state = &mut self.agents[agent];
        state.incarnation += 1;
        state.ledger = Attempts::new(8);
        for run in self.tries.iter_mut().filter(|run| run.agent == agent) {
            if !matches!(run.stage, Stage::Stopped(_)) {
                run.stage = Stage::Ended;
            }
        }
    }

    fn advance(&mut self, index: usize, kind: usize) {
        match std::mem::replace(&mut self.tries[index].stage, Stage::Ended) {
            Stage::Waiting(mut acquire, step) => {
                let next = match step {
                    Step::Write { expect, claim } => {
                        let written = match kind {
                            0 => self.commit(expect, claim),
                            1 => {
                                self.commit(expect, claim);
                                Written::Lost
                            }
                            2 => {
                                self.late.push((expect, claim));
                                Written::Lost
                            }
                            3 => Written::Lost,
                            _ => Written::NotSent,
                        };
                        acquire.on_write(written)
                    }
                    Step::Read => acquire.on_read(match (&self.row, kind) {
                        (_, 4) => Lookup::Unavailable,
                        (None, _) => Lookup::Absent,
                        (Some((version, claim)), _) => Lookup::Row(*version, claim.clone()),
                    }),
                    Step::Query(claim) => {
                        let asked: usize = claim.agent.parse().unwrap();
                        let agent = &mut self.agents[asked];
                        let fate = match agent.incarnation == claim.incarnation.0 {
                            true => agent.ledger.resolve(claim.attempt),
                            false => Status::Unknown,
                        };
                        // The response may be lost after the agent has promised not to send its
                        // attempt.
                        acquire.on_status(if kind == 4 { Status::Unknown } else { fate })
                    }
                    other => other,
                };
                self.settle(index, *acquire, next);
            }
            Stage::Sent(version) => self.send(index, version, kind),
            other => self.tries[index].stage = other,
        }
    }

    fn settle(&mut self, index: usize, acquire: Acquisition, next: Step) {
        let attempt = Attempt(index as u128);
        let ledger = &mut self.agents[self.tries[index].agent].ledger;
        self.tries[index].stage = match next {
            Step::Send(version) if ledger.try_mark_sent(attempt) => Stage::Sent(version),
            Step::Send(_) => Stage::Stopped(Denial::InDoubt),
            Step::Deny(stop) => {
                ledger.mark_never_sent(attempt);
                Stage::Stopped(stop)
            }
            step => Stage::Waiting(Box::new(acquire), step),
        };
    }

    fn send(&mut self, index: usize, version: u64, kind: usize) {
        let attempt = Attempt(index as u128);
        if kind == 4 {
            self.agents[self.tries[index].agent]
                .ledger
                .mark_undelivered(attempt);
            let released = self.claim(index, State::Released);
            self.commit(version, released);
            self.tries[index].stage = Stage::Stopped(Denial::Platform);
            return;
        }
        self.executed.push(index);
        if kind == 2 {
            self.agents[self.tries[index].agent]
                .ledger
                .mark_outcome_unknown(attempt);
        }
        if kind <= 1 {
            self.agents[self.tries[index].agent]
                .ledger
                .record_outcome(attempt, Self::outcome(index));
        }
        if kind == 0 {
            let done = self.claim(index, State::Done(Self::outcome(index)));
            self.commit(version, done);
        }
    }

    fn check(&self) -> Result<(), String> {
        if self.executed.len() > 1 {
            return Err(format!("the call ran twice: {self:#?}"));
        }
        for (index, run) in self.tries.iter().enumerate() {
            if let Stage::Stopped(stop) = &run.stage {
                let ran = self.executed.contains(&index);
                if ran && stop.verdict() == Verdict::NotRun {
                    return Err(format!(
                        "attempt {index} ran and was reported as not run: {self:#?}"
                    ));
                }
                if let Denial::Replay(outcome) = stop
                    && self
                        .executed
                        .first()
                        .map(|&first| Self::outcome(first))
                        .as_ref()
                        != Some(outcome)
                {
                    return Err(format!(
                        "attempt {index} got an outcome of no attempt: {self:#?}"
                    ));
                }
            }
        }
        Ok(())
    }
}

fn run(max_tries: usize, choices: &[usize]) -> Result<World, String> {
    let mut world = World::new(max_tries);
    for &choice in choices {
        world.step(choice);
        world.check()?;
    }
    Ok(world)
}

fn fingerprint(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{world:?}").hash(&mut hasher);
    hasher.finish()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_schedule_runs_a_call_twice(choices in proptest::collection::vec(0usize..20, 1..60)) {
        prop_assert_eq!(run(3, &choices).map(|_| ()), Ok(()));
    }
}

#[test]
fn all_short_schedules_run_a_call_at_most_once() {
    let mut seen = HashSet::new();
    let mut front = vec![Vec::new()];
    for _ in 0..DEPTH {
        let mut next = Vec::new();
        for path in &front {
            for choice in 0..(2 + 1) * 5 {
                let mut longer: Vec<usize> = path.clone();
                longer.push(choice);
                let world = run(2, &longer).unwrap();
                if seen.insert(fingerprint(&world)) {
                    next.push(longer);
                }
            }
        }
        front = next;
    }
    println!("{} states within {DEPTH} choices", seen.len());
    assert!(
        seen.len() > 10_000,
        "the exploration covers only {} states",
        seen.len()
    );
}
