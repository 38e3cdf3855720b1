use serde::{Deserialize, Serialize};
use types::{Attempt, Incarnation};

/// The row that lets a call with an idempotency key run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The attempt that holds the claim; only this attempt may be sent to the target.
    pub attempt: Attempt,
    /// The process that made the claim.
    pub agent: String,
    /// The incarnation of that process; a later one cannot know whether the attempt was sent.
    pub incarnation: Incarnation,
    /// How far the attempt has come, as far as the platform knows.
    pub state: State,
}

/// How far a claimed attempt has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Claimed; the attempt may be on its way to the target.
    Claimed,
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
