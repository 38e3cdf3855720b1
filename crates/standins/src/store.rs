use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use warp::http::StatusCode;
use warp::reply::Response;
use warp::{Filter, Rejection, Reply};

use crate::fault::{Injector, Shared, consume, json, respond, with};

#[derive(Debug, Default)]
struct State {
    blocks: HashMap<String, Bytes>,
    order: VecDeque<String>,
    bytes: usize,
    read_bytes: u64,
    written_bytes: u64,
}

#[derive(Deserialize)]
struct Query {
    names: Vec<String>,
}

pub(crate) fn routes(
    capacity: usize,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone {
    let injector = Injector::default();
    let state: Shared<State> = Shared::default();
    let held = warp::path!("v1" / "held")
        .and(warp::post())
        .and(warp::body::json())
        .and(with(&injector))
        .and(with(&state))
        .then(
            async |query: Query, injector: Injector, state: Shared<State>| {
                let effect = injector.apply().await;
                let state = state.lock().expect("no holder panics");
                let held = query
                    .names
                    .iter()
                    .take_while(|name| state.blocks.contains_key(*name));
                respond(&effect, json(&json!({ "held": held.count() })))
            },
        );
    let get = warp::path!("v1" / "blocks" / String)
        .and(warp::get())
        .and(with(&injector))
        .and(with(&state))
        .then(get_block);
    let put = warp::path!("v1" / "blocks" / String)
        .and(warp::put())
        .and(warp::body::bytes())
        .and(with(&injector))
        .and(with(&state))
        .then(
            move |name: String, bytes: Bytes, injector: Injector, state: Shared<State>| async move {
                let effect = injector.apply().await;
                if bytes.len() > capacity {
                    return respond(&effect, StatusCode::INSUFFICIENT_STORAGE.into_response());
                }
                let mut state = state.lock().expect("no holder panics");
                state.insert(name, bytes, capacity);
                respond(&effect, StatusCode::NO_CONTENT.into_response())
            },
        );
    let log = warp::path!("log")
        .and(with(&state))
        .map(|state: Shared<State>| {
            let state = state.lock().expect("no holder panics");
            json(&json!({
                "blocks": state.blocks.len(),
                "read_bytes": state.read_bytes,
                "written_bytes": state.written_bytes,
            }))
        });
    held.or(get)
        .unify()
        .or(put)
        .unify()
        .or(log)
        .unify()
        .or(injector.route())
        .unify()
}

async fn get_block(name: String, injector: Injector, state: Shared<State>) -> Response {
    let effect = injector.apply().await;
    let mut state = state.lock().expect("no holder panics");
    let mut faults = injector.lock();
    let found = if consume(&mut faults.swap_blocks) {
        state
            .blocks
            .iter()
            .find(|(other, _)| **other != name)
            .map(|(_, bytes)| bytes.clone())
    } else {
        state.blocks.get(&name).cloned()
    };
    let Some(bytes) = found else {
        return respond(&effect, StatusCode::NOT_FOUND.into_response());
    };
    let mut bytes = bytes.to_vec();
    if consume(&mut faults.truncate_blocks) {
        bytes.truncate(bytes.len() / 2);
    }
    if consume(&mut faults.corrupt_blocks)
        && let Some(last) = bytes.last_mut()
    {
        *last ^= 1;
    }
    state.read_bytes += bytes.len() as u64;
    respond(&effect, bytes.into_response())
}

impl State {
    fn insert(&mut self, name: String, bytes: Bytes, capacity: usize) {
        self.written_bytes += bytes.len() as u64;
        self.bytes += bytes.len();
        if let Some(old) = self.blocks.insert(name.clone(), bytes) {
            self.bytes -= old.len();
        } else {
            self.order.push_back(name);
        }
        while self.bytes > capacity
            && let Some(oldest) = self.order.pop_front()
        {
            self.bytes -= self.blocks.remove(&oldest).map_or(0, |bytes| bytes.len());
        }
    }
}
