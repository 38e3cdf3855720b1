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
use super::api::{Chunks, Refusal, last_chunk};
use super::relay::Piece;
use crate::metrics::Metrics;

/// Waits for a whole answer.
pub(super) async fn collect(
    shared: &Shared,
    mut pieces: mpsc::Receiver<Piece>,
    started: Instant,
) -> Result<(String, End), Refusal> {
    let mut text = String::new();
    while let Some(piece) = pieces.recv().await {
        match piece {
            Piece::Agent(_) => {}
            Piece::Events(first, events) => {
                observe(shared, first, &events, started);
                text.extend(events.iter().map(|event| &**event));
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
pub(super) fn stream(
    shared: Arc<Shared>,
    pieces: mpsc::Receiver<Piece>,
    request: Request,
    model: Model,
    token: &str,
    started: Instant,
) -> Response {
    let end_of_pieces = futures_util::stream::once(async { None });
    let pieces = ReceiverStream::new(pieces).map(Some).chain(end_of_pieces);
    let chunks = Chunks::new(request, &model);
    let mut ended = false;
    let events = pieces.filter_map(move |piece| {
        let event = match piece {
            Some(Piece::Agent(_)) => None,
            Some(Piece::Events(first, events)) => {
                observe(&shared, first, &events, started);
                let mut out = Vec::new();
                for (seq, text) in (first..).zip(&events) {
                    chunks.write(seq, text, &mut out);
                }
                (!out.is_empty()).then_some(Ok(out))
            }
            Some(Piece::End(end)) => {
                ended = true;
                let last = last_chunk(request, &model, &end.finish_reason, end.usage);
                Some(Ok(format!("data: {last}\n\ndata: [DONE]\n\n").into()))
            }
            Some(Piece::Refused(refusal)) => {
                // Breaking the connection here would drop the event before it is sent.
                ended = true;
                shared.metrics.refused(refusal.kind);
                let body = refusal.body();
                Some(Ok(format!("event: error\ndata: {body}\n\n").into()))
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

/// Answers with a refusal and counts it.
pub(super) fn refuse(metrics: &Metrics, refusal: &Refusal) -> Response {
    metrics.refused(refusal.kind);
    let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = json(status, refusal.body());
    if let Some(millis) = refusal.retry_after_ms {
        // The header counts in whole seconds.
        let seconds = u64::from(millis.div_ceil(1000).max(1));
        response.headers_mut().insert("retry-after", seconds.into());
    }
    response
}

/// Answers with JSON that is written already.
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
