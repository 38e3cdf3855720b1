use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::dispatcher::{Id, Reply, Request};
use fleet::gossip::Update;
use types::{Target, Time};

use super::own_name;
use crate::adapter::Platform;
use crate::choose;
use crate::clock::now;
use crate::logging::Event;
use crate::packet::Message;
use crate::serve::millis;
use crate::shared::Shared;

/// How often a dispatcher with waiting requests looks at its targets; they become free as time passes.
const POLL: Duration = Duration::from_millis(5);
/// The same for one without.
const IDLE: Duration = Duration::from_millis(500);

/// Acts on a message about places; `from` is set if it came from another entry.
pub(crate) fn on_message<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    message: Message,
    from: Option<SocketAddr>,
) where
    Adapter: Platform,
{
    let time = now();
    let placing = &shared.dispatch;
    match message {
        Message::Ask(ask) => {
            let name = ask.id.clone();
            let reply = match placing.takes_asks(shared, time) {
                true => {
                    let mut desk = placing.dispatcher.borrow_mut();
                    let offers = |ask: &Request| choose::offers(shared, ask);
                    desk.on_request(ask.clone(), offers, shared.random(), time)
                }
                false => Reply::NotDispatcher,
            };
            on_reply(shared, &ask, &reply);
            answer(shared, name, reply, from);
        }
        Message::Reply(name, reply) => {
            if name == own_name(shared, name.sequence)
                && let Some(sender) = placing.asks.borrow().get(&name.sequence)
            {
                // The request may be given up at this moment; its end tells the dispatcher.
                let _ = sender.send(reply);
            }
        }
        Message::Cancel(name) => placing.dispatcher.borrow_mut().on_cancel(&name, time),
        Message::Update(update) => on_update(shared, &update, time),
        Message::Word(_) | Message::Notice(_) | Message::Fetch(..) | Message::Page(_) => {}
    }
}

/// Records the parts that a target has once it gets the request, and logs why one gets none.
fn on_reply<Adapter>(shared: &Rc<Shared<Adapter>>, ask: &Request, reply: &Reply) {
    let target = match reply {
        Reply::Granted(target, _) => target,
        Reply::Refused(again) => return log_refusal(shared, ask, *again),
        Reply::Queued | Reply::Busy(_) | Reply::NotDispatcher => return,
    };
    let version = {
        let roster = shared.roster.borrow();
        let model = ask.demand.model.as_ref();
        model.and_then(|model| roster.get(target)?.member.version(model))
    };
    if let Some(model) = &ask.demand.model {
        let parts = choose::named_parts(&ask.demand, model, version);
        shared
            .cache_index
            .borrow_mut()
            .on_placed(&parts, target, now());
    }
}

fn log_refusal<Adapter>(shared: &Rc<Shared<Adapter>>, ask: &Request, again: Duration) {
    let offers = choose::offers(shared, ask);
    let survey = {
        let desk = shared.dispatch.dispatcher.borrow();
        desk.stats(&ask.cell, offers, now())
    };
    Event::new("no_place")
        .with("entry", &*ask.id.sender)
        .with("number", ask.id.sequence)
        .with("domain", ask.cell.domain.as_deref())
        .with("shard", ask.cell.shard)
        .with("rank", ask.rank)
        .with("need", ask.demand.kv_tokens)
        .with("targets", survey.targets)
        .with("full", survey.full)
        .with("free", survey.free)
        .with("running", survey.running)
        .with("reading", survey.prefill_tokens)
        .with("memory", survey.kv_tokens)
        .with("waiting", survey.queued)
        .with("again_ms", millis(again))
        .warn();
}

fn answer<Adapter>(shared: &Rc<Shared<Adapter>>, name: Id, reply: Reply, to: Option<SocketAddr>)
where
    Adapter: Platform,
{
    if *name.sender == *shared.settings.name {
        on_message(shared, Message::Reply(name, reply), None);
        return;
    }
    let known = || {
        let names = shared.registered.borrow();
        let peer = names.get(&*name.sender)?;
        Some(SocketAddr::new(peer.ip, shared.settings.peer_port))
    };
    if let Some(to) = to.or_else(known) {
        shared.dispatch.send_to(&Message::Reply(name, reply), to);
    }
}

fn on_update<Adapter>(shared: &Rc<Shared<Adapter>>, update: &Update, time: Time) {
    let placing = &shared.dispatch;
    {
        let mut desk = placing.dispatcher.borrow_mut();
        for number in &update.acknowledged {
            desk.on_acknowledged(&Id {
                sender: update.from.as_str().into(),
                incarnation: update.incarnation,
                sequence: *number,
            });
        }
    }
    let idle: Vec<Target> = {
        let (board, peers) = (shared.tracker.borrow(), shared.peers.borrow());
        let loads = update.loads.iter();
        let idle = loads.filter(|(target, _)| {
            board.load(target).running == 0 && peers.reported_load(target).running == 0
        });
        idle.map(|(target, _)| target.clone()).collect()
    };
    if shared.peers.borrow_mut().on_update(update, time) {
        let mut board = shared.tracker.borrow_mut();
        idle.iter().for_each(|target| board.on_busy(target, time));
    }
    let mut board = shared.tracker.borrow_mut();
    for target in &update.heard {
        board.on_heard_by_peer(target, time);
        board.on_success(target);
    }
    for target in &update.failed {
        board.on_failure(target, time);
    }
    for target in &update.refused {
        board.on_refusal(target, time);
    }
    for target in &update.updating {
        board.on_updating(target, time);
    }
    drop(board);
    placing.freed.notify_one();
}

/// Gives waiting requests their places, for the cells of which this entry is the dispatcher.
pub(crate) async fn dispatch<Adapter>(shared: Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    let placing = &shared.dispatch;
    loop {
        let pause = match placing.dispatcher.borrow().is_idle() {
            true => IDLE,
            false => POLL,
        };
        // The time limits the wait if nothing is told meanwhile.
        let _ = tokio::time::timeout(pause, placing.freed.notified()).await;
        let time = now();
        if shared.stopping.get().is_some() {
            let names = placing.dispatcher.borrow_mut().close(time);
            for name in names {
                answer(&shared, name, Reply::NotDispatcher, None);
            }
            continue;
        }
        let replies = {
            let mut desk = placing.dispatcher.borrow_mut();
            desk.poll(|ask| choose::offers(&shared, ask), shared.random(), time)
        };
        for (ask, reply) in replies {
            on_reply(&shared, &ask, &reply);
            answer(&shared, ask.id, reply, None);
        }
        let waiting = i64::try_from(placing.dispatcher.borrow().queued()).unwrap_or(i64::MAX);
        shared.metrics.queued.set(waiting);
    }
}
