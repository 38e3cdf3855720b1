use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::desk::{Ask, Name, Reply};
use fleet::peers::Update;
use types::{Target, Time};

use super::own_name;
use crate::border::Platform;
use crate::choose;
use crate::clock::now;
use crate::journal::Event;
use crate::packet::Message;
use crate::serve::millis;
use crate::shared::Shared;

/// How often a desk with waiting requests looks at its targets; they become free as time passes.
const POLL: Duration = Duration::from_millis(5);
/// The same for one without.
const IDLE: Duration = Duration::from_millis(500);

/// Acts on a message about places; `from` is set if it came from another entry.
pub(crate) fn on_message<Border>(
    shared: &Rc<Shared<Border>>,
    message: Message,
    from: Option<SocketAddr>,
) where
    Border: Platform,
{
    let time = now();
    let placing = &shared.placing;
    match message {
        Message::Ask(ask) => {
            let name = ask.name.clone();
            let reply = match placing.takes_asks(shared, time) {
                true => {
                    let mut desk = placing.desk.borrow_mut();
                    let offers = |ask: &Ask| choose::offers(shared, ask);
                    desk.on_ask(ask.clone(), offers, shared.draw(), time)
                }
                false => Reply::Elsewhere,
            };
            on_reply(shared, &ask, &reply);
            answer(shared, name, reply, from);
        }
        Message::Reply(name, reply) => {
            if name == own_name(shared, name.number)
                && let Some(sender) = placing.asks.borrow().get(&name.number)
            {
                // The request may be given up at this moment; its end tells the dispatcher.
                let _ = sender.send(reply);
            }
        }
        Message::Cancel(name) => placing.desk.borrow_mut().on_cancel(&name, time),
        Message::Update(update) => on_update(shared, &update, time),
        Message::Word(_) | Message::Notice(_) | Message::Fetch(..) | Message::Page(_) => {}
    }
}

/// Records the parts that a target has once it gets the request, and logs why one gets none.
fn on_reply<Border>(shared: &Rc<Shared<Border>>, ask: &Ask, reply: &Reply) {
    let target = match reply {
        Reply::Granted(target, _) => target,
        Reply::Refused(again) => return log_refusal(shared, ask, *again),
        Reply::Waits | Reply::Busy(_) | Reply::Elsewhere => return,
    };
    let version = {
        let roster = shared.roster.borrow();
        let model = ask.demand.model.as_ref();
        model.and_then(|model| roster.get(target)?.member.version(model))
    };
    if let Some(model) = &ask.demand.model {
        let parts = choose::named_parts(&ask.demand, model, version);
        shared.kept.borrow_mut().on_placed(&parts, target, now());
    }
}

fn log_refusal<Border>(shared: &Rc<Shared<Border>>, ask: &Ask, again: Duration) {
    let offers = choose::offers(shared, ask);
    let survey = {
        let desk = shared.placing.desk.borrow();
        desk.survey(&ask.cell, offers, now())
    };
    Event::new("no_place")
        .with("entry", &*ask.name.asker)
        .with("number", ask.name.number)
        .with("domain", ask.cell.domain.as_deref())
        .with("shard", ask.cell.shard)
        .with("rank", ask.rank)
        .with("need", ask.demand.need)
        .with("targets", survey.targets)
        .with("full", survey.full)
        .with("free", survey.free)
        .with("running", survey.running)
        .with("reading", survey.reading)
        .with("memory", survey.memory)
        .with("waiting", survey.waiting)
        .with("again_ms", millis(again))
        .warn();
}

fn answer<Border>(shared: &Rc<Shared<Border>>, name: Name, reply: Reply, to: Option<SocketAddr>)
where
    Border: Platform,
{
    if *name.asker == *shared.settings.name {
        on_message(shared, Message::Reply(name, reply), None);
        return;
    }
    let known = || {
        let names = shared.names.borrow();
        let peer = names.get(&*name.asker)?;
        Some(SocketAddr::new(peer.ip, shared.settings.peer_port))
    };
    if let Some(to) = to.or_else(known) {
        shared.placing.send_to(&Message::Reply(name, reply), to);
    }
}

fn on_update<Border>(shared: &Rc<Shared<Border>>, update: &Update, time: Time) {
    let placing = &shared.placing;
    {
        let mut desk = placing.desk.borrow_mut();
        for number in &update.told {
            desk.on_told(&Name {
                asker: update.from.as_str().into(),
                start: update.start,
                number: *number,
            });
        }
    }
    let idle: Vec<Target> = {
        let (board, peers) = (shared.board.borrow(), shared.peers.borrow());
        let loads = update.loads.iter();
        let idle = loads.filter(|(target, _)| {
            board.load(target).running == 0 && peers.told(target).running == 0
        });
        idle.map(|(target, _)| target.clone()).collect()
    };
    if shared.peers.borrow_mut().on_update(update, time) {
        let mut board = shared.board.borrow_mut();
        idle.iter().for_each(|target| board.on_busy(target, time));
    }
    let mut board = shared.board.borrow_mut();
    for target in &update.heard {
        board.on_heard_by_other(target, time);
        board.on_success(target);
    }
    for target in &update.failed {
        board.on_failure(target, time);
    }
    for target in &update.refused {
        board.on_refusal(target, time);
    }
    for target in &update.changing {
        board.on_change(target, time);
    }
    drop(board);
    placing.freed.notify_one();
}

/// Gives waiting requests their places, for the cells of which this entry is the dispatcher.
pub(crate) async fn dispatch<Border>(shared: Rc<Shared<Border>>)
where
    Border: Platform,
{
    let placing = &shared.placing;
    loop {
        let pause = match placing.desk.borrow().is_idle() {
            true => IDLE,
            false => POLL,
        };
        // The time limits the wait if nothing is told meanwhile.
        let _ = tokio::time::timeout(pause, placing.freed.notified()).await;
        let time = now();
        if shared.stopping.get().is_some() {
            let names = placing.desk.borrow_mut().close(time);
            for name in names {
                answer(&shared, name, Reply::Elsewhere, None);
            }
            continue;
        }
        let replies = {
            let mut desk = placing.desk.borrow_mut();
            desk.poll(|ask| choose::offers(&shared, ask), shared.draw(), time)
        };
        for (ask, reply) in replies {
            on_reply(&shared, &ask, &reply);
            answer(&shared, ask.name, reply, None);
        }
        let waiting = i64::try_from(placing.desk.borrow().waiting()).unwrap_or(i64::MAX);
        shared.metrics.queued.set(waiting);
    }
}
