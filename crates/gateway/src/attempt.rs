use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fleet::cache;
use fleet::catalog::{Delivery, Pool, Route};
use fleet::quarantine;
use fleet::roster::Member;
use fleet::stream::Limit;
use http::header::CONTENT_LENGTH;
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request, Response, StatusCode, request};
use http_body::Body as _;
use http_body_util::Full;
use hyper::body::Incoming;
use types::{Target, Time, Version};

use crate::adapter::{Envelope, Head, Platform};
use crate::buffer::{self, Reservation};
use crate::clock::now;
use crate::connection::{self, Checkout, Connection, Error};
use crate::fingerprint;
use crate::framing::Framing;
use crate::in_flight::{Claim, InFlight};
use crate::logging::{Event, describe};
use crate::reachability;
use crate::retry::Progress;
use crate::serve::DEFAULT_TIMEOUT;
use crate::shared::Shared;
use crate::shutdown;
use crate::sse::{Chunk, Splitter, Step};
use crate::wait::await_target;

/// A caller's request that passed admission, with its complete body.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) parts: request::Parts,
    pub(crate) body: Bytes,
    /// Reserves memory for the body while the request is in progress.
    pub(crate) reservation: Reservation,
    pub(crate) head: Head,
    /// The segments of the prompt that other prompts may share.
    pub(crate) segments: Vec<quarantine::Segment>,
    /// Identifies the request by its content; set when it is first needed.
    pub(crate) fingerprint: OnceCell<quarantine::Fingerprint>,
    pub(crate) route: Arc<Route>,
    pub(crate) owner: Option<Arc<fleet::catalog::Owner>>,
    pub(crate) arrived: Time,
    /// When the caller's or the route's timeout expires.
    pub(crate) deadline: Cell<Time>,
    /// The version of the configuration in force at admission.
    pub(crate) config: Version,
    /// The dispatcher that refused to place the request, with the sequence number of the placement
    /// request.
    pub(crate) refused_by: RefCell<Option<Grant>>,
}

/// The target chosen for an attempt, and what to send to it.
#[derive(Debug, Clone)]
pub(crate) struct Choice {
    pub(crate) member: Arc<Member>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) envelope: Envelope,
    /// Tokens that the target has to prefill.
    pub(crate) prefill_tokens: u64,
    /// Tokens of KV memory that the request occupies at the target.
    pub(crate) kv_tokens: u64,
    /// The number of targets that were considered.
    pub(crate) pool_size: usize,
    /// The segments of the prompt that other requests may share.
    pub(crate) segments: Vec<cache::Segment>,
    /// Whether each shared segment is prefilled, skipped, saved or fetched.
    pub(crate) plan: cache::Plan,
    /// The dispatcher's grant, if a dispatcher chose the target.
    pub(crate) grant: Option<Grant>,
    /// When a grant for a cold target expires.
    pub(crate) send_by: Option<Time>,
}

/// A dispatcher's permission to send a request to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Grant {
    pub(crate) dispatcher: String,
    /// The sequence number of the placement request.
    pub(crate) sequence: u64,
}

/// Why a target has not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// The request did not reach it.
    Unsent,
    /// The request was not sent because the grant had expired.
    Expired,
    /// It refused the request.
    Refused,
    /// Another instance answers at its address, or it serves other weights than expected.
    Misdirected,
}

impl Rejection {
    /// Returns whether the request reached the target.
    pub(crate) fn was_sent(self) -> bool {
        matches!(self, Self::Refused | Self::Misdirected)
    }

    /// Returns its name in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Unsent | Self::Expired => "unsent",
            Self::Refused | Self::Misdirected => "refused",
        }
    }
}

/// The result of an attempt.
#[derive(Debug)]
pub(crate) enum Outcome<Adapter> {
    /// The target sent a complete response.
    Buffered(Box<Buffered>),
    /// The target started a streaming response.
    Streaming(Box<Streaming<Adapter>>),
    /// The target has not run the request and will not.
    NotRun {
        /// Why it has not.
        rejection: Rejection,
        /// The cause, for logs.
        cause: String,
    },
    /// The request may have run, or it ran and its response is lost.
    Failed {
        /// The cause, for logs.
        cause: String,
    },
    /// The connection was lost before the first event of the response. The request may have run.
    Lost {
        /// The cause, for logs.
        cause: String,
    },
    /// The entry withdrew the request before its response began, for this cause. It may have run.
    Withdrawn(&'static str),
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct Buffered {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) reservation: Reservation,
}

/// A streaming response whose first event has arrived.
#[derive(Debug)]
pub(crate) struct Streaming<Adapter> {
    pub(crate) headers: HeaderMap,
    pub(crate) status: StatusCode,
    /// The first events; `None` if the stream ended without any.
    pub(crate) first_chunk: Option<Chunk>,
    pub(crate) events: Splitter,
    pub(crate) body: Incoming,
    pub(crate) connection: Connection,
    pub(crate) in_flight: InFlight<Adapter>,
    pub(crate) keep_alive: Option<Duration>,
    pub(crate) closes: bool,
    /// Whether the response has a length or chunks, or can have no body. Otherwise a target that
    /// crashed may seem to have ended its response.
    pub(crate) is_delimited: bool,
}

/// Callers abandon a stream after the longest of this many latency objectives, [`GAP_INTERVALS`]
/// inter-event gap objectives, and [`MIN_GAP`].
const GAP_OBJECTIVES: u32 = 4;
/// See [`GAP_OBJECTIVES`].
const GAP_INTERVALS: u32 = 8;
/// See [`GAP_OBJECTIVES`].
const MIN_GAP: Duration = Duration::from_secs(2);
/// The share of the stall timeout for which a request that was sent before, or whose stream has
/// begun, may wait for a target.
const RETRY_WAIT_SHARE: f64 = 0.4;
/// The share of a target's connection limit that all entries together may use; health checks and
/// closing connections use the rest.
const CONNECTION_SHARE: f64 = 0.8;

impl Choice {
    /// Describes for logs how each shared segment is handled.
    pub(crate) fn describe_segments(&self) -> String {
        let segments = self.segments.iter().zip(&self.plan.actions);
        let descriptions = segments.map(|(segment, action)| {
            let (id, tokens) = (&segment.key.id, segment.tokens);
            match action {
                cache::Action::Prefill => format!("{id}:{tokens} read"),
                cache::Action::Skip(store) => format!("{id}:{tokens} skip {store}"),
                cache::Action::Save(store) => format!("{id}:{tokens} save {store}"),
                cache::Action::Fetch(store) => format!("{id}:{tokens} fetch {store}"),
            }
        });
        descriptions.collect::<Vec<_>>().join(", ")
    }
}

impl Admitted {
    /// Returns what identifies the request when its caller repeats it.
    pub(crate) fn fingerprint<Adapter>(&self, shared: &Shared<Adapter>) -> quarantine::Fingerprint {
        let compute = || fingerprint::of(self, &shared.dispatch.secret());
        *self.fingerprint.get_or_init(compute)
    }

    /// Returns the time until the deadline, or until a stopping entry must respond if that is
    /// earlier.
    pub(crate) fn remaining<Adapter>(&self, shared: &Shared<Adapter>, now: Time) -> Duration {
        let deadline = self.deadline.get();
        let limit = shutdown::response_limit(shared, &self.route);
        limit
            .map_or(deadline, |limit| limit.min(deadline))
            .since(now)
    }

    /// Applies the timeout of the route in a newer configuration if it is longer.
    pub(crate) fn extend_deadline(&self, timeout: Duration) {
        let timeout = self.head.timeout.unwrap_or(DEFAULT_TIMEOUT).min(timeout);
        let deadline = self.arrived + timeout;
        self.deadline.set(self.deadline.get().max(deadline));
    }

    /// Returns the priority rank; the team's rank overrides the route's.
    pub(crate) fn rank(&self) -> u8 {
        let team = self.owner.as_ref().and_then(|owner| owner.rank);
        team.unwrap_or(self.route.rank)
    }

    /// Returns how long a request may wait for a target if it was sent before, or if its caller has
    /// received a part of the stream.
    pub(crate) fn retry_wait<Adapter>(&self, shared: &Shared<Adapter>, now: Time) -> Duration {
        let patience = self.stall_timeout().min(self.remaining(shared, now));
        patience.mul_f64(RETRY_WAIT_SHARE)
    }

    /// Returns how long the target may send nothing before the caller gives up.
    pub(crate) fn stall_timeout(&self) -> Duration {
        if self.route.delivery != Delivery::Stream {
            return Duration::MAX;
        }
        let objectives = self.route.objective * GAP_OBJECTIVES;
        let gaps = self.route.gap_objective * GAP_INTERVALS;
        objectives.max(gaps).max(MIN_GAP)
    }
}

/// Sends a request to a target and waits for the complete response, or for the first event of a
/// stream.
///
/// Dropping the future closes the connection, which makes the target cancel its work.
pub(crate) async fn run<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    progress: &mut Progress<Adapter>,
    choice: &Choice,
) -> Outcome<Adapter>
where
    Adapter: Platform,
{
    let at_most_once = !admitted.route.is_retryable();
    let started = now();
    progress.connect_time = None;
    loop {
        let claim = Claim::start(shared, choice);
        let connection = match connect(shared, choice, at_most_once).await {
            Ok(connection) => connection,
            Err(error) => {
                let cause = error.to_string();
                return Outcome::NotRun {
                    rejection: Rejection::Unsent,
                    cause,
                };
            }
        };
        progress.connect_time = Some(now().since(started));
        let reused = connection.reused;
        if let Some(send_by) = choice.send_by {
            if now() >= send_by {
                shared.metrics.on_cold_grant("expired");
                connection::release(shared, &choice.member.id, connection, None);
                let cause = "the grant for the cold target has expired".to_owned();
                return Outcome::NotRun {
                    rejection: Rejection::Expired,
                    cause,
                };
            }
            shared.metrics.on_cold_grant("sent");
        }
        drop(claim);
        match exchange(shared, admitted, progress, choice, connection).await {
            // The target closed an idle connection before any byte of the request was sent.
            Outcome::NotRun {
                rejection: Rejection::Unsent,
                ..
            } if reused => {}
            outcome => return outcome,
        }
    }
}

/// Returns how many connections to each target of a pool this entry may open.
pub(crate) fn connection_limit<Adapter>(shared: &Shared<Adapter>, pool: &Pool) -> u32 {
    let entries = shared.entry_count.get().max(1) as f64;
    let share = f64::from(pool.max_connections) * CONNECTION_SHARE / entries;
    (share as u32).max(1)
}

async fn connect<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    choice: &Choice,
    at_most_once: bool,
) -> Result<Connection, Error>
where
    Adapter: Platform,
{
    let limit = connection_limit(shared, &choice.pool);
    let checkout =
        shared
            .connections
            .borrow_mut()
            .checkout(&choice.member.id, limit, at_most_once, now());
    match checkout {
        Checkout::Reuse(connection) => Ok(connection),
        Checkout::Open(permit) => {
            shared.metrics.connections.inc();
            reachability::connect(shared, &choice.member, permit).await
        }
        Checkout::Exhausted => Err(Error::Exhausted(limit)),
    }
}

async fn exchange<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    progress: &mut Progress<Adapter>,
    choice: &Choice,
    mut connection: Connection,
) -> Outcome<Adapter>
where
    Adapter: Platform,
{
    let request = match build_request(shared, admitted, choice) {
        Ok(request) => request,
        Err(cause) => {
            return Outcome::NotRun {
                rejection: Rejection::Unsent,
                cause,
            };
        }
    };
    let sent_at = now();
    let mut in_flight = InFlight::start(shared, choice);
    let received = connection.received();
    connection.limit_interim_bytes();
    let sending = connection.sender.try_send_request(request);
    let last_event = choice.envelope.last_event;
    let target = in_flight.target();
    let waiting = await_target(shared, admitted, progress, target, last_event, sending);
    let response = match waiting.await {
        Ok(Ok(response)) => response,
        Ok(Err(mut error)) => {
            if error.take_message().is_some() {
                let cause = describe(&error.into_error());
                return Outcome::NotRun {
                    rejection: Rejection::Unsent,
                    cause,
                };
            }
            return no_head(
                shared,
                &error.into_error(),
                connection.received() - received,
            );
        }
        Err(cause) => return Outcome::Failed { cause },
    };
    let responded_at = now();
    connection.lift_limit();
    let (head, mut body) = response.into_parts();
    let response = shared.adapter.parse_response(head.status, &head.headers);
    // hyper skips the other informational responses.
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        shared
            .metrics
            .invalid_responses
            .with_label_values(&["head"])
            .inc();
        let cause = "the target changed the protocol".to_owned();
        return Outcome::Failed { cause };
    }
    // A refusal of another request says nothing about this one, which may still be running.
    // Dropping the connection keeps the pending response from being read as that of the next
    // request.
    if response.id.as_deref() != Some(&*admitted.head.id) {
        shared
            .metrics
            .invalid_responses
            .with_label_values(&["foreign"])
            .inc();
        let cause = format!("status {} of another request", head.status.as_u16());
        return Outcome::Failed { cause };
    }
    let mut reservation = admitted.reservation.sibling();
    if response.not_run || response.misdirected {
        let cause = format!("status {}", head.status.as_u16());
        let rest = buffer::collect(&mut body, MAX_REFUSAL_BYTES, &mut reservation);
        let collected = tokio::time::timeout(REFUSAL_TIMEOUT, rest).await;
        if !response.closes && matches!(collected, Ok(Ok(_))) {
            connection::release(shared, in_flight.target(), connection, response.keep_alive);
        }
        let rejection = match response.misdirected {
            true => Rejection::Misdirected,
            false => Rejection::Refused,
        };
        return Outcome::NotRun { rejection, cause };
    }
    if let (Some(served), Some(expected)) = (response.version, choice.envelope.version)
        && served != expected
    {
        Event::new("unexpected_weights")
            .with("request", &*admitted.head.id)
            .with("target", &*choice.member.id)
            .with("expected", expected)
            .with("served", served)
            .warn();
    }
    if !response.authentic {
        let cause = format!(
            "status {} without the target's authentication code",
            head.status.as_u16()
        );
        return Outcome::Failed { cause };
    }
    let framing = match body.is_end_stream() {
        true => Framing::Delimited,
        false => Framing::of(&head.headers),
    };
    if framing == Framing::Unsupported {
        shared
            .metrics
            .invalid_responses
            .with_label_values(&["head"])
            .inc();
        let cause = "the end of the response's body is unclear".to_owned();
        return Outcome::Failed { cause };
    }
    let remaining = admitted.remaining(shared, now());
    if admitted.route.delivery == Delivery::Stream && head.status.is_success() {
        let waited = responded_at.since(sent_at);
        let prefill_rate = shared.on_first_event(choice.prefill_tokens, waited);
        let excess = waited.saturating_sub(prefill_rate.duration(choice.prefill_tokens));
        let domain = &choice.member.domain;
        shared
            .cache_index
            .borrow_mut()
            .on_first_token(&choice.plan, domain, excess, now());
        let prompt = admitted.head.prompt.as_ref();
        let limit = Limit::new(prompt.map(|prompt| prompt.max_output));
        let stream = Streaming {
            headers: shared.adapter.downstream_headers(&head.headers),
            status: head.status,
            first_chunk: None,
            events: Splitter::new(limit, admitted.reservation.sibling()),
            body,
            connection,
            in_flight,
            keep_alive: response.keep_alive,
            closes: response.closes,
            is_delimited: framing == Framing::Delimited,
        };
        return start_stream(shared, admitted, progress, choice, stream).await;
    }
    let limit = shared.settings.limits.answer_bytes;
    let collected = buffer::collect(&mut body, limit, &mut reservation);
    let collected = tokio::time::timeout(remaining, collected).await;
    in_flight.on_first_event();
    let body = match collected {
        Ok(Ok(collected)) => collected,
        Ok(Err(problem)) => {
            let fault = match problem {
                buffer::Problem::Interrupted(_) => "cut_body",
                buffer::Problem::TooLong(_) | buffer::Problem::NoMemory => "long",
            };
            shared
                .metrics
                .invalid_responses
                .with_label_values(&[fault])
                .inc();
            let cause = format!("invalid response body: {problem}");
            return match problem {
                buffer::Problem::Interrupted(_) => Outcome::Lost { cause },
                buffer::Problem::TooLong(_) | buffer::Problem::NoMemory => {
                    Outcome::Failed { cause }
                }
            };
        }
        Err(_) => {
            let cause = "the response did not end in time".to_owned();
            return Outcome::Failed { cause };
        }
    };
    if !response.closes {
        connection::release(shared, in_flight.target(), connection, response.keep_alive);
    }
    Outcome::Buffered(Box::new(Buffered {
        status: head.status,
        headers: shared.adapter.downstream_headers(&head.headers),
        body,
        reservation,
    }))
}

/// Returns the outcome of an attempt whose connection failed before a complete response head, of
/// which `received` bytes had arrived.
fn no_head<Adapter>(
    shared: &Shared<Adapter>,
    error: &hyper::Error,
    received: u64,
) -> Outcome<Adapter> {
    let cause = format!("{}, after {received} bytes", describe(error));
    let (fault, outcome) = match (error.is_parse(), received) {
        (true, _) => (Some("head"), Outcome::Failed { cause }),
        (false, received) if received > connection::MAX_INTERIM_BYTES => {
            (Some("head"), Outcome::Failed { cause })
        }
        (false, 0) => (None, Outcome::Lost { cause }),
        (false, _) => (Some("cut_head"), Outcome::Lost { cause }),
    };
    if let Some(fault) = fault {
        let faults = &shared.metrics.invalid_responses;
        faults.with_label_values(&[fault]).inc();
    }
    outcome
}

/// How long reading the rest of a refusal may take.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);
/// The maximum size of the body of a refusal; refusals are short.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// Waits for the first event of a stream.
async fn start_stream<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    progress: &mut Progress<Adapter>,
    choice: &Choice,
    mut stream: Streaming<Adapter>,
) -> Outcome<Adapter>
where
    Adapter: Platform,
{
    let target = &choice.member.id;
    let last_event = choice.envelope.last_event;
    let reading = next_chunk(shared, target, &mut stream.events, &mut stream.body);
    let waiting = await_target(shared, admitted, progress, target, last_event, reading);
    stream.first_chunk = match waiting.await {
        Ok(Ok(None)) if !stream.is_delimited => {
            let cause = "the connection ended before the first event".to_owned();
            return Outcome::Lost { cause };
        }
        Ok(Ok(chunk)) => chunk,
        Ok(Err(cause)) => return Outcome::Lost { cause },
        Err(cause) => return Outcome::Failed { cause },
    };
    stream.in_flight.on_first_event();
    Outcome::Streaming(Box::new(stream))
}

/// Waits for the next complete events of a stream; `None` is its regular end. Any bytes count as a
/// sign of life of the target, also those that complete no event.
pub(crate) async fn next_chunk<Adapter>(
    shared: &Shared<Adapter>,
    target: &Target,
    events: &mut Splitter,
    body: &mut Incoming,
) -> Result<Option<Chunk>, String> {
    loop {
        match events.read(body).await? {
            Step::Events(chunk) => return Ok(Some(chunk)),
            Step::End => return Ok(None),
            Step::Partial => shared.tracker.borrow_mut().on_heard(target, now()),
        }
    }
}

fn build_request<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    choice: &Choice,
) -> Result<Request<Full<Bytes>>, String>
where
    Adapter: Platform,
{
    let mut envelope = choice.envelope.clone();
    envelope.remaining = admitted.remaining(shared, now());
    let path = admitted.parts.uri.path_and_query();
    let path = path.map_or("/", PathAndQuery::as_str);
    let mut request = Request::builder()
        .method(admitted.parts.method.clone())
        .uri(path)
        .body(Full::new(admitted.body.clone()))
        .map_err(|error| error.to_string())?;
    *request.headers_mut() = shared.adapter.upstream_headers(&admitted.parts, &envelope);
    if admitted.parts.method != Method::GET || !admitted.body.is_empty() {
        let length = http::HeaderValue::from(admitted.body.len());
        request.headers_mut().insert(CONTENT_LENGTH, length);
    }
    Ok(request)
}

impl Buffered {
    /// Converts the target's response into the response to the caller.
    pub(crate) fn response(self) -> Response<crate::answer::Body> {
        let mut response =
            Response::new(crate::answer::Body::reserved(self.body, self.reservation));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
