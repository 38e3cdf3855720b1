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

/// The operations that an entry needs from the platform that it runs on.
pub trait Platform: Codec + Source + Orders + Cache + platform::Table + Debug + 'static {}

impl<Adapter> Platform for Adapter where
    Adapter: Codec + Source + Orders + Cache + platform::Table + Debug + 'static
{
}

/// Translates between HTTP headers and the fields of request and response heads.
pub trait Codec {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    /// Fails when a header value is invalid; the request is then rejected.
    fn parse_request(&self, head: &request::Parts) -> Result<Head, Rejection>;

    /// Builds the headers of an attempt: the caller's headers that may be forwarded, and those that
    /// the entry sets.
    fn upstream_headers(&self, head: &request::Parts, envelope: &Envelope) -> HeaderMap;

    /// Parses the head of a target's response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> Response;

    /// Returns the headers of a target's response that may be forwarded to the caller.
    fn downstream_headers(&self, headers: &HeaderMap) -> HeaderMap;
}

/// Why the head of a request was rejected.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum Rejection {
    /// invalid header {name}: got {value:?}, expected {accepted}
    Header {
        /// The name of the header.
        name: &'static str,
        /// The value that was received.
        value: String,
        /// A description of the valid values.
        accepted: &'static str,
    },
}

/// The parsed head of a caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct Head {
    /// The request id that the caller chose, unchanged.
    pub id: Box<str>,
    /// The caller's timeout.
    pub timeout: Option<Duration>,
    /// The API key.
    pub key: Option<Box<str>>,
    /// The id of the last event that the caller has received, when it resumes a stream.
    pub last_event: Option<u64>,
    /// The id of the request that brought the first event of that stream.
    pub resumes: Option<Box<str>>,
    /// The prompt; `None` for requests to plain services.
    pub prompt: Option<Prompt>,
}

/// A prompt as described by the request headers.
#[derive(Debug, Clone, PartialEq)]
pub struct Prompt {
    /// The model.
    pub model: Model,
    /// The number of tokens of the prompt.
    pub input_tokens: u64,
    /// The maximum number of tokens of the completion.
    pub max_output: u64,
    /// The caller's estimate of the number of tokens of the completion.
    pub expected_output: Option<u64>,
    /// The segments of the prompt in order; the last one belongs to this request alone.
    pub segments: Vec<Segment>,
}

/// A segment of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Segment {
    /// The id of the segment; segments with equal ids have equal content.
    pub id: Box<str>,
    /// The length of the segment in tokens.
    pub tokens: u64,
}

/// The header values that an entry sets on an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// The only target that may run the attempt.
    pub target: Target,
    /// The time until the request's deadline.
    pub remaining: Duration,
    /// The team that the API key belongs to.
    pub team: Option<Team>,
    /// The id of the last event that the caller has received.
    pub last_event: Option<u64>,
    /// The cache namespace in which the target stores and looks up segments of the prompt.
    pub namespace: Option<Box<str>>,
    /// The weight version that the target must serve.
    pub version: Option<u64>,
    /// The urgency from 0 to 9; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// For each segment, where to fetch it; the list is empty if no segment is fetched.
    pub fetch: Vec<Option<Fetch>>,
    /// For each segment, the store host to save it to; the list is empty if no segment is saved.
    pub save: Vec<Option<SocketAddr>>,
}

/// Where a segment is fetched from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fetch {
    /// The address of the store host or target.
    pub from: SocketAddr,
    /// The number of tokens to fetch; all available tokens if not set.
    pub tokens: Option<u64>,
}

/// The parsed head of a target's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The id of the request that the response belongs to.
    pub id: Option<Box<str>>,
    /// Whether the response carries a response MAC, so that a target and not an intermediary
    /// produced it.
    pub authentic: bool,
    /// Whether the target states that it has not run the request and will not run it.
    pub not_run: bool,
    /// Whether the address now belongs to another target, or to one with other weights.
    pub misdirected: bool,
    /// The weight version that the response was produced with.
    pub version: Option<u64>,
    /// The idle timeout of the connection, if the response specifies one.
    pub keep_alive: Option<Duration>,
    /// Whether the target closes the connection.
    pub closes: bool,
}

/// The lists in the platform's table store that an entry watches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum List {
    /// The rows that the operator writes: configuration, evacuations and weight releases.
    Operator,
    /// The registered targets.
    Targets,
}

/// A change to a list.
#[derive(Debug)]
pub enum Change {
    /// A new configuration.
    Catalog(Box<Catalog>),
    /// The row of the configuration is invalid, and does not replace the one before it.
    InvalidCatalog,
    /// A failure domain is evacuated (`true`), so that it gets no more requests, or back in
    /// service.
    Evacuate(Domain, bool),
    /// A weight version was released for a model.
    Weights(Model, u64),
    /// The row of a target was added or updated.
    Upserted(Member),
    /// The row of a target was removed or is invalid, as of this version of the row.
    Removed(Target, u64),
}

/// An ordered batch of changes to a list.
#[derive(Debug)]
pub struct Batch {
    /// The changes; for a snapshot, one change per row of the list.
    pub changes: Vec<Change>,
    /// The cursor after the last change, which is a [`types::Revision`].
    pub cursor: u64,
    /// The time of the reply on the table store's monotonic clock, in milliseconds.
    pub store_time: u64,
}

/// Reads and watches the lists in the platform's table store.
pub trait Source {
    /// The error when a list cannot be read.
    type Failure: Display;

    /// Returns the newest era of the table store that any response has shown. The era rises by one
    /// each time the store is restored from an older copy.
    fn era(&self) -> u64;

    /// Reads a snapshot of a list.
    fn load(&self, list: List) -> impl Future<Output = Result<Batch, Self::Failure>>;

    /// Waits up to `wait` for changes after a cursor.
    ///
    /// Returns `None` if the store no longer has the history after the cursor; the list has to be
    /// loaded again. The same holds for a batch of a later era than that of the cursor, which may
    /// lack changes.
    fn watch(
        &self,
        list: List,
        cursor: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Batch>, Self::Failure>>;
}

/// The status that a target reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The number of orders that the target has accepted since it started.
    pub accepted_orders: u64,
    /// Whether the target is executing an order.
    pub busy: bool,
    /// The weight version of each model that the target serves.
    pub weights: Vec<(Model, u64)>,
}

/// Sends weight update orders to targets.
pub trait Orders {
    /// Reads the status of a target; `None` if it cannot be read.
    fn status(&self, address: SocketAddr) -> impl Future<Output = Option<Status>>;

    /// Orders a target to load a weight version. `after` is a precondition: the number of orders
    /// that the target must have accepted so far.
    fn order(
        &self,
        address: SocketAddr,
        order: &rollout::Order,
        holder: &str,
        fence: Fence,
        after: u64,
    ) -> impl Future<Output = rollout::Answer>;
}

/// Changes to the segments that a store host caches.
#[derive(Debug)]
pub struct Updates {
    /// The boot id of the store host; when it changes, the host has lost its cached segments.
    pub boot: u64,
    /// The sequence number to pass as `since` in the next call.
    pub next: u64,
    /// Whether the host no longer has all reports after `since`.
    pub gap: bool,
    /// The reports in order.
    pub reports: Vec<Report>,
}

/// Calls to the cache servers on store hosts.
pub trait Cache {
    /// Waits up to `wait` for reports after a sequence number.
    ///
    /// # Errors
    /// Fails with a message for the log when the host does not reply.
    fn updates(
        &self,
        address: SocketAddr,
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Updates, String>>;

    /// Reads a snapshot of all segments that the host caches, as reports without a gap.
    ///
    /// The call blocks the host's other work, so it is only used when the reports have a gap.
    ///
    /// # Errors
    /// Fails with a message for the log when the host does not reply.
    fn snapshot(&self, address: SocketAddr) -> impl Future<Output = Result<Updates, String>>;

    /// Evicts segments, if the host still has the given boot id.
    ///
    /// # Errors
    /// Fails with a message for the log when the host does not reply or has another boot id.
    fn evict(
        &self,
        address: SocketAddr,
        boot: u64,
        keys: &[Key],
    ) -> impl Future<Output = Result<(), String>>;
}
