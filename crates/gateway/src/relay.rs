use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use types::Target;

use crate::answer::{Body, Cut};
use crate::attempt::{self, Asked, Outcome, Running};
use crate::border::Platform;
use crate::clock::now;
use crate::connection;
use crate::journal::Event;
use crate::serve;
use crate::shared::Shared;
use crate::tries::Tries;

/// Splits a stream into whole events.
///
/// A target may stop in the middle of an event; a caller gets whole events only, so that a stream
/// can be continued behind the last one.
#[derive(Debug, Default)]
pub(crate) struct Events {
    buffer: BytesMut,
    last: Option<u64>,
}

/// Events that may wait for a slow caller; the target's connection then blocks as well.
const AHEAD: usize = 16;
/// How long the events before a cut have to be written to the caller.
const FLUSH: Duration = Duration::from_millis(10);
/// Bytes of one event; a larger one is passed on in pieces.
const MOST_BYTES: usize = 1 << 20;
impl Events {
    /// Waits for the next whole events; `None` is the regular end.
    pub(crate) async fn next(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, String> {
        loop {
            if let Some(whole) = self.take() {
                return Ok(Some(whole));
            }
            match body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => return Err(format!("the stream broke off: {error}")),
                None if self.buffer.is_empty() => return Ok(None),
                // Without a length, a target that stops early may still close in good order.
                None => return Err("the stream ended within an event".to_owned()),
            }
        }
    }

    /// Returns the number of the last event that was taken.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    fn take(&mut self) -> Option<Bytes> {
        let end = end_of_events(&self.buffer);
        if end == 0 && self.buffer.len() < MOST_BYTES {
            return None;
        }
        let end = if end == 0 { self.buffer.len() } else { end };
        let whole = self.buffer.split_to(end).freeze();
        self.last = last_number(&whole).or(self.last);
        Some(whole)
    }
}

/// Returns the length of the whole events at the start.
fn end_of_events(bytes: &[u8]) -> usize {
    let newline = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let carriage = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    let newline = newline.map_or(0, |at| at + 2);
    newline.max(carriage.map_or(0, |at| at + 4))
}

/// Returns the number of the last event that has one.
fn last_number(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.rsplit(|&byte| byte == b'\n');
    lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|number| std::str::from_utf8(number).ok()?.trim().parse().ok())
}

/// Passes a stream on to the caller, from the first event to the last.
pub(crate) fn respond<Border>(
    shared: Rc<Shared<Border>>,
    asked: Rc<Asked>,
    tries: Tries<Border>,
    running: Running<Border>,
) -> Response<Body>
where
    Border: Platform,
{
    let (events, waiting) = mpsc::channel(AHEAD);
    let mut response = Response::new(Body::Stream(waiting));
    *response.status_mut() = running.status;
    *response.headers_mut() = running.headers.clone();
    tokio::task::spawn_local(async move {
        let closed = events.clone();
        tokio::select! {
            // The caller left: dropping the relay closes the target's connection.
            () = closed.closed() => {
                serve::ended(&shared, &asked, "gone");
            }
            () = relay(&shared, &asked, tries, running, events) => {}
        }
    });
    response
}

async fn relay<Border>(
    shared: &Rc<Shared<Border>>,
    asked: &Rc<Asked>,
    mut tries: Tries<Border>,
    mut running: Running<Border>,
    events: mpsc::Sender<Result<Bytes, Cut>>,
) where
    Border: Platform,
{
    let mut last = asked.ask.seen;
    loop {
        let cut = pump(shared, asked, &mut running, &events, &mut last).await;
        let target = running.flight.target().clone();
        let Some(why) = cut else {
            shared.board.borrow_mut().on_success(&target);
            if !running.closes {
                connection::keep(shared, &target, running.connection, running.keep);
            }
            serve::ended(shared, asked, "served");
            return;
        };
        if events.is_closed() {
            return;
        }
        shared.board.borrow_mut().on_failure(&target, now());
        Event::new("stream_cut")
            .with("request", &*asked.ask.id)
            .with("target", &*target)
            .with("last_event", last)
            .with("why", why)
            .warn();
        // Closes the connection first, so that the former run stops before another one starts.
        drop(running);
        let next = match resume(shared, asked, &mut tries, last, &target).await {
            Some(next) => next,
            None => {
                serve::ended(shared, asked, "cut");
                // hyper drops what it has not written when the body fails.
                tokio::time::sleep(FLUSH).await;
                // The receiver may be gone; there is nobody to tell then.
                let _ = events.send(Err(Cut::Early)).await;
                return;
            }
        };
        shared.metrics.resumed.inc();
        running = next;
    }
}

/// Passes events on until the stream ends; returns why it did not end well.
async fn pump<Border>(
    shared: &Shared<Border>,
    asked: &Asked,
    running: &mut Running<Border>,
    events: &mpsc::Sender<Result<Bytes, Cut>>,
    last: &mut Option<u64>,
) -> Option<String> {
    let first = std::mem::take(&mut running.first);
    let mut next = (!first.is_empty()).then_some(first);
    if running.ended {
        return None;
    }
    loop {
        if let Some(event) = next.take() {
            if events.send(Ok(event)).await.is_err() {
                return Some("the caller left".to_owned());
            }
            *last = running.events.last().or(*last);
        }
        let target = running.flight.target().clone();
        let coming = running.events.next(&mut running.body);
        next = match attempt::patiently(shared, asked, &target, coming).await {
            Ok(Ok(Some(event))) => Some(event),
            Ok(Ok(None)) => return None,
            Ok(Err(why)) | Err(why) => return Some(why),
        };
    }
}

/// Continues a stream at another target.
async fn resume<Border>(
    shared: &Rc<Shared<Border>>,
    asked: &Rc<Asked>,
    tries: &mut Tries<Border>,
    last: Option<u64>,
    former: &Target,
) -> Option<Running<Border>>
where
    Border: Platform,
{
    if !asked.route.resumable {
        return None;
    }
    tries.leave_out(former);
    loop {
        let choice = tries.next(shared, asked, last)?;
        match serve::attempt(shared, asked, tries, &choice).await {
            Outcome::Started(running) => return Some(*running),
            Outcome::NotRun { .. } | Outcome::Failed { .. } => {}
            // A whole answer here is a failure of the target.
            Outcome::Answered(_) => return None,
        }
    }
}
