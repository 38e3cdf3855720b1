//! Claims of idempotency keys, so that a call runs at most once; see `docs/design.md`, section 5.9.

use serde::{Deserialize, Serialize};
use types::{Attempt, Incarnation, Verdict};

/// The row that lets a call with an idempotency key run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt that holds the claim; only this attempt may be sent to the target.
    ///
    /// The claiming agent draws it, so a dispatch that arrives twice never finds a claim of its
    /// own.
    pub attempt: Attempt,
    /// The process that made the claim.
    pub agent: String,
    /// The incarnation of that process; a later one cannot know whether the attempt was sent.
    pub incarnation: Incarnation,
    /// The digest of service, call and body, so that a key is not answered for another call.
    pub digest: String,
    /// How far the attempt has come, as far as the platform knows.
    pub state: State,
}

/// How far a claimed attempt has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Claimed; the attempt may be on its way to the target.
    Claimed,
    /// The attempt was not sent and never will be; anybody may take the row over.
    Released,
    /// The target answered, and later askers get the same answer.
    Done(Outcome),
}

/// The answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The HTTP status of the answer.
    pub status: u16,
    /// The body of the answer.
    pub body: String,
}

/// What the claiming agent says of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It was not sent and never will be; the agent remembers that it said so.
    #[serde(rename = "Never")]
    NeverSent,
    /// It was sent, and the outcome is not known.
    Sent,
    /// It was answered.
    Done(Outcome),
    /// The agent is gone, is another incarnation or does not remember.
    Unknown,
}

/// What came of a conditional write of the row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// It took effect, and the row has this version.
    Applied(u64),
    /// The row had another version.
    Conflict,
    /// The answer was lost; the write may have taken effect or may still do so.
    Lost,
    /// It was never sent.
    NotSent,
}

/// What came of reading the row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// There is no row.
    Absent,
    /// The row with its version.
    Row(u64, Claim),
    /// There is a row, and its content cannot be read.
    Malformed,
    /// The platform did not answer.
    Unavailable,
}

/// What an agent has to do next for a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Write this claim if the row has the version `expect`, where 0 stands for no row.
    Write {
        /// The version that the row must have.
        expect: u64,
        /// The new row.
        claim: Claim,
    },
    /// Read the row.
    Read,
    /// Ask the agent that made this claim.
    Query(Claim),
    /// The row holds this attempt at this version: send it if [`Attempts::try_mark_sent`] allows it.
    Send(u64),
    /// The attempt is not sent; [`Attempts::mark_never_sent`] it before anybody hears of this.
    Deny(Denial),
}

/// Why an attempt is not sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Denial {
    /// An earlier attempt has this outcome.
    Replay(Outcome),
    /// An earlier attempt may have run.
    InDoubt,
    /// The key was used for another call or body.
    Mismatch,
    /// The platform does not say.
    Platform,
}

impl Denial {
    /// Says whether the call may have run.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Replay(_) => Verdict::Ran,
            Self::InDoubt => Verdict::MayHaveRun,
            Self::Mismatch | Self::Platform => Verdict::NotRun,
        }
    }
}

/// Claims a key for one attempt; see `docs/design.md`, section 5.9.
///
/// Each method takes the result of the step before and returns the next one. The number of steps
/// is bounded, so competing agents cannot keep each other busy for ever.
#[derive(Debug)]
pub struct Acquisition {
    claim: Claim,
    asked: u64,
    steps: u32,
    is_contended: bool,
    is_final_read: bool,
}

/// The steps after which a claim is given up; an undisturbed takeover needs four.
const MAX_STEPS: u32 = 12;

impl Acquisition {
    /// Starts to claim the key; `claim` must carry an attempt that no one else uses.
    #[must_use]
    pub fn start(claim: Claim) -> (Self, Step) {
        let mut acquire = Self {
            claim,
            asked: 0,
            steps: MAX_STEPS,
            is_contended: false,
            is_final_read: false,
        };
        let step = acquire.write(0);
        (acquire, step)
    }

    /// Takes the result of [`Step::Write`].
    pub fn on_write(&mut self, written: Written) -> Step {
        match written {
            Written::Applied(version) => Step::Send(version),
            // The response may be lost after the write took effect, so the row decides.
            Written::Conflict | Written::Lost => self.bounded(Step::Read),
            Written::NotSent => self.give_up(),
        }
    }

    /// Takes the result of [`Step::Read`].
    pub fn on_read(&mut self, found: Lookup) -> Step {
        let (version, row) = match found {
            Lookup::Absent => return self.write(0),
            Lookup::Unavailable => {
                // Each of these may take as long as the platform's timeout.
                self.steps = self.steps.saturating_sub(MAX_STEPS / 3);
                return self.bounded(Step::Read);
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
                self.asked = version;
                self.bounded(Step::Query(row))
            }
        }
    }

    /// Takes the result of [`Step::Query`].
    pub fn on_status(&mut self, fate: Status) -> Step {
        match fate {
            Status::NeverSent => self.write(self.asked),
            Status::Done(outcome) => Step::Deny(Denial::Replay(outcome)),
            Status::Sent | Status::Unknown => {
                // The outcome may have been stored since the row was read.
                self.is_final_read = true;
                self.bounded(Step::Read)
            }
        }
    }

    fn write(&mut self, expect: u64) -> Step {
        let claim = self.claim.clone();
        self.bounded(Step::Write { expect, claim })
    }

    fn bounded(&mut self, step: Step) -> Step {
        match self.steps.checked_sub(1) {
            Some(left) => {
                self.steps = left;
                step
            }
            None => self.give_up(),
        }
    }

    /// Ends the claim before the platform has said enough, for example at the caller's deadline.
    pub fn give_up(&self) -> Step {
        // Another attempt was seen, so "not run" would not be certain.
        Step::Deny(if self.is_contended {
            Denial::InDoubt
        } else {
            Denial::Platform
        })
    }
}
