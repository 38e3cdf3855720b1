use std::cell::{Cell, OnceCell, RefCell};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use fleet::callers::BODY_BUFFER_BYTES;
use fleet::catalog::{Caller, Limits};
use fleet::shutdown::Stage;
use http::header::{EXPECT, HOST};
use http::{Request, Response, request};
use http_body::Body as _;
use hyper::body::Incoming;
use types::{Target, Time};

use crate::adapter::Platform;
use crate::answer::{Body, Reason, close};
use crate::attempt::{self, Admitted, Buffered, Choice, Grant, Outcome, Rejection, Streaming};
use crate::buffer::{self, Reservation};
use crate::builds;
use crate::caller::{Exchange, Link, MAX_DRAIN_BYTES};
use crate::clock::now;
use crate::dispatch::{self, Failure};
use crate::logging::Event;
use crate::quarantine;
use crate::reachability;
use crate::relay;
use crate::retry::{Progress, Step};
use crate::shared::Shared;
use crate::shutdown;
use crate::weights;

/// The timeout of a request without a deadline.
pub(crate) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// When a caller may retry after a refusal that is unrelated to load.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The maximum time a queued request waits before it tries again to find a target.
const RETRY_INTERVAL: Duration = Duration::from_millis(30);
/// A failure that takes longer than this is attributed to a slow target.
const SLOW_FAILURE: Duration = Duration::from_millis(1500);

/// Serves a caller's request.
pub(crate) async fn serve<Adapter>(
    shared: Rc<Shared<Adapter>>,
    exchange: Rc<Exchange>,
    request: Request<Incoming>,
) -> Response<Body>
where
    Adapter: Platform,
{
    exchange.turn().await;
    let arrived = now();
    let unanswered = Rc::clone(&shared.unanswered);
    let (parts, body) = request.into_parts();
    let expects_continue = parts.headers.contains_key(EXPECT);
    let mut body = Some(body);
    let pending = Pending {
        shared: Rc::clone(&shared),
        id: "".into(),
        arrived,
        target: None,
        answered: false,
    };
    let link = Rc::clone(exchange.link());
    let responding = respond(Rc::clone(&shared), &link, parts, &mut body, pending);
    let mut response = tokio::select! {
        biased;
        response = catch_panic(responding) => {
            response.unwrap_or_else(|Panicked| Reason::Panicked.response(None))
        }
        () = exchange.abandoned() => Reason::Abandoned.response(None),
    };
    exchange.start_response();
    if shared.stopping.get().is_some() {
        close(response.headers_mut());
    }
    if let Some(body) = body.filter(|body| !body.is_end_stream()) {
        if expects_continue {
            // The caller may or may not send the body, so the next request cannot be found.
            close(response.headers_mut());
            exchange.link().abandon_body();
        } else {
            if body.size_hint().lower() > MAX_DRAIN_BYTES {
                close(response.headers_mut());
            }
            let exchange = Rc::clone(&exchange);
            tokio::task::spawn_local(async move { exchange.link().drain(body).await });
        }
    }
    response.map(|body| body.counted_as(unanswered, exchange))
}

/// Refuses a request whose head has more fields than there is memory for.
pub(crate) fn refuse_unread<Adapter>(shared: &Rc<Shared<Adapter>>) -> Response<Body> {
    let mut response = refuse(shared, Reason::Busy, DEFAULT_RETRY_AFTER, "", now(), None);
    close(response.headers_mut());
    response
}

/// Responds to a request.
async fn respond<Adapter>(
    shared: Rc<Shared<Adapter>>,
    link: &Link,
    parts: request::Parts,
    body: &mut Option<Incoming>,
    mut pending: Pending<Adapter>,
) -> Response<Body>
where
    Adapter: Platform,
{
    let response = match admit(&shared, link, parts, body, &mut pending).await {
        Ok(admitted) => forward(&shared, Rc::new(admitted), &mut pending).await,
        Err(reason) => {
            let (id, arrived) = (&pending.id, pending.arrived);
            refuse(&shared, reason, DEFAULT_RETRY_AFTER, id, arrived, None)
        }
    };
    pending.answered = true;
    response
}

/// A future panicked.
#[derive(Debug)]
struct Panicked;

/// Runs a future to its end or to its panic, which would otherwise end the caller's connection.
///
/// # Errors
/// Fails if the future panics. Like the tasks of this process, which may panic at any time, the
/// future must leave what it shares with others usable.
async fn catch_panic<Task>(task: Task) -> Result<Task::Output, Panicked>
where
    Task: Future,
{
    let mut task = std::pin::pin!(task);
    std::future::poll_fn(|context| {
        let poll = AssertUnwindSafe(|| task.as_mut().poll(context));
        match catch_unwind(poll) {
            Ok(poll) => poll.map(Ok),
            Err(_) => Poll::Ready(Err(Panicked)),
        }
    })
    .await
}

/// A request without a response so far. If it is dropped, which happens when the connection ends or
/// the task panics, it is logged.
#[derive(Debug)]
struct Pending<Adapter> {
    shared: Rc<Shared<Adapter>>,
    /// Empty until the head has been parsed.
    id: Box<str>,
    arrived: Time,
    /// The target of the last attempt.
    target: Option<Target>,
    answered: bool,
}

impl<Adapter> Drop for Pending<Adapter> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let outcome = if std::thread::panicking() {
            "panicked"
        } else {
            "gone"
        };
        let requests = &self.shared.metrics.requests;
        requests.with_label_values(&[outcome]).inc();
        Event::new("ended")
            .with("request", &*self.id)
            .with("outcome", outcome)
            .with("target", self.target.as_deref())
            .with("after_ms", millis(now().since(self.arrived)))
            .with("config", self.shared.config_version())
            .warn();
    }
}

/// Checks a request against the configuration and reads its body, which is left to the caller of
/// this function unless it is read completely.
async fn admit<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    link: &Link,
    parts: request::Parts,
    body: &mut Option<Incoming>,
    pending: &mut Pending<Adapter>,
) -> Result<Admitted, Reason>
where
    Adapter: Platform,
{
    let head = match shared.adapter.parse_request(&parts) {
        Ok(head) => head,
        Err(error) => {
            Event::new("malformed")
                .with("why", error.to_string())
                .warn();
            return Err(Reason::Malformed);
        }
    };
    pending.id.clone_from(&head.id);
    let arrived = pending.arrived;
    let catalog = shared.catalog().ok_or(Reason::NoCatalog)?;
    // An unknown route or key may be unknown only because the configuration is outdated.
    let is_fresh = shared.is_fresh(arrived);
    let unless_stale = |reason| if is_fresh { reason } else { Reason::Stale };
    let route = catalog
        .route(host(&parts), parts.uri.path())
        .ok_or_else(|| unless_stale(Reason::NoRoute))?;
    let owner = match catalog.caller(route, head.key.as_deref()) {
        Caller::Anonymous => None,
        Caller::Unauthenticated => return Err(unless_stale(Reason::NoKey)),
        Caller::Authenticated(_) if !is_fresh => return Err(Reason::Stale),
        Caller::Authenticated(owner) => Some(owner),
    };
    let caller_timeout = head.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let timeout = caller_timeout.min(route.timeout);
    let deadline = arrived + timeout;
    // A newer configuration may extend the deadline to that of the caller.
    if !shutdown::accepts(shared, route, Stage::Arriving, arrived + caller_timeout) {
        return Err(Reason::Stopping);
    }
    let mut reservation = Reservation::of(&shared.buffers, link.seat());
    let body = tokio::select! {
        biased;
        body = read_body(link, body, &catalog.limits, timeout, &mut reservation) => body?,
        () = shutdown::until_last_start(shared, route, Stage::Waiting, deadline) => {
            return Err(Reason::Stopping);
        }
    };
    let route = Arc::clone(route);
    let segments = quarantine::shared_segments(head.prompt.as_ref());
    Ok(Admitted {
        parts,
        body,
        reservation,
        head,
        segments,
        fingerprint: OnceCell::new(),
        route,
        owner,
        arrived,
        deadline: Cell::new(deadline),
        config: catalog.version,
        refused_by: RefCell::default(),
    })
}

async fn read_body(
    link: &Link,
    body: &mut Option<Incoming>,
    limits: &Limits,
    timeout: Duration,
    reservation: &mut Reservation,
) -> Result<Bytes, Reason> {
    let Some(unread) = body else {
        return Ok(Bytes::new());
    };
    if unread.is_end_stream() {
        *body = None;
        return Ok(Bytes::new());
    }
    let mut working = reservation.sibling();
    if working.grow(BODY_BUFFER_BYTES).is_err() {
        return Err(Reason::Busy);
    }
    link.await_body(true);
    let reading = buffer::collect(unread, limits.body_bytes, reservation);
    let collected = tokio::time::timeout(timeout, reading).await;
    link.await_body(false);
    match collected {
        Ok(Ok(bytes)) => {
            *body = None;
            Ok(bytes)
        }
        Ok(Err(buffer::Problem::TooLong(_))) => Err(Reason::TooLarge),
        Ok(Err(buffer::Problem::NoMemory)) => Err(Reason::Busy),
        Ok(Err(buffer::Problem::Interrupted(_))) => Err(Reason::Malformed),
        Err(_) => Err(Reason::TimedOutUnsent),
    }
}

pub(crate) fn host(parts: &request::Parts) -> &str {
    let header = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    header.or_else(|| parts.uri.host()).unwrap_or("")
}

/// How the attempts of a request ended.
#[derive(Debug)]
enum Answer<Adapter> {
    /// A target sent this complete response.
    Served(Box<Buffered>),
    /// A target started this streaming response.
    Streaming(Box<Streaming<Adapter>>),
    /// No target served it; the error response of a target is more informative than one of this
    /// entry.
    Error(Box<Buffered>),
    /// No target served it, for this reason; the caller may retry after the delay.
    Failed(Reason, Duration),
}

/// Sends a request to targets until one responds, until no further attempt is possible, or until a
/// stopping entry must respond.
async fn forward<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: Rc<Admitted>,
    pending: &mut Pending<Adapter>,
) -> Response<Body>
where
    Adapter: Platform,
{
    let Some(service) = admitted.route.pick_service(shared.random()).cloned() else {
        return fail(shared, &admitted, Reason::NoTarget, DEFAULT_RETRY_AFTER);
    };
    shared
        .retries
        .borrow_mut()
        .on_request(&service, admitted.arrived);
    let mut progress = Progress::new(service, admitted.config);
    if admitted.head.last_event.is_some() && admitted.route.resumable {
        let origin = builds::origin(shared, &admitted, progress.service()).await;
        let Some(origin) = origin else {
            return fail(shared, &admitted, Reason::UnknownBuild, DEFAULT_RETRY_AFTER);
        };
        progress.take_up(origin);
    }
    let mut fallback: Option<Box<Buffered>> = None;
    let answer = tokio::select! {
        biased;
        answer = try_targets(shared, &admitted, &mut progress, &mut fallback, pending) => answer,
        () = shutdown::until_response_limit(shared, &admitted.route) => {
            Answer::failed(fallback, progress.cut_off(), DEFAULT_RETRY_AFTER)
        }
    };
    match answer {
        Answer::Served(response) => {
            admitted.reservation.on_served();
            shared.metrics.on_first(now().since(admitted.arrived));
            record_end(shared, &admitted, "served", None);
            response.response()
        }
        Answer::Streaming(stream) => {
            admitted.reservation.on_served();
            shared.metrics.on_first(now().since(admitted.arrived));
            relay::respond(Rc::clone(shared), admitted, progress, *stream)
        }
        Answer::Error(response) => {
            record_end(shared, &admitted, "error", None);
            response.response()
        }
        Answer::Failed(reason, retry_after) => fail(shared, &admitted, reason, retry_after),
    }
}

impl<Adapter> Answer<Adapter> {
    fn failed(fallback: Option<Box<Buffered>>, reason: Reason, retry_after: Duration) -> Self {
        match fallback {
            Some(response) => Self::Error(response),
            None => Self::Failed(reason, retry_after),
        }
    }
}

/// Sends a request to one target after the other. `fallback` is set to the last error response of
/// a target.
async fn try_targets<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Rc<Admitted>,
    progress: &mut Progress<Adapter>,
    fallback: &mut Option<Box<Buffered>>,
    pending: &mut Pending<Adapter>,
) -> Answer<Adapter>
where
    Adapter: Platform,
{
    loop {
        let step = dispatch::next(shared, admitted, progress, admitted.head.last_event).await;
        let choice = match step {
            Step::Send(choice) => choice,
            Step::Wait => {
                wait_for_capacity(shared).await;
                continue;
            }
            Step::Fail(reason, retry_after) => {
                return Answer::failed(fallback.take(), reason, retry_after);
            }
        };
        pending.target = Some(choice.member.id.clone());
        match attempt(shared, admitted, progress, &choice).await {
            Outcome::Buffered(response) => {
                let retry = response.status.is_server_error()
                    && admitted.route.is_retryable()
                    && progress.may_run_again(admitted);
                if !retry {
                    return Answer::Served(response);
                }
                *fallback = Some(response);
            }
            Outcome::Streaming(stream) => return Answer::Streaming(stream),
            Outcome::NotRun { .. } => {}
            Outcome::Failed { .. } | Outcome::Lost { .. } | Outcome::Withdrawn(_) => {
                if !admitted.route.is_retryable() || !progress.may_run_again(admitted) {
                    let timed_out = admitted.remaining(shared, now()).is_zero();
                    let reason = if timed_out {
                        Reason::TimedOut
                    } else {
                        Reason::Failed
                    };
                    return Answer::Failed(reason, DEFAULT_RETRY_AFTER);
                }
            }
        }
    }
}

/// Waits until a target may have capacity.
pub(crate) async fn wait_for_capacity<Adapter>(shared: &Shared<Adapter>) {
    let capacity = shared.capacity_freed.notified();
    // The timeout ends the wait if no request ends meanwhile.
    let _ = tokio::time::timeout(RETRY_INTERVAL, capacity).await;
}

/// Makes one attempt and updates the target's health.
pub(crate) async fn attempt<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    progress: &mut Progress<Adapter>,
    choice: &Choice,
) -> Outcome<Adapter>
where
    Adapter: Platform,
{
    let target = &choice.member.id;
    let sent_at = now();
    // Counted before the outcome is known, because the request may be taken over from this target.
    progress.deliveries += 1;
    progress.runs += 1;
    progress.in_flight = true;
    let is_trial = progress.trial.is_some();
    if let Some(trial) = &mut progress.trial {
        trial.on_sent();
    }
    let withdrawn = async {
        match is_trial {
            true => std::future::pending().await,
            false => quarantine::quarantined(shared, admitted).await,
        }
    };
    let outcome = tokio::select! {
        // A response that has arrived counts even if the request is to be withdrawn.
        biased;
        outcome = attempt::run(shared, admitted, progress, choice) => outcome,
        () = withdrawn => Outcome::Withdrawn("it or a segment of its prompt was quarantined"),
        () = weights::until_expired(shared, admitted, choice) => {
            Outcome::Withdrawn("the target's weights expire")
        }
    };
    progress.in_flight = matches!(outcome, Outcome::Streaming(_));
    match outcome {
        Outcome::NotRun { rejection, .. } => {
            progress.runs -= 1;
            progress.deliveries -= u32::from(!rejection.was_sent());
        }
        Outcome::Buffered(_)
        | Outcome::Streaming(_)
        | Outcome::Failed { .. }
        | Outcome::Lost { .. }
        | Outcome::Withdrawn(_) => {}
    }
    let time = now();
    let outdated_for = weights::outdated_for(shared, admitted, choice);
    if !matches!(
        outcome,
        Outcome::NotRun {
            rejection: Rejection::Unsent | Rejection::Expired,
            ..
        } | Outcome::Failed { .. }
            | Outcome::Lost { .. }
            | Outcome::Withdrawn(_)
    ) {
        reachability::on_reached(shared, &choice.member.domain);
    }
    let (label, cause) = match &outcome {
        Outcome::Buffered(response) if response.status.is_server_error() => {
            shared.tracker.borrow_mut().on_failure(target, time);
            ("error", response.status.as_u16().to_string())
        }
        Outcome::Buffered(response) => {
            quarantine::on_begun(shared, admitted);
            weights::on_begun(shared, admitted, choice);
            shared.tracker.borrow_mut().on_success(target);
            ("answered", response.status.as_u16().to_string())
        }
        Outcome::Streaming(_) => {
            builds::on_begun(shared, admitted, progress, choice);
            quarantine::on_begun(shared, admitted);
            weights::on_begun(shared, admitted, choice);
            ("started", String::new())
        }
        Outcome::NotRun { rejection, cause } => {
            let model = admitted.head.prompt.as_ref().map(|prompt| &prompt.model);
            let outdated = weights::is_outdated(shared, model, &choice.member);
            // During a network partition a failure to connect is not attributed to the target:
            // other entries reach it.
            let unreachable = shared
                .reachability
                .borrow()
                .is_unreachable(&choice.member.domain);
            let mut tracker = shared.tracker.borrow_mut();
            match rejection {
                Rejection::Refused | Rejection::Misdirected if outdated => {
                    tracker.on_updating(target, time);
                    shared.dispatch.on_attempt_failed(target, Failure::Updating);
                }
                Rejection::Refused => {
                    tracker.on_refusal(target, time);
                    shared.dispatch.on_attempt_failed(target, Failure::Refused);
                }
                Rejection::Unsent if unreachable => {}
                // The entry was slow, not the target.
                Rejection::Expired => {}
                // A target that crashed stays on the list for a while. It has no load, so it would
                // be the first choice of each following request.
                Rejection::Unsent | Rejection::Misdirected => {
                    tracker.on_failure(target, time);
                    shared.dispatch.on_attempt_failed(target, Failure::Failed);
                }
            }
            (rejection.label(), cause.clone())
        }
        Outcome::Withdrawn(cause) => ("withdrawn", (*cause).to_owned()),
        Outcome::Failed { cause } | Outcome::Lost { cause } => {
            // A target that was only slow is not recorded as failed: its load would move to the
            // others.
            let mut tracker = shared.tracker.borrow_mut();
            if tracker.is_unresponsive(target, time) || time.since(sent_at) < SLOW_FAILURE {
                tracker.on_failure(target, time);
                shared.dispatch.on_attempt_failed(target, Failure::Failed);
            }
            ("failed", cause.clone())
        }
    };
    // A trial is one attempt, whatever the route allows.
    match outcome {
        Outcome::NotRun { .. } | Outcome::Streaming(_) => {}
        Outcome::Buffered(_)
        | Outcome::Failed { .. }
        | Outcome::Lost { .. }
        | Outcome::Withdrawn(_) => progress.trial = None,
    }
    if let Outcome::Lost { .. } = outcome {
        quarantine::on_lost(shared, admitted, &choice.member, sent_at).await;
    }
    let is_expired = matches!(
        outcome,
        Outcome::NotRun {
            rejection: Rejection::Expired,
            ..
        }
    );
    match &choice.grant {
        Some(grant) if is_expired => shared.dispatch.acknowledge_grant(shared, grant),
        _ => progress.exclude(target),
    }
    shared.metrics.attempts.with_label_values(&[label]).inc();
    Event::new("attempt")
        .with("request", &*admitted.head.id)
        .with("target", &**target)
        .with("outcome", label)
        .with("why", cause)
        .with("waited_ms", millis(sent_at.since(admitted.arrived)))
        .with("took_ms", millis(time.since(sent_at)))
        .with("unread", choice.prefill_tokens)
        .with("parts", choice.describe_segments())
        .with(
            "dispatcher",
            choice.grant.as_ref().map(|grant| grant.dispatcher.as_str()),
        )
        .with("running", shared.tracker.borrow().load(target).running)
        .with("weights", choice.envelope.version)
        .with("build", &*choice.member.build)
        .with("resumes", admitted.head.resumes.as_deref())
        .with("outdated_ms", outdated_for.map(millis))
        .with("connect_ms", progress.connect_time.map(millis))
        .info();
    outcome
}

fn fail<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    reason: Reason,
    retry_after: Duration,
) -> Response<Body> {
    let grant = admitted.refused_by.borrow();
    let id = &admitted.head.id;
    refuse(
        shared,
        reason,
        retry_after,
        id,
        admitted.arrived,
        grant.as_ref(),
    )
}

fn refuse<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    reason: Reason,
    retry_after: Duration,
    id: &str,
    arrived: Time,
    grant: Option<&Grant>,
) -> Response<Body> {
    shared
        .metrics
        .refusals
        .with_label_values(&[reason.label()])
        .inc();
    let time = now();
    let evidence_age = shared.evidence.get().age(time).map(millis);
    Event::new("refused")
        .with("request", id)
        .with("reason", reason.label())
        .with("status", reason.status().as_u16())
        .with("after_ms", millis(time.since(arrived)))
        .with("again_ms", millis(retry_after))
        .with("config", shared.config_version())
        .with("proof_age_ms", evidence_age)
        .with("dispatcher", grant.map(|grant| grant.dispatcher.as_str()))
        .with("number", grant.map(|grant| grant.sequence))
        .warn();
    let is_unavailable = reason.status() == http::StatusCode::SERVICE_UNAVAILABLE;
    reason.response(is_unavailable.then_some(retry_after))
}

/// Records the end of a request to which a target responded; `why` is the cause of an early end.
pub(crate) fn record_end<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    outcome: &str,
    why: Option<&str>,
) {
    shared.metrics.requests.with_label_values(&[outcome]).inc();
    Event::new("ended")
        .with("request", &*admitted.head.id)
        .with("outcome", outcome)
        .with("why", why)
        .with("route", &*admitted.route.name)
        .with("after_ms", millis(now().since(admitted.arrived)))
        .with("admitted_config", admitted.config.0)
        .with("config", shared.config_version())
        .info();
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
