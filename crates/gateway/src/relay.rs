use std::rc::Rc;
use std::time::Duration;

use http::Response;
use tokio::sync::mpsc;
use types::Target;

use crate::adapter::Platform;
use crate::answer::{Body, Cut};
use crate::attempt::{self, Asked, Outcome, Running};
use crate::clock::now;
use crate::connection;
use crate::dispatch;
use crate::logging::Event;
use crate::retry::{Step, Tries};
use crate::serve;
use crate::shared::Shared;
use crate::sse::Chunk;

/// Events that may wait for a slow caller; the target's connection then blocks as well.
const AHEAD: usize = 16;
/// How long the events before a cut have to be written to the caller.
const FLUSH: Duration = Duration::from_millis(10);
/// Passes a stream on to the caller, from the first event to the last.
pub(crate) fn respond<Adapter>(
    shared: Rc<Shared<Adapter>>,
    asked: Rc<Asked>,
    tries: Tries<Adapter>,
    running: Running<Adapter>,
) -> Response<Body>
where
    Adapter: Platform,
{
    let (events, waiting) = mpsc::channel(AHEAD);
    let mut response = Response::new(Body::stream(waiting));
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

async fn relay<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    asked: &Rc<Asked>,
    mut tries: Tries<Adapter>,
    mut running: Running<Adapter>,
    events: mpsc::Sender<Result<Chunk, Cut>>,
) where
    Adapter: Platform,
{
    let mut last = asked.ask.last_event;
    loop {
        let end = pump(shared, asked, &mut running, &events, &mut last).await;
        let target = running.flight.target().clone();
        let why = match end {
            End::Cut(why) => why,
            End::Left => {
                serve::ended(shared, asked, "gone");
                return;
            }
            End::Whole => {
                shared.tracker.borrow_mut().on_success(&target);
                if !running.closes {
                    connection::keep(shared, &target, running.connection, running.keep);
                }
                serve::ended(shared, asked, "served");
                return;
            }
        };
        if events.is_closed() {
            return;
        }
        shared.tracker.borrow_mut().on_failure(&target, now());
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

/// How a target's stream ended.
enum End {
    /// Its last event was passed on.
    Whole,
    /// It broke off, for this reason.
    Cut(String),
    /// The caller does not take it any more.
    Left,
}

/// Passes events on until the stream ends.
async fn pump<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    asked: &Asked,
    running: &mut Running<Adapter>,
    events: &mpsc::Sender<Result<Chunk, Cut>>,
    last: &mut Option<u64>,
) -> End
where
    Adapter: Platform,
{
    let mut next = running.first.take();
    loop {
        let Some(event) = next.take() else {
            return End::Whole;
        };
        let left = asked.left(now());
        match tokio::time::timeout(left, events.send(Ok(event))).await {
            Ok(Ok(())) => *last = running.events.last().or(*last),
            // The caller closed the connection, or has stopped reading.
            Ok(Err(_)) | Err(_) => return End::Left,
        }
        let target = running.flight.target().clone();
        let coming = attempt::next(shared, &target, &mut running.events, &mut running.body);
        next = match attempt::patiently(shared, asked, &target, coming).await {
            Ok(Ok(event)) => event,
            Ok(Err(why)) | Err(why) => return End::Cut(why),
        };
    }
}

/// Continues a stream at another target.
async fn resume<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    asked: &Rc<Asked>,
    tries: &mut Tries<Adapter>,
    last: Option<u64>,
    former: &Target,
) -> Option<Running<Adapter>>
where
    Adapter: Platform,
{
    if !asked.route.resumable {
        return None;
    }
    tries.leave_out(former);
    loop {
        let choice = match dispatch::next(shared, asked, tries, last).await {
            Step::Send(choice) => choice,
            Step::Wait => {
                serve::wait(shared).await;
                continue;
            }
            Step::End(..) => return None,
        };
        match serve::attempt(shared, asked, tries, &choice).await {
            Outcome::Started(running) => return Some(*running),
            Outcome::NotRun { .. } | Outcome::Failed { .. } => {}
            // A whole answer here is a failure of the target.
            Outcome::Answered(_) => return None,
        }
    }
}
