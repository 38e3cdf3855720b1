use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::buffers::Buffers;
use fleet::cache::{Index, Status};
use fleet::catalog::Catalog;
use fleet::cell::Node;
use fleet::freshness::Evidence;
use fleet::gossip::Peers;
use fleet::placement::{Load, Tracker};
use fleet::prefill::Rate;
use fleet::queue::Queues;
use fleet::quota::{Policy, Ramp, Retries};
use fleet::reachability::Reachability;
use fleet::rollout::Rollout;
use fleet::roster::Roster;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use types::{Domain, Model, Service, Target, Time};

use crate::connection;
use crate::discovery::Discovery;
use crate::dispatch::Dispatch;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// What all tasks of an entry share. One thread runs them, so cells suffice; no borrow is held
/// while a task waits.
#[derive(Debug)]
pub(crate) struct Shared<Adapter> {
    pub(crate) settings: Settings,
    pub(crate) adapter: Adapter,
    pub(crate) metrics: Metrics,
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    pub(crate) roster: RefCell<Roster>,
    pub(crate) evacuated: RefCell<HashSet<Domain>>,
    pub(crate) evidence: Cell<Evidence>,
    pub(crate) tracker: RefCell<Tracker>,
    pub(crate) retries: RefCell<Retries<Service>>,
    pub(crate) ramp: RefCell<Ramp<Target>>,
    pub(crate) rollout: RefCell<Rollout>,
    pub(crate) cache_index: RefCell<Index>,
    pub(crate) prefill_rate: Cell<Rate>,
    pub(crate) connections: RefCell<connection::Pool>,
    /// What all requests hold of unfinished messages.
    pub(crate) buffers: Rc<RefCell<Buffers>>,
    /// Entries that share the allowances, this one among them.
    pub(crate) entry_count: Cell<usize>,
    /// Whether they were counted once.
    pub(crate) is_counted: Cell<bool>,
    /// Where they are, by name.
    pub(crate) registered: RefCell<BTreeMap<String, Peer>>,
    pub(crate) peers: RefCell<Peers>,
    /// The time before which an entry that joined uses no allowances, as others still count
    /// without it.
    pub(crate) joined: Cell<Option<Time>>,
    /// When the process was told to stop.
    pub(crate) stopping: Cell<Option<Time>>,
    /// Counted once more for each request that was read and has no whole answer yet.
    pub(crate) unanswered: Rc<()>,
    pub(crate) queues: RefCell<Queues<Service>>,
    pub(crate) dispatch: Dispatch,
    pub(crate) discovery: Discovery,
    /// Which failure domains this entry reaches.
    pub(crate) reachability: RefCell<Reachability>,
    /// Woken when a target may have room.
    pub(crate) capacity_freed: Notify,
    /// How far the operator's list was read.
    pub(crate) operator_progress: Cell<Progress>,
    /// Woken when weights fall behind.
    pub(crate) weights_lag: Notify,
}

/// How far a list was read, in versions of the store's rows.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    /// Up to here.
    pub(crate) cursor: u64,
    /// The last change was up to here.
    pub(crate) last_change: u64,
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

impl<Adapter> Shared<Adapter> {
    pub(crate) fn new(settings: Settings, border: Adapter, metrics: Metrics) -> Self {
        let bounds = settings.bounds;
        let terms = Policy {
            ratio: bounds.retry_ratio,
            window: settings.retry_window(),
            extra: bounds.retry_extra,
        };
        let buffers = Buffers::new(settings.limits.buffer_bytes());
        Self {
            settings,
            adapter: border,
            metrics,
            catalog: RefCell::default(),
            roster: RefCell::default(),
            evacuated: RefCell::default(),
            evidence: Cell::default(),
            tracker: RefCell::default(),
            retries: RefCell::new(Retries::new(terms)),
            ramp: RefCell::default(),
            rollout: RefCell::default(),
            cache_index: RefCell::default(),
            prefill_rate: Cell::default(),
            connections: RefCell::default(),
            buffers: Rc::new(RefCell::new(buffers)),
            entry_count: Cell::new(1),
            is_counted: Cell::new(false),
            registered: RefCell::default(),
            peers: RefCell::default(),
            joined: Cell::new(None),
            stopping: Cell::new(None),
            unanswered: Rc::default(),
            queues: RefCell::default(),
            dispatch: Dispatch::new(),
            discovery: Discovery::default(),
            reachability: RefCell::default(),
            capacity_freed: Notify::new(),
            operator_progress: Cell::default(),
            weights_lag: Notify::new(),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Says whether keyed requests may be served.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        let version = self.catalog().map_or(0, |catalog| catalog.version.0);
        let ahead = self.peers.borrow().has_newer_config(version, now);
        !ahead
            && self
                .evidence
                .get()
                .is_fresh(now, self.settings.revocation_limit())
    }

    /// Says whether the allowances that entries share may be used.
    pub(crate) fn may_use_quota(&self, now: Time) -> bool {
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
        self.rank_among(key, |name| name == own || peers.is_alive(name))
    }

    fn rank_among(&self, key: &str, counts: impl Fn(&str) -> bool) -> Option<usize> {
        let key = routing::Key::new(&[key.as_bytes()]);
        let names = self.registered.borrow();
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
    pub(crate) fn hosts(&self) -> Vec<Node> {
        let names = self.registered.borrow();
        let own = (&self.settings.name, self.registration());
        let others = names
            .iter()
            .filter(|(name, _)| **name != self.settings.name);
        let peers = others.map(|(name, peer)| (name, peer.clone()));
        let hosts = peers.chain([own]).map(|(name, peer)| Node {
            name: name.clone(),
            domain: peer.domain.as_str().into(),
            weight: peer.cpu,
        });
        hosts.collect()
    }

    /// Returns where this entry is.
    pub(crate) fn registration(&self) -> Peer {
        Peer {
            ip: self.settings.ip,
            domain: self.settings.domain.to_string(),
            cpu: self.settings.limits.cpu_share,
        }
    }

    /// Records when the first event of a prompt came; returns how fast targets read.
    pub(crate) fn on_first_event(&self, unread: u64, took: Duration) -> Rate {
        let mut pace = self.prefill_rate.get();
        pace.observe(unread, took);
        self.prefill_rate.set(pace);
        self.cache_index.borrow_mut().on_prefill_rate(pace);
        self.dispatch.dispatcher.borrow_mut().on_prefill_rate(pace);
        self.metrics.prefill_rate.set(pace.tokens_per_ms());
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
    pub(crate) fn standing(&self) -> impl Fn(&str) -> Status + use<Adapter> {
        let mut served: HashMap<Model, (u64, u64)> = HashMap::new();
        let rollout = self.rollout.borrow();
        for entry in self.roster.borrow().iter() {
            for (model, version) in &entry.member.weights {
                let named = rollout.latest(model).map_or(0, |named| named.version);
                let (oldest, newest) = served.entry(model.clone()).or_insert((*version, named));
                *oldest = (*oldest).min(*version);
                *newest = (*newest).max(*version);
            }
        }
        move |space| {
            // The team of an isolated space follows the weights.
            let mut fields = space.splitn(3, '.');
            let (Some(model), Some(version)) = (fields.next(), fields.next()) else {
                return Status::Current;
            };
            match (served.get(model), version.parse::<u64>()) {
                (Some((oldest, _)), Ok(version)) if version < *oldest => Status::Unused,
                (Some((_, newest)), Ok(version)) if version < *newest => Status::Outdated,
                _ => Status::Current,
            }
        }
    }

    /// Takes over weights that a target was seen with; its entry in the list is older.
    pub(crate) fn on_weights(&self, target: &Target, weights: &[(Model, u64)]) {
        if self.roster.borrow_mut().on_weights(target, weights) {
            self.tracker.borrow_mut().on_updated(target);
            self.capacity_freed.notify_waiters();
        }
    }

    /// Returns what all entries together have under way at a target.
    pub(crate) fn load(&self, target: &Target) -> Load {
        let own = self.tracker.borrow().load(target);
        let peers = self.entry_count.get().saturating_sub(1);
        self.peers.borrow().total_load(target, own, peers)
    }

    /// Returns a uniformly distributed number.
    pub(crate) fn random(&self) -> u32 {
        rand::rng().random()
    }
}
