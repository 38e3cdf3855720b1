use std::fmt::{Debug, Display};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::cache::{Key, Report};
use fleet::catalog::Catalog;
use fleet::rollout;
use fleet::roster::Member;
use http::{HeaderMap, StatusCode, request};
use types::{Domain, Fence, Model, Target, Team};

/// What a platform has to offer to an entry.
pub trait Platform: Codec + Source + Orders + Cache + platform::Table + Debug + 'static {}

impl<Whole> Platform for Whole where
    Whole: Codec + Source + Orders + Cache + platform::Table + Debug + 'static
{
}

/// Reads and writes the heads of requests and answers.
pub trait Codec {
    /// Reads what an entry needs of a caller's request.
    ///
    /// # Errors
    /// Fails when a value cannot be read; the request is then refused.
    fn parse_request(&self, head: &request::Parts) -> Result<Head, Rejection>;

    /// Writes the headers of an attempt: those of the caller that may be passed on, and those that
    /// an entry sets.
    fn upstream_headers(&self, head: &request::Parts, send: &Envelope) -> HeaderMap;

    /// Reads the head of a target's answer.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> Response;

    /// Returns the headers of an answer that a caller may get.
    fn downstream_headers(&self, headers: &HeaderMap) -> HeaderMap;
}

/// A value of a request that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Rejection {
    /// the header {name} is {value:?}; accepted is {accepted}
    Header {
        /// Its name.
        name: &'static str,
        /// What it holds.
        value: String,
        /// What would be accepted.
        accepted: &'static str,
    },
}

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq)]
pub struct Head {
    /// The caller's name of the request, as it was sent.
    pub id: Box<str>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The key.
    pub key: Option<Box<str>>,
    /// The last event that the caller has of this stream.
    pub last_event: Option<u64>,
    /// Set for prompts.
    pub prompt: Option<Prompt>,
}

/// A prompt as its headers describe it.
#[derive(Debug, Clone, PartialEq)]
pub struct Prompt {
    /// The model.
    pub model: Model,
    /// Tokens of the prompt.
    pub input_tokens: u64,
    /// The largest number of tokens of the answer.
    pub max_output: u64,
    /// The caller's estimate of that number.
    pub expected_output: Option<u64>,
    /// The parts of the prompt in order; the last one belongs to this request.
    pub segments: Vec<Segment>,
}

/// A part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Segment {
    /// Its name; equal names are equal parts.
    pub id: Box<str>,
    /// Its length.
    pub tokens: u64,
}

/// What an entry sets on an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// The target that may run it.
    pub target: Target,
    /// The time that is left.
    pub remaining: Duration,
    /// The team of the key.
    pub team: Option<Team>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// The name under which the target keeps and finds parts of the prompt.
    pub namespace: Option<Box<str>>,
    /// The weight version that the target must have.
    pub version: Option<u64>,
    /// Urgency from 0 to 9; 0 is the first.
    pub urgency: Option<u8>,
    /// Where to fetch each part, and where to save each part; empty for none.
    pub fetch: Vec<Option<Fetch>>,
    /// Where to save each part.
    pub save: Vec<Option<SocketAddr>>,
}

/// Where a part is fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fetch {
    /// The store or target.
    pub from: SocketAddr,
    /// Tokens to read; all that there are if not set.
    pub tokens: Option<u64>,
}

/// What the head of an answer says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The request that it belongs to.
    pub id: Option<Box<str>>,
    /// Whether it bears the target's mark, so that it was made by a target and not on the way.
    pub authentic: bool,
    /// Whether the target says that it has not run the request and will not.
    pub not_run: bool,
    /// Whether another target, or one with other weights, has the address.
    pub misdirected: bool,
    /// The weight version that the answer is made with.
    pub version: Option<u64>,
    /// How long the connection may be idle, if the answer says so.
    pub keep_alive: Option<Duration>,
    /// Whether the target closes the connection.
    pub closes: bool,
}

/// The two lists that an entry follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum List {
    /// What the operator wrote.
    Operator,
    /// The targets.
    Targets,
}

/// A change of a list.
#[derive(Debug)]
pub enum Change {
    /// A configuration.
    Catalog(Box<Catalog>),
    /// A failure domain is to get nothing more, or may get requests again.
    Evacuate(Domain, bool),
    /// A weight version was named.
    Weights(Model, u64),
    /// A target reported.
    Upserted(Member),
    /// A target is on the list no more, or its report cannot be used, since this version of its row.
    Removed(Target, u64),
}

/// Changes in order.
#[derive(Debug)]
pub struct Batch {
    /// The changes; all that there is for a whole list.
    pub changes: Vec<Change>,
    /// Where to go on.
    pub cursor: u64,
    /// The store's steady clock in milliseconds.
    pub store_time: u64,
}

/// Follows the platform's lists.
pub trait Source {
    /// Why a list cannot be read.
    type Failure: Display;

    /// Reads a whole list.
    fn load(&self, list: List) -> impl Future<Output = Result<Batch, Self::Failure>>;

    /// Waits for changes after a cursor; `None` means that the store has forgotten them, and the
    /// list has to be loaded again.
    fn watch(
        &self,
        list: List,
        cursor: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Batch>, Self::Failure>>;
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The number of orders that it has accepted since its start.
    pub accepted_orders: u64,
    /// Whether an order is under way.
    pub busy: bool,
    /// The weight versions of its models.
    pub weights: Vec<(Model, u64)>,
}

/// Gives orders to targets.
pub trait Orders {
    /// Reads the state of a target.
    fn status(&self, address: SocketAddr) -> impl Future<Output = Option<Status>>;

    /// Tells a target to take weights; `after` is the number of orders that it must have accepted.
    fn order(
        &self,
        address: SocketAddr,
        order: &rollout::Order,
        holder: &str,
        fence: Fence,
        after: u64,
    ) -> impl Future<Output = rollout::Answer>;
}

/// What changed at a store host.
#[derive(Debug)]
pub struct Updates {
    /// The boot; another one means that the host has lost what it had.
    pub boot: u64,
    /// Where to go on.
    pub next: u64,
    /// Whether older reports are missing.
    pub gap: bool,
    /// The reports in order.
    pub reports: Vec<Report>,
}

/// Speaks with store hosts.
pub trait Cache {
    /// Waits for reports after a number.
    ///
    /// # Errors
    /// Fails with a text for logs when the host does not answer.
    fn updates(
        &self,
        address: SocketAddr,
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Updates, String>>;

    /// Reads all that the host keeps, as reports; the answer has no gap. The call holds up the host's
    /// other work, so it is for what the numbered reports no longer tell.
    ///
    /// # Errors
    /// Fails with a text for logs when the host does not answer.
    fn snapshot(&self, address: SocketAddr) -> impl Future<Output = Result<Updates, String>>;

    /// Frees parts, if the host still has the boot.
    ///
    /// # Errors
    /// Fails with a text for logs when the host does not answer, or has another boot.
    fn evict(
        &self,
        address: SocketAddr,
        boot: u64,
        keys: &[Key],
    ) -> impl Future<Output = Result<(), String>>;
}
