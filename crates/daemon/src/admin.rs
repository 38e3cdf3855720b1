//! The operators' HTTP endpoint of a process: metrics, readiness and status.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use platform::{Commit, Table, Write};
use serde_json::Value;
use tokio::net::TcpListener;
use warp::http::StatusCode;
use warp::{Filter, Reply};

use crate::control::View;
use crate::metrics::Metrics;

/// What a process tells operators of itself.
pub trait Report: Send + Sync + 'static {
    /// Whether the process takes new work.
    fn is_ready(&self) -> bool;
    /// The state of the process, for people and for the command-line tool.
    fn status(&self) -> Value;
}

/// How often the registration is tried while the platform is away.
const REGISTER_INTERVAL: Duration = Duration::from_secs(2);

/// Returns the row that says where the admin endpoint of a process is.
#[must_use]
pub fn key(name: &str) -> String {
    format!("admin/{name}")
}

/// Writes the row that lets operators and the agents of the same model find the endpoint.
pub fn register(view: Arc<View>, name: &str, address: SocketAddr) {
    let (key, incarnation) = (key(name), view.incarnation());
    let value = serde_json::json!({ "address": address, "incarnation": incarnation });
    tokio::spawn(async move {
        while write(&view, &key, &value).await != Some(true) {
            tokio::time::sleep(REGISTER_INTERVAL.mul_f64(rand::random_range(0.5..1.5))).await;
        }
    });
}

/// Returns whether the row says what it should, or `None` if the platform did not answer.
async fn write(view: &View, key: &str, value: &Value) -> Option<bool> {
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

/// Starts the endpoint; returns the address that it is bound to.
///
/// # Errors
/// Fails when the address cannot be bound.
pub async fn spawn<Source>(
    address: SocketAddr,
    metrics: Metrics,
    source: Arc<Source>,
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
    let metrics = warp::path!("metrics").map(move || {
        metrics.ready.set(source.is_ready().into());
        metrics.render().into_response()
    });
    let routes = warp::get().and(ready.or(status).unify().or(metrics).unify());
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    Ok(address)
}
