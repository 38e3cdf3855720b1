//! The HTTP endpoint of a process for operators: metrics, readiness and status.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fleet::callers::Capacity;
use platform::{Commit, Table, Write};
use serde::Deserialize;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::watch;
use types::{Model, Team};
use warp::http::StatusCode;
use warp::{Filter, Reply};

use crate::callers::Callers;
use crate::control::View;
use crate::metrics::Metrics;
use crate::server;

/// What a process reports about itself to operators.
pub trait Report: Send + Sync + 'static {
    /// Whether the process accepts new work.
    fn is_ready(&self) -> bool;
    /// The state of the process, for operators and the command-line tool.
    fn status(&self) -> Value;
    /// The agents that a team's prompt would be sent to, best first; `None` if this process does
    /// not choose targets.
    fn explain(&self, _query: &Query) -> Option<Value> {
        None
    }
}

/// A prompt whose routing an operator asks for; nothing is sent to a target.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Query {
    /// The team that would send the prompt.
    pub team: Team,
    /// The model that would run it.
    pub model: Model,
    /// The text of the first message, as a user of the team would write it.
    pub prompt: String,
}

/// The maximum size of the body of an explain request.
const MAX_QUERY_BYTES: u64 = 8 << 20;

/// The average delay between registration attempts while the platform is unavailable.
const REGISTER_INTERVAL: Duration = Duration::from_secs(2);

/// Returns the key of the row that holds the address of a process's admin endpoint.
#[must_use]
pub fn row_key(name: &str) -> String {
    format!("admin/{name}")
}

/// Writes the row through which operators and the agents of the same model find the endpoint.
pub fn register(view: Arc<View>, name: &str, address: SocketAddr) {
    let (key, incarnation) = (row_key(name), view.incarnation());
    let value = serde_json::json!({ "address": address, "incarnation": incarnation });
    tokio::spawn(async move {
        while try_write(&view, &key, &value).await != Some(true) {
            tokio::time::sleep(REGISTER_INTERVAL.mul_f64(rand::random_range(0.5..1.5))).await;
        }
    });
}

/// Returns whether the row has the value, or `None` if the platform did not answer.
async fn try_write(view: &View, key: &str, value: &Value) -> Option<bool> {
    let row = view.platform().get(key).await.ok()?;
    if row.as_ref().is_some_and(|row| row.value == *value) {
        return Some(true);
    }
    let write = Write {
        key: key.to_owned(),
        expect: row.map_or(0, |row| row.version),
        value: Some(value.clone()),
    };
    let commit = view.platform().commit(&[write]).await.ok()?;
    Some(matches!(commit, Commit::Applied(_)))
}

/// Starts the endpoint and returns its bound address.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn spawn<Source>(
    address: SocketAddr,
    metrics: Metrics,
    source: Arc<Source>,
    capacity: Capacity,
) -> std::io::Result<SocketAddr>
where
    Source: Report,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let ready = {
        let source = Arc::clone(&source);
        warp::path!("ready").map(move || match source.is_ready() {
            true => StatusCode::OK.into_response(),
            false => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        })
    };
    let status = {
        let source = Arc::clone(&source);
        warp::path!("status").map(move || warp::reply::json(&source.status()).into_response())
    };
    let explain = {
        let source = Arc::clone(&source);
        warp::path!("explain")
            .and(warp::post())
            .and(warp::body::content_length_limit(MAX_QUERY_BYTES))
            .and(warp::body::json())
            .map(move |query: Query| match source.explain(&query) {
                Some(explanation) => warp::reply::json(&explanation).into_response(),
                None => StatusCode::NOT_FOUND.into_response(),
            })
    };
    let callers = Callers::new(capacity, metrics.clone());
    let counters = metrics.clone();
    let metrics = warp::path!("metrics").map(move || {
        metrics.ready.set(source.is_ready().into());
        metrics.render().into_response()
    });
    let routes = warp::get().and(ready.or(status).unify().or(metrics).unify());
    let routes = routes.or(explain).unify();
    let routes = routes.recover(async |rejection: warp::Rejection| {
        let status = match rejection.is_not_found() {
            true => StatusCode::NOT_FOUND,
            false => StatusCode::BAD_REQUEST,
        };
        Ok::<_, Infallible>(status.into_response())
    });
    let refusal = |_: &Metrics| StatusCode::SERVICE_UNAVAILABLE.into_response();
    tokio::spawn(async move {
        // The endpoint is served until the process ends.
        let (_running, stopped) = watch::channel(false);
        server::run(
            listener,
            routes.unify(),
            callers,
            refusal,
            counters,
            stopped,
        )
        .await;
    });
    Ok(address)
}
