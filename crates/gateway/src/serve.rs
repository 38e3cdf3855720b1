use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fleet::catalog::{Caller, Limits};
use fleet::shutdown::Shutdown;
use http::header::HOST;
use http::{Request, Response, request};
use hyper::body::Incoming;
use types::Time;

use crate::adapter::Platform;
use crate::answer::{Body, Reason, close};
use crate::attempt::{self, Asked, Choice, Outcome, Place, Whole};
use crate::buffer::{self, Hold};
use crate::choose;
use crate::clock::now;
use crate::dispatch::{self, Ending};
use crate::logging::Event;
use crate::reachability;
use crate::relay;
use crate::retry::{Step, Tries};
use crate::shared::Shared;

/// The time that a request without a deadline gets.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
/// When a caller may come back after a refusal that has nothing to do with load.
pub(crate) const SOON: Duration = Duration::from_millis(300);
/// How long a request waits before it looks again for a target.
const LOOK_AGAIN: Duration = Duration::from_millis(30);
/// A failure that comes later than this is one of a slow target.
const SLOW: Duration = Duration::from_millis(1500);

/// Answers a request of a caller.
pub(crate) async fn serve<Adapter>(
    shared: Rc<Shared<Adapter>>,
    request: Request<Incoming>,
) -> Response<Body>
where
    Adapter: Platform,
{
    let arrived = now();
    let unanswered = Rc::clone(&shared.unanswered);
    let (head, body) = request.into_parts();
    let mut response = match admit(&shared, head, body, arrived).await {
        Ok(asked) => answer(&shared, Rc::new(asked)).await,
        Err((reason, id)) => {
            let place = None;
            refuse(&shared, reason, SOON, &id, arrived, place)
        }
    };
    if shared.stopping.get().is_some() {
        close(response.headers_mut());
    }
    response.map(|body| body.counts(unanswered))
}

/// Checks a request against the configuration and reads its body.
async fn admit<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    head: request::Parts,
    body: Incoming,
    arrived: Time,
) -> Result<Asked, (Reason, Box<str>)>
where
    Adapter: Platform,
{
    let ask = match shared.adapter.parse_request(&head) {
        Ok(ask) => ask,
        Err(fault) => {
            Event::new("malformed")
                .with("why", fault.to_string())
                .warn();
            return Err((Reason::Malformed, "".into()));
        }
    };
    let refused = |reason| (reason, ask.id.clone());
    let catalog = shared.catalog().ok_or_else(|| refused(Reason::NoCatalog))?;
    // An unknown route or key may only be unknown because the configuration is old.
    let fresh = shared.is_fresh(arrived);
    let unless_stale = |reason| refused(if fresh { reason } else { Reason::Stale });
    let route = catalog
        .route(host(&head), head.uri.path())
        .ok_or_else(|| unless_stale(Reason::NoRoute))?;
    let holder = match catalog.caller(route, ask.key.as_deref()) {
        Caller::Anonymous => None,
        Caller::Unauthenticated => return Err(unless_stale(Reason::NoKey)),
        Caller::Authenticated(_) if !fresh => return Err(refused(Reason::Stale)),
        Caller::Authenticated(holder) => Some(holder),
    };
    if let Some(begun) = shared.stopping.get() {
        let stop = Shutdown {
            grace: shared.settings.grace(),
        };
        if !stop.accepts(route, arrived.since(begun)) {
            return Err(refused(Reason::Stopping));
        }
    }
    let patience = ask.timeout.unwrap_or(DEFAULT_PATIENCE).min(route.timeout);
    let deadline = arrived + patience;
    let mut hold = Hold::new(&shared.buffers);
    let body = match read(body, &catalog.limits, patience, &mut hold).await {
        Ok(body) => body,
        Err(reason) => return Err(refused(reason)),
    };
    let route = Arc::clone(route);
    Ok(Asked {
        head,
        body,
        _hold: hold,
        ask,
        route,
        holder,
        arrived,
        deadline,
        refused_by: RefCell::default(),
    })
}

async fn read(
    mut body: Incoming,
    limits: &Limits,
    patience: Duration,
    hold: &mut Hold,
) -> Result<Bytes, Reason> {
    let whole = buffer::collect(&mut body, limits.body_bytes, hold);
    match tokio::time::timeout(patience, whole).await {
        Ok(Ok(whole)) => Ok(whole),
        Ok(Err(buffer::Problem::TooLong(_))) => Err(Reason::TooLarge),
        Ok(Err(buffer::Problem::NoMemory)) => Err(Reason::Busy),
        Ok(Err(buffer::Problem::Broken(_))) => Err(Reason::Malformed),
        Err(_) => Err(Reason::TooLate),
    }
}

fn host(head: &request::Parts) -> &str {
    let named = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    named.or_else(|| head.uri.host()).unwrap_or("")
}

/// Sends a request to targets until one answers, or until it is clear that none will.
async fn answer<Adapter>(shared: &Rc<Shared<Adapter>>, asked: Rc<Asked>) -> Response<Body>
where
    Adapter: Platform,
{
    let Some(service) = asked.route.pick_service(shared.random()).cloned() else {
        return give_up(shared, &asked, Reason::NoTarget, SOON);
    };
    shared
        .retries
        .borrow_mut()
        .on_request(&service, asked.arrived);
    let mut tries = Tries::new(service);
    let mut fallback: Option<Box<Whole>> = None;
    loop {
        let choice = match dispatch::next(shared, &asked, &mut tries, asked.ask.last_event).await {
            Step::Send(choice) => choice,
            Step::Wait => {
                wait(shared).await;
                continue;
            }
            Step::End(reason, again) => {
                // The failure that a target answered says more than one of this entry.
                return match fallback {
                    Some(whole) => {
                        ended(shared, &asked, "error");
                        whole.response()
                    }
                    None => give_up(shared, &asked, reason, again),
                };
            }
        };
        match attempt(shared, &asked, &mut tries, &choice).await {
            Outcome::Answered(whole) => {
                let retry = whole.status.is_server_error()
                    && asked.route.is_retryable()
                    && tries.may_run_again(&asked);
                if retry {
                    fallback = Some(whole);
                    continue;
                }
                shared.metrics.on_first(now().since(asked.arrived));
                ended(shared, &asked, "served");
                return whole.response();
            }
            Outcome::Started(running) => {
                shared.metrics.on_first(now().since(asked.arrived));
                return relay::respond(Rc::clone(shared), asked, tries, *running);
            }
            Outcome::NotRun { .. } => {}
            Outcome::Failed { .. } => {
                if !asked.route.is_retryable() || !tries.may_run_again(&asked) {
                    let late = asked.left(now()).is_zero();
                    let reason = if late { Reason::Late } else { Reason::Failed };
                    return give_up(shared, &asked, reason, SOON);
                }
            }
        }
    }
}

/// Waits until a target may have room.
pub(crate) async fn wait<Adapter>(shared: &Shared<Adapter>) {
    let room = shared.capacity_freed.notified();
    // The time limits the wait if nothing ends meanwhile.
    let _ = tokio::time::timeout(LOOK_AGAIN, room).await;
}

/// Makes one attempt and records what it says of its target.
pub(crate) async fn attempt<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    asked: &Asked,
    tries: &mut Tries<Adapter>,
    choice: &Choice,
) -> Outcome<Adapter>
where
    Adapter: Platform,
{
    let target = &choice.member.id;
    let sent = now();
    let outcome = attempt::run(shared, asked, choice).await;
    let time = now();
    if !matches!(
        outcome,
        Outcome::NotRun { sent: false, .. } | Outcome::Failed { .. }
    ) {
        reachability::on_reached(shared, &choice.member.domain);
    }
    let (word, why) = match &outcome {
        Outcome::Answered(whole) if whole.status.is_server_error() => {
            tries.arrivals += 1;
            tries.runs += 1;
            shared.tracker.borrow_mut().on_failure(target, time);
            ("error", whole.status.as_u16().to_string())
        }
        Outcome::Answered(whole) => {
            tries.arrivals += 1;
            tries.runs += 1;
            shared.tracker.borrow_mut().on_success(target);
            ("answered", whole.status.as_u16().to_string())
        }
        Outcome::Started(_) => {
            tries.arrivals += 1;
            tries.runs += 1;
            ("started", String::new())
        }
        Outcome::NotRun { sent: true, why } => {
            tries.arrivals += 1;
            let model = asked.ask.prompt.as_ref().map(|prompt| &prompt.model);
            let outdated = choose::is_outdated(shared, model, &choice.member);
            let mut board = shared.tracker.borrow_mut();
            if outdated {
                board.on_updating(target, time);
                shared.dispatch.on_end(target, Ending::Changing);
            } else {
                board.on_refusal(target, time);
                shared.dispatch.on_end(target, Ending::Refused);
            }
            ("refused", why.clone())
        }
        Outcome::NotRun { sent: false, why } => {
            // Behind a cut, nothing speaks against the target: others reach it.
            if !shared
                .reachability
                .borrow()
                .is_unreachable(&choice.member.domain)
            {
                shared.tracker.borrow_mut().on_failure(target, time);
                shared.dispatch.on_end(target, Ending::Failed);
            }
            ("unsent", why.clone())
        }
        Outcome::Failed { why } => {
            tries.arrivals += 1;
            tries.runs += 1;
            // A target that was slow only is not left out: the others would get its load.
            let mut board = shared.tracker.borrow_mut();
            if board.is_unresponsive(target, time) || time.since(sent) < SLOW {
                board.on_failure(target, time);
                shared.dispatch.on_end(target, Ending::Failed);
            }
            ("failed", why.clone())
        }
    };
    tries.leave_out(target);
    shared.metrics.attempts.with_label_values(&[word]).inc();
    Event::new("attempt")
        .with("request", &*asked.ask.id)
        .with("target", &**target)
        .with("outcome", word)
        .with("why", why)
        .with("waited_ms", millis(sent.since(asked.arrived)))
        .with("took_ms", millis(time.since(sent)))
        .with("unread", choice.unread)
        .with("parts", choice.describe())
        .with(
            "dispatcher",
            choice.place.as_ref().map(|place| place.dispatcher.as_str()),
        )
        .with("running", shared.tracker.borrow().load(target).running)
        .info();
    outcome
}

fn give_up<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    asked: &Asked,
    reason: Reason,
    again: Duration,
) -> Response<Body> {
    let place = asked.refused_by.borrow();
    let id = &asked.ask.id;
    refuse(shared, reason, again, id, asked.arrived, place.as_ref())
}

fn refuse<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    reason: Reason,
    again: Duration,
    id: &str,
    arrived: Time,
    place: Option<&Place>,
) -> Response<Body> {
    shared
        .metrics
        .refusals
        .with_label_values(&[reason.word()])
        .inc();
    let time = now();
    let proof = shared.evidence.get().age(time).map(millis);
    Event::new("refused")
        .with("request", id)
        .with("reason", reason.word())
        .with("status", reason.status().as_u16())
        .with("after_ms", millis(time.since(arrived)))
        .with("again_ms", millis(again))
        .with("config", shared.catalog().map(|catalog| catalog.version.0))
        .with("proof_age_ms", proof)
        .with("dispatcher", place.map(|place| place.dispatcher.as_str()))
        .with("number", place.map(|place| place.number))
        .warn();
    let promises = reason.status() == http::StatusCode::SERVICE_UNAVAILABLE;
    reason.answer(promises.then_some(again))
}

/// Records the end of a request that a target answered.
pub(crate) fn ended<Adapter>(shared: &Rc<Shared<Adapter>>, asked: &Asked, outcome: &str) {
    shared.metrics.requests.with_label_values(&[outcome]).inc();
    Event::new("ended")
        .with("request", &*asked.ask.id)
        .with("outcome", outcome)
        .with("route", &*asked.route.name)
        .with("after_ms", millis(now().since(asked.arrived)))
        .info();
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
