//! Claims of idempotency keys, which make a call run at most once; see `docs/design.md`, section
//! 5.9.

use serde::{Deserialize, Serialize};
use types::{Attempt, Incarnation, Verdict};

/// The row that ensures that a call with an idempotency key runs at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt that holds the claim; only this attempt may be sent to the target.
    ///
    /// The claiming agent draws the id at random, so a duplicated dispatch never matches a claim
    /// made by its first copy.
    pub attempt: Attempt,
    /// The name of the agent that made the claim.
    pub agent: String,
    /// The incarnation of that agent; a later incarnation cannot know whether the attempt was sent.
    pub incarnation: Incarnation,
    /// The digest of service, call and body, which prevents a key from being answered with the
    /// outcome of a different call.
    pub digest: String,
    /// The progress of the attempt, as recorded on the platform.
    pub state: State,
}

/// The progress of a claimed attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Claimed; the attempt may have been sent to the target.
    Claimed,
    /// The attempt was not sent and never will be; any agent may take the row over.
    Released,
    /// The target answered; later requests with the key get the same answer.
    Done(Outcome),
}

/// The response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The HTTP status of the response.
    pub status: u16,
    /// The body of the response.
    pub body: String,
}

/// The status of an attempt as reported by the claiming agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// The attempt was not sent and never will be; the agent remembers that it reported this.
    #[serde(rename = "Never")]
    NeverSent,
    /// The attempt was sent, and its outcome is not known.
    Sent,
    /// The attempt was answered.
    Done(Outcome),
    /// The agent is unreachable, runs as another incarnation or no longer remembers the attempt.
    Unknown,
}

/// The result of a conditional write of the row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// The write took effect, and the row now has this version.
    Applied(u64),
    /// The row had a different version.
    Conflict,
    /// The response was lost; the write may have taken effect or may still do so.
    Lost,
    /// The write was never sent.
    NotSent,
}

/// The result of reading the row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// The row does not exist.
    Absent,
    /// The version and the content of the row.
    Row(u64, Claim),
    /// The row exists, but its content cannot be parsed.
    Malformed,
    /// The platform did not respond.
    Unavailable,
}

/// The next step that an agent has to perform for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Write this claim if the row has the version `expect`, where 0 means that the row must not
    /// exist.
    Write {
        /// The expected version of the row.
        expect: u64,
        /// The new content of the row.
        claim: Claim,
    },
    /// Read the row.
    Read,
    /// Query the agent that made this claim for the status of its attempt.
    Query(Claim),
    /// The row holds this attempt at this version: send it if [`crate::Attempts::try_mark_sent`]
    /// allows it.
    Send(u64),
    /// The attempt must not be sent; call [`crate::Attempts::mark_never_sent`] before reporting
    /// this to anyone.
    Deny(Denial),
}

/// The reason for which an attempt is not sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Denial {
    /// An earlier attempt completed with this outcome.
    Replay(Outcome),
    /// An earlier attempt may have run; its outcome is unknown.
    InDoubt,
    /// The key was already used with a different call or body.
    Mismatch,
    /// The state of the claim could not be determined, because the platform did not respond or the
    /// step limit or deadline was reached.
    Platform,
}

impl Denial {
    /// Returns whether the call ran, may have run or did not run.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Replay(_) => Verdict::Ran,
            Self::InDoubt => Verdict::MayHaveRun,
            Self::Mismatch | Self::Platform => Verdict::NotRun,
        }
    }
}

/// A state machine that claims a key for one attempt; see `docs/design.md`, section 5.9.
///
/// Each method takes the result of the previous step and returns the next one. The number of steps
/// is bounded, so competing agents cannot livelock.
#[derive(Debug)]
pub struct Acquisition {
    claim: Claim,
    queried_version: u64,
    steps_left: u32,
    is_contended: bool,
    is_final_read: bool,
}

/// Maximum number of steps before the claim is aborted; an uncontended takeover needs four.
const MAX_STEPS: u32 = 12;

impl Acquisition {
    /// Starts claiming the key; `claim` must carry a unique attempt id.
    #[must_use]
    pub fn start(claim: Claim) -> (Self, Step) {
        let mut acquisition = Self {
            claim,
            queried_version: 0,
            steps_left: MAX_STEPS,
            is_contended: false,
            is_final_read: false,
        };
        let step = acquisition.write(0);
        (acquisition, step)
    }

    /// Processes the result of [`Step::Write`].
    pub fn on_write(&mut self, written: Written) -> Step {
        match written {
            Written::Applied(version) => Step::Send(version),
            // The response may have been lost after the write took effect, so the row has to be
            // read.
            Written::Conflict | Written::Lost => self.count_step(Step::Read),
            Written::NotSent => self.give_up(),
        }
    }

    /// Processes the result of [`Step::Read`].
    pub fn on_read(&mut self, lookup: Lookup) -> Step {
        let (version, row) = match lookup {
            Lookup::Absent => return self.write(0),
            Lookup::Unavailable => {
                // Each failed read may take as long as the platform timeout, so it counts as
                // several steps.
                self.steps_left = self.steps_left.saturating_sub(MAX_STEPS / 3);
                return self.count_step(Step::Read);
            }
            Lookup::Malformed => return Step::Deny(Denial::InDoubt),
            Lookup::Row(version, row) => (version, row),
        };
        if row.digest != self.claim.digest {
            return Step::Deny(Denial::Mismatch);
        }
        if row.attempt == self.claim.attempt {
            return match row.state {
                State::Claimed => Step::Send(version),
                State::Released | State::Done(_) => Step::Deny(Denial::InDoubt),
            };
        }
        self.is_contended = true;
        match row.state {
            State::Done(outcome) => Step::Deny(Denial::Replay(outcome)),
            State::Released => self.write(version),
            State::Claimed if self.is_final_read => Step::Deny(Denial::InDoubt),
            State::Claimed => {
                self.queried_version = version;
                self.count_step(Step::Query(row))
            }
        }
    }

    /// Processes the result of [`Step::Query`].
    pub fn on_status(&mut self, status: Status) -> Step {
        match status {
            Status::NeverSent => self.write(self.queried_version),
            Status::Done(outcome) => Step::Deny(Denial::Replay(outcome)),
            Status::Sent | Status::Unknown => {
                // The outcome may have been stored since the last read of the row.
                self.is_final_read = true;
                self.count_step(Step::Read)
            }
        }
    }

    fn write(&mut self, expect: u64) -> Step {
        let claim = self.claim.clone();
        self.count_step(Step::Write { expect, claim })
    }

    fn count_step(&mut self, step: Step) -> Step {
        match self.steps_left.checked_sub(1) {
            Some(left) => {
                self.steps_left = left;
                step
            }
            None => self.give_up(),
        }
    }

    /// Aborts the claim before its state is determined, for example at the caller's deadline.
    pub fn give_up(&self) -> Step {
        // A competing attempt was seen, so "not run" would not be certain.
        Step::Deny(if self.is_contended {
            Denial::InDoubt
        } else {
            Denial::Platform
        })
    }
}
