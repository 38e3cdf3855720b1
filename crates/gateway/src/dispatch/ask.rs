use std::rc::Rc;
use std::time::Duration;

use fleet::cell::Cell;
use fleet::dispatcher::{Demand, Reply, Request};
use fleet::queue;
use tokio::sync::mpsc;

use super::{Mute, own_name, send};
use crate::adapter::Platform;
use crate::attempt::Asked;
use crate::clock::now;
use crate::packet::Message;
use crate::retry::Tries;
use crate::shared::Shared;

/// What came of asking one dispatcher.
pub(super) enum Answered {
    /// It gave a place, or said that it has none.
    Reply(String, u64, Reply),
    /// No dispatcher of the cell answers.
    Nobody,
}

/// How long an answer may take before the request is sent once more: the way to another failure
/// domain and back takes a few milliseconds, and a slow host some more.
const RESEND: Duration = Duration::from_millis(15);
/// How long it may take in all.
const ANSWER: Duration = Duration::from_millis(40);
/// How often a waiting request is renewed.
const RENEW: Duration = Duration::from_millis(200);
/// How long an entry is not asked that says it is no dispatcher: it starts or stops.
const ELSEWHERE: Duration = Duration::from_millis(250);
/// The part of the longest gap in a stream for which a request that was sent before may wait.
const AGAIN: f64 = 0.4;

/// Asks the dispatcher of a cell, or its deputy if it does not answer.
pub(super) async fn ask<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    asked: &Asked,
    tries: &Tries<Adapter>,
    cell: &Cell,
    demand: &Demand,
    queue: bool,
) -> Answered
where
    Adapter: Platform,
{
    for dispatcher in shared.dispatch.dispatchers(shared, cell) {
        let number = shared.dispatch.number();
        let (sender, mut replies) = mpsc::unbounded_channel();
        shared.dispatch.asks.borrow_mut().insert(number, sender);
        let pending = Pending {
            shared: Rc::clone(shared),
            dispatcher: dispatcher.clone(),
            number,
            open: true,
        };
        let (rank, limit) = urgency(asked, tries);
        let request = Request {
            id: own_name(shared, number),
            cell: cell.clone(),
            rank,
            max_wait: limit,
            queue,
            demand: demand.clone(),
        };
        let reply = converse(shared, &dispatcher, request, &mut replies).await;
        match reply {
            Some(Reply::NotDispatcher) => {
                let mute = Mute {
                    until: now() + ELSEWHERE,
                    times: 0,
                };
                let mut mutes = shared.dispatch.mute.borrow_mut();
                mutes.insert(dispatcher.clone(), mute);
            }
            Some(reply) => {
                shared.dispatch.mute.borrow_mut().remove(&dispatcher);
                pending.close();
                return Answered::Reply(dispatcher, number, reply);
            }
            None => shared.dispatch.on_mute(&dispatcher, now()),
        }
    }
    Answered::Nobody
}

/// Returns the rank of a request and how long it may wait. One that was sent before goes first: its
/// caller has waited for longest, and waits until its stream seems to have stopped. One that lost
/// time at a target out of reach goes first as well, for as long as it would be in time.
fn urgency<Adapter>(asked: &Asked, tries: &Tries<Adapter>) -> (u8, Duration) {
    let time = now();
    let left = asked.left(time);
    if tries.arrivals > 0 {
        return (0, asked.gap().min(left).mul_f64(AGAIN));
    }
    let waited = time.since(asked.arrived);
    if !tries.left_out().is_empty() {
        return (0, asked.route.objective.saturating_sub(waited).min(left));
    }
    let limit = queue::max_wait(asked.route.objective);
    let limit = limit.saturating_sub(waited);
    (asked.rank(), limit.min(left))
}

/// Sends a request for a place until it is answered for good; `None` if nobody answers.
async fn converse<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    dispatcher: &str,
    request: Request,
    replies: &mut mpsc::UnboundedReceiver<Reply>,
) -> Option<Reply>
where
    Adapter: Platform,
{
    let message = Message::Ask(request);
    let mut asked = now();
    let mut wait = RESEND;
    let mut patience = ANSWER;
    send(shared, dispatcher, &message);
    loop {
        match tokio::time::timeout(wait, replies.recv()).await {
            Ok(Some(Reply::Queued)) => {
                asked = now();
                // From here on the dispatcher speaks first, and has to be alive only.
                wait = RENEW;
                patience = RENEW + ANSWER;
            }
            Ok(reply) => return reply,
            Err(_) if now().since(asked) >= patience => return None,
            Err(_) => {
                send(shared, dispatcher, &message);
                wait = ANSWER.saturating_sub(RESEND);
            }
        }
    }
}

/// A request for a place that is under way; it is given up when its caller leaves.
struct Pending<Adapter>
where
    Adapter: Platform,
{
    shared: Rc<Shared<Adapter>>,
    dispatcher: String,
    number: u64,
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
        self.shared.dispatch.asks.borrow_mut().remove(&self.number);
        if self.open {
            let name = own_name(&self.shared, self.number);
            send(&self.shared, &self.dispatcher, &Message::Cancel(name));
        }
    }
}
