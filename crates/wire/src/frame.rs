use std::sync::Arc;

use control::Status;
use rules::Priority;
use serde::{Deserialize, Serialize};
use types::{Attempt, Incarnation, Model, Request, Service, Team, Verdict, Version};

/// A message between two processes on a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Sends a request to an agent to run it.
    Dispatch(Dispatch),
    /// The agent sent the request to its target.
    Admitted(Admitted),
    /// The agent refused the request or lost it; the verdict tells which.
    Refused(Refused),
    /// An event of a stream.
    Event(Event),
    /// The end of a stream; a stream without it is incomplete.
    End(End),
    /// The complete reply of a plain service.
    Reply(Reply),
    /// Requests the rest of a stream from an agent.
    Resume(Resume),
    /// Cancels a request.
    Cancel,
    /// Queries an agent for the status of an attempt that it claimed.
    Query(Query),
    /// The reply to [`Frame::Query`].
    Resolution(Resolution),
    /// A message between the control planes of two processes.
    Control(control::Message),
}

impl Frame {
    /// Returns the request that a frame of a response belongs to.
    #[must_use]
    pub fn request(&self) -> Option<Request> {
        match self {
            Self::Refused(refused) => Some(refused.request),
            Self::Event(event) => Some(event.request),
            Self::End(end) => Some(end.request),
            Self::Reply(reply) => Some(reply.request),
            _ => None,
        }
    }
}

/// A request that is sent to a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The caller's request.
    pub request: Request,
    /// This attempt at the request.
    pub attempt: Attempt,
    /// The team that made the request.
    pub team: Team,
    /// Determines which requests are shed first.
    pub priority: Priority,
    /// The time until the caller's deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Tokens of the prompt that no earlier request has prefilled, as far as the sender knows.
    pub uncached_tokens: u32,
    /// The wait above which the sender expects another target to be faster, in milliseconds.
    pub max_wait_ms: u32,
    /// The configuration in force at the sender.
    pub version: Version,
    /// The prompt or call.
    pub work: Work,
}

/// The content of a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// A prompt for a model engine.
    Prompt(Prompt),
    /// A call of a plain service.
    Call(Call),
}

/// A prompt for a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Prompt {
    /// The model that the prompt is for.
    pub model: Model,
    /// The complete conversation; shared, since each attempt sends it.
    pub text: Arc<str>,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The tokens that the caller has already received, if the completion is continued on another
    /// target.
    pub delivered: Vec<Arc<str>>,
}

/// A call of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The service.
    pub service: Service,
    /// The call.
    pub call: types::Call,
    /// The body, as the caller sent it.
    pub body: String,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// Whether the call may run more than once.
    pub repeatable: bool,
}

/// The load of a target, which every response carries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run or are queued.
    pub in_flight: u32,
    /// The current concurrency limit of the target.
    pub limit: u32,
    /// The expected wait of a new request, in milliseconds.
    pub wait_ms: u32,
    /// Prompts that the target is prefilling one after another.
    pub prefilling: u32,
}

/// The request was sent to the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Admitted {
    /// The target's load.
    pub load: Load,
    /// The configuration in force at the agent.
    pub version: Version,
}

/// The request was refused or was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The request that was refused.
    pub request: Request,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// The reason for the refusal.
    pub reason: Reason,
    /// The suggested time until a retry, in milliseconds.
    pub retry_after_ms: u32,
    /// The target's load.
    pub load: Load,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The target is at its capacity.
    Full,
    /// The target is shutting down or drained.
    Leaving,
    /// The target does not respond.
    Unavailable,
    /// The target serves another model or service.
    WrongTarget,
    /// The deadline passed.
    Deadline,
    /// The platform is needed for this request and is unavailable.
    Platform,
    /// An earlier request with the same idempotency key has an unknown outcome.
    InDoubt,
    /// The response is no longer stored, or belongs to another team.
    Unknown,
    /// The process has not heard from any other process and cannot know the rules in force.
    Isolated,
    /// The request is invalid.
    Invalid,
    /// The idempotency key was used for another call or body.
    Mismatch,
    /// Another target is expected to be faster.
    Slow,
}

/// An event of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The request that the event belongs to, so that events of another request are detected.
    pub request: Request,
    /// The position in the stream, counted from 0 without gaps.
    pub seq: u32,
    /// The text.
    pub text: Arc<str>,
}

/// The end of a stream, with the count and digest by which the receiver verifies completeness.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The request that this belongs to.
    pub request: Request,
    /// The number of events of the complete stream.
    pub events: u32,
    /// The digest of all events; see [`Digest`].
    pub digest: [u8; 32],
    /// The finish reason as the chat-completions API names it.
    pub finish_reason: String,
    /// The token counts of the request.
    pub usage: Usage,
    /// The target's load.
    pub load: Load,
}

/// The token counts of a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the prompt that were reused from cached context.
    pub reused: u32,
    /// Tokens that were generated.
    pub completion: u32,
}

/// The complete reply of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The request that this belongs to.
    pub request: Request,
    /// The HTTP status of the service.
    pub status: u16,
    /// The body.
    pub body: String,
    /// Whether this is the stored outcome of an earlier attempt.
    pub replayed: bool,
    /// The target's load.
    pub load: Load,
}

/// Requests the rest of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The request whose stream is resumed.
    pub request: Request,
    /// The team that made the request; requests of other teams count as unknown.
    pub team: Team,
    /// The position of the first missing event.
    pub from: u32,
}

/// Queries the status of a claimed attempt. If the agent replies that the attempt was not sent, it
/// commits to never sending it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The attempt in the claim.
    pub attempt: Attempt,
    /// The incarnation of the agent that made the claim.
    pub incarnation: Incarnation,
}

/// The status of a claimed attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolution {
    /// The attempt that was queried.
    pub attempt: Attempt,
    /// The status as the agent knows it.
    pub status: Status,
}

/// Computes the digest of a stream incrementally.
#[derive(Debug, Clone, Default)]
pub struct Digest(blake3::Hasher);

impl Digest {
    /// Adds the next event.
    pub fn update(&mut self, text: &str) {
        self.0.update(&(text.len() as u64).to_le_bytes());
        self.0.update(text.as_bytes());
    }

    /// Returns the digest of the events so far.
    #[must_use]
    pub fn finalize(&self) -> [u8; 32] {
        *self.0.finalize().as_bytes()
    }
}
