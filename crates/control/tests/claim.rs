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
    attempts: Attempts,
}

#[derive(Debug)]
enum Stage {
    Waiting(Box<Acquisition>, Step),
    Sent(u64),
    Denied(Denial),
    Ended,
}

#[derive(Debug)]
struct Run {
    agent: usize,
    incarnation: u64,
    stage: Stage,
}

#[derive(Debug, Default)]
struct Simulation {
    agents: Vec<Agent>,
    row: Option<(u64, Claim)>,
    versions: u64,
    late_writes: Vec<(u64, Claim)>,
    max_runs: usize,
    runs: Vec<Run>,
    executed: Vec<usize>,
}

impl Simulation {
    fn new(max_runs: usize) -> Self {
        let agent = |_| Agent {
            incarnation: 1,
            attempts: Attempts::new(8),
        };
        Self {
            agents: (0..AGENTS).map(agent).collect(),
            max_runs,
            ..Self::default()
        }
    }

    fn claim(&self, index: usize, state: State) -> Claim {
        let run = &self.runs[index];
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
        if which < self.runs.len() {
            return self.advance(which, kind);
        }
        match kind {
            0 | 1 if self.runs.len() < self.max_runs => self.start_run(kind % AGENTS),
            2 | 3 => self.crash(kind % AGENTS),
            4 if !self.late_writes.is_empty() => {
                let (expect, claim) = self.late_writes.remove(0);
                self.commit(expect, claim);
            }
            _ => {}
        }
    }

    fn start_run(&mut self, agent: usize) {
        let incarnation = self.agents[agent].incarnation;
        let index = self.runs.len();
        self.runs.push(Run {
            agent,
            incarnation,
            stage: Stage::Ended,
        });
        self.agents[agent].attempts.register(Attempt(index as u128));
        let (acquisition, step) = Acquisition::start(self.claim(index, State::Claimed));
        self.runs[index].stage = Stage::Waiting(Box::new(acquisition), step);
    }

    fn crash(&mut self, agent: usize) {
        let state = &mut self.agents[agent];
        state.incarnation += 1;
        state.attempts = Attempts::new(8);
        for run in self.runs.iter_mut().filter(|run| run.agent == agent) {
            if !matches!(run.stage, Stage::Denied(_)) {
                run.stage = Stage::Ended;
            }
        }
    }

    fn advance(&mut self, index: usize, kind: usize) {
        match std::mem::replace(&mut self.runs[index].stage, Stage::Ended) {
            Stage::Waiting(mut acquisition, step) => {
                let next = match step {
                    Step::Write { expect, claim } => {
                        let written = match kind {
                            0 => self.commit(expect, claim),
                            1 => {
                                self.commit(expect, claim);
                                Written::Lost
                            }
                            2 => {
                                self.late_writes.push((expect, claim));
                                Written::Lost
                            }
                            3 => Written::Lost,
                            _ => Written::NotSent,
                        };
                        acquisition.on_write(written)
                    }
                    Step::Read => acquisition.on_read(match (&self.row, kind) {
                        (_, 4) => Lookup::Unavailable,
                        (None, _) => Lookup::Absent,
                        (Some((version, claim)), _) => Lookup::Row(*version, claim.clone()),
                    }),
                    Step::Query(claim) => {
                        let owner: usize = claim.agent.parse().unwrap();
                        let agent = &mut self.agents[owner];
                        let status = match agent.incarnation == claim.incarnation.0 {
                            true => agent.attempts.resolve(claim.attempt),
                            false => Status::Unknown,
                        };
                        // The response may be lost after the agent has promised not to send its
                        // attempt.
                        acquisition.on_status(if kind == 4 { Status::Unknown } else { status })
                    }
                    other => other,
                };
                self.apply_step(index, *acquisition, next);
            }
            Stage::Sent(version) => self.send(index, version, kind),
            other => self.runs[index].stage = other,
        }
    }

    fn apply_step(&mut self, index: usize, acquisition: Acquisition, next: Step) {
        let attempt = Attempt(index as u128);
        let attempts = &mut self.agents[self.runs[index].agent].attempts;
        self.runs[index].stage = match next {
            Step::Send(version) if attempts.try_mark_sent(attempt) => Stage::Sent(version),
            Step::Send(_) => Stage::Denied(Denial::InDoubt),
            Step::Deny(denial) => {
                attempts.mark_never_sent(attempt);
                Stage::Denied(denial)
            }
            step => Stage::Waiting(Box::new(acquisition), step),
        };
    }

    fn send(&mut self, index: usize, version: u64, kind: usize) {
        let attempt = Attempt(index as u128);
        if kind == 4 {
            self.agents[self.runs[index].agent]
                .attempts
                .mark_undelivered(attempt);
            let released = self.claim(index, State::Released);
            self.commit(version, released);
            self.runs[index].stage = Stage::Denied(Denial::Platform);
            return;
        }
        self.executed.push(index);
        if kind == 2 {
            self.agents[self.runs[index].agent]
                .attempts
                .mark_outcome_unknown(attempt);
        }
        if kind <= 1 {
            self.agents[self.runs[index].agent]
                .attempts
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
        for (index, run) in self.runs.iter().enumerate() {
            if let Stage::Denied(denial) = &run.stage {
                let ran = self.executed.contains(&index);
                if ran && denial.verdict() == Verdict::NotRun {
                    return Err(format!(
                        "attempt {index} ran and was reported as not run: {self:#?}"
                    ));
                }
                if let Denial::Replay(outcome) = denial
                    && self
                        .executed
                        .first()
                        .map(|&first| Self::outcome(first))
                        .as_ref()
                        != Some(outcome)
                {
                    return Err(format!(
                        "attempt {index} got an outcome that no attempt produced: {self:#?}"
                    ));
                }
            }
        }
        Ok(())
    }
}

fn run(max_runs: usize, choices: &[usize]) -> Result<Simulation, String> {
    let mut simulation = Simulation::new(max_runs);
    for &choice in choices {
        simulation.step(choice);
        simulation.check()?;
    }
    Ok(simulation)
}

fn fingerprint(simulation: &Simulation) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{simulation:?}").hash(&mut hasher);
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
    let mut frontier = vec![Vec::new()];
    for _ in 0..DEPTH {
        let mut next = Vec::new();
        for path in &frontier {
            for choice in 0..(2 + 1) * 5 {
                let mut longer: Vec<usize> = path.clone();
                longer.push(choice);
                let simulation = run(2, &longer).unwrap();
                if seen.insert(fingerprint(&simulation)) {
                    next.push(longer);
                }
            }
        }
        frontier = next;
    }
    println!("{} states within {DEPTH} choices", seen.len());
    assert!(
        seen.len() > 10_000,
        "the exploration covers only {} states",
        seen.len()
    );
}
