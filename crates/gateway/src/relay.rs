use std::rc::Rc;
use std::sync::Arc;

use fleet::stream::Resumption;
use http::Response;
use http::header::CONTENT_TYPE;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use types::Target;

use crate::adapter::Platform;
use crate::answer::{Body, Part};
use crate::attempt::{self, Admitted, Outcome, Streaming};
use crate::clock::now;
use crate::connection;
use crate::dispatch;
use crate::logging::Event;
use crate::retry::{Progress, Step};
use crate::serve;
use crate::shared::Shared;
use crate::shutdown;
use crate::sse::Chunk;
use crate::wait::await_target;

/// Chunks of events that are buffered for a slow caller; beyond that, reading from the target stops
/// as well.
const CHANNEL_CAPACITY: usize = 16;
/// Bytes of such chunks. A chunk may be as large as the read buffer of the target's connection.
const CHANNEL_BYTES: u32 = 16 << 10;
/// The content type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// The way of a stream to its caller, which buffers a limited number of chunks and bytes.
struct Outlet {
    parts: mpsc::Sender<Part>,
    room: Arc<Semaphore>,
}

impl Outlet {
    /// Waits until there is room for a chunk; one that is larger than all the room needs all of it.
    async fn room_for(&self, bytes: usize) -> Option<OwnedSemaphorePermit> {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX).min(CHANNEL_BYTES);
        // The semaphore is never closed.
        Arc::clone(&self.room).acquire_many_owned(bytes).await.ok()
    }
}

/// Relays a stream to the caller, from the first event to the last.
pub(crate) fn respond<Adapter>(
    shared: Rc<Shared<Adapter>>,
    admitted: Rc<Admitted>,
    progress: Progress<Adapter>,
    stream: Streaming<Adapter>,
) -> Response<Body>
where
    Adapter: Platform,
{
    let (sender, receiver) = mpsc::channel(CHANNEL_CAPACITY);
    let mut response = Response::new(Body::stream(receiver));
    *response.status_mut() = stream.status;
    *response.headers_mut() = stream.headers.clone();
    let outlet = Outlet {
        parts: sender,
        room: Arc::new(Semaphore::new(CHANNEL_BYTES as usize)),
    };
    tokio::task::spawn_local(async move {
        let closed = outlet.parts.clone();
        tokio::select! {
            // The relay fails for want of time at the moment of the limit.
            biased;
            // The caller disconnected: dropping the relay closes the target's connection.
            () = closed.closed() => {
                serve::record_end(&shared, &admitted, "gone", Some("the caller disconnected"));
            }
            // The caller may resume the stream at another entry.
            () = shutdown::until_response_limit(&shared, &admitted.route) => {
                serve::record_end(&shared, &admitted, "cut", Some("the entry is stopping"));
            }
            () = relay(&shared, &admitted, progress, stream, outlet) => {}
        }
    });
    response
}

async fn relay<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Rc<Admitted>,
    mut progress: Progress<Adapter>,
    mut stream: Streaming<Adapter>,
    outlet: Outlet,
) where
    Adapter: Platform,
{
    let mut last_event = admitted.head.last_event;
    loop {
        let end = forward(
            shared,
            admitted,
            &mut progress,
            &mut stream,
            &outlet,
            &mut last_event,
        )
        .await;
        let target = stream.in_flight.target().clone();
        let cause = match end {
            End::Truncated(cause) => cause,
            End::CallerGone(why) => {
                serve::record_end(shared, admitted, "gone", Some(why));
                return;
            }
            End::Complete => {
                shared.tracker.borrow_mut().on_success(&target);
                if !stream.closes {
                    connection::release(shared, &target, stream.connection, stream.keep_alive);
                }
                // Without this the response would look truncated.
                let (outcome, why) = match send(shared, admitted, &outlet, None).await {
                    Ok(()) => ("served", None),
                    Err(why) => ("gone", Some(why)),
                };
                serve::record_end(shared, admitted, outcome, why);
                return;
            }
        };
        if outlet.parts.is_closed() {
            serve::record_end(shared, admitted, "gone", Some("the caller disconnected"));
            return;
        }
        shared.tracker.borrow_mut().on_failure(&target, now());
        Event::new("stream_cut")
            .with("request", &*admitted.head.id)
            .with("target", &*target)
            .with("last_event", last_event)
            .with("why", cause)
            .warn();
        // Closes the connection first, so that the previous run is cancelled before another one
        // starts.
        drop(stream);
        let next_stream = match resume(shared, admitted, &mut progress, last_event, &target).await {
            Ok(next_stream) => next_stream,
            Err(why) => {
                serve::record_end(shared, admitted, "cut", Some(&why));
                return;
            }
        };
        shared.metrics.resumed.inc();
        stream = next_stream;
    }
}

/// How a target's stream ended.
enum End {
    /// The last event was relayed.
    Complete,
    /// The stream was truncated, for this cause.
    Truncated(String),
    /// The caller disconnected or has stopped reading, as this text says.
    CallerGone(&'static str),
}

/// Relays events until the stream ends.
async fn forward<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    progress: &mut Progress<Adapter>,
    stream: &mut Streaming<Adapter>,
    outlet: &Outlet,
    last_event: &mut Option<u64>,
) -> End
where
    Adapter: Platform,
{
    let mut next_chunk = stream.first_chunk.take();
    loop {
        let Some(chunk) = next_chunk.take() else {
            return End::Complete;
        };
        if let Err(why) = send(shared, admitted, outlet, Some(chunk)).await {
            return End::CallerGone(why);
        }
        *last_event = stream.events.last_id().or(*last_event);
        let target = stream.in_flight.target().clone();
        let reading = attempt::next_chunk(shared, &target, &mut stream.events, &mut stream.body);
        let waiting = await_target(shared, admitted, progress, &target, *last_event, reading);
        next_chunk = match waiting.await {
            Ok(Ok(chunk)) => chunk,
            Ok(Err(cause)) | Err(cause) => return End::Truncated(cause),
        };
    }
}

/// Passes a chunk of the stream, or its end, on to the caller as soon as it has read enough of what
/// came before.
///
/// # Errors
/// Returns for logs why the caller will not read it.
async fn send<Adapter>(
    shared: &Shared<Adapter>,
    admitted: &Admitted,
    outlet: &Outlet,
    chunk: Option<Chunk>,
) -> Result<(), &'static str> {
    let remaining = admitted.remaining(shared, now());
    let sending = async {
        let part = match chunk {
            Some(chunk) => {
                let _room = outlet.room_for(chunk.bytes.len()).await;
                Part::Chunk { chunk, _room }
            }
            None => Part::End,
        };
        outlet.parts.send(part).await
    };
    match tokio::time::timeout(remaining, sending).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err("the caller disconnected"),
        Err(_) => Err("the caller stopped reading until the deadline"),
    }
}

/// Resumes a stream at another target.
///
/// # Errors
/// Returns for logs why no other target continues it.
async fn resume<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Rc<Admitted>,
    progress: &mut Progress<Adapter>,
    last_event: Option<u64>,
    failed: &Target,
) -> Result<Streaming<Adapter>, String>
where
    Adapter: Platform,
{
    if !admitted.route.resumable {
        return Err("the route allows no resumption".to_owned());
    }
    progress.exclude(failed);
    progress.in_flight = false;
    let mut failure = None;
    loop {
        let choice = match dispatch::next(shared, admitted, progress, last_event).await {
            Step::Send(choice) => choice,
            Step::Wait => {
                serve::wait_for_capacity(shared).await;
                continue;
            }
            Step::Fail(reason, _) => return Err(failure.unwrap_or_else(|| reason.to_string())),
        };
        match serve::attempt(shared, admitted, progress, &choice).await {
            Outcome::Streaming(stream) if continues(&stream, last_event) => return Ok(*stream),
            Outcome::Streaming(_) => {
                progress.in_flight = false;
                let target = &choice.member.id;
                shared.tracker.borrow_mut().on_failure(target, now());
                failure = Some(format!("{target} did not continue the stream"));
            }
            // A buffered response is a failure of the target here.
            Outcome::Buffered(response) => {
                failure = Some(format!(
                    "{} responded with status {}",
                    choice.member.id, response.status
                ));
            }
            Outcome::NotRun { cause, .. } | Outcome::Failed { cause } | Outcome::Lost { cause } => {
                failure = Some(cause);
            }
            Outcome::Withdrawn(cause) => failure = Some(cause.to_owned()),
        }
    }
}

/// Whether a response continues a stream after the last relayed event.
fn continues<Adapter>(stream: &Streaming<Adapter>, last_event: Option<u64>) -> bool {
    // A target has nothing to add if it broke off after the last event.
    if stream.first_chunk.is_none() {
        return true;
    }
    let content_type = stream.headers.get(CONTENT_TYPE);
    let resumption = Resumption {
        is_event_stream: content_type.map(|value| value.as_bytes().starts_with(EVENT_STREAM)),
        first_id: stream.events.first_id(),
    };
    resumption.continues(last_event)
}
