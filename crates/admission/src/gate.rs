use std::collections::HashMap;

use chart::{Chart, Machine, Step};
use types::{Attempt, Boot};

/// Admits requests to one target and never sends it more than it can bear.
#[derive(Debug)]
pub struct Gate {
    limits: Limits,
    machine: Machine,
    boot: Option<Boot>,
    allowed: u32,
    successes: u32,
    running: HashMap<Attempt, Progress>,
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
}

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it now.
    Admit,
    /// Do not send it.
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
    Confirmed,
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
            limits,
            drained_by_rule: false,
            stopping: false,
        }
    }

    /// Decides about a new request.
    pub fn on_request(&mut self, attempt: Attempt) -> Decision {
        let refuse = |refusal| Decision::Refuse(refusal);
        if self.drained_by_rule || self.stopping {
            return refuse(Refusal::Leaving);
        }
        if self.machine.state() == "suspect" {
            return refuse(Refusal::Suspect);
        }
        if self.in_flight() >= self.allowed {
            return refuse(Refusal::Full);
        }
        if self.unconfirmed() >= self.limits.cold {
            return refuse(Refusal::Unconfirmed);
        }
        self.running.insert(attempt, Progress::Sent);
        Decision::Admit
    }

    /// Records the first sign of life of a request, which names the engine's boot id.
    pub fn on_confirm(&mut self, attempt: Attempt, boot: Boot) {
        if let Some(progress) = self.running.get_mut(&attempt) {
            *progress = Progress::Confirmed;
        }
        self.on_boot(boot);
    }

    /// Records the end of a request.
    pub fn on_finish(&mut self, attempt: Attempt, outcome: Outcome) {
        if self.running.remove(&attempt).is_none() {
            return;
        }
        match outcome {
            Outcome::Success => self.on_success(),
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
        // The ramp doubles only after a whole window, so one lucky answer does not open it.
        if self.successes >= self.allowed && self.allowed < self.limits.warm {
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
