use std::sync::Arc;

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use types::{Model, Request};
use warp::Reply;
use warp::http::StatusCode;
use warp::reply::Response;
use wire::{End, Reason};

use super::Shared;
use super::api::{Encoder, Refusal, last_chunk};
use super::relay::Output;
use crate::metrics::Metrics;

/// Waits for a whole completion.
pub(super) async fn collect(
    shared: &Shared,
    mut outputs: mpsc::Receiver<Output>,
    started: Instant,
) -> Result<(String, End), Refusal> {
    let mut text = String::new();
    while let Some(output) = outputs.recv().await {
        match output {
            Output::Agent(_) => {}
            Output::Events(first, events) => {
                observe(shared, first, &events, started);
                text.extend(events.iter().map(|event| &**event));
            }
            Output::End(end) => return Ok((text, end)),
            Output::Refused(refusal) => return Err(refusal),
        }
    }
    Err(Refusal::system(
        Reason::Unavailable,
        types::Verdict::MayHaveRun,
        100,
    ))
}

/// Streams a completion. Without a last event or an error event the connection is aborted, so that
/// a truncated completion is never taken for a complete one.
pub(super) fn stream(
    shared: Arc<Shared>,
    outputs: mpsc::Receiver<Output>,
    request: Request,
    model: Model,
    token: &str,
    started: Instant,
) -> Response {
    let end_of_outputs = futures_util::stream::once(async { None });
    let outputs = ReceiverStream::new(outputs).map(Some).chain(end_of_outputs);
    let chunks = Encoder::new(request, &model);
    let mut ended = false;
    let events = outputs.filter_map(move |output| {
        let event = match output {
            Some(Output::Agent(_)) => None,
            Some(Output::Events(first, events)) => {
                observe(&shared, first, &events, started);
                let mut out = Vec::new();
                for (seq, text) in (first..).zip(&events) {
                    chunks.write(seq, text, &mut out);
                }
                (!out.is_empty()).then_some(Ok(out))
            }
            Some(Output::End(end)) => {
                ended = true;
                let last = last_chunk(request, &model, &end.finish_reason, end.usage);
                Some(Ok(format!("data: {last}\n\ndata: [DONE]\n\n").into()))
            }
            Some(Output::Refused(refusal)) => {
                // Aborting the connection here would drop the event before it is sent.
                ended = true;
                shared.metrics.count_refusal(refusal.kind);
                let body = refusal.body();
                Some(Ok(format!("event: error\ndata: {body}\n\n").into()))
            }
            None if ended => None,
            None => Some(Err(std::io::Error::other("the completion is truncated"))),
        };
        std::future::ready(event.map(|event| event.map(Bytes::from)))
    });
    let reply = warp::reply::stream(events);
    let reply = warp::reply::with_header(reply, "content-type", "text/event-stream");
    let reply = warp::reply::with_header(reply, "cache-control", "no-store");
    warp::reply::with_header(reply, "x-resume-token", token).into_response()
}

/// Returns the response for a refusal and counts it.
pub(super) fn refuse(metrics: &Metrics, refusal: &Refusal) -> Response {
    metrics.count_refusal(refusal.kind);
    let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = json(status, refusal.body());
    if let Some(millis) = refusal.retry_after_ms {
        // The header is in whole seconds.
        let seconds = u64::from(millis.div_ceil(1000).max(1));
        response.headers_mut().insert("retry-after", seconds.into());
    }
    response
}

/// Returns a response with an encoded JSON body.
pub(super) fn json(status: StatusCode, body: String) -> Response {
    let reply = warp::reply::with_header(body, "content-type", "application/json");
    warp::reply::with_status(reply, status).into_response()
}

fn observe(shared: &Shared, first: u32, events: &[Arc<str>], started: Instant) {
    if first == 0 && !events.is_empty() {
        let seconds = started.elapsed().as_secs_f64();
        shared.metrics.first_token.observe(seconds);
    }
}
