use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::dispatcher::{Id, Reply, Request};
use fleet::gossip::Update;
use fleet::placement::Load;
use types::{Target, Time};

use super::request_id;
use crate::adapter::Platform;
use crate::choose;
use crate::clock::now;
use crate::cold;
use crate::logging::Event;
use crate::packet::Message;
use crate::serve::millis;
use crate::shared::Shared;

/// How often a dispatcher with queued requests checks its targets, which become free as time
/// passes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How often a dispatcher without queued requests does.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Handles a message of the dispatcher protocol; `from` is set if another entry sent it.
pub(crate) fn on_message<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    message: Message,
    from: Option<SocketAddr>,
) where
    Adapter: Platform,
{
    let time = now();
    let dispatch = &shared.dispatch;
    match message {
        Message::Request(request) => {
            let id = request.id.clone();
            // A retransmitted request gets its grant again without being placed again.
            let mut is_placed = false;
            let reply = match dispatch.accepts_requests(shared, time) {
                true => {
                    let mut dispatcher = dispatch.dispatcher.borrow_mut();
                    shared.cold.borrow_mut().begin_placement();
                    let offers = |request: &Request| {
                        is_placed = true;
                        choose::offers(shared, request)
                    };
                    dispatcher.on_request(request.clone(), offers, shared.random(), time)
                }
                false => Reply::NotDispatcher,
            };
            if is_placed && let Reply::Granted(target, _) = &reply {
                cold::on_granted(shared, &id, target);
            }
            on_reply(shared, &request, &reply);
            send_reply(shared, id, reply, from);
        }
        Message::Reply(id, reply, is_cold) => {
            if id == request_id(shared, id.sequence)
                && let Some(sender) = dispatch.pending.borrow().get(&id.sequence)
            {
                // The request may have just been dropped; its `Drop` implementation informs the
                // dispatcher.
                let _ = sender.send((reply, is_cold));
            }
        }
        Message::Cancel(id) => dispatch.dispatcher.borrow_mut().on_cancel(&id, time),
        Message::Update(update) => on_update(shared, &update, time),
        Message::Began(_)
        | Message::AskOrigin(..)
        | Message::Origin(..)
        | Message::State(_)
        | Message::Notice(_)
        | Message::Fetch(..)
        | Message::Page(_)
        | Message::Crashes(_)
        | Message::CrashingRequest(_) => {}
    }
}

/// Records the segments that a target will hold after a grant, and logs the cause of a refusal.
fn on_reply<Adapter>(shared: &Rc<Shared<Adapter>>, request: &Request, reply: &Reply) {
    let target = match reply {
        Reply::Granted(target, _) => target,
        Reply::Refused(retry_after) => return log_refusal(shared, request, *retry_after),
        Reply::Queued | Reply::Busy(_) | Reply::NotDispatcher => return,
    };
    let version = {
        let roster = shared.roster.borrow();
        let model = request.demand.model.as_ref();
        model.and_then(|model| roster.get(target)?.member.version(model))
    };
    if let Some(model) = &request.demand.model {
        let segments = choose::segments_of_version(&request.demand, model, version);
        shared
            .cache_index
            .borrow_mut()
            .on_placed(&segments, target, now());
    }
}

fn log_refusal<Adapter>(shared: &Rc<Shared<Adapter>>, request: &Request, retry_after: Duration) {
    let offers = choose::offers(shared, request);
    let stats = {
        let dispatcher = shared.dispatch.dispatcher.borrow();
        dispatcher.stats(request, offers, now())
    };
    Event::new("no_place")
        .with("entry", &*request.id.sender)
        .with("number", request.id.sequence)
        .with("domain", request.cell.domain.as_deref())
        .with("shard", request.cell.shard)
        .with("rank", request.rank)
        .with("need", request.demand.kv_tokens)
        .with("targets", stats.targets)
        .with("full", stats.full)
        .with("free", stats.free)
        .with("running", stats.running)
        .with("reading", stats.prefill_tokens)
        .with("memory", stats.kv_tokens)
        .with("waiting", stats.queued)
        .with("reserve_percent", stats.reserve_percent)
        .with("again_ms", millis(retry_after))
        .warn();
}

fn send_reply<Adapter>(shared: &Rc<Shared<Adapter>>, id: Id, reply: Reply, to: Option<SocketAddr>)
where
    Adapter: Platform,
{
    let is_cold = match &reply {
        Reply::Granted(target, _) => shared.cold.borrow().is_within_budget(target, &id),
        Reply::Queued | Reply::Busy(_) | Reply::Refused(_) | Reply::NotDispatcher => false,
    };
    if *id.sender == *shared.settings.name {
        on_message(shared, Message::Reply(id, reply, is_cold), None);
        return;
    }
    let registered_address = || {
        let registered = shared.registered.borrow();
        let peer = registered.get(&*id.sender)?;
        Some(SocketAddr::new(peer.ip, shared.settings.peer_port))
    };
    if let Some(to) = to.or_else(registered_address) {
        shared
            .dispatch
            .send_to(&Message::Reply(id, reply, is_cold), to);
    }
}

/// Records the loads of targets for their prefill rates; `heard` lists those that have sent a first
/// token.
pub(super) fn observe<Adapter>(
    shared: &Shared<Adapter>,
    loads: &[(Target, Load)],
    heard: &[Target],
) {
    let (tracker, peers) = (shared.tracker.borrow(), shared.peers.borrow());
    let mut dispatcher = shared.dispatch.dispatcher.borrow_mut();
    let time = now();
    for (target, _) in loads {
        let own = tracker.load(target).prefill_tokens;
        let reported = peers.reported_load(target).prefill_tokens;
        let unread = own.saturating_add(reported);
        dispatcher.on_load(target, unread, heard.contains(target), time);
    }
}

fn on_update<Adapter>(shared: &Rc<Shared<Adapter>>, update: &Update, time: Time) {
    let dispatch = &shared.dispatch;
    {
        let mut dispatcher = dispatch.dispatcher.borrow_mut();
        for sequence in &update.acknowledged {
            dispatcher.on_acknowledged(&Id {
                sender: update.from.as_str().into(),
                incarnation: update.incarnation,
                sequence: *sequence,
            });
        }
    }
    let idle: Vec<Target> = {
        let (tracker, peers) = (shared.tracker.borrow(), shared.peers.borrow());
        let loads = update.loads.iter();
        let idle = loads.filter(|(target, _)| {
            tracker.load(target).running == 0 && peers.reported_load(target).running == 0
        });
        idle.map(|(target, _)| target.clone()).collect()
    };
    // Other changes since the last report, such as the end of an entry, are not first tokens.
    observe(shared, &update.loads, &[]);
    if shared.peers.borrow_mut().on_update(update, time) {
        let mut tracker = shared.tracker.borrow_mut();
        idle.iter().for_each(|target| tracker.on_busy(target, time));
        drop(tracker);
        observe(shared, &update.loads, &update.heard);
    }
    let mut tracker = shared.tracker.borrow_mut();
    for target in &update.heard {
        tracker.on_heard_by_peer(target, time);
        tracker.on_success(target);
    }
    for target in &update.failed {
        tracker.on_failure(target, time);
    }
    for target in &update.refused {
        tracker.on_refusal(target, time);
    }
    for target in &update.updating {
        tracker.on_updating(target, time);
    }
    drop(tracker);
    dispatch.capacity_freed.notify_one();
}

/// Places queued requests in the cells whose dispatcher is this entry.
pub(crate) async fn poll<Adapter>(shared: Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    let dispatch = &shared.dispatch;
    loop {
        let interval = match dispatch.dispatcher.borrow().is_idle() {
            true => IDLE_INTERVAL,
            false => POLL_INTERVAL,
        };
        // The timeout ends the wait if there is no notification.
        let _ = tokio::time::timeout(interval, dispatch.capacity_freed.notified()).await;
        let time = now();
        if shared.stopping.get().is_some() {
            let ids = dispatch.dispatcher.borrow_mut().close(time);
            for id in ids {
                send_reply(&shared, id, Reply::NotDispatcher, None);
            }
            continue;
        }
        let replies = {
            let mut dispatcher = dispatch.dispatcher.borrow_mut();
            shared.cold.borrow_mut().begin_placement();
            dispatcher.poll(
                |request| choose::offers(&shared, request),
                shared.random(),
                time,
            )
        };
        for (request, reply) in replies {
            if let Reply::Granted(target, _) = &reply {
                cold::on_granted(&shared, &request.id, target);
            }
            on_reply(&shared, &request, &reply);
            send_reply(&shared, request.id, reply, None);
        }
        let dispatcher = dispatch.dispatcher.borrow();
        let queued = i64::try_from(dispatcher.queued()).unwrap_or(i64::MAX);
        shared.metrics.queued.set(queued);
        let passed = &shared.metrics.passed;
        passed.inc_by(dispatcher.passed().saturating_sub(passed.get()));
        shared.metrics.memory_reserve.set(dispatcher.reserve(time));
    }
}
