use std::rc::Rc;
use std::time::Duration;

use fleet::backoff::Waited;
use fleet::cell::Cell;
use fleet::cold;
use fleet::dispatcher::{Demand, Reply, Request};
use fleet::queue;
use tokio::sync::mpsc;
use types::Time;

use super::{Answer, request_id, send};
use crate::adapter::Platform;
use crate::attempt::Admitted;
use crate::clock::now;
use crate::packet::Message;
use crate::retry::Progress;
use crate::shared::Shared;

/// The result of asking the dispatchers of a cell.
pub(super) enum Outcome {
    /// The dispatcher, the sequence number of the request, the reply, and when a grant for a cold
    /// target expires.
    Reply(String, u64, Reply, Option<Time>),
    /// No dispatcher of the cell replied.
    NoDispatcher,
}

/// How long to wait for a reply before the request is sent again: a round trip to another failure
/// domain takes a few milliseconds, and a slow host needs a little longer.
const RESEND_INTERVAL: Duration = Duration::from_millis(15);
/// How long to wait for a reply in all.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);
/// How often a queued request is renewed.
const RENEW_INTERVAL: Duration = Duration::from_millis(200);

/// Asks the dispatcher of a cell, or its second dispatcher if the first one does not reply.
pub(super) async fn request_from_cell<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    admitted: &Admitted,
    progress: &Progress<Adapter>,
    cell: &Cell,
    demand: &Demand,
    queue: bool,
) -> Outcome
where
    Adapter: Platform,
{
    for dispatcher in shared.dispatch.dispatchers(shared, cell) {
        let sequence = shared.dispatch.next_sequence();
        let (sender, mut replies) = mpsc::unbounded_channel();
        shared
            .dispatch
            .pending
            .borrow_mut()
            .insert(sequence, sender);
        let pending = Pending {
            shared: Rc::clone(shared),
            dispatcher: dispatcher.clone(),
            sequence,
            open: true,
        };
        let (rank, max_wait) = rank_and_max_wait(shared, admitted, progress);
        let request = Request {
            id: request_id(shared, sequence),
            cell: cell.clone(),
            rank,
            max_wait,
            patience: queue::max_wait(admitted.route.objective),
            queue,
            demand: demand.clone(),
        };
        let sent = now();
        let reply = exchange(shared, &dispatcher, request, &mut replies).await;
        match reply {
            Some((Reply::NotDispatcher, _)) => {
                let mut backoffs = shared.dispatch.backoffs.borrow_mut();
                backoffs.on_not_dispatcher(&dispatcher, now());
            }
            Some((reply, send_by)) => {
                shared.dispatch.backoffs.borrow_mut().on_reply(&dispatcher);
                pending.close();
                return Outcome::Reply(dispatcher, sequence, reply, send_by);
            }
            None => shared.dispatch.on_silence(&dispatcher, sent),
        }
    }
    Outcome::NoDispatcher
}

/// Returns the rank of a request and how long it may wait. A request that was sent before, or whose
/// stream is taken up, gets the highest rank, because its caller has waited longest; it may wait
/// until its stream counts as stalled. A request that lost time at an unreachable target gets the
/// highest rank as well, for as long as it can meet the latency objective.
fn rank_and_max_wait<Adapter>(
    shared: &Shared<Adapter>,
    admitted: &Admitted,
    progress: &Progress<Adapter>,
) -> (u8, Duration) {
    let time = now();
    let remaining = admitted.remaining(shared, time);
    if progress.deliveries > 0 {
        return (0, admitted.retry_wait(shared, time));
    }
    let waited = time.since(admitted.arrived);
    if progress.is_taken_up() {
        let max_wait = admitted.retry_wait(shared, time);
        return (0, max_wait.saturating_sub(waited));
    }
    if !progress.excluded().is_empty() {
        return (
            0,
            admitted
                .route
                .objective
                .saturating_sub(waited)
                .min(remaining),
        );
    }
    let max_wait = queue::max_wait(admitted.route.objective);
    let max_wait = max_wait.saturating_sub(waited);
    (admitted.rank(), max_wait.min(remaining))
}

/// Sends a placement request until a final reply arrives; `None` if none does. A grant for a cold
/// target is returned with the time at which it expires.
async fn exchange<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    dispatcher: &str,
    request: Request,
    replies: &mut mpsc::UnboundedReceiver<Answer>,
) -> Option<(Reply, Option<Time>)>
where
    Adapter: Platform,
{
    let message = Message::Request(request);
    let mut timing = cold::Timing::new(now());
    let mut waited = Waited::default();
    let mut wait = RESEND_INTERVAL;
    let mut timeout = REPLY_TIMEOUT;
    send(shared, dispatcher, &message);
    loop {
        let started = now();
        match tokio::time::timeout(wait, replies.recv()).await {
            Ok(Some((Reply::Queued, _))) => {
                waited = Waited::default();
                timing.on_queued();
                // From now on the dispatcher replies when it has a result, and only needs to be
                // alive.
                wait = RENEW_INTERVAL;
                timeout = RENEW_INTERVAL + REPLY_TIMEOUT;
            }
            Ok(Some((reply, is_cold))) => {
                let deadline = timing.deadline().filter(|_| is_cold);
                return Some((reply, deadline));
            }
            Ok(None) => return None,
            Err(_) => {
                waited.add(wait, now().since(started));
                if waited.has_reached(timeout) {
                    return None;
                }
                timing.on_sent(now());
                send(shared, dispatcher, &message);
                wait = REPLY_TIMEOUT.saturating_sub(RESEND_INTERVAL);
            }
        }
    }
}

/// A pending placement request; dropping it cancels the request unless it is closed.
struct Pending<Adapter>
where
    Adapter: Platform,
{
    shared: Rc<Shared<Adapter>>,
    dispatcher: String,
    sequence: u64,
    open: bool,
}

impl<Adapter> Pending<Adapter>
where
    Adapter: Platform,
{
    fn close(mut self) {
        self.open = false;
    }
}

impl<Adapter> Drop for Pending<Adapter>
where
    Adapter: Platform,
{
    fn drop(&mut self) {
        self.shared
            .dispatch
            .pending
            .borrow_mut()
            .remove(&self.sequence);
        if self.open {
            let id = request_id(&self.shared, self.sequence);
            send(&self.shared, &self.dispatcher, &Message::Cancel(id));
        }
    }
}
