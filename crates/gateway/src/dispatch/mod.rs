//! Requests placements from the dispatchers of cells, serves such requests as a dispatcher, and
//! reports loads and the outcome of grants to dispatchers.

mod acquire;
mod dispatcher;
mod report;
mod request;

use std::cell::{Cell as Value, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::backoff::Backoffs;
use fleet::cell::{Cell, Map};
use fleet::dispatcher::{Dispatcher, Id, Reply};
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};
use types::{Build, Target, Time};

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

/// The state for requesting placements and for being a dispatcher.
#[derive(Debug)]
pub(crate) struct Dispatch {
    pub(crate) dispatcher: RefCell<Dispatcher>,
    /// Notified when the dispatcher may be able to place a queued request.
    pub(crate) capacity_freed: Notify,
    /// Random number drawn at process start.
    pub(crate) incarnation: u64,
    /// When the process started.
    started: Time,
    last_sequence: Value<u64>,
    /// Set once the shared secret of the entries is loaded.
    transport: RefCell<Option<Rc<Transport>>>,
    /// The channels for replies to pending placement requests, by sequence number.
    pending: RefCell<HashMap<u64, mpsc::UnboundedSender<Answer>>>,
    /// The channels for replies to questions for the builds of streams, by number.
    pub(crate) origins: RefCell<HashMap<u64, mpsc::UnboundedSender<Build>>>,
    /// The map of cells, with the generation of the roster that it was built from.
    map: RefCell<(u64, Rc<Map>)>,
    /// The entries in the order in which they become the dispatcher of a cell.
    rankings: RefCell<HashMap<Cell, Rc<Vec<String>>>>,
    /// The back-offs of unresponsive dispatchers, by name.
    backoffs: RefCell<Backoffs>,
    unreported: RefCell<Unreported>,
    /// Notified when there are unreported changes.
    updates_ready: Notify,
}

/// The UDP socket and the secret for messages to other entries.
#[derive(Debug)]
pub(crate) struct Transport {
    pub(crate) socket: Rc<UdpSocket>,
    pub(crate) secret: Value<[u8; 32]>,
}

/// Changes that have not been reported to dispatchers yet.
#[derive(Debug, Default)]
struct Unreported {
    loads: BTreeSet<Target>,
    heard: BTreeSet<Target>,
    failed: BTreeSet<Target>,
    refused: BTreeSet<Target>,
    updating: BTreeSet<Target>,
    grants: BTreeMap<String, Vec<u64>>,
}

/// A reply, and whether it grants a cold target within its budget.
type Answer = (Reply, bool);

/// How an attempt failed, as reported to dispatchers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The target failed.
    Failed,
    /// The target had no capacity.
    Refused,
    /// The target refused because it is updating its weights.
    Updating,
}

/// How long after its start an entry has received the loads of all others.
const WARM_UP: Duration = Duration::from_millis(1500);
/// How long after its start an entry has received messages of some others, if there are any.
const PEER_DISCOVERY: Duration = Duration::from_millis(300);
/// How long after its own start an entry assumes that dispatchers are alive from which it has
/// received nothing.
const STARTUP_GRACE: Duration = Duration::from_secs(3);
/// Number of dispatchers of a cell that are asked for a placement and receive load reports: the
/// second one takes over when the first one is gone.
const CANDIDATES: usize = 2;
/// The share of cells with queued requests above which the system counts as overloaded as a whole,
/// not only in a few cells.
const OVERLOADED_SHARE: f64 = 0.3;

impl Dispatch {
    pub(crate) fn new(uneven_targets: bool) -> Self {
        let mut dispatcher = Dispatcher::default();
        dispatcher.set_uneven_targets(uneven_targets);
        Self {
            dispatcher: RefCell::new(dispatcher),
            capacity_freed: Notify::new(),
            incarnation: rand::rng().random(),
            started: now(),
            last_sequence: Value::new(0),
            transport: RefCell::default(),
            pending: RefCell::default(),
            origins: RefCell::default(),
            map: RefCell::default(),
            rankings: RefCell::default(),
            backoffs: RefCell::default(),
            unreported: RefCell::default(),
            updates_ready: Notify::new(),
        }
    }

    /// Returns the next sequence number of this incarnation, which state messages, updates and
    /// requests share.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.last_sequence.set(self.last_sequence.get() + 1);
        self.last_sequence.get()
    }

    /// Returns the last sequence number that was used.
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence.get()
    }

    /// Sets the transport to the other entries.
    pub(crate) fn set_transport(&self, transport: &Rc<Transport>) {
        *self.transport.borrow_mut() = Some(Rc::clone(transport));
    }

    /// Clears the cached rankings of dispatchers after the set of entries has changed.
    pub(crate) fn on_entries_changed(&self) {
        self.rankings.borrow_mut().clear();
    }

    /// Records that the load of a target has changed.
    pub(crate) fn on_load(&self, target: &Target) {
        self.unreported.borrow_mut().loads.insert(target.clone());
        self.updates_ready.notify_one();
        self.capacity_freed.notify_one();
    }

    /// Records that a target has sent the first event of a response.
    pub(crate) fn on_first_event(&self, target: &Target) {
        self.unreported.borrow_mut().heard.insert(target.clone());
        self.on_load(target);
    }

    /// Records a failed attempt.
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

    /// Acknowledges a grant, which now counts in this entry's load or is not used.
    pub(crate) fn acknowledge_grant<Adapter>(&self, shared: &Shared<Adapter>, grant: &Grant) {
        if grant.dispatcher == shared.settings.name {
            let id = request_id(shared, grant.sequence);
            self.dispatcher.borrow_mut().on_acknowledged(&id);
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

    /// Returns the dispatchers to ask for placements in a cell, the preferred one first.
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
            !backoffs.contains(name, time) && (peers.is_alive(name) || !past_startup)
        });
        alive.take(CANDIDATES).cloned().collect()
    }

    /// Whether this entry may act as a dispatcher. If all entries have just started, there are no
    /// loads that it could have missed.
    fn accepts_requests<Adapter>(&self, shared: &Shared<Adapter>, time: Time) -> bool {
        let uptime = time.since(self.started);
        let no_warm_peer = uptime >= PEER_DISCOVERY && !shared.peers.borrow().has_warm();
        (self.is_warm(shared) || no_warm_peer) && shared.stopping.get().is_none()
    }

    /// Whether this entry has run long enough to know the loads of the others.
    pub(crate) fn is_warm<Adapter>(&self, shared: &Shared<Adapter>) -> bool {
        shared.settings.first_start || self.uptime() >= WARM_UP
    }

    /// Returns the time since the process started.
    pub(crate) fn uptime(&self) -> Duration {
        now().since(self.started)
    }

    /// Returns the secret that the entries share; zeros before it is loaded.
    pub(crate) fn secret(&self) -> [u8; 32] {
        let transport = self.transport.borrow();
        transport
            .as_ref()
            .map_or([0; 32], |transport| transport.secret.get())
    }

    /// Sends a message, or drops it before the shared secret is loaded.
    pub(crate) fn send_to(&self, message: &Message, to: SocketAddr) {
        let transport = self.transport.borrow().clone();
        if let Some(transport) = transport {
            transport.send(message, to);
        }
    }

    /// Records that a dispatcher did not reply to a request that was sent at `sent`.
    fn on_silence(&self, name: &str, sent: Time) {
        let backoff = self.backoffs.borrow_mut().on_silence(name, sent, now());
        if let Some(backoff) = backoff {
            Event::new("dispatcher_mute")
                .with("dispatcher", name)
                .with("times", backoff.failures)
                .with("for_ms", millis(backoff.delay))
                .warn();
        }
    }

    /// Whether requests to engines are queued in many cells.
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

    /// Returns the map of cells, rebuilt when the roster has changed.
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
    pub(crate) fn send(&self, message: &Message, to: SocketAddr) {
        match packet::seal(&self.secret.get(), message) {
            // A datagram that cannot be sent counts as lost; it will be sent again.
            Ok(datagram) => {
                if let Err(error) = self.socket.try_send_to(&datagram, to) {
                    log::debug!("cannot send a message to {to}: {error}");
                }
            }
            Err(problem) => log::error!("cannot encode a message: {problem}"),
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

/// Sends a message to another entry, or handles it directly if it is addressed to this one.
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
