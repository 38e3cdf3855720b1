//! A model engine that answers with made-up but reproducible tokens.

mod run;
mod state;

use bytes::Bytes;
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::{Value, json};
use warp::http::StatusCode;
use warp::reply::Response;
use warp::{Filter, Rejection, Reply};

use crate::fault::{Shared, Switch, Verdict, answer, json, take, with};
use state::{Accepted, State};

/// How the engine behaves.
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

/// A completion as the engine receives it; the fields are those of the completions interface.
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
    let switch = Switch::default();
    let state: Shared<State> = Shared::new(std::sync::Mutex::new(State::new(settings)));

    let complete = warp::path!("v1" / "completions")
        .and(warp::post())
        .and(warp::body::json())
        .and(with(&switch))
        .and(with(&state))
        .then(
            async |completion: Completion, switch: Switch, state: Shared<State>| {
                let verdict = switch.apply().await;
                if verdict == Verdict::Down {
                    return answer(&verdict, Response::default());
                }
                let from = completion.delivered.len() as u32;
                match state.lock().expect("no holder panics").accept(completion) {
                    Accepted::Runs(run) => answer(&verdict, stream(run, from, &switch)),
                    Accepted::Refused(status) => answer(&verdict, status.into_response()),
                }
            },
        );
    let resume = warp::path!("v1" / "streams" / String / u32)
        .and(warp::get())
        .and(with(&switch))
        .and(with(&state))
        .then(
            async |id: String, from: u32, switch: Switch, state: Shared<State>| {
                let verdict = switch.apply().await;
                let run = state.lock().expect("no holder panics").run(&id);
                match run {
                    Some(run) => answer(&verdict, stream(run, from, &switch)),
                    None => answer(&verdict, StatusCode::NOT_FOUND.into_response()),
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
        .and(with(&switch))
        .and(with(&state))
        .then(async |switch: Switch, state: Shared<State>| {
            let verdict = switch.apply().await;
            answer(
                &verdict,
                json(&state.lock().expect("no holder panics").status()),
            )
        });
    let export = warp::path!("v1" / "kv" / String)
        .and(warp::get())
        .and(with(&switch))
        .and(with(&state))
        .then(async |name: String, switch: Switch, state: Shared<State>| {
            let verdict = switch.apply().await;
            let payload = state.lock().expect("no holder panics").export(&name);
            match payload {
                Some(payload) => answer(&verdict, payload.into_response()),
                None => answer(&verdict, StatusCode::NOT_FOUND.into_response()),
            }
        });
    let import = warp::path!("v1" / "kv" / String)
        .and(warp::put())
        .and(warp::header("x-weights"))
        .and(warp::body::bytes())
        .and(with(&switch))
        .and(with(&state))
        .then(
            async |name, weights: String, bytes: Bytes, switch: Switch, state: Shared<State>| {
                let verdict = switch.apply().await;
                let status = state
                    .lock()
                    .expect("no holder panics")
                    .import(name, &weights, &bytes);
                answer(&verdict, status.into_response())
            },
        );
    let order = warp::path!("v1" / "orders")
        .and(warp::post())
        .and(warp::body::json())
        .and(with(&switch))
        .and(with(&state))
        .then(carry_out);
    // The engine loses its warm-up and its cache without a word to anybody.
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
        .or(switch.route())
        .unify()
}

/// Streams the tokens of a run from the position `from` on.
fn stream(run: run::Handle, from: u32, switch: &Switch) -> Response {
    let cut = {
        let mut faults = switch.lock();
        let after = faults.cut_after;
        take(&mut faults.cut_streams).then_some(after)
    };
    let boot = run.boot;
    let events = run.events(from).enumerate().map(move |(index, event)| {
        if cut.is_some_and(|after| index as u32 >= after) {
            return Err(std::io::Error::other("the stream is cut on purpose"));
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

async fn carry_out(order: Order, switch: Switch, state: Shared<State>) -> Response {
    let verdict = switch.apply().await;
    let begun = state
        .lock()
        .expect("no holder panics")
        .begin_load(order.fence, &order.weights);
    let store = match begun {
        Ok(store) => store,
        Err(status) => return answer(&verdict, status.into_response()),
    };
    if let Some(store) = store {
        let loaded = reqwest::Client::new()
            .post(format!("{store}/v1/loads"))
            .send()
            .await;
        if loaded.is_err() {
            state.lock().expect("no holder panics").abort_load();
            return answer(&verdict, StatusCode::BAD_GATEWAY.into_response());
        }
    }
    state
        .lock()
        .expect("no holder panics")
        .end_load(order.weights);
    let done: Value = json!({ "done": true });
    answer(&verdict, json(&done))
}
