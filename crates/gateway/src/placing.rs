//! Asks the dispatcher of a cell for a place, and tells dispatchers what becomes of places.

use std::cell::{Cell as Value, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::cell::{Cell, Map};
use fleet::desk::{Ask, Demand, Desk, Name, Reply};
use fleet::peers::Update;
use fleet::waiting;
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};
use types::{Domain, Service, Target, Time};

use crate::attempt::{Asked, Choice, Place};
use crate::border::Platform;
use crate::choose;
use crate::clock::now;
use crate::journal::Event;
use crate::packet::{self, Message};
use crate::serve::millis;
use crate::shared::Shared;
use crate::tries::{Step, Tries};

/// What an entry needs to ask dispatchers and to be one.
#[derive(Debug)]
pub(crate) struct Placing {
    pub(crate) desk: RefCell<Desk>,
    /// Woken when the desk may have a place for a waiting request.
    pub(crate) freed: Notify,
    /// Drawn at the start of the process.
    pub(crate) start: u64,
    /// When the process started.
    started: Time,
    numbers: Value<u64>,
    /// Set once the secret of the entries is known.
    line: RefCell<Option<Rc<Line>>>,
    asks: RefCell<HashMap<u64, mpsc::UnboundedSender<Reply>>>,
    map: RefCell<(u64, Rc<Map>)>,
    orders: RefCell<HashMap<Cell, Rc<Vec<String>>>>,
    mute: RefCell<HashMap<String, Mute>>,
    untold: RefCell<Untold>,
    /// Woken when there is something to tell.
    news: Notify,
}

/// The way to the other entries.
#[derive(Debug)]
pub(crate) struct Line {
    pub(crate) socket: Rc<UdpSocket>,
    pub(crate) secret: [u8; 32],
}

/// A dispatcher that did not answer.
#[derive(Debug, Clone, Copy)]
struct Mute {
    until: Time,
    times: u32,
}

/// What dispatchers have not been told yet.
#[derive(Debug, Default)]
struct Untold {
    loads: BTreeSet<Target>,
    heard: BTreeSet<Target>,
    failed: BTreeSet<Target>,
    refused: BTreeSet<Target>,
    changing: BTreeSet<Target>,
    places: BTreeMap<String, Vec<u64>>,
}

/// What came of asking one dispatcher.
enum Answered {
    /// It gave a place, or said that it has none.
    Reply(String, u64, Reply),
    /// No dispatcher of the cell answers.
    Nobody,
}

/// What came of asking for a place.
enum Placed {
    /// A target has one.
    Here(Box<Choice>),
    /// No target will have one in time; the caller may come back after this time.
    Refused(Duration),
    /// Nobody answers; the entry decides by itself.
    Alone,
}

/// How an attempt ended, for dispatchers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    /// The target failed.
    Failed,
    /// It had no room.
    Refused,
    /// It refused as it takes new weights.
    Changing,
}

/// How long an answer may take before the request is sent once more: the way to another failure
/// domain and back takes a few milliseconds, and a slow host some more.
const RESEND: Duration = Duration::from_millis(15);
/// How long it may take in all.
const ANSWER: Duration = Duration::from_millis(40);
/// How often a waiting request is renewed.
const RENEW: Duration = Duration::from_millis(200);
/// How long a dispatcher that did not answer is not asked; each further time doubles it.
const MUTE: Duration = Duration::from_millis(1000);
/// The longest time for which it is not asked.
const MOST_MUTE: Duration = Duration::from_secs(4);
/// How long after its start an entry has heard of the loads of all others.
const WARM_UP: Duration = Duration::from_millis(1500);
/// How long after its start it has heard of some others, if there are any.
const HEAR: Duration = Duration::from_millis(300);
/// How long an entry is not asked that says it is no dispatcher: it starts or stops.
const ELSEWHERE: Duration = Duration::from_millis(250);
/// How long an entry takes silent dispatchers for alive after its own start.
const ACQUAINT: Duration = Duration::from_secs(3);
/// Dispatchers of one cell that are asked for one request, and that are told of loads: the second
/// one takes over when the first is gone.
const DEPUTIES: usize = 2;
/// How long loads are gathered before they are told.
const GATHER: Duration = Duration::from_millis(2);
/// How often a desk with waiting requests looks at its targets; they become free as time passes.
const POLL: Duration = Duration::from_millis(5);
/// The same for one without.
const IDLE: Duration = Duration::from_millis(500);
/// Other cells that are tried for a request before it waits; each takes a few milliseconds.
const OTHERS: usize = 3;
/// The share of cells with waiting requests beyond which the targets are strained: they are in the
/// overload of all, and not in one of a few cells.
const STRAINED: f64 = 0.3;
/// Places that were not accepted, for one request.
const MOST_DECLINED: usize = 3;
/// The part of the longest gap in a stream for which a request that was sent before may wait.
const AGAIN: f64 = 0.4;

impl Placing {
    pub(crate) fn new() -> Self {
        Self {
            desk: RefCell::default(),
            freed: Notify::new(),
            start: rand::rng().random(),
            started: now(),
            numbers: Value::new(0),
            line: RefCell::default(),
            asks: RefCell::default(),
            map: RefCell::default(),
            orders: RefCell::default(),
            mute: RefCell::default(),
            untold: RefCell::default(),
            news: Notify::new(),
        }
    }

    /// Returns the next number of this start, for words, updates and requests.
    pub(crate) fn number(&self) -> u64 {
        self.numbers.set(self.numbers.get() + 1);
        self.numbers.get()
    }

    /// Takes over the way to the others.
    pub(crate) fn connect(&self, line: &Rc<Line>) {
        *self.line.borrow_mut() = Some(Rc::clone(line));
    }

    /// Forgets the order of dispatchers, as other entries are known.
    pub(crate) fn on_hosts(&self) {
        self.orders.borrow_mut().clear();
    }

    /// Records that the load of a target has changed.
    pub(crate) fn on_load(&self, target: &Target) {
        self.untold.borrow_mut().loads.insert(target.clone());
        self.news.notify_one();
        self.freed.notify_one();
    }

    /// Records that a target has sent something.
    pub(crate) fn on_first(&self, target: &Target) {
        self.untold.borrow_mut().heard.insert(target.clone());
        self.on_load(target);
    }

    /// Records how an attempt ended badly.
    pub(crate) fn on_end(&self, target: &Target, ending: Ending) {
        let mut untold = self.untold.borrow_mut();
        let list = match ending {
            Ending::Failed => &mut untold.failed,
            Ending::Refused => &mut untold.refused,
            Ending::Changing => &mut untold.changing,
        };
        list.insert(target.clone());
        drop(untold);
        self.on_load(target);
    }

    /// Records that a place is part of this entry's load now, or is not used.
    pub(crate) fn on_settled<Border>(&self, shared: &Shared<Border>, place: &Place) {
        if place.dispatcher == shared.settings.name {
            let name = own_name(shared, place.number);
            self.desk.borrow_mut().on_told(&name);
            return;
        }
        let mut untold = self.untold.borrow_mut();
        let places = untold.places.entry(place.dispatcher.clone()).or_default();
        places.push(place.number);
        drop(untold);
        self.news.notify_one();
    }

    fn order<Border>(&self, shared: &Shared<Border>, cell: &Cell) -> Rc<Vec<String>> {
        let mut orders = self.orders.borrow_mut();
        if let Some(order) = orders.get(cell) {
            return Rc::clone(order);
        }
        let order = Rc::new(cell.order(&shared.hosts()));
        orders.insert(cell.clone(), Rc::clone(&order));
        order
    }

    /// Returns the entries that are to be asked for places in a cell, the first one first.
    fn dispatchers<Border>(&self, shared: &Shared<Border>, cell: &Cell) -> Vec<String> {
        let time = now();
        let peers = shared.peers.borrow();
        let mute = self.mute.borrow();
        let acquainted = time.since(self.started) >= ACQUAINT;
        let order = self.order(shared, cell);
        let alive = order.iter().filter(|name| {
            if **name == shared.settings.name {
                return self.takes_asks(shared, time);
            }
            let silenced = mute.get(*name).is_some_and(|mute| time < mute.until);
            !silenced && (peers.hears(name) || !acquainted)
        });
        alive.take(DEPUTIES).cloned().collect()
    }

    /// Says whether this entry may be a dispatcher. Where all entries have just started, there are
    /// no loads that it could have missed.
    fn takes_asks<Border>(&self, shared: &Shared<Border>, time: Time) -> bool {
        let age = time.since(self.started);
        let alone = age >= HEAR && !shared.peers.borrow().has_warm();
        (self.is_warm(shared) || alone) && shared.stopping.get().is_none()
    }

    /// Says whether this entry has run for long enough to know what the others have under way.
    pub(crate) fn is_warm<Border>(&self, shared: &Shared<Border>) -> bool {
        shared.settings.first_start || now().since(self.started) >= WARM_UP
    }

    /// Sends a message to an address.
    pub(crate) fn send_to(&self, message: &Message, to: SocketAddr) {
        let line = self.line.borrow().clone();
        if let Some(line) = line {
            line.send(message, to);
        }
    }

    /// Records that a dispatcher does not answer, or is none any more. It is not asked for a while,
    /// also if words of it come: it may be too slow to be of use.
    fn on_mute(&self, name: &str, time: Time) {
        let mut mutes = self.mute.borrow_mut();
        let times = mutes.get(name).map_or(0, |mute| mute.times);
        let pause = (MUTE * 2u32.saturating_pow(times.min(4))).min(MOST_MUTE);
        let mute = Mute {
            until: time + pause,
            times: times + 1,
        };
        mutes.insert(name.to_owned(), mute);
        Event::new("dispatcher_mute")
            .with("dispatcher", name)
            .with("times", mute.times)
            .with("for_ms", millis(pause))
            .warn();
    }

    /// Says whether requests wait for engines in many cells.
    pub(crate) fn is_strained<Border>(&self, shared: &Shared<Border>) -> bool {
        let catalog = shared.catalog();
        let pools = catalog.iter().flat_map(|catalog| catalog.pools());
        let engines = pools.filter(|pool| pool.engine.is_some());
        let map = self.map(shared);
        let cells: Vec<Cell> = engines.flat_map(|pool| map.cells(&pool.name)).collect();
        let own = self.desk.borrow().delays();
        let peers = shared.peers.borrow();
        let waits = |cell: &&Cell| {
            let here = own.iter().any(|(named, _)| named == *cell);
            here || !peers.delay(cell).is_zero()
        };
        let waiting = cells.iter().filter(waits).count();
        waiting as f64 > cells.len() as f64 * STRAINED
    }

    /// Returns the cells of all targets.
    fn map<Border>(&self, shared: &Shared<Border>) -> Rc<Map> {
        let roster = shared.roster.borrow();
        let (generation, map) = &mut *self.map.borrow_mut();
        if *generation != roster.generation() {
            *generation = roster.generation();
            *map = Rc::new(Map::new(&roster));
        }
        Rc::clone(map)
    }
}

impl Line {
    fn send(&self, message: &Message, to: SocketAddr) {
        match packet::seal(&self.secret, message) {
            // A datagram that is not sent is like one that is lost; it is sent once more.
            Ok(datagram) => {
                if let Err(error) = self.socket.try_send_to(&datagram, to) {
                    log::debug!("nothing sent to {to}: {error}");
                }
            }
            Err(problem) => log::error!("a message cannot be sent: {problem}"),
        }
    }
}

fn own_name<Border>(shared: &Shared<Border>, number: u64) -> Name {
    Name {
        asker: shared.settings.name.as_str().into(),
        start: shared.placing.start,
        number,
    }
}

/// Returns what a request needs next. Requests to engines get their places from dispatchers.
pub(crate) async fn next<Border>(
    shared: &Rc<Shared<Border>>,
    asked: &Asked,
    tries: &mut Tries<Border>,
    seen: Option<u64>,
) -> Step
where
    Border: Platform,
{
    let catalog = shared.catalog();
    let pool = catalog.and_then(|catalog| catalog.pool(tries.service()).cloned());
    let placed = match pool.is_some_and(|pool| pool.engine.is_some()) {
        true => {
            if let Some(step) = tries.over(asked) {
                return step;
            }
            place(shared, asked, tries, seen).await
        }
        false => Placed::Alone,
    };
    match placed {
        Placed::Here(choice) => {
            if !tries.may_send(shared) {
                release(shared, choice.place.as_ref());
                return tries.unable();
            }
            shared.ramp.borrow_mut().on_sent(&choice.member.id, now());
            Step::Send(choice)
        }
        Placed::Refused(again) => tries.refused(again),
        Placed::Alone => tries.step(shared, asked, seen),
    }
}

/// Asks for a place: first in the cell where the prompt's parts are kept, then in some others, and
/// waits in the one with the shortest queue.
async fn place<Border>(
    shared: &Rc<Shared<Border>>,
    asked: &Asked,
    tries: &Tries<Border>,
    seen: Option<u64>,
) -> Placed
where
    Border: Platform,
{
    let mut demand = choose::demand(asked, tries.left_out());
    let Some(home) = home(shared, tries.service(), &demand) else {
        return Placed::Alone;
    };
    let mut others = others(shared, tries.service(), &home);
    let mut cell = home;
    // The cell with the shortest queue so far.
    let mut shortest: Option<(Duration, Cell)> = None;
    let mut queue = others.is_empty();
    let mut declined = 0;
    loop {
        let (dispatcher, number, reply) =
            match ask(shared, asked, tries, &cell, &demand, queue).await {
                Answered::Reply(dispatcher, number, reply) => (dispatcher, number, reply),
                Answered::Nobody => return Placed::Alone,
            };
        let given = Place { dispatcher, number };
        match reply {
            Reply::Granted(target, local) => {
                let place = (&target, &*local);
                let service = tries.service();
                let choice = choose::accept(shared, asked, service, &demand, place, seen);
                if let Some(mut choice) = choice {
                    choice.place = Some(given);
                    return Placed::Here(Box::new(choice));
                }
                release(shared, Some(&given));
                declined += 1;
                if declined >= MOST_DECLINED {
                    return Placed::Alone;
                }
                demand.left_out.push(target);
            }
            Reply::Busy(delay) => {
                let shorter = shortest.as_ref().is_none_or(|(least, _)| delay < *least);
                if shorter {
                    shortest = Some((delay, cell.clone()));
                }
                match (others.pop(), &shortest) {
                    (Some(other), _) => cell = other,
                    (None, Some((_, shortest))) => {
                        cell = shortest.clone();
                        queue = true;
                    }
                    (None, None) => queue = true,
                }
            }
            Reply::Refused(again) => return Placed::Refused(again),
            Reply::Waits | Reply::Elsewhere => return Placed::Alone,
        }
    }
}

/// Returns the cell in which requests of a session meet: that of the store host which keeps its
/// parts, or would keep them.
fn home<Border>(shared: &Shared<Border>, service: &Service, demand: &Demand) -> Option<Cell> {
    let map = shared.placing.map(shared);
    let evacuated = shared.evacuated.borrow();
    let session = demand.parts.last();
    let key = session.map_or(&[][..], |(id, _)| id.as_bytes());
    let meeting = |domain: &Domain| {
        let cell = map.meeting(service, domain, key);
        cell.filter(|_| !evacuated.contains(domain))
    };
    let kept = kept_domain(shared, &map, demand);
    let kept = kept.and_then(|domain| meeting(&domain));
    let any = || {
        let mut cells = map.cells(service).into_iter();
        cells.find(|cell| !evacuated.contains(&cell.domain))
    };
    kept.or_else(|| meeting(&shared.settings.domain))
        .or_else(any)
}

fn kept_domain<Border>(shared: &Shared<Border>, map: &Map, demand: &Demand) -> Option<Domain> {
    let model = demand.model.as_ref()?;
    let kept = shared.kept.borrow();
    // Older weights are served as well while newer ones are taken.
    let newest = map.newest(model);
    for version in [newest, newest.saturating_sub(1)] {
        let parts = choose::named_parts(demand, model, Some(version));
        if let Some(domain) = kept.domain(parts.last()?) {
            return Some(domain.clone());
        }
    }
    let parts = choose::named_parts(demand, model, Some(newest));
    kept.home_domain(parts.last()?).cloned()
}

/// Returns other cells to try, the last one first: some at random, so that entries do not all turn
/// to the same one, in the order of what is known of their queues.
fn others<Border>(shared: &Shared<Border>, service: &Service, home: &Cell) -> Vec<Cell> {
    let evacuated = shared.evacuated.borrow();
    let mut cells = shared.placing.map(shared).cells(service);
    cells.retain(|cell| cell != home && !evacuated.contains(&cell.domain));
    let mut others = Vec::new();
    while others.len() < OTHERS && !cells.is_empty() {
        let index = shared.draw() as usize % cells.len();
        others.push(cells.swap_remove(index));
    }
    let peers = shared.peers.borrow();
    others.sort_by_key(|cell| std::cmp::Reverse(peers.delay(cell)));
    others
}

/// Asks the dispatcher of a cell, or its deputy if it does not answer.
async fn ask<Border>(
    shared: &Rc<Shared<Border>>,
    asked: &Asked,
    tries: &Tries<Border>,
    cell: &Cell,
    demand: &Demand,
    queue: bool,
) -> Answered
where
    Border: Platform,
{
    for dispatcher in shared.placing.dispatchers(shared, cell) {
        let number = shared.placing.number();
        let (sender, mut replies) = mpsc::unbounded_channel();
        shared.placing.asks.borrow_mut().insert(number, sender);
        let pending = Pending {
            shared: Rc::clone(shared),
            dispatcher: dispatcher.clone(),
            number,
            open: true,
        };
        let (rank, limit) = urgency(asked, tries);
        let request = Ask {
            name: own_name(shared, number),
            cell: cell.clone(),
            rank,
            limit,
            queue,
            demand: demand.clone(),
        };
        let reply = converse(shared, &dispatcher, request, &mut replies).await;
        match reply {
            Some(Reply::Elsewhere) => {
                let mute = Mute {
                    until: now() + ELSEWHERE,
                    times: 0,
                };
                let mut mutes = shared.placing.mute.borrow_mut();
                mutes.insert(dispatcher.clone(), mute);
            }
            Some(reply) => {
                shared.placing.mute.borrow_mut().remove(&dispatcher);
                pending.close();
                return Answered::Reply(dispatcher, number, reply);
            }
            None => shared.placing.on_mute(&dispatcher, now()),
        }
    }
    Answered::Nobody
}

/// Returns the rank of a request and how long it may wait. One that was sent before goes first: its
/// caller has waited for longest, and waits until its stream seems to have stopped.
fn urgency<Border>(asked: &Asked, tries: &Tries<Border>) -> (u8, Duration) {
    let time = now();
    let left = asked.left(time);
    if tries.arrivals > 0 {
        return (0, asked.gap().min(left).mul_f64(AGAIN));
    }
    let limit = waiting::limit(asked.route.objective);
    let limit = limit.saturating_sub(time.since(asked.arrived));
    (asked.rank(), limit.min(left))
}

/// Sends a request for a place until it is answered for good; `None` if nobody answers.
async fn converse<Border>(
    shared: &Rc<Shared<Border>>,
    dispatcher: &str,
    request: Ask,
    replies: &mut mpsc::UnboundedReceiver<Reply>,
) -> Option<Reply>
where
    Border: Platform,
{
    let message = Message::Ask(request);
    let mut asked = now();
    let mut wait = RESEND;
    let mut patience = ANSWER;
    send(shared, dispatcher, &message);
    loop {
        match tokio::time::timeout(wait, replies.recv()).await {
            Ok(Some(Reply::Waits)) => {
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
struct Pending<Border>
where
    Border: Platform,
{
    shared: Rc<Shared<Border>>,
    dispatcher: String,
    number: u64,
    open: bool,
}

impl<Border> Pending<Border>
where
    Border: Platform,
{
    fn close(mut self) {
        self.open = false;
    }
}

impl<Border> Drop for Pending<Border>
where
    Border: Platform,
{
    fn drop(&mut self) {
        self.shared.placing.asks.borrow_mut().remove(&self.number);
        if self.open {
            let name = own_name(&self.shared, self.number);
            send(&self.shared, &self.dispatcher, &Message::Cancel(name));
        }
    }
}

/// Gives a place back that is not used.
fn release<Border>(shared: &Shared<Border>, place: Option<&Place>) {
    if let Some(place) = place {
        shared.placing.on_settled(shared, place);
    }
}

/// Sends a message to another entry, or acts on it if it is for this one.
fn send<Border>(shared: &Rc<Shared<Border>>, to: &str, message: &Message)
where
    Border: Platform,
{
    if to == shared.settings.name {
        on_message(shared, message.clone(), None);
        return;
    }
    let address = shared.names.borrow().get(to).map(|peer| peer.ip);
    if let Some(ip) = address {
        let to = SocketAddr::new(ip, shared.settings.peer_port);
        shared.placing.send_to(message, to);
    }
}

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
        .with("domain", &*ask.cell.domain)
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

/// Tells the dispatchers of targets how the loads of this entry change.
pub(crate) async fn tell<Border>(shared: Rc<Shared<Border>>)
where
    Border: Platform,
{
    let placing = &shared.placing;
    loop {
        placing.news.notified().await;
        tokio::time::sleep(GATHER).await;
        let untold = std::mem::take(&mut *placing.untold.borrow_mut());
        for (dispatcher, update) in updates(&shared, untold) {
            send(&shared, &dispatcher, &Message::Update(update));
        }
    }
}

/// Sorts what is to be told by the dispatchers that it concerns.
fn updates<Border>(shared: &Shared<Border>, untold: Untold) -> BTreeMap<String, Update> {
    let placing = &shared.placing;
    let map = placing.map(shared);
    let mut updates: BTreeMap<String, Update> = BTreeMap::new();
    for target in &untold.loads {
        let cell = {
            let roster = shared.roster.borrow();
            let member = roster.get(target).map(|entry| &entry.member);
            member.and_then(|member| map.of(&member.service, &member.domain, target))
        };
        let Some(cell) = cell else {
            continue;
        };
        if !shared.is_engine(&cell.service) {
            continue;
        }
        let load = shared.board.borrow().load(target);
        for dispatcher in placing.dispatchers(shared, &cell) {
            let update = updates.entry(dispatcher).or_default();
            update.loads.push((target.clone(), load));
            let mut note = |from: &BTreeSet<Target>, to: fn(&mut Update) -> &mut Vec<Target>| {
                if from.contains(target) {
                    to(update).push(target.clone());
                }
            };
            note(&untold.heard, |update| &mut update.heard);
            note(&untold.failed, |update| &mut update.failed);
            note(&untold.refused, |update| &mut update.refused);
            note(&untold.changing, |update| &mut update.changing);
        }
    }
    for (dispatcher, numbers) in untold.places {
        updates.entry(dispatcher).or_default().told = numbers;
    }
    // What this entry does is on its own board.
    updates.remove(&shared.settings.name);
    for update in updates.values_mut() {
        update.from.clone_from(&shared.settings.name);
        update.start = placing.start;
        update.number = placing.number();
    }
    updates
}
