//! Asks the dispatcher of a cell for a place, gives places as one, and tells dispatchers what becomes
//! of them.

mod acquire;
mod dispatcher;
mod report;
mod request;

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

pub(crate) use acquire::next;
pub(crate) use dispatcher::{on_message, poll};
pub(crate) use report::report_loads;

use crate::adapter::Platform;
use crate::attempt::Grant;
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
    pub(crate) capacity_freed: Notify,
    /// Drawn at the start of the process.
    pub(crate) incarnation: u64,
    /// When the process started.
    started: Time,
    last_sequence: Value<u64>,
    /// Set once the secret of the entries is known.
    transport: RefCell<Option<Rc<Transport>>>,
    pending: RefCell<HashMap<u64, mpsc::UnboundedSender<Reply>>>,
    map: RefCell<(u64, Rc<Map>)>,
    rankings: RefCell<HashMap<Cell, Rc<Vec<String>>>>,
    backoffs: RefCell<HashMap<String, Backoff>>,
    unreported: RefCell<Unreported>,
    /// Woken when there is something to tell.
    updates_ready: Notify,
}

/// The way to the other entries.
#[derive(Debug)]
pub(crate) struct Transport {
    pub(crate) socket: Rc<UdpSocket>,
    pub(crate) secret: [u8; 32],
}

/// A dispatcher that did not answer.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Time,
    failures: u32,
}

/// What dispatchers have not been told yet.
#[derive(Debug, Default)]
struct Unreported {
    loads: BTreeSet<Target>,
    heard: BTreeSet<Target>,
    failed: BTreeSet<Target>,
    refused: BTreeSet<Target>,
    updating: BTreeSet<Target>,
    grants: BTreeMap<String, Vec<u64>>,
}

/// How an attempt ended, for dispatchers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The target failed.
    Failed,
    /// It had no room.
    Refused,
    /// It refused as it takes new weights.
    Updating,
}

/// How long a dispatcher that did not answer is not asked; each further time doubles it.
const BACK_OFF: Duration = Duration::from_millis(1000);
/// The longest time for which it is not asked.
const MAX_BACK_OFF: Duration = Duration::from_secs(4);
/// How long after its start an entry has heard of the loads of all others.
const WARM_UP: Duration = Duration::from_millis(1500);
/// How long after its start it has heard of some others, if there are any.
const PEER_DISCOVERY: Duration = Duration::from_millis(300);
/// How long an entry takes silent dispatchers for alive after its own start.
const STARTUP_GRACE: Duration = Duration::from_secs(3);
/// Dispatchers of one cell that are asked for one request, and that are told of loads: the second
/// one takes over when the first is gone.
const CANDIDATES: usize = 2;
/// The share of cells with waiting requests beyond which the targets are strained: they are in the
/// overload of all, and not in one of a few cells.
const OVERLOADED_SHARE: f64 = 0.3;

impl Dispatch {
    pub(crate) fn new() -> Self {
        Self {
            dispatcher: RefCell::default(),
            capacity_freed: Notify::new(),
            incarnation: rand::rng().random(),
            started: now(),
            last_sequence: Value::new(0),
            transport: RefCell::default(),
            pending: RefCell::default(),
            map: RefCell::default(),
            rankings: RefCell::default(),
            backoffs: RefCell::default(),
            unreported: RefCell::default(),
            updates_ready: Notify::new(),
        }
    }

    /// Returns the next number of this start, for words, updates and requests.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.last_sequence.set(self.last_sequence.get() + 1);
        self.last_sequence.get()
    }

    /// Takes over the way to the others.
    pub(crate) fn set_transport(&self, transport: &Rc<Transport>) {
        *self.transport.borrow_mut() = Some(Rc::clone(transport));
    }

    /// Forgets the order of dispatchers, as other entries are known.
    pub(crate) fn on_entries_changed(&self) {
        self.rankings.borrow_mut().clear();
    }

    /// Records that the load of a target has changed.
    pub(crate) fn on_load(&self, target: &Target) {
        self.unreported.borrow_mut().loads.insert(target.clone());
        self.updates_ready.notify_one();
        self.capacity_freed.notify_one();
    }

    /// Records that a target has sent something.
    pub(crate) fn on_first_event(&self, target: &Target) {
        self.unreported.borrow_mut().heard.insert(target.clone());
        self.on_load(target);
    }

    /// Records how an attempt ended badly.
    pub(crate) fn on_attempt_failed(&self, target: &Target, failure: Failure) {
        let mut unreported = self.unreported.borrow_mut();
        let targets = match failure {
            Failure::Failed => &mut unreported.failed,
            Failure::Refused => &mut unreported.refused,
            Failure::Updating => &mut unreported.updating,
        };
        targets.insert(target.clone());
        drop(unreported);
        self.on_load(target);
    }

    /// Records that a place is part of this entry's load now, or is not used.
    pub(crate) fn on_grant_settled<Adapter>(&self, shared: &Shared<Adapter>, grant: &Grant) {
        if grant.dispatcher == shared.settings.name {
            let name = request_id(shared, grant.sequence);
            self.dispatcher.borrow_mut().on_acknowledged(&name);
            return;
        }
        let mut unreported = self.unreported.borrow_mut();
        let grants = unreported
            .grants
            .entry(grant.dispatcher.clone())
            .or_default();
        grants.push(grant.sequence);
        drop(unreported);
        self.updates_ready.notify_one();
    }

    fn ranking<Adapter>(&self, shared: &Shared<Adapter>, cell: &Cell) -> Rc<Vec<String>> {
        let mut rankings = self.rankings.borrow_mut();
        if let Some(ranking) = rankings.get(cell) {
            return Rc::clone(ranking);
        }
        let ranking = Rc::new(cell.dispatchers(&shared.hosts()));
        rankings.insert(cell.clone(), Rc::clone(&ranking));
        ranking
    }

    /// Returns the entries that are to be asked for places in a cell, the first one first.
    fn dispatchers<Adapter>(&self, shared: &Shared<Adapter>, cell: &Cell) -> Vec<String> {
        let time = now();
        let peers = shared.peers.borrow();
        let backoffs = self.backoffs.borrow();
        let past_startup = time.since(self.started) >= STARTUP_GRACE;
        let ranking = self.ranking(shared, cell);
        let alive = ranking.iter().filter(|name| {
            if **name == shared.settings.name {
                return self.accepts_requests(shared, time);
            }
            let in_back_off = backoffs
                .get(*name)
                .is_some_and(|backoff| time < backoff.until);
            !in_back_off && (peers.is_alive(name) || !past_startup)
        });
        alive.take(CANDIDATES).cloned().collect()
    }

    /// Says whether this entry may be a dispatcher. Where all entries have just started, there are
    /// no loads that it could have missed.
    fn accepts_requests<Adapter>(&self, shared: &Shared<Adapter>, time: Time) -> bool {
        let uptime = time.since(self.started);
        let no_warm_peer = uptime >= PEER_DISCOVERY && !shared.peers.borrow().has_warm();
        (self.is_warm(shared) || no_warm_peer) && shared.stopping.get().is_none()
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
        let transport = self.transport.borrow().clone();
        if let Some(transport) = transport {
            transport.send(message, to);
        }
    }

    /// Records that a dispatcher does not answer, or is none any more. It is not asked for a while,
    /// also if words of it come: it may be too slow to be of use.
    fn on_unresponsive(&self, name: &str, time: Time) {
        let mut backoffs = self.backoffs.borrow_mut();
        let failures = backoffs.get(name).map_or(0, |backoff| backoff.failures);
        let pause = (BACK_OFF * 2u32.saturating_pow(failures.min(4))).min(MAX_BACK_OFF);
        let backoff = Backoff {
            until: time + pause,
            failures: failures + 1,
        };
        backoffs.insert(name.to_owned(), backoff);
        Event::new("dispatcher_mute")
            .with("dispatcher", name)
            .with("times", backoff.failures)
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
        let own_delays = self.dispatcher.borrow().queue_delays();
        let peers = shared.peers.borrow();
        let has_queue = |cell: &&Cell| {
            let queued_here = own_delays
                .iter()
                .any(|(queued_cell, _)| queued_cell == *cell);
            queued_here || !peers.queue_delay(cell).is_zero()
        };
        let queued = cells.iter().filter(has_queue).count();
        queued as f64 > cells.len() as f64 * OVERLOADED_SHARE
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

impl Transport {
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

fn request_id<Adapter>(shared: &Shared<Adapter>, sequence: u64) -> Id {
    Id {
        sender: shared.settings.name.as_str().into(),
        incarnation: shared.dispatch.incarnation,
        sequence,
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
