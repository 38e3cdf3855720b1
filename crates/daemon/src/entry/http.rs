use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Buf;
use futures_util::Stream;
use rules::{Priority, key_digest};
use tokio::sync::mpsc;
use tokio::time::Instant;
use types::{Request, Service, Team};
use warp::http::{HeaderMap, HeaderValue, StatusCode};
use warp::reply::Response;
use warp::{Filter, Rejection};
use wire::{Call, Prompt, Reason, Token};

use super::api::{Chat, Refusal, completion};
use super::relay::{self, Job, Output};
use super::reply::{collect, json, refuse, stream};
use super::{Shared, body, call, limit};
use crate::callers::{Reservation, Seat};

/// The maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// The deadline of a request that does not set one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// The longest deadline that a request can set.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Outputs queued for one caller; a slow caller holds back only its own stream.
const MAX_QUEUED_OUTPUTS: usize = 64;

/// An authenticated caller.
struct Caller {
    team: Team,
    priority: Priority,
    deadline: Instant,
}

/// Returns the routes for callers; a request that matches none of them is refused in JSON as well.
pub(super) fn routes(
    shared: Arc<Shared>,
) -> impl Filter<Extract = (Response,), Error = Infallible> + Clone {
    let metrics = shared.metrics.clone();
    let shared = warp::any().map(move || Arc::clone(&shared));
    let chat = warp::path!("v1" / "chat" / "completions")
        .and(warp::post())
        .and(shared.clone())
        .and(warp::header::headers_cloned())
        .and(warp::ext::get::<Arc<Seat>>())
        .and(warp::body::stream())
        .then(
            async |shared: Arc<Shared>, headers: HeaderMap, seat: Arc<Seat>, body| {
                let mut memory = Reservation::new(&seat);
                let response = chat(&shared, &headers, body, &mut memory).await;
                response.unwrap_or_else(|refusal| refuse(&shared.metrics, &refusal))
            },
        );
    let call = warp::path!("v1" / "services" / String / String)
        .and(warp::post())
        .and(shared.clone())
        .and(warp::header::headers_cloned())
        .and(warp::ext::get::<Arc<Seat>>())
        .and(warp::body::stream())
        .then(
            async |service,
                   call,
                   shared: Arc<Shared>,
                   headers: HeaderMap,
                   seat: Arc<Seat>,
                   body| {
                let mut memory = Reservation::new(&seat);
                let target = (service, call);
                let response = call_service(&shared, &headers, target, body, &mut memory).await;
                response.unwrap_or_else(|refusal| refuse(&shared.metrics, &refusal))
            },
        );
    let resume = warp::path!("v1" / "answers" / String)
        .and(warp::get())
        .and(shared)
        .and(warp::header::headers_cloned())
        .then(
            async |token: String, shared: Arc<Shared>, headers: HeaderMap| {
                let response = resume(&shared, &headers, &token).await;
                response.unwrap_or_else(|refusal| refuse(&shared.metrics, &refusal))
            },
        );
    let routes = chat.or(call).unify().or(resume).unify();
    routes
        .recover(move |rejection| {
            let response = refuse(&metrics, &rejected(&rejection));
            std::future::ready(Ok::<_, Infallible>(response))
        })
        .unify()
}

fn rejected(rejection: &Rejection) -> Refusal {
    if rejection.find::<warp::reject::MethodNotAllowed>().is_some() {
        return Refusal::caller(405, "method", "this path has another method");
    }
    if rejection.is_not_found() {
        return Refusal::caller(404, "not_found", "there is no such path");
    }
    Refusal::caller(400, "invalid", "the request cannot be read")
}

/// Checks what every new request has to satisfy before its body is read.
fn admit(shared: &Shared, headers: &HeaderMap) -> Result<Caller, Refusal> {
    refuse_if_isolated(shared)?;
    let caller = authenticate(shared, headers)?;
    limit::check(shared, &caller.team)?;
    Ok(caller)
}

async fn chat<Body, Chunk>(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    body: Body,
    memory: &mut Reservation,
) -> Result<Response, Refusal>
where
    Body: Stream<Item = Result<Chunk, warp::Error>>,
    Chunk: Buf,
{
    let caller = admit(shared, headers)?;
    let body = body::read(headers, body, memory).await?;
    let chat: Chat = serde_json::from_slice(&body)
        .map_err(|error| Refusal::caller(400, "invalid", &format!("the body: {error}")))?;
    if let Some(problem) = chat.find_problem() {
        return Err(Refusal::caller(400, "invalid", problem));
    }
    if !shared.view.rules().models.contains_key(&chat.model) {
        return Err(Refusal::caller(
            404,
            "unknown_model",
            "there is no such model",
        ));
    }
    let request = Request(rand::random());
    let text = chat.prompt();
    let root = context::root_digest(&shared.secret(&caller.team), &chat.model, &text);
    let job = Job {
        request,
        team: caller.team.clone(),
        priority: caller.priority,
        prompt: Prompt {
            model: chat.model.clone(),
            text: text.into(),
            max_tokens: chat.max_tokens,
            delivered: Vec::new(),
        },
        root,
        uncached_tokens: chat.uncached_tokens(),
        deadline: caller.deadline,
    };
    let started = Instant::now();
    let (sender, mut outputs) = mpsc::channel(MAX_QUEUED_OUTPUTS);
    tokio::spawn(relay::run(Arc::clone(shared), job, sender));
    let agent = wait_for_agent(&mut outputs).await?;
    if !chat.stream {
        let (text, end) = collect(shared, outputs, started).await?;
        let body = completion(request, &chat.model, &text, &end.finish_reason, end.usage);
        return Ok(json(StatusCode::OK, body));
    }
    let token = Token {
        request,
        team: caller.team,
        agent,
        model: chat.model.clone(),
        root,
    }
    .sign(&shared.keys);
    Ok(stream(
        Arc::clone(shared),
        outputs,
        request,
        chat.model,
        &token,
        started,
    ))
}

/// Waits until an agent has admitted the request, so that a refusal still gets its own status code.
async fn wait_for_agent(outputs: &mut mpsc::Receiver<Output>) -> Result<String, Refusal> {
    match outputs.recv().await {
        Some(Output::Agent(agent)) => Ok(agent),
        Some(Output::Refused(refusal)) => Err(refusal),
        _ => Err(Refusal::system(
            Reason::Unavailable,
            types::Verdict::MayHaveRun,
            100,
        )),
    }
}

async fn call_service<Body, Chunk>(
    shared: &Shared,
    headers: &HeaderMap,
    (service, call): (String, String),
    body: Body,
    memory: &mut Reservation,
) -> Result<Response, Refusal>
where
    Body: Stream<Item = Result<Chunk, warp::Error>>,
    Chunk: Buf,
{
    let caller = admit(shared, headers)?;
    let key = header(headers, "idempotency-key")?;
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        let message = "idempotency-key: accepted are 1 to 256 characters";
        return Err(Refusal::caller(400, "invalid", message));
    }
    // The name becomes part of the service's URL, where dots and slashes have a meaning.
    if !is_name(&call) {
        let message = "call: accepted are letters, digits, _ and -";
        return Err(Refusal::caller(400, "invalid", message));
    }
    let body = body::read(headers, body, memory).await?;
    let body = std::str::from_utf8(&body)
        .map_err(|_error| Refusal::caller(400, "invalid", "the body is not UTF-8"))?;
    let (service, call) = (Service::from(service), types::Call::from(call));
    let rules = shared.view.rules();
    if !rules.services.contains_key(&service) {
        return Err(Refusal::caller(
            404,
            "unknown_service",
            "there is no such service",
        ));
    }
    let repeatable = rules.is_repeatable(&service, &call);
    let call = Call {
        service,
        call,
        body: body.to_owned(),
        key: key.map(str::to_owned),
        repeatable,
    };
    let request = Request(rand::random());
    let reply = call::run(
        shared,
        request,
        (caller.team, caller.priority),
        call,
        caller.deadline,
    )
    .await?;
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = json(status, reply.body);
    if reply.replayed {
        response
            .headers_mut()
            .insert("x-replayed", HeaderValue::from_static("true"));
    }
    Ok(response)
}

fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'-';
    text.bytes().all(is_allowed)
}

async fn resume(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    token: &str,
) -> Result<Response, Refusal> {
    let caller = authenticate(shared, headers)?;
    // The request that the caller refers to may have run.
    let unknown = || Refusal::system(Reason::Unknown, types::Verdict::MayHaveRun, 0);
    let token = Token::verify(token, &shared.keys).ok_or_else(unknown)?;
    if token.team != caller.team {
        return Err(unknown());
    }
    let from = match header(headers, "last-event-id")? {
        None => 0,
        Some(id) => id
            .parse::<u32>()
            .map(|last| last.saturating_add(1))
            .map_err(|_error| {
                let message = "last-event-id: accepted is an event's number";
                Refusal::caller(400, "invalid", message)
            })?,
    };
    let (request, model, signed) = (token.request, token.model.clone(), token.sign(&shared.keys));
    let (sender, mut outputs) = mpsc::channel(MAX_QUEUED_OUTPUTS);
    let task = relay::resume(Arc::clone(shared), token, from, caller.deadline, sender);
    tokio::spawn(task);
    wait_for_agent(&mut outputs).await?;
    let started = Instant::now();
    let shared = Arc::clone(shared);
    Ok(stream(shared, outputs, request, model, &signed, started))
}

/// Returns the value of a header, which must be visible ASCII.
fn header<'headers>(
    headers: &'headers HeaderMap,
    name: &str,
) -> Result<Option<&'headers str>, Refusal> {
    headers
        .get(name)
        .map(|value| value.to_str())
        .transpose()
        .map_err(|_error| {
            let message = format!("{name}: accepted are visible ASCII characters");
            Refusal::caller(400, "invalid", &message)
        })
}

/// Refuses new work while the rules in force cannot be known; running completions can still be
/// read.
fn refuse_if_isolated(shared: &Shared) -> Result<(), Refusal> {
    if shared.view.is_isolated() {
        return Err(Refusal::system(
            Reason::Isolated,
            types::Verdict::NotRun,
            500,
        ));
    }
    Ok(())
}

fn authenticate(shared: &Shared, headers: &HeaderMap) -> Result<Caller, Refusal> {
    if !shared.view.is_ready() {
        return Err(Refusal::system(
            Reason::Isolated,
            types::Verdict::NotRun,
            500,
        ));
    }
    let denied = || Refusal::caller(401, "unauthorized", "the key is not known");
    let key = header(headers, "authorization")?.and_then(|text| text.strip_prefix("Bearer "));
    let rules = shared.view.rules();
    // The digest of the key is looked up, so the duration reveals nothing about the key itself.
    let team = rules
        .team_of_key(&key_digest(key.ok_or_else(denied)?))
        .ok_or_else(denied)?;
    let priority = rules
        .teams
        .get(team)
        .map_or(Priority::Normal, |account| account.priority);
    let deadline = match header(headers, "x-deadline-ms")? {
        None => DEFAULT_DEADLINE,
        Some(text) => match text.parse() {
            Ok(millis @ 1..=MAX_DEADLINE_MS) => Duration::from_millis(millis),
            _ => {
                let message = "x-deadline-ms: accepted is a whole number from 1 to 3600000";
                return Err(Refusal::caller(400, "invalid", message));
            }
        },
    };
    Ok(Caller {
        team: team.clone(),
        priority,
        deadline: Instant::now() + deadline,
    })
}
