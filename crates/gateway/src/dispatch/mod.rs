//! Asks the dispatcher of a cell for a place, gives places as one, and tells dispatchers what becomes
//! of them.

mod ask;
mod dispatcher;
mod place;
mod tell;

use std::cell::{Cell as Value, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::cell::{Cell, Map};
use fleet::dispatcher::{Dispatcher, Id, Reply};
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};
use types::{Target, Time};

pub(crate) use dispatcher::{dispatch, on_message};
pub(crate) use place::next;
pub(crate) use tell::tell;

use crate::adapter::Platform;
use crate::attempt::Place;
use crate::clock::now;
use crate::logging::Event;
use crate::packet::{self, Message};
use crate::serve::millis;
use crate::shared::Shared;

/// What an entry needs to ask dispatchers and to be one.
#[derive(Debug)]
pub(crate) struct Dispatch {
    pub(crate) dispatcher: RefCell<Dispatcher>,
    /// Woken when the dispatcher may have a place for a waiting request.
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

/// How long a dispatcher that did not answer is not asked; each further time doubles it.
const MUTE: Duration = Duration::from_millis(1000);
/// The longest time for which it is not asked.
const MOST_MUTE: Duration = Duration::from_secs(4);
/// How long after its start an entry has heard of the loads of all others.
const WARM_UP: Duration = Duration::from_millis(1500);
/// How long after its start it has heard of some others, if there are any.
const HEAR: Duration = Duration::from_millis(300);
/// How long an entry takes silent dispatchers for alive after its own start.
const ACQUAINT: Duration = Duration::from_secs(3);
/// Dispatchers of one cell that are asked for one request, and that are told of loads: the second
/// one takes over when the first is gone.
const DEPUTIES: usize = 2;
/// The share of cells with waiting requests beyond which the targets are strained: they are in the
/// overload of all, and not in one of a few cells.
const STRAINED: f64 = 0.3;

impl Dispatch {
    pub(crate) fn new() -> Self {
        Self {
            dispatcher: RefCell::default(),
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
    pub(crate) fn on_entries_changed(&self) {
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
    pub(crate) fn on_settled<Adapter>(&self, shared: &Shared<Adapter>, place: &Place) {
        if place.dispatcher == shared.settings.name {
            let name = own_name(shared, place.number);
            self.dispatcher.borrow_mut().on_acknowledged(&name);
            return;
        }
        let mut untold = self.untold.borrow_mut();
        let places = untold.places.entry(place.dispatcher.clone()).or_default();
        places.push(place.number);
        drop(untold);
        self.news.notify_one();
    }

    fn order<Adapter>(&self, shared: &Shared<Adapter>, cell: &Cell) -> Rc<Vec<String>> {
        let mut orders = self.orders.borrow_mut();
        if let Some(order) = orders.get(cell) {
            return Rc::clone(order);
        }
        let order = Rc::new(cell.dispatchers(&shared.hosts()));
        orders.insert(cell.clone(), Rc::clone(&order));
        order
    }

    /// Returns the entries that are to be asked for places in a cell, the first one first.
    fn dispatchers<Adapter>(&self, shared: &Shared<Adapter>, cell: &Cell) -> Vec<String> {
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
            !silenced && (peers.is_alive(name) || !acquainted)
        });
        alive.take(DEPUTIES).cloned().collect()
    }

    /// Says whether this entry may be a dispatcher. Where all entries have just started, there are
    /// no loads that it could have missed.
    fn takes_asks<Adapter>(&self, shared: &Shared<Adapter>, time: Time) -> bool {
        let age = time.since(self.started);
        let alone = age >= HEAR && !shared.peers.borrow().has_warm();
        (self.is_warm(shared) || alone) && shared.stopping.get().is_none()
    }

    /// Says whether this entry has run for long enough to know what the others have under way.
    pub(crate) fn is_warm<Adapter>(&self, shared: &Shared<Adapter>) -> bool {
        shared.settings.first_start || self.uptime() >= WARM_UP
    }

    /// Returns for how long the process has run.
    pub(crate) fn uptime(&self) -> Duration {
        now().since(self.started)
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
    pub(crate) fn is_overloaded<Adapter>(&self, shared: &Shared<Adapter>) -> bool {
        let catalog = shared.catalog();
        let pools = catalog.iter().flat_map(|catalog| catalog.pools());
        let engines = pools.filter(|pool| pool.engine.is_some());
        let map = self.map(shared);
        let cells: Vec<Cell> = engines.flat_map(|pool| map.cells(&pool.name)).collect();
        let own = self.dispatcher.borrow().queue_delays();
        let peers = shared.peers.borrow();
        let waits = |cell: &&Cell| {
            let here = own.iter().any(|(named, _)| named == *cell);
            here || !peers.queue_delay(cell).is_zero()
        };
        let waiting = cells.iter().filter(waits).count();
        waiting as f64 > cells.len() as f64 * STRAINED
    }

    /// Returns the cells of all targets.
    fn map<Adapter>(&self, shared: &Shared<Adapter>) -> Rc<Map> {
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

fn own_name<Adapter>(shared: &Shared<Adapter>, number: u64) -> Id {
    Id {
        sender: shared.settings.name.as_str().into(),
        incarnation: shared.dispatch.start,
        sequence: number,
    }
}

/// Sends a message to another entry, or acts on it if it is for this one.
fn send<Adapter>(shared: &Rc<Shared<Adapter>>, to: &str, message: &Message)
where
    Adapter: Platform,
{
    if to == shared.settings.name {
        on_message(shared, message.clone(), None);
        return;
    }
    let address = shared.registered.borrow().get(to).map(|peer| peer.ip);
    if let Some(ip) = address {
        let to = SocketAddr::new(ip, shared.settings.peer_port);
        shared.dispatch.send_to(message, to);
    }
}
