//! The operators' HTTP endpoint of a process: metrics, readiness and status.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;
use tokio::net::TcpListener;
use warp::http::StatusCode;
use warp::{Filter, Reply};

use crate::metrics::Metrics;

/// What a process tells operators of itself.
pub trait Report: Send + Sync + 'static {
    /// Whether the process takes new work.
    fn is_ready(&self) -> bool;
    /// The state of the process, for people and for the command-line tool.
    fn status(&self) -> Value;
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
    let status =
        warp::path!("status").map(move || warp::reply::json(&source.status()).into_response());
    let metrics = warp::path!("metrics").map(move || metrics.render().into_response());
    let routes = warp::get().and(ready.or(status).unify().or(metrics).unify());
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    Ok(address)
}
