use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::allowance::{Ramp, Retries, Terms};
use fleet::buffers::Buffers;
use fleet::catalog::Catalog;
use fleet::cell::Host;
use fleet::kept::{Kept, Standing};
use fleet::pace::Pace;
use fleet::peers::Peers;
use fleet::placement::{Board, Load};
use fleet::proof::Proof;
use fleet::reach::Reach;
use fleet::rollout::Rollout;
use fleet::roster::Roster;
use fleet::waiting::Lobby;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use types::{Domain, Model, Service, Target, Time};

use crate::connection;
use crate::listing::Listing;
use crate::metrics::Metrics;
use crate::placing::Placing;
use crate::settings::Settings;

/// What all tasks of an entry share. One thread runs them, so cells suffice; no borrow is held
/// while a task waits.
#[derive(Debug)]
pub(crate) struct Shared<Border> {
    pub(crate) settings: Settings,
    pub(crate) border: Border,
    pub(crate) metrics: Metrics,
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    pub(crate) roster: RefCell<Roster>,
    pub(crate) evacuated: RefCell<HashSet<Domain>>,
    pub(crate) proof: Cell<Proof>,
    pub(crate) board: RefCell<Board>,
    pub(crate) retries: RefCell<Retries<Service>>,
    pub(crate) ramp: RefCell<Ramp<Target>>,
    pub(crate) rollout: RefCell<Rollout>,
    pub(crate) kept: RefCell<Kept>,
    pub(crate) pace: Cell<Pace>,
    pub(crate) lines: RefCell<connection::Lines>,
    /// What all requests hold of unfinished messages.
    pub(crate) buffers: Rc<RefCell<Buffers>>,
    /// Entries that share the allowances, this one among them.
    pub(crate) entries: Cell<usize>,
    /// Whether they were counted once.
    pub(crate) counted: Cell<bool>,
    /// Where they are, by name.
    pub(crate) names: RefCell<BTreeMap<String, Peer>>,
    pub(crate) peers: RefCell<Peers>,
    /// The time before which an entry that joined uses no allowances, as others still count
    /// without it.
    pub(crate) joined: Cell<Option<Time>>,
    /// When the process was told to stop.
    pub(crate) stopping: Cell<Option<Time>>,
    /// Counted once more for each request that was read and has no whole answer yet.
    pub(crate) unanswered: Rc<()>,
    pub(crate) lobby: RefCell<Lobby<Service>>,
    pub(crate) placing: Placing,
    pub(crate) listing: Listing,
    /// Which failure domains this entry reaches.
    pub(crate) reach: RefCell<Reach>,
    /// Woken when a target may have room.
    pub(crate) room: Notify,
    /// How far the operator's list was read.
    pub(crate) operator: Cell<Read>,
    /// Woken when weights fall behind.
    pub(crate) lag: Notify,
}

/// How far a list was read, in versions of the store's rows.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Read {
    /// Up to here.
    pub(crate) cursor: u64,
    /// The last change was up to here.
    pub(crate) learned: u64,
}

/// Where an entry is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Peer {
    /// Its address.
    pub(crate) ip: IpAddr,
    /// Its failure domain; empty where its row does not name one.
    #[serde(default)]
    pub(crate) domain: String,
    /// Its share of a processor; 0 where its row does not name one.
    #[serde(default)]
    pub(crate) cpu: f64,
}

impl<Border> Shared<Border> {
    pub(crate) fn new(settings: Settings, border: Border, metrics: Metrics) -> Self {
        let bounds = settings.bounds;
        let terms = Terms {
            ratio: bounds.retry_ratio,
            window: settings.retry_window(),
            extra: bounds.retry_extra,
        };
        let buffers = Buffers::new(settings.limits.buffer_bytes());
        Self {
            settings,
            border,
            metrics,
            catalog: RefCell::default(),
            roster: RefCell::default(),
            evacuated: RefCell::default(),
            proof: Cell::default(),
            board: RefCell::default(),
            retries: RefCell::new(Retries::new(terms)),
            ramp: RefCell::default(),
            rollout: RefCell::default(),
            kept: RefCell::default(),
            pace: Cell::default(),
            lines: RefCell::default(),
            buffers: Rc::new(RefCell::new(buffers)),
            entries: Cell::new(1),
            counted: Cell::new(false),
            names: RefCell::default(),
            peers: RefCell::default(),
            joined: Cell::new(None),
            stopping: Cell::new(None),
            unanswered: Rc::default(),
            lobby: RefCell::default(),
            placing: Placing::new(),
            listing: Listing::default(),
            reach: RefCell::default(),
            room: Notify::new(),
            operator: Cell::default(),
            lag: Notify::new(),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Says whether keyed requests may be served.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        let version = self.catalog().map_or(0, |catalog| catalog.version.0);
        let ahead = self.peers.borrow().is_ahead(version, now);
        !ahead && self.proof.get().holds(now, self.settings.revoke())
    }

    /// Says whether the allowances that entries share may be used.
    pub(crate) fn has_joined(&self, now: Time) -> bool {
        self.joined.get().is_some_and(|joined| now >= joined)
    }

    /// Says whether new connections are welcome.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        self.stopping.get().is_none() && self.catalog.borrow().is_some() && self.is_fresh(now)
    }

    /// Returns the position of this entry among those that look after something with a name. Of a
    /// store host, the first one frees parts, the first few follow its reports, and the first two of
    /// these pass them on.
    pub(crate) fn rank(&self, store: &str) -> Option<usize> {
        self.rank_among(store, |_| true)
    }

    /// Returns the position of this entry among those that look after something and are heard.
    pub(crate) fn live_rank(&self, key: &str) -> Option<usize> {
        let peers = self.peers.borrow();
        let own = &self.settings.name;
        self.rank_among(key, |name| name == own || peers.hears(name))
    }

    fn rank_among(&self, key: &str, counts: impl Fn(&str) -> bool) -> Option<usize> {
        let key = routing::Key::new(&[key.as_bytes()]);
        let names = self.names.borrow();
        let named = names.keys().filter(|name| counts(name)).map(|name| {
            let mut bytes = [0; 8];
            bytes.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
            (u64::from_le_bytes(bytes), &**name)
        });
        let ranked = routing::top(key, named, names.len());
        let own = self.settings.name.as_str();
        ranked.into_iter().position(|name| name == own)
    }

    /// Returns the entries as dispatchers, this one among them.
    pub(crate) fn hosts(&self) -> Vec<Host> {
        let names = self.names.borrow();
        let own = (&self.settings.name, self.peer());
        let others = names
            .iter()
            .filter(|(name, _)| **name != self.settings.name);
        let peers = others.map(|(name, peer)| (name, peer.clone()));
        let hosts = peers.chain([own]).map(|(name, peer)| Host {
            name: name.clone(),
            domain: peer.domain.as_str().into(),
            weight: peer.cpu,
        });
        hosts.collect()
    }

    /// Returns where this entry is.
    pub(crate) fn peer(&self) -> Peer {
        Peer {
            ip: self.settings.ip,
            domain: self.settings.domain.to_string(),
            cpu: self.settings.limits.cpu_share,
        }
    }

    /// Records when the first event of a prompt came; returns how fast targets read.
    pub(crate) fn on_pace(&self, unread: u64, took: Duration) -> Pace {
        let mut pace = self.pace.get();
        pace.on_first(unread, took);
        self.pace.set(pace);
        self.kept.borrow_mut().on_pace(pace);
        self.placing.desk.borrow_mut().on_pace(pace);
        self.metrics.pace.set(pace.rate());
        pace
    }

    /// Says whether a service is one of model engines.
    pub(crate) fn is_engine(&self, service: &Service) -> bool {
        let catalog = self.catalog();
        let pool = catalog.as_ref().and_then(|catalog| catalog.pool(service));
        pool.is_some_and(|pool| pool.engine.is_some())
    }

    /// Returns of what use the parts of a space are. Nothing is known of other models, so their spaces
    /// count as current.
    pub(crate) fn standing(&self) -> impl Fn(&str) -> Standing + use<Border> {
        let mut served: HashMap<Model, (u64, u64)> = HashMap::new();
        let rollout = self.rollout.borrow();
        for entry in self.roster.borrow().iter() {
            for (model, version) in &entry.member.weights {
                let named = rollout.named(model).map_or(0, |named| named.version);
                let (oldest, newest) = served.entry(model.clone()).or_insert((*version, named));
                *oldest = (*oldest).min(*version);
                *newest = (*newest).max(*version);
            }
        }
        move |space| {
            // The team of an isolated space follows the weights.
            let mut fields = space.splitn(3, '.');
            let (Some(model), Some(version)) = (fields.next(), fields.next()) else {
                return Standing::Current;
            };
            match (served.get(model), version.parse::<u64>()) {
                (Some((oldest, _)), Ok(version)) if version < *oldest => Standing::Unused,
                (Some((_, newest)), Ok(version)) if version < *newest => Standing::Outdated,
                _ => Standing::Current,
            }
        }
    }

    /// Takes over weights that a target was seen with; its entry in the list is older.
    pub(crate) fn on_weights(&self, target: &Target, weights: &[(Model, u64)]) {
        if self.roster.borrow_mut().on_weights(target, weights) {
            self.board.borrow_mut().on_changed(target);
            self.room.notify_waiters();
        }
    }

    /// Returns what all entries together have under way at a target.
    pub(crate) fn load(&self, target: &Target) -> Load {
        let own = self.board.borrow().load(target);
        let peers = self.entries.get().saturating_sub(1);
        self.peers.borrow().total(target, own, peers)
    }

    /// Returns a uniformly distributed number.
    pub(crate) fn draw(&self) -> u32 {
        rand::rng().random()
    }
}
