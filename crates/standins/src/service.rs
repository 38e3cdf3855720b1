use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde_json::json;
use warp::http::StatusCode;
use warp::reply::Response;
use warp::{Filter, Rejection, Reply};

use crate::fault::{Effect, Injector, Shared, json, respond, with};

/// Log entry of an executed call.
#[derive(Debug, Clone, Serialize)]
struct Executed {
    at_ms: u64,
    call: String,
    attempt: String,
    body: String,
}

pub(crate) fn routes(
    name: &str,
    call_ms: u64,
) -> impl Filter<Extract = (Response,), Error = Rejection> + Clone + use<> {
    let injector = Injector::default();
    let executed: Shared<Vec<Executed>> = Shared::default();
    let name = name.to_owned();
    let call = warp::path!("v1" / "calls" / String)
        .and(warp::post())
        .and(warp::header("x-attempt"))
        .and(warp::body::bytes())
        .and(with(&injector))
        .and(with(&executed))
        .and(with(&name))
        .and(with(&Duration::from_millis(call_ms)))
        .then(run);
    let log = warp::path!("log")
        .and(with(&executed))
        .map(|executed: Shared<Vec<Executed>>| json(&*executed.lock().expect("no holder panics")));
    let health = warp::path!("v1" / "health").map(|| StatusCode::NO_CONTENT.into_response());
    call.or(log)
        .unify()
        .or(health)
        .unify()
        .or(injector.route())
        .unify()
}

async fn run(
    call: String,
    attempt: String,
    body: Bytes,
    injector: Injector,
    executed: Shared<Vec<Executed>>,
    name: String,
    call_duration: Duration,
) -> Response {
    let effect = injector.apply().await;
    if effect == Effect::Down {
        return respond(&effect, Response::default());
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    let receipt = {
        let mut executed = executed.lock().expect("no holder panics");
        executed.push(Executed {
            at_ms: crate::fault::now_ms(),
            call: call.clone(),
            attempt,
            body: body.clone(),
        });
        executed.len()
    };
    tokio::time::sleep(call_duration).await;
    let reply = json!({ "instance": name, "call": call, "receipt": receipt, "echo": body });
    respond(&effect, json(&reply))
}
