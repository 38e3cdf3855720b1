use std::sync::Arc;

use control::Status;
use rules::Priority;
use serde::{Deserialize, Serialize};
use types::{Attempt, Incarnation, Model, Request, Service, Team, Verdict, Version};

/// What two processes say to each other on a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Asks an agent to run a request.
    Dispatch(Dispatch),
    /// The agent sent the request to its target.
    Admitted(Admitted),
    /// The agent did not take the request, or lost it; the verdict says which.
    Refused(Refused),
    /// A piece of a streamed answer.
    Event(Event),
    /// The end of a streamed answer; an answer without it is incomplete.
    End(End),
    /// The whole answer of a plain service.
    Reply(Reply),
    /// Asks an agent for the rest of an answer.
    Resume(Resume),
    /// Gives a request up.
    Cancel,
    /// Asks an agent what became of an attempt that it claimed.
    Query(Query),
    /// The answer to [`Frame::Query`].
    Resolution(Resolution),
    /// What the control parts of two processes say to each other.
    Control(control::Message),
}

impl Frame {
    /// Returns the request that a frame of an answer belongs to.
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

/// A request on its way to a target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The caller's request.
    pub request: Request,
    /// This attempt at it.
    pub attempt: Attempt,
    /// Whose request it is.
    pub team: Team,
    /// Which requests are shed first.
    pub priority: Priority,
    /// The time left until the caller gives up, in milliseconds.
    pub deadline_ms: u32,
    /// Tokens of a prompt that no earlier visit computed, as far as the sender can tell.
    pub uncached_tokens: u32,
    /// The wait above which the sender expects another target to be faster, in milliseconds.
    pub max_wait_ms: u32,
    /// The configuration in force at the sender.
    pub version: Version,
    /// What to do.
    pub work: Work,
}

/// What a target is asked to do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// Answer a prompt.
    Prompt(Prompt),
    /// Run a call of a plain service.
    Call(Call),
}

/// A prompt for a model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Prompt {
    /// The model that is asked.
    pub model: Model,
    /// The whole conversation; shared, since each try of a prompt sends it.
    pub text: Arc<str>,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// The tokens of the answer that the caller has already, when the answer is completed on
    /// another target.
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

/// The load of a target, which every answer carries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run or wait.
    pub in_flight: u32,
    /// Requests that may run now.
    pub limit: u32,
    /// How long the agent expects a new request to wait, in milliseconds.
    pub wait_ms: u32,
    /// Prompts that the target computes in turn.
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

/// The request was not taken or was lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The request that was refused.
    pub request: Request,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why.
    pub reason: Reason,
    /// When it is worth trying again, in milliseconds.
    pub retry_after_ms: u32,
    /// The target's load.
    pub load: Load,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The target has as much as it bears.
    Full,
    /// The target is leaving or drained.
    Leaving,
    /// The target does not answer.
    Unavailable,
    /// The target serves another model or service.
    WrongTarget,
    /// The deadline passed.
    Deadline,
    /// The platform is needed for this request and is unavailable.
    Platform,
    /// The same idempotency key is in use, and the outcome is not known.
    InDoubt,
    /// The answer is not kept any more, or never was this team's.
    Unknown,
    /// The process has heard from nobody and cannot know the rules in force.
    Isolated,
    /// The request itself cannot be accepted.
    Invalid,
    /// The idempotency key was used for another call or body.
    Mismatch,
    /// Another target is expected to be faster.
    Slow,
}

/// A piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The request that is answered, so that a crossed event is never taken for another answer's.
    pub request: Request,
    /// The position in the answer, from 0 without gaps.
    pub seq: u32,
    /// The text.
    pub text: Arc<str>,
}

/// The end of an answer, with what is needed to see that it is whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// The request that is answered.
    pub request: Request,
    /// The number of events in the whole answer.
    pub events: u32,
    /// The digest of all events; see [`Digest`].
    pub digest: [u8; 32],
    /// Why the engine stopped, in the words of the chat-completions interface.
    pub finish_reason: String,
    /// What the answer cost.
    pub usage: Usage,
    /// The target's load.
    pub load: Load,
}

/// What an answer cost, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the prompt that were reused from kept context.
    pub reused: u32,
    /// Tokens of the answer.
    pub completion: u32,
}

/// The whole answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The request that is answered.
    pub request: Request,
    /// The HTTP status of the service's answer.
    pub status: u16,
    /// The body.
    pub body: String,
    /// Whether it is the stored outcome of an earlier attempt.
    pub replayed: bool,
    /// The target's load.
    pub load: Load,
}

/// Asks for the rest of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The request whose answer is wanted.
    pub request: Request,
    /// Whose request it was; another team's request is unknown.
    pub team: Team,
    /// The first event that is missing.
    pub from: u32,
}

/// Asks what became of a claimed attempt; by answering that it was not sent, the agent commits
/// itself never to send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// The attempt in the claim.
    pub attempt: Attempt,
    /// The incarnation of the agent that made the claim.
    pub incarnation: Incarnation,
}

/// What became of a claimed attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resolution {
    /// The attempt that was asked about.
    pub attempt: Attempt,
    /// What the agent knows.
    pub status: Status,
}

/// Computes the digest of an answer, event by event.
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
