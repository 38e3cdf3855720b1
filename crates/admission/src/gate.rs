use std::collections::{HashMap, VecDeque};

use chart::{Chart, Machine, Step};
use types::{Attempt, Boot, Time};

use crate::Job;
use crate::queue::Queue;

/// Admits requests to one target within its concurrency limits.
#[derive(Debug)]
pub struct Gate {
    limits: Limits,
    machine: Machine,
    boot: Option<Boot>,
    allowed: u32,
    successes: u32,
    running: HashMap<Attempt, Progress>,
    queue: Queue,
    decided: VecDeque<(Attempt, Decision)>,
    drain_requested: bool,
    stopping: bool,
}

/// The concurrency and queue limits of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum number of concurrent requests while the target is cold.
    pub cold: u32,
    /// The maximum number of concurrent requests once the target is warm.
    pub warm: u32,
    /// The number of successful responses after which the target is warmed up and the ramp starts.
    pub warm_after: u32,
    /// The maximum number of queued requests; with 0, requests that cannot be sent are refused
    /// immediately.
    pub max_queued: u32,
}

/// The admission decision for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the request now.
    Admit,
    /// Keep the request queued; [`Gate::next_decision`] returns the final decision later.
    Wait,
    /// Refuse the request; it was not sent and never will be.
    Refuse(Refusal),
}

/// The reason for refusing a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The number of requests in flight has reached its limit.
    Full,
    /// The number of sent requests that the target has not confirmed has reached the limit of a
    /// cold target.
    Unconfirmed,
    /// The target is being drained or shut down.
    Leaving,
    /// The target is unresponsive.
    Suspect,
    /// The caller's deadline passed while the request was queued.
    Deadline,
}

/// The result of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target sent a complete response.
    Success,
    /// The target failed or was unreachable.
    Failure,
    /// The caller cancelled the request; this says nothing about the target.
    Cancelled,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Sent,
    /// The target confirmed the request under this boot id.
    Confirmed(Boot),
}

const CHART: &str = include_str!("../charts/target.json");

impl Gate {
    /// Creates a gate for a cold target with an unknown boot id.
    ///
    /// # Panics
    /// Panics if the built-in state chart is malformed, which a test rules out.
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
            decided: VecDeque::new(),
            limits,
            drain_requested: false,
            stopping: false,
        }
    }

    /// Returns the admission decision for a new request.
    pub fn on_request(&mut self, job: Job) -> Decision {
        let attempt = job.attempt;
        match self.blocking_reason() {
            Some(refusal @ (Refusal::Leaving | Refusal::Suspect)) => Decision::Refuse(refusal),
            None if self.queue.len() == 0 => {
                self.running.insert(attempt, Progress::Sent);
                Decision::Admit
            }
            blocking_reason => match self.queue.push(job) {
                Some(shed) if shed.attempt == attempt => {
                    Decision::Refuse(blocking_reason.unwrap_or(Refusal::Full))
                }
                Some(shed) => {
                    let refused = Decision::Refuse(Refusal::Full);
                    self.decided.push_back((shed.attempt, refused));
                    Decision::Wait
                }
                None => Decision::Wait,
            },
        }
    }

    /// Returns the next queued request for which a decision is available. Must be called after
    /// every event until it returns `None`.
    pub fn next_decision(&mut self, now: Time) -> Option<(Attempt, Decision)> {
        if let Some(decided) = self.decided.pop_front() {
            return Some(decided);
        }
        if let Some(timed_out) = self.queue.pop_expired(now) {
            return Some((timed_out.attempt, Decision::Refuse(Refusal::Deadline)));
        }
        match self.blocking_reason() {
            Some(refusal @ (Refusal::Leaving | Refusal::Suspect)) => {
                let queued = self.queue.pop()?;
                Some((queued.attempt, Decision::Refuse(refusal)))
            }
            Some(_) => None,
            None => {
                let queued = self.queue.pop()?;
                self.running.insert(queued.attempt, Progress::Sent);
                Some((queued.attempt, Decision::Admit))
            }
        }
    }

    /// Removes the request of a caller that disconnected from the queue; returns whether it was
    /// queued.
    pub fn cancel(&mut self, attempt: Attempt) -> bool {
        self.queue.remove(attempt)
    }

    /// Returns whether new requests are sent or queued, rather than refused immediately because the
    /// target is leaving or unresponsive.
    #[must_use]
    pub fn is_accepting(&self) -> bool {
        !matches!(
            self.blocking_reason(),
            Some(Refusal::Leaving | Refusal::Suspect)
        )
    }

    /// Returns the reason for which no request can be sent now, if any.
    fn blocking_reason(&self) -> Option<Refusal> {
        if self.drain_requested || self.stopping {
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

    /// Records that the target has started to answer a request, with the engine's boot id.
    pub fn on_confirm(&mut self, attempt: Attempt, boot: Boot) {
        if let Some(progress) = self.running.get_mut(&attempt) {
            *progress = Progress::Confirmed(boot);
        }
        self.on_boot(boot);
    }

    /// Records the result of a request.
    pub fn on_finish(&mut self, attempt: Attempt, outcome: Outcome) {
        let Some(progress) = self.running.remove(&attempt) else {
            return;
        };
        match outcome {
            // A response from before the target became cold again does not count towards the new
            // warm-up.
            Outcome::Success => match (progress, self.boot) {
                (Progress::Confirmed(boot), Some(now)) if boot != now => {}
                _ => self.on_success(),
            },
            Outcome::Failure => {
                self.machine.handle("failed");
                self.restart_ramp();
            }
            Outcome::Cancelled => {}
        }
        self.check_drained();
    }

    /// Records the engine's boot id from a response or a load report; a new boot id means that the
    /// target is cold.
    pub fn on_boot(&mut self, boot: Boot) {
        let previous = self.boot.replace(boot);
        if previous.is_some_and(|previous| previous != boot) {
            self.machine.handle("boot_changed");
            self.restart_ramp();
        }
    }

    /// Records a successful probe of a suspect target.
    pub fn on_probe(&mut self, boot: Boot) {
        self.machine.handle("probe_ok");
        self.on_boot(boot);
    }

    /// Starts or ends a drain that is requested by a rule or by the host list.
    pub fn set_drained(&mut self, drained: bool) -> Step {
        if drained == self.drain_requested {
            return Step::Unchanged;
        }
        self.drain_requested = drained;
        if drained {
            self.machine.handle("drain");
            self.check_drained();
        } else {
            self.machine.handle("undrain");
            self.restart_ramp();
        }
        Step::Changed
    }

    /// Stops admission for a graceful shutdown; requests in flight can finish.
    pub fn stop(&mut self) {
        self.stopping = true;
        self.machine.handle("drain");
        self.check_drained();
    }

    /// Returns the name of the current state in `charts/target.json`.
    #[must_use]
    pub fn state(&self) -> &str {
        self.machine.state()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the concurrency limit that the ramp currently allows.
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
        self.machine.handle("first_success");
        self.successes += 1;
        // Until the target is warmed up, the cold limit applies. After that the ramp doubles only
        // after a full window of successes, so that a single lucky response does not open it.
        let window = match self.allowed == self.limits.cold {
            true => self.allowed.max(self.limits.warm_after),
            false => self.allowed,
        };
        if self.successes >= window && self.allowed < self.limits.warm {
            self.allowed = (self.allowed * 2).min(self.limits.warm);
            self.successes = 0;
        }
        if self.allowed >= self.limits.warm {
            self.machine.handle("ramp_complete");
        }
    }

    fn restart_ramp(&mut self) {
        self.allowed = self.limits.cold;
        self.successes = 0;
    }

    fn check_drained(&mut self) {
        if self.running.is_empty() {
            self.machine.handle("empty");
        }
    }
}
