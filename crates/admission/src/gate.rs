use std::collections::{HashMap, VecDeque};

use chart::{Chart, Machine, Step};
use types::{Attempt, Boot, Time};

use crate::Job;
use crate::queue::Queue;

/// Admits requests to one target and never sends it more than it can bear.
#[derive(Debug)]
pub struct Gate {
    limits: Limits,
    machine: Machine,
    boot: Option<Boot>,
    allowed: u32,
    successes: u32,
    running: HashMap<Attempt, Progress>,
    queue: Queue,
    settled: VecDeque<(Attempt, Decision)>,
    drained_by_rule: bool,
    stopping: bool,
}

/// What the target can bear.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests at the same time while the target is cold.
    pub cold: u32,
    /// Requests at the same time once it is warm.
    pub warm: u32,
    /// Answers that warm the target up; the ramp starts behind them.
    pub warm_after: u32,
    /// Requests that may wait for a slot; 0 refuses them at once.
    pub max_queued: u32,
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it now.
    Admit,
    /// Keep it; [`Gate::next_decision`] says later what becomes of it.
    Wait,
    /// Do not send it; it was not sent and never will be.
    Refuse(Refusal),
}

/// Why a request is not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The target has as many requests as it may have.
    Full,
    /// As many requests are on their way without an answer as a cold target bears.
    Unconfirmed,
    /// The target is leaving.
    Leaving,
    /// The target does not answer.
    Suspect,
    /// The caller's deadline passed while the request waited.
    Deadline,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered it to the end.
    Success,
    /// The target failed or could not be reached.
    Failure,
    /// The caller gave up; this says nothing about the target.
    Cancelled,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Sent,
    /// The target answered under this boot id.
    Confirmed(Boot),
}

const CHART: &str = include_str!("../charts/target.json");

impl Gate {
    /// Starts with a cold target that has not been heard of.
    ///
    /// # Panics
    /// Panics when the chart that is built into the program is malformed, which a test excludes.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let chart = Chart::parse(CHART).expect("the built-in chart is valid");
        Self {
            machine: chart.start(),
            boot: None,
            allowed: limits.cold,
            successes: 0,
            running: HashMap::new(),
            queue: Queue::new(limits.max_queued as usize),
            settled: VecDeque::new(),
            limits,
            drained_by_rule: false,
            stopping: false,
        }
    }

    /// Decides about a new request.
    pub fn on_request(&mut self, ask: Job) -> Decision {
        let attempt = ask.attempt;
        match self.obstacle() {
            Some(refusal @ (Refusal::Leaving | Refusal::Suspect)) => Decision::Refuse(refusal),
            None if self.queue.len() == 0 => {
                self.running.insert(attempt, Progress::Sent);
                Decision::Admit
            }
            obstacle => match self.queue.push(ask) {
                Some(shed) if shed.attempt == attempt => {
                    Decision::Refuse(obstacle.unwrap_or(Refusal::Full))
                }
                Some(shed) => {
                    let refused = Decision::Refuse(Refusal::Full);
                    self.settled.push_back((shed.attempt, refused));
                    Decision::Wait
                }
                None => Decision::Wait,
            },
        }
    }

    /// Returns a waiting request whose fate is known by now; to be called after every event until
    /// it returns `None`.
    pub fn next_decision(&mut self, now: Time) -> Option<(Attempt, Decision)> {
        if let Some(settled) = self.settled.pop_front() {
            return Some(settled);
        }
        if let Some(expired) = self.queue.pop_expired(now) {
            return Some((expired.attempt, Decision::Refuse(Refusal::Deadline)));
        }
        match self.obstacle() {
            Some(refusal @ (Refusal::Leaving | Refusal::Suspect)) => {
                let waiting = self.queue.pop()?;
                Some((waiting.attempt, Decision::Refuse(refusal)))
            }
            Some(_) => None,
            None => {
                let waiting = self.queue.pop()?;
                self.running.insert(waiting.attempt, Progress::Sent);
                Some((waiting.attempt, Decision::Admit))
            }
        }
    }

    /// Takes a request out of the queue, for a caller that went away; says whether it waited.
    pub fn withdraw(&mut self, attempt: Attempt) -> bool {
        self.queue.remove(attempt)
    }

    /// Says whether a new request would be sent or may wait, and is not refused at once.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !matches!(self.obstacle(), Some(Refusal::Leaving | Refusal::Suspect))
    }

    /// Says what keeps a request from being sent now.
    fn obstacle(&self) -> Option<Refusal> {
        if self.drained_by_rule || self.stopping {
            return Some(Refusal::Leaving);
        }
        if self.machine.state() == "suspect" {
            return Some(Refusal::Suspect);
        }
        if self.in_flight() >= self.allowed {
            return Some(Refusal::Full);
        }
        (self.unconfirmed() >= self.limits.cold).then_some(Refusal::Unconfirmed)
    }

    /// Records the first sign of life of a request, which names the engine's boot id.
    pub fn on_confirm(&mut self, attempt: Attempt, boot: Boot) {
        if let Some(progress) = self.running.get_mut(&attempt) {
            *progress = Progress::Confirmed(boot);
        }
        self.on_boot(boot);
    }

    /// Records the end of a request.
    pub fn on_finish(&mut self, attempt: Attempt, outcome: Outcome) {
        let Some(progress) = self.running.remove(&attempt) else {
            return;
        };
        match outcome {
            // An answer from before the target lost its warm-up says nothing of it now.
            Outcome::Success => match (progress, self.boot) {
                (Progress::Confirmed(boot), Some(now)) if boot != now => {}
                _ => self.on_success(),
            },
            Outcome::Failure => {
                self.machine.on("failed");
                self.restart_ramp();
            }
            Outcome::Cancelled => {}
        }
        self.check_empty();
    }

    /// Records the engine's boot id from an answer or a load report; a change means cold.
    pub fn on_boot(&mut self, boot: Boot) {
        let known = self.boot.replace(boot);
        if known.is_some_and(|known| known != boot) {
            self.machine.on("boot_changed");
            self.restart_ramp();
        }
    }

    /// Records a successful probe of a suspect target.
    pub fn on_probe(&mut self, boot: Boot) {
        self.machine.on("probe_ok");
        self.on_boot(boot);
    }

    /// Applies whether a rule or the host list takes the target out.
    pub fn set_drained(&mut self, drained: bool) -> Step {
        if drained == self.drained_by_rule {
            return Step::Stayed;
        }
        self.drained_by_rule = drained;
        if drained {
            self.machine.on("drain");
            self.check_empty();
        } else {
            self.machine.on("undrain");
            self.restart_ramp();
        }
        Step::Moved
    }

    /// Stops admission for a graceful shutdown; running requests finish.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.machine.on("drain");
        self.check_empty();
    }

    /// Returns the name of the state in `charts/target.json`.
    #[must_use]
    pub fn state(&self) -> &str {
        self.machine.state()
    }

    /// Returns the number of requests that wait for a slot.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Returns the number of requests sent and not finished.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns how many requests the ramp allows now.
    #[must_use]
    pub fn allowed(&self) -> u32 {
        self.allowed
    }

    fn unconfirmed(&self) -> u32 {
        self.running
            .values()
            .filter(|&&progress| progress == Progress::Sent)
            .count() as u32
    }

    fn on_success(&mut self) {
        self.machine.on("first_success");
        self.successes += 1;
        // The target bears no more than the cold limit until it is warmed up. Behind that the ramp
        // doubles only after a whole window, so one lucky answer does not open it.
        let window = match self.allowed == self.limits.cold {
            true => self.allowed.max(self.limits.warm_after),
            false => self.allowed,
        };
        if self.successes >= window && self.allowed < self.limits.warm {
            self.allowed = (self.allowed * 2).min(self.limits.warm);
            self.successes = 0;
        }
        if self.allowed >= self.limits.warm {
            self.machine.on("ramp_complete");
        }
    }

    fn restart_ramp(&mut self) {
        self.allowed = self.limits.cold;
        self.successes = 0;
    }

    fn check_empty(&mut self) {
        if self.running.is_empty() {
            self.machine.on("empty");
        }
    }
}
