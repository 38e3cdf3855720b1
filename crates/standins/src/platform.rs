use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use warp::http::StatusCode;
use warp::path::Tail;
use warp::reply::Response;
use warp::{Filter, Rejection, Reply};

use crate::fault::{Effect, Injector, Shared, json, respond, with};

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    versions: u64,
    objects: BTreeMap<String, Bytes>,
    hosts: Value,
    reads: u64,
    writes: u64,
}

#[derive(Debug, Clone, Serialize)]
struct Row {
    key: String,
    version: u64,
    value: Value,
}

#[derive(Deserialize)]
struct Transaction {
    writes: Vec<Write>,
}

#[derive(Deserialize)]
struct Write {
    key: String,
    expect: u64,
    value: Option<Value>,
}

pub(crate) fn routes() -> impl Filter<Extract = (Response,), Error = Rejection> + Clone {
    let injector = Injector::default();
    let state: Shared<State> = Shared::default();
    state.lock().expect("no holder panics").hosts = json!([]);

    let get = warp::path!("v1" / "rows" / ..)
        .and(warp::get())
        .and(warp::path::tail())
        .and(with(&injector))
        .and(with(&state))
        .then(get_row);
    let scan = warp::path!("v1" / "scan" / ..)
        .and(warp::get())
        .and(warp::path::tail())
        .and(with(&injector))
        .and(with(&state))
        .then(scan_rows);
    let commit = warp::path!("v1" / "commit")
        .and(warp::post())
        .and(warp::body::json())
        .and(with(&injector))
        .and(with(&state))
        .then(commit_rows);
    let get_object = warp::path!("v1" / "objects" / ..)
        .and(warp::get())
        .and(warp::path::tail())
        .and(with(&injector))
        .and(with(&state))
        .then(
            async |tail: Tail, injector: Injector, state: Shared<State>| {
                let effect = injector.apply().await;
                let object = state
                    .lock()
                    .expect("no holder panics")
                    .objects
                    .get(tail.as_str())
                    .cloned();
                match object {
                    Some(bytes) => respond(&effect, bytes.to_vec().into_response()),
                    None => respond(&effect, StatusCode::NOT_FOUND.into_response()),
                }
            },
        );
    let put_object = warp::path!("v1" / "objects" / ..)
        .and(warp::put())
        .and(warp::path::tail())
        .and(warp::body::bytes())
        .and(with(&injector))
        .and(with(&state))
        .then(
            async |tail: Tail, bytes: Bytes, injector: Injector, state: Shared<State>| {
                let effect = injector.apply().await;
                if effect != Effect::Down {
                    let mut state = state.lock().expect("no holder panics");
                    state.objects.insert(tail.as_str().to_owned(), bytes);
                }
                respond(&effect, StatusCode::NO_CONTENT.into_response())
            },
        );
    let hosts = warp::path!("v1" / "hosts")
        .and(warp::get())
        .and(with(&injector))
        .and(with(&state))
        .then(async |injector: Injector, state: Shared<State>| {
            let effect = injector.apply().await;
            let hosts = state.lock().expect("no holder panics").hosts.clone();
            respond(&effect, json(&hosts))
        });
    // Tests set the host list with this route, as an operator of the platform would.
    let set_hosts = warp::path!("v1" / "hosts")
        .and(warp::put())
        .and(warp::body::json())
        .and(with(&state))
        .map(|hosts: Value, state: Shared<State>| {
            state.lock().expect("no holder panics").hosts = hosts;
            StatusCode::NO_CONTENT.into_response()
        });
    let log = warp::path!("log")
        .and(with(&state))
        .map(|state: Shared<State>| {
            let state = state.lock().expect("no holder panics");
            json(&json!({ "reads": state.reads, "writes": state.writes }))
        });
    get.or(scan)
        .unify()
        .or(commit)
        .unify()
        .or(get_object)
        .unify()
        .or(put_object)
        .unify()
        .or(hosts)
        .unify()
        .or(set_hosts)
        .unify()
        .or(log)
        .unify()
        .or(injector.route())
        .unify()
}

async fn get_row(tail: Tail, injector: Injector, state: Shared<State>) -> Response {
    let effect = injector.apply().await;
    let mut state = state.lock().expect("no holder panics");
    state.reads += 1;
    match state.rows.get(tail.as_str()) {
        Some(row) => respond(&effect, json(row)),
        None => respond(&effect, StatusCode::NOT_FOUND.into_response()),
    }
}

async fn scan_rows(tail: Tail, injector: Injector, state: Shared<State>) -> Response {
    let effect = injector.apply().await;
    let mut state = state.lock().expect("no holder panics");
    state.reads += 1;
    let prefix = tail.as_str().to_owned();
    let rows: Vec<&Row> = state
        .rows
        .range(prefix.clone()..)
        .take_while(|(key, _)| key.starts_with(&prefix))
        .map(|(_, row)| row)
        .collect();
    respond(&effect, json(&json!({ "rows": rows })))
}

async fn commit_rows(
    transaction: Transaction,
    injector: Injector,
    state: Shared<State>,
) -> Response {
    let effect = injector.apply().await;
    if effect == Effect::Down {
        return respond(&effect, Response::default());
    }
    let mut state = state.lock().expect("no holder panics");
    state.writes += 1;
    let conflict = transaction
        .writes
        .iter()
        .find(|write| state.rows.get(&write.key).map_or(0, |row| row.version) != write.expect);
    if let Some(write) = conflict {
        let body = warp::reply::json(&json!({ "key": write.key }));
        let response = warp::reply::with_status(body, StatusCode::CONFLICT).into_response();
        return respond(&effect, response);
    }
    let mut versions = Vec::new();
    for write in transaction.writes {
        state.versions += 1;
        let version = state.versions;
        versions.push(version);
        match write.value {
            Some(value) => {
                let row = Row {
                    key: write.key.clone(),
                    version,
                    value,
                };
                state.rows.insert(write.key, row);
            }
            None => {
                state.rows.remove(&write.key);
            }
        }
    }
    respond(&effect, json(&json!({ "versions": versions })))
}
