//! Stand-in for a model engine; its tokens are derived deterministically from the prompt.

mod run;
mod state;

use bytes::Bytes;
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::{Value, json};
use warp::http::StatusCode;
use warp::reply::Response;
use warp::{Filter, Rejection, Reply};

use crate::fault::{Effect, Injector, Shared, consume, json, respond, with};
use state::{Accepted, State};

/// The command-line options of the engine.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    pub(crate) model: String,
    pub(crate) weights: String,
    pub(crate) cold_limit: usize,
    pub(crate) warm_limit: usize,
    pub(crate) warm_after: u32,
    pub(crate) blocks: usize,
    pub(crate) prefill_us: u64,
    pub(crate) token_us: u64,
    pub(crate) block_bytes: usize,
    pub(crate) weight_store: Option<String>,
    pub(crate) ignore_fence: bool,
}

/// The body of a completion request; the fields are those of the completions interface.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Completion {
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    #[serde(default)]
    pub(crate) cache_salt: String,
    #[serde(default)]
    pub(crate) blocks: Vec<String>,
    #[serde(default)]
    pub(crate) delivered: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct Order {
    fence: u64,
    weights: String,
}

pub(crate) fn routes(
    settings: Settings,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone {
    let injector = Injector::default();
    let state: Shared<State> = Shared::new(std::sync::Mutex::new(State::new(settings)));

    let complete = warp::path!("v1" / "completions")
        .and(warp::post())
        .and(warp::body::json())
        .and(with(&injector))
        .and(with(&state))
        .then(
            async |completion: Completion, injector: Injector, state: Shared<State>| {
                let effect = injector.apply().await;
                if effect == Effect::Down {
                    return respond(&effect, Response::default());
                }
                let from = completion.delivered.len() as u32;
                match state.lock().expect("no holder panics").accept(completion) {
                    Accepted::Running(run) => respond(&effect, stream(run, from, &injector)),
                    Accepted::Refused(status) => respond(&effect, status.into_response()),
                }
            },
        );
    let resume = warp::path!("v1" / "streams" / String / u32)
        .and(warp::get())
        .and(with(&injector))
        .and(with(&state))
        .then(
            async |id: String, from: u32, injector: Injector, state: Shared<State>| {
                let effect = injector.apply().await;
                let run = state.lock().expect("no holder panics").run(&id);
                match run {
                    Some(run) => respond(&effect, stream(run, from, &injector)),
                    None => respond(&effect, StatusCode::NOT_FOUND.into_response()),
                }
            },
        );
    let cancel = warp::path!("v1" / "streams" / String)
        .and(warp::delete())
        .and(with(&state))
        .map(|id: String, state: Shared<State>| {
            state.lock().expect("no holder panics").cancel(&id);
            StatusCode::NO_CONTENT.into_response()
        });
    let load = warp::path!("v1" / "load")
        .and(with(&injector))
        .and(with(&state))
        .then(async |injector: Injector, state: Shared<State>| {
            let effect = injector.apply().await;
            respond(
                &effect,
                json(&state.lock().expect("no holder panics").status()),
            )
        });
    let export = warp::path!("v1" / "kv" / String)
        .and(warp::get())
        .and(with(&injector))
        .and(with(&state))
        .then(
            async |name: String, injector: Injector, state: Shared<State>| {
                let effect = injector.apply().await;
                let payload = state.lock().expect("no holder panics").export(&name);
                match payload {
                    Some(payload) => respond(&effect, payload.into_response()),
                    None => respond(&effect, StatusCode::NOT_FOUND.into_response()),
                }
            },
        );
    let import = warp::path!("v1" / "kv" / String)
        .and(warp::put())
        .and(warp::header("x-weights"))
        .and(warp::body::bytes())
        .and(with(&injector))
        .and(with(&state))
        .then(
            async |name,
                   weights: String,
                   bytes: Bytes,
                   injector: Injector,
                   state: Shared<State>| {
                let effect = injector.apply().await;
                let status = state
                    .lock()
                    .expect("no holder panics")
                    .import(name, &weights, &bytes);
                respond(&effect, status.into_response())
            },
        );
    let order = warp::path!("v1" / "orders")
        .and(warp::post())
        .and(warp::body::json())
        .and(with(&injector))
        .and(with(&state))
        .then(execute_order);
    // Simulates an engine that loses its warm-up and its cache without notice.
    let turn_cold =
        warp::path!("cold")
            .and(warp::post())
            .and(with(&state))
            .map(|state: Shared<State>| {
                state.lock().expect("no holder panics").turn_cold();
                StatusCode::NO_CONTENT.into_response()
            });
    let drop_cache = warp::path!("drop-cache")
        .and(warp::post())
        .and(with(&state))
        .map(|state: Shared<State>| {
            state.lock().expect("no holder panics").drop_cache();
            StatusCode::NO_CONTENT.into_response()
        });
    let log = warp::path!("log")
        .and(with(&state))
        .map(|state: Shared<State>| json(&state.lock().expect("no holder panics").log()));
    complete
        .or(resume)
        .unify()
        .or(cancel)
        .unify()
        .or(load)
        .unify()
        .or(export)
        .unify()
        .or(import)
        .unify()
        .or(order)
        .unify()
        .or(turn_cold)
        .unify()
        .or(drop_cache)
        .unify()
        .or(log)
        .unify()
        .or(injector.route())
        .unify()
}

/// Streams the tokens of a run, starting at position `from`.
fn stream(run: run::Handle, from: u32, injector: &Injector) -> Response {
    let break_after = {
        let mut faults = injector.lock();
        let after = faults.cut_after;
        consume(&mut faults.cut_streams).then_some(after)
    };
    let boot = run.boot;
    let events = run.events(from).enumerate().map(move |(index, event)| {
        if break_after.is_some_and(|after| index as u32 >= after) {
            return Err(std::io::Error::other("stream broken by fault injection"));
        }
        let event = event.ok_or_else(|| std::io::Error::other("the run was aborted"))?;
        let (id, data) = event;
        let id = id.map_or(String::new(), |id| format!("id: {id}\n"));
        Ok(Bytes::from(format!("{id}data: {data}\n\n")))
    });
    let reply = warp::reply::stream(events);
    let reply = warp::reply::with_header(reply, "content-type", "text/event-stream");
    warp::reply::with_header(reply, "x-boot", boot.to_string()).into_response()
}

async fn execute_order(order: Order, injector: Injector, state: Shared<State>) -> Response {
    let effect = injector.apply().await;
    let started = state
        .lock()
        .expect("no holder panics")
        .begin_load(order.fence, &order.weights);
    let store = match started {
        Ok(store) => store,
        Err(status) => return respond(&effect, status.into_response()),
    };
    if let Some(store) = store {
        let loaded = reqwest::Client::new()
            .post(format!("{store}/v1/loads"))
            .send()
            .await;
        if loaded.is_err() {
            state.lock().expect("no holder panics").abort_load();
            return respond(&effect, StatusCode::BAD_GATEWAY.into_response());
        }
    }
    state
        .lock()
        .expect("no holder panics")
        .end_load(order.weights);
    let done: Value = json!({ "done": true });
    respond(&effect, json(&done))
}
