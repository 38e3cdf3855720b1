use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use rules::{Priority, key_digest};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use types::{Model, Request, Service, Team};
use warp::http::{HeaderValue, StatusCode};
use warp::reply::Response;
use warp::{Filter, Rejection, Reply};
use wire::{Call, End, Prompt, Reason, Token};

use super::Shared;
use super::api::{Chat, Refusal, chunk, completion, last_chunk};
use super::relay::{self, Job, Piece};

/// The largest body that is read, in bytes.
const MAX_BODY_BYTES: u64 = 8 << 20;
/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// How long a caller waits when it does not say.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
/// The longest wait that a caller may ask for.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Events on their way to one caller; a slow caller holds back its own stream only.
const PIECES: usize = 64;

/// What a caller says in headers.
#[derive(Debug, Clone)]
struct Headers {
    authorization: Option<String>,
    deadline_ms: Option<String>,
    key: Option<String>,
    last_event: Option<String>,
}

/// A caller that is known.
struct Caller {
    team: Team,
    priority: Priority,
    deadline: Instant,
}

/// Returns the routes for callers.
pub(super) fn routes(
    shared: Arc<Shared>,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone {
    let shared = warp::any().map(move || Arc::clone(&shared));
    let headers = warp::header::optional("authorization")
        .and(warp::header::optional("x-deadline-ms"))
        .and(warp::header::optional("idempotency-key"))
        .and(warp::header::optional("last-event-id"))
        .map(|authorization, deadline_ms, key, last_event| Headers {
            authorization,
            deadline_ms,
            key,
            last_event,
        });
    let body = warp::body::content_length_limit(MAX_BODY_BYTES).and(warp::body::bytes());
    let chat = warp::path!("v1" / "chat" / "completions")
        .and(warp::post())
        .and(shared.clone())
        .and(headers)
        .and(body)
        .then(async |shared: Arc<Shared>, headers: Headers, body: Bytes| {
            chat(&shared, &headers, &body)
                .await
                .unwrap_or_else(|refusal| refuse(&refusal))
        });
    let call = warp::path!("v1" / "services" / String / String)
        .and(warp::post())
        .and(shared.clone())
        .and(headers)
        .and(body)
        .then(
            async |service, call, shared: Arc<Shared>, headers: Headers, body: Bytes| {
                plain(&shared, &headers, service, call, &body)
                    .await
                    .unwrap_or_else(|refusal| refuse(&refusal))
            },
        );
    let answer = warp::path!("v1" / "answers" / String)
        .and(warp::get())
        .and(shared)
        .and(headers)
        .then(
            async |token: String, shared: Arc<Shared>, headers: Headers| {
                answer(&shared, &headers, &token)
                    .await
                    .unwrap_or_else(|refusal| refuse(&refusal))
            },
        );
    chat.or(call).unify().or(answer).unify()
}

async fn chat(shared: &Arc<Shared>, headers: &Headers, body: &[u8]) -> Result<Response, Refusal> {
    require_fresh(shared)?;
    let caller = authenticate(shared, headers)?;
    let chat: Chat = serde_json::from_slice(body)
        .map_err(|error| Refusal::caller(400, "invalid", &format!("the body: {error}")))?;
    if let Some(problem) = chat.problem() {
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
    let job = Job {
        request,
        team: caller.team.clone(),
        priority: caller.priority,
        prompt: Prompt {
            model: chat.model.clone(),
            text: chat.prompt(),
            max_tokens: chat.max_tokens,
            delivered: Vec::new(),
        },
        new_tokens: chat.new_tokens(),
        deadline: caller.deadline,
    };
    let started = Instant::now();
    let (sender, mut pieces) = mpsc::channel(PIECES);
    tokio::spawn(relay::run(Arc::clone(shared), job, sender));
    let agent = match pieces.recv().await {
        Some(Piece::Agent(agent)) => agent,
        Some(Piece::Refused(refusal)) => return Err(refusal),
        _ => {
            return Err(Refusal::system(
                Reason::Unavailable,
                types::Verdict::MayHaveRun,
                100,
            ));
        }
    };
    if !chat.stream {
        let (text, end) = collect(shared, pieces, started).await?;
        let body = completion(request, &chat.model, &text, &end.finish, end.usage);
        return Ok(json(StatusCode::OK, body));
    }
    let token = Token {
        request,
        team: caller.team,
        agent,
    }
    .seal(&shared.keys);
    Ok(stream(
        Arc::clone(shared),
        pieces,
        request,
        chat.model,
        &token,
        started,
    ))
}

async fn plain(
    shared: &Shared,
    headers: &Headers,
    service: String,
    call: String,
    body: &[u8],
) -> Result<Response, Refusal> {
    require_fresh(shared)?;
    let caller = authenticate(shared, headers)?;
    if headers
        .key
        .as_ref()
        .is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES)
    {
        let message = "idempotency-key: accepted are 1 to 256 characters";
        return Err(Refusal::caller(400, "invalid", message));
    }
    let body = std::str::from_utf8(body)
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
        key: headers.key.clone(),
        repeatable,
    };
    let request = Request(rand::random());
    let reply = relay::call(
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

async fn answer(shared: &Arc<Shared>, headers: &Headers, token: &str) -> Result<Response, Refusal> {
    let caller = authenticate(shared, headers)?;
    let unknown = || Refusal::caller(404, "unknown", "there is no such answer");
    let token = Token::open(token, &shared.keys).ok_or_else(unknown)?;
    if token.team != caller.team {
        return Err(unknown());
    }
    let from = match &headers.last_event {
        None => 0,
        Some(id) => {
            let last: u32 = id.parse().map_err(|_error| {
                Refusal::caller(
                    400,
                    "invalid",
                    "last-event-id: accepted is an event's number",
                )
            })?;
            last.saturating_add(1)
        }
    };
    let (request, sealed) = (token.request, token.seal(&shared.keys));
    let (sender, pieces) = mpsc::channel(PIECES);
    let task = relay::resume(Arc::clone(shared), token, from, caller.deadline, sender);
    tokio::spawn(task);
    let model = Model::from("");
    Ok(stream(
        Arc::clone(shared),
        pieces,
        request,
        model,
        &sealed,
        Instant::now(),
    ))
}

/// Refuses new work while the rules in force cannot be known; answers that run may still be read.
fn require_fresh(shared: &Shared) -> Result<(), Refusal> {
    if shared.view.is_isolated() {
        return Err(Refusal::system(
            Reason::Isolated,
            types::Verdict::NotRun,
            500,
        ));
    }
    Ok(())
}

fn authenticate(shared: &Shared, headers: &Headers) -> Result<Caller, Refusal> {
    if !shared.view.is_ready() {
        return Err(Refusal::system(
            Reason::Isolated,
            types::Verdict::NotRun,
            500,
        ));
    }
    let denied = || Refusal::caller(401, "unauthorized", "the key is not known");
    let key = headers
        .authorization
        .as_deref()
        .and_then(|text| text.strip_prefix("Bearer "));
    let rules = shared.view.rules();
    // The digest of the key is looked up, so the time taken says nothing of the key itself.
    let team = rules
        .team_of_key(&key_digest(key.ok_or_else(denied)?))
        .ok_or_else(denied)?;
    let priority = rules
        .teams
        .get(team)
        .map_or(Priority::Normal, |account| account.priority);
    let deadline = match &headers.deadline_ms {
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

async fn collect(
    shared: &Shared,
    mut pieces: mpsc::Receiver<Piece>,
    started: Instant,
) -> Result<(String, End), Refusal> {
    let mut text = String::new();
    while let Some(piece) = pieces.recv().await {
        match piece {
            Piece::Agent(_) => {}
            Piece::Event(seq, event) => {
                if seq == 0 {
                    shared
                        .metrics
                        .first_token
                        .observe(started.elapsed().as_secs_f64());
                }
                text.push_str(&event);
            }
            Piece::End(end) => return Ok((text, end)),
            Piece::Refused(refusal) => return Err(refusal),
        }
    }
    Err(Refusal::system(
        Reason::Unavailable,
        types::Verdict::MayHaveRun,
        100,
    ))
}

/// Streams an answer; without its last event or an error event the connection breaks, so that a cut
/// answer is never taken for a whole one.
fn stream(
    shared: Arc<Shared>,
    pieces: mpsc::Receiver<Piece>,
    request: Request,
    model: Model,
    token: &str,
    started: Instant,
) -> Response {
    let end_of_pieces = futures_util::stream::once(async { None });
    let pieces = ReceiverStream::new(pieces).map(Some).chain(end_of_pieces);
    let mut ended = false;
    let events = pieces.filter_map(move |piece| {
        let event = match piece {
            Some(Piece::Agent(_)) => None,
            Some(Piece::Event(seq, text)) => {
                if seq == 0 {
                    shared
                        .metrics
                        .first_token
                        .observe(started.elapsed().as_secs_f64());
                }
                Some(Ok(format!(
                    "id: {seq}\ndata: {}\n\n",
                    chunk(request, &model, &text)
                )))
            }
            Some(Piece::End(end)) => {
                ended = true;
                let last = last_chunk(request, &model, &end.finish, end.usage);
                Some(Ok(format!("data: {last}\n\ndata: [DONE]\n\n")))
            }
            Some(Piece::Refused(refusal)) => {
                // Breaking the connection here would drop the event before it is sent.
                ended = true;
                Some(Ok(format!("event: error\ndata: {}\n\n", refusal.body())))
            }
            None if ended => None,
            None => Some(Err(std::io::Error::other("the answer is not whole"))),
        };
        std::future::ready(event.map(|event| event.map(Bytes::from)))
    });
    let reply = warp::reply::stream(events);
    let reply = warp::reply::with_header(reply, "content-type", "text/event-stream");
    let reply = warp::reply::with_header(reply, "cache-control", "no-store");
    warp::reply::with_header(reply, "x-resume-token", token).into_response()
}

fn refuse(refusal: &Refusal) -> Response {
    let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = json(status, refusal.body());
    if let Some(millis) = refusal.retry_after_ms {
        // The header counts in whole seconds.
        let seconds = u64::from(millis.div_ceil(1000).max(1));
        response.headers_mut().insert("retry-after", seconds.into());
    }
    response
}

fn json(status: StatusCode, body: String) -> Response {
    let reply = warp::reply::with_header(body, "content-type", "application/json");
    warp::reply::with_status(reply, status).into_response()
}
