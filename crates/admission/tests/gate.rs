//! Guards against a cold target that receives more than its limit (I4) and against work sent to a
//! drained or leaving target (I5, I9), under random schedules of unannounced restarts, delayed
//! reports, drains, failures and recoveries.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use admission::{Decision, Gate, Job, Limits, Outcome, Refusal};
use proptest::prelude::*;
use types::{Attempt, Boot, Team, Time};

const LIMITS: Limits = Limits {
    cold: 2,
    warm: 16,
    warm_after: 8,
    max_queued: 12,
};

#[derive(Debug, Clone)]
enum Step {
    /// A request of this team and priority arrives, with so many milliseconds until its deadline.
    Submit(u8, u8, u64),
    /// The oldest request in transit reaches the target.
    Receive,
    /// The oldest report of the target reaches the agent.
    Report,
    /// The target completes one of its requests.
    Finish(u8),
    /// The target restarts without notice: it loses its running requests and is cold.
    Restart,
    /// The target loads different weights, after which it is cold.
    Load,
    Drain(bool),
    /// The target answers a probe.
    Probe,
    /// The oldest probe response reaches the agent.
    ProbeReply,
    Stop,
    Wait(u64),
}

/// A delayed report of the target to the agent.
#[derive(Debug, Clone, Copy)]
enum Report {
    Accepted(Attempt, Boot),
    Ended(Attempt, Outcome),
}

struct Simulation {
    gate: Gate,
    now: Time,
    next: u128,
    /// Sent, but not yet received by the target.
    in_transit: VecDeque<Attempt>,
    /// Running at the target, with the boot id under which each was accepted.
    running: Vec<(Attempt, Boot)>,
    /// Reports on requests in transit; probe responses travel separately and may overtake them.
    reports: VecDeque<Report>,
    probes: VecDeque<Boot>,
    boot: Boot,
    /// Successful responses since the target became cold.
    answers: u32,
    drained: bool,
    stopped: bool,
    queued: BTreeMap<Attempt, Time>,
    decided: BTreeSet<Attempt>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            gate: Gate::new(LIMITS),
            now: Time(0),
            next: 0,
            in_transit: VecDeque::new(),
            running: Vec::new(),
            reports: VecDeque::new(),
            probes: VecDeque::new(),
            boot: Boot(1),
            answers: 0,
            drained: false,
            stopped: false,
            queued: BTreeMap::new(),
            decided: BTreeSet::new(),
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Submit(team, priority, left) => {
                self.next += 1;
                let attempt = Attempt(self.next);
                let deadline = Time(self.now.0 + left * 1000);
                let decision = self.gate.on_request(Job {
                    attempt,
                    team: Team::from(format!("team-{team}")),
                    share: u32::from(team) + 1,
                    work: 100,
                    priority,
                    deadline,
                });
                match decision {
                    Decision::Wait => drop(self.queued.insert(attempt, deadline)),
                    decision => self.on_decision(attempt, decision)?,
                }
            }
            Step::Receive => self.receive()?,
            Step::Report => self.deliver_report(),
            Step::Finish(which) if !self.running.is_empty() => {
                let which = usize::from(which) % self.running.len();
                let (attempt, boot) = self.running.remove(which);
                self.answers += u32::from(boot == self.boot);
                self.reports
                    .push_back(Report::Ended(attempt, Outcome::Success));
            }
            Step::Restart => {
                self.boot.0 += 1;
                self.answers = 0;
                for (attempt, _) in std::mem::take(&mut self.running) {
                    self.reports
                        .push_back(Report::Ended(attempt, Outcome::Failure));
                }
            }
            // An agent drains its target and waits until it is empty before it starts a load.
            Step::Load if self.drained && self.gate.in_flight() == 0 => {
                self.boot.0 += 1;
                self.answers = 0;
            }
            Step::Drain(drained) => {
                self.drained = drained;
                self.gate.set_drained(drained);
            }
            Step::Probe => self.probes.push_back(self.boot),
            Step::ProbeReply => {
                if let Some(boot) = self.probes.pop_front() {
                    self.gate.on_probe(boot);
                }
            }
            Step::Stop => {
                self.stopped = true;
                self.gate.stop();
            }
            Step::Wait(millis) => self.now.0 += millis * 1000,
            Step::Finish(_) | Step::Load => {}
        }
        while let Some((attempt, decision)) = self.gate.next_decision(self.now) {
            prop_assert!(
                self.queued.remove(&attempt).is_some(),
                "{attempt} was not queued"
            );
            self.on_decision(attempt, decision)?;
        }
        let open = self.queued.values().all(|&deadline| deadline > self.now);
        prop_assert!(open, "a request is queued beyond its deadline");
        prop_assert_eq!(self.gate.queued() as usize, self.queued.len());
        prop_assert!(self.gate.queued() <= LIMITS.max_queued);
        Ok(())
    }

    fn on_decision(&mut self, attempt: Attempt, decision: Decision) -> Result<(), TestCaseError> {
        prop_assert!(self.decided.insert(attempt), "{attempt} was decided twice");
        if decision == Decision::Admit {
            prop_assert!(!self.drained, "a drained target received a request");
            prop_assert!(!self.stopped, "a leaving target received a request");
            self.in_transit.push_back(attempt);
        }
        Ok(())
    }

    fn receive(&mut self) -> Result<(), TestCaseError> {
        let Some(attempt) = self.in_transit.pop_front() else {
            return Ok(());
        };
        self.running.push((attempt, self.boot));
        // Requests accepted before a change of weights do not count as new load.
        let new = self
            .running
            .iter()
            .filter(|(_, boot)| *boot == self.boot)
            .count();
        if self.answers < LIMITS.warm_after {
            prop_assert!(
                new <= LIMITS.cold as usize,
                "a cold target has {new} requests"
            );
        }
        prop_assert!(
            self.running.len() <= LIMITS.warm as usize,
            "a warm target has too many requests"
        );
        self.reports.push_back(Report::Accepted(attempt, self.boot));
        Ok(())
    }

    fn deliver_report(&mut self) {
        match self.reports.pop_front() {
            Some(Report::Accepted(attempt, boot)) => self.gate.on_confirm(attempt, boot),
            Some(Report::Ended(attempt, outcome)) => self.gate.on_finish(attempt, outcome),
            None => {}
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (0u8..4, 0u8..3, 1u64..3000).prop_map(|(team, priority, left)| Step::Submit(team, priority, left)),
        8 => Just(Step::Receive),
        10 => Just(Step::Report),
        6 => any::<u8>().prop_map(Step::Finish),
        1 => Just(Step::Restart),
        1 => Just(Step::Load),
        1 => any::<bool>().prop_map(Step::Drain),
        2 => Just(Step::Probe),
        2 => Just(Step::ProbeReply),
        1 => (0u64..400).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 0..600)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn no_target_exceeds_its_limits(steps in steps(), warm in any::<bool>(), stops in any::<bool>()) {
        let mut simulation = Simulation::new();
        for _ in 0..if warm { 60 } else { 0 } {
            for step in [Step::Submit(0, 1, 3000), Step::Receive, Step::Report, Step::Finish(0), Step::Report] {
                simulation.step(&step)?;
            }
        }
        prop_assert_eq!(simulation.gate.state() == "ready", warm);
        for step in &steps {
            simulation.step(step)?;
        }
        if stops {
            simulation.step(&Step::Stop)?;
            prop_assert_eq!(simulation.gate.queued(), 0);
            for step in &steps {
                simulation.step(step)?;
            }
        }
    }

    #[test]
    fn service_is_proportional_to_shares(share in 1u32..9) {
        let limits = Limits { cold: 1, warm: 1, warm_after: 1, max_queued: 400 };
        let mut gate = Gate::new(limits);
        for number in 0..400u32 {
            let is_large = number % 2 == 0;
            gate.on_request(Job {
                attempt: Attempt(number.into()),
                team: Team::from(if is_large { "large" } else { "small" }),
                share: if is_large { share } else { 1 },
                work: 100,
                priority: 1,
                deadline: Time(u64::MAX),
            });
        }
        let (mut running, mut large) = (Attempt(0), 0);
        for _ in 0..100 {
            gate.on_confirm(running, Boot(1));
            gate.on_finish(running, Outcome::Success);
            let (attempt, decision) = gate.next_decision(Time(0)).expect("requests are queued");
            prop_assert_eq!(decision, Decision::Admit);
            large += u32::from(attempt.0 % 2 == 0);
            running = attempt;
        }
        let expected = 100 * share / (share + 1);
        prop_assert!(large.abs_diff(expected) <= 2, "{large} of 100 for a share of {share} to 1");
    }
}

#[test]
fn the_lowest_priority_is_shed_first() {
    let mut gate = Gate::new(Limits {
        max_queued: 2,
        ..LIMITS
    });
    let mut submit = |number: u128, priority| {
        gate.on_request(Job {
            attempt: Attempt(number),
            team: Team::from("team"),
            share: 1,
            work: 1,
            priority,
            deadline: Time(u64::MAX),
        })
    };
    assert_eq!(submit(1, 1), Decision::Admit);
    assert_eq!(submit(2, 1), Decision::Admit);
    assert_eq!(submit(3, 0), Decision::Wait);
    assert_eq!(submit(4, 1), Decision::Wait);
    assert_eq!(submit(5, 2), Decision::Wait);
    assert_eq!(submit(6, 0), Decision::Refuse(Refusal::Full));
    let shed = gate.next_decision(Time(0));
    assert_eq!(shed, Some((Attempt(3), Decision::Refuse(Refusal::Full))));
}
