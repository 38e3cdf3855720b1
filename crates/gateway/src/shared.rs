use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use fleet::buffers::Buffers;
use fleet::builds;
use fleet::cache::{Index, Status};
use fleet::catalog::Catalog;
use fleet::cell::Node;
use fleet::cold;
use fleet::contact::Contacts;
use fleet::freshness::Evidence;
use fleet::gossip::Peers;
use fleet::namespace::Namespace;
use fleet::placement::{Load, Tracker};
use fleet::prefill::Rate;
use fleet::quarantine;
use fleet::queue::Queues;
use fleet::quota::{Policy, Ramp, Retries};
use fleet::reachability::Reachability;
use fleet::restoration::Restoration;
use fleet::rollout::Rollout;
use fleet::roster::Roster;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use types::{Domain, Model, Service, Store, Target, Time};

use crate::cache::Duty;
use crate::callers::Callers;
use crate::clock::now;
use crate::connection;
use crate::discovery::Discovery;
use crate::dispatch::Dispatch;
use crate::logging::Event;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::signal;

/// The state that all tasks of an entry share.
///
/// All tasks run on one thread, so cells suffice; no borrow is held across an await point.
#[derive(Debug)]
pub(crate) struct Shared<Adapter> {
    pub(crate) settings: Settings,
    pub(crate) adapter: Adapter,
    pub(crate) metrics: Metrics,
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    pub(crate) roster: RefCell<Roster>,
    pub(crate) evacuated: RefCell<HashSet<Domain>>,
    pub(crate) evidence: Cell<Evidence>,
    pub(crate) restoration: RefCell<Restoration>,
    /// Notified when the table store was restored from a copy.
    pub(crate) restored: Notify,
    pub(crate) tracker: RefCell<Tracker>,
    pub(crate) retries: RefCell<Retries<Service>>,
    pub(crate) ramp: RefCell<Ramp<Target>>,
    pub(crate) cold: RefCell<cold::Ledger>,
    pub(crate) rollout: RefCell<Rollout>,
    pub(crate) cache_index: RefCell<Index>,
    pub(crate) prefill_rate: Cell<Rate>,
    pub(crate) connections: RefCell<connection::Pool>,
    /// The memory budget of unfinished messages of all requests.
    pub(crate) buffers: Rc<RefCell<Buffers>>,
    /// The connections of callers and what they hold.
    pub(crate) callers: Rc<Callers>,
    /// The number of entries that share the quotas, including this one.
    pub(crate) entry_count: Cell<usize>,
    /// Whether the registered entries have been read at least once.
    pub(crate) is_counted: Cell<bool>,
    /// The registered entries by name.
    pub(crate) registered: RefCell<BTreeMap<String, Peer>>,
    /// The addresses of live entries whose registration has not been read yet, or is that of
    /// another host.
    pub(crate) unlisted: RefCell<BTreeMap<String, IpAddr>>,
    /// Whether the registered entries have been read after this one had registered. Of two entries
    /// that register at the same time, at least one then knows the other.
    pub(crate) is_registered: Cell<bool>,
    pub(crate) peers: RefCell<Peers>,
    pub(crate) contacts: RefCell<Contacts>,
    /// This entry's part in watching each store host.
    pub(crate) duties: RefCell<HashMap<Store, Rc<Duty>>>,
    /// The time from which this entry uses shared quotas. Before it, the other entries may still
    /// divide the quotas without counting this one.
    pub(crate) quota_from: Cell<Option<Time>>,
    /// When the shutdown of the process began, and the lag that it reckons with.
    pub(crate) stopping: signal::State,
    /// Notified when the shutdown of the process begins.
    pub(crate) shutdown_begun: Notify,
    /// Counts, by references, the requests whose responses are not complete yet.
    pub(crate) unanswered: Rc<()>,
    pub(crate) queues: RefCell<Queues<Service>>,
    pub(crate) dispatch: Dispatch,
    pub(crate) discovery: Discovery,
    /// Which requests and segments of prompts crash targets.
    pub(crate) quarantine: RefCell<quarantine::Register>,
    /// Notified when further requests or segments may be quarantined.
    pub(crate) quarantine_changed: Notify,
    /// The software builds of targets, and of recent streams.
    pub(crate) builds: RefCell<builds::Register>,
    /// Which failure domains are reachable from this entry.
    pub(crate) reachability: RefCell<Reachability>,
    /// Notified when a target may have free capacity.
    pub(crate) capacity_freed: Notify,
    /// How far the operator's list has been read.
    pub(crate) operator_progress: Cell<Progress>,
    /// Notified when targets serve outdated weights.
    pub(crate) weights_lag: Notify,
}

/// How long after its start, beyond two rounds of gossip, an entry presumes that all registered
/// entries are alive.
const PRESUMED_ALIVE: Duration = Duration::from_millis(500);

/// How far a list has been read, as a [`types::Revision`] of the table store.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Progress {
    /// The version up to which the list has been read.
    pub(crate) cursor: u64,
    /// The version at which the last change was received.
    pub(crate) last_change: u64,
}

/// The registration of an entry, as stored in its row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Peer {
    /// The address of the entry.
    pub(crate) ip: IpAddr,
    /// The failure domain of the entry; empty if the row has none.
    #[serde(default)]
    pub(crate) domain: String,
    /// The CPU share of the entry; 0 if the row has none.
    #[serde(default)]
    pub(crate) cpu: f64,
}

impl<Adapter> Shared<Adapter> {
    pub(crate) fn new(settings: Settings, adapter: Adapter, metrics: Metrics) -> Self {
        let bounds = settings.bounds;
        let policy = Policy {
            ratio: bounds.retry_ratio,
            window: settings.retry_window(),
            extra: bounds.retry_extra,
        };
        let buffers = Buffers::new(settings.limits.buffer_bytes());
        let callers = Callers::new(settings.limits.machine().callers(), metrics.clone());
        let discovery = Discovery::new(settings.drain_limit());
        let uneven_targets = settings.scheduling.target_rates;
        let ledger = cold::Ledger::new(&settings.name, now());
        Self {
            settings,
            adapter,
            metrics,
            catalog: RefCell::default(),
            roster: RefCell::default(),
            evacuated: RefCell::default(),
            evidence: Cell::default(),
            restoration: RefCell::default(),
            restored: Notify::new(),
            tracker: RefCell::default(),
            retries: RefCell::new(Retries::new(policy)),
            ramp: RefCell::default(),
            cold: RefCell::new(ledger),
            rollout: RefCell::default(),
            cache_index: RefCell::default(),
            prefill_rate: Cell::default(),
            connections: RefCell::default(),
            buffers: Rc::new(RefCell::new(buffers)),
            callers: Rc::new(callers),
            entry_count: Cell::new(1),
            is_counted: Cell::new(false),
            registered: RefCell::default(),
            unlisted: RefCell::default(),
            is_registered: Cell::new(false),
            peers: RefCell::default(),
            contacts: RefCell::default(),
            duties: RefCell::default(),
            quota_from: Cell::new(None),
            stopping: signal::State::default(),
            shutdown_begun: Notify::new(),
            unanswered: Rc::default(),
            queues: RefCell::default(),
            dispatch: Dispatch::new(uneven_targets),
            discovery,
            quarantine: RefCell::default(),
            quarantine_changed: Notify::new(),
            builds: RefCell::default(),
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

    /// Returns how often the table store has been restored from a copy, as far as this entry knows.
    pub(crate) fn era(&self) -> u64 {
        self.restoration.borrow().era()
    }

    /// Returns the version of the configuration in force.
    pub(crate) fn config_version(&self) -> Option<u64> {
        let catalog = self.catalog.borrow();
        catalog.as_ref().map(|catalog| catalog.version.0)
    }

    /// Returns whether requests with API keys may be served.
    pub(crate) fn is_fresh(&self, now: Time) -> bool {
        let version = self.catalog().map_or(0, |catalog| catalog.version.0);
        let is_outdated = self.peers.borrow().has_newer_config(version, now);
        !is_outdated
            && self
                .evidence
                .get()
                .is_fresh(now, self.settings.revocation_limit())
    }

    /// Returns whether this entry may use the quotas that entries share.
    pub(crate) fn may_use_quota(&self, now: Time) -> bool {
        self.quota_from
            .get()
            .is_some_and(|quota_from| now >= quota_from)
    }

    /// Returns whether this entry accepts new connections.
    pub(crate) fn is_ready(&self, now: Time) -> bool {
        self.stopping.get().is_none() && self.catalog.borrow().is_some() && self.is_fresh(now)
    }

    /// Returns the rank of this entry for a key among the live entries, by rendezvous hashing.
    pub(crate) fn live_rank(&self, key: &str) -> Option<usize> {
        let peers = self.peers.borrow();
        let ranked = self.ranked(key, usize::MAX, |name| peers.is_alive(name));
        self.position(&ranked)
    }

    /// Returns the same, but just after the start of this entry presumes that all registered entries
    /// are alive.
    pub(crate) fn presumed_rank(&self, key: &str) -> Option<usize> {
        self.position(&self.presumed_order(key, usize::MAX))
    }

    /// Returns the first `count` entries for a key among those that are presumed to be alive.
    pub(crate) fn presumed_order(&self, key: &str, count: usize) -> Vec<String> {
        let peers = self.peers.borrow();
        let round = Peers::round(self.registered.borrow().len());
        let is_starting = self.dispatch.uptime() < round * 2 + PRESUMED_ALIVE;
        self.ranked(key, count, |name| is_starting || peers.is_alive(name))
    }

    pub(crate) fn position(&self, ranked: &[String]) -> Option<usize> {
        ranked.iter().position(|name| *name == self.settings.name)
    }

    /// Returns the addresses of all other entries, live or not.
    pub(crate) fn peer_addresses(&self) -> BTreeMap<String, IpAddr> {
        let registered = self.registered.borrow();
        let registered = registered.iter().map(|(name, peer)| (name, peer.ip));
        let unlisted = self.unlisted.borrow();
        let unlisted = unlisted.iter().map(|(name, ip)| (name, *ip));
        let all = registered.chain(unlisted);
        let others = all.filter(|(name, _)| **name != self.settings.name);
        others.map(|(name, ip)| (name.clone(), ip)).collect()
    }

    /// Records the address from which another entry has sent a message.
    pub(crate) fn on_peer_address(&self, name: &str, ip: IpAddr) {
        let listed = self.registered.borrow().get(name).map(|peer| peer.ip);
        let mut unlisted = self.unlisted.borrow_mut();
        if listed == Some(ip) {
            unlisted.remove(name);
        } else if unlisted.insert(name.to_owned(), ip) != Some(ip) {
            Event::new("entry_unlisted")
                .with("entry", name)
                .with("address", ip.to_string())
                .info();
        }
    }

    /// Returns the first `count` eligible entries for a key by rendezvous hashing over the known
    /// ones; this entry is always eligible.
    fn ranked(&self, key: &str, count: usize, is_eligible: impl Fn(&str) -> bool) -> Vec<String> {
        let key = routing::Key::new(&[key.as_bytes()]);
        let registered = self.registered.borrow();
        let unlisted = self.unlisted.borrow();
        let own = &self.settings.name;
        let names: BTreeSet<&String> = registered.keys().chain(unlisted.keys()).collect();
        let count = count.min(names.len());
        let nodes = names
            .into_iter()
            .filter(|name| *name == own || is_eligible(name))
            .map(|name| {
                let mut bytes = [0; 8];
                bytes.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
                (u64::from_le_bytes(bytes), name.clone())
            });
        routing::top(key, nodes, count)
    }

    /// Returns all entries, including this one, as nodes for the assignment of dispatchers and
    /// leaders.
    pub(crate) fn hosts(&self) -> Vec<Node> {
        let registered = self.registered.borrow();
        let own = (&self.settings.name, self.registration());
        let others = registered
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

    /// Returns the registration of this entry.
    pub(crate) fn registration(&self) -> Peer {
        Peer {
            ip: self.settings.ip,
            domain: self.settings.domain.to_string(),
            cpu: self.settings.limits.cpu_share,
        }
    }

    /// Records the time to the first event of a prompt with this number of uncached tokens; returns
    /// the updated prefill rate.
    pub(crate) fn on_first_event(&self, uncached: u64, took: Duration) -> Rate {
        let mut rate = self.prefill_rate.get();
        rate.observe(uncached, took);
        self.prefill_rate.set(rate);
        self.cache_index.borrow_mut().on_prefill_rate(rate);
        self.dispatch.dispatcher.borrow_mut().on_prefill_rate(rate);
        self.metrics.prefill_rate.set(rate.tokens_per_ms());
        rate
    }

    /// Returns whether a service is served by model engines.
    pub(crate) fn is_engine(&self, service: &Service) -> bool {
        let catalog = self.catalog();
        let pool = catalog.as_ref().and_then(|catalog| catalog.pool(service));
        pool.is_some_and(|pool| pool.engine.is_some())
    }

    /// Returns a function from a cache namespace to its status: whether its segments can still be
    /// used. Namespaces of models that no target serves count as current, since nothing is known of
    /// them. Those that the configuration in force does not use count as outdated: it may change
    /// back.
    pub(crate) fn namespace_status(&self) -> impl Fn(&str) -> Status + use<Adapter> {
        let mut served: HashMap<Model, (u64, u64)> = HashMap::new();
        let rollout = self.rollout.borrow();
        for record in self.roster.borrow().iter() {
            for (model, version) in &record.member.weights {
                let latest = rollout.latest(model).map_or(0, |latest| latest.version);
                let (oldest, newest) = served.entry(model.clone()).or_insert((*version, latest));
                *oldest = (*oldest).min(*version);
                *newest = (*newest).max(*version);
            }
        }
        let catalog = self.catalog();
        move |namespace| {
            let Some(namespace) = Namespace::parse(namespace) else {
                return Status::Current;
            };
            let Namespace {
                model,
                version,
                scope,
            } = namespace;
            let is_in_scope = catalog
                .as_ref()
                .is_none_or(|catalog| catalog.uses_scope(&scope));
            match served.get(&model) {
                Some((oldest, _)) if version < *oldest => Status::Unused,
                Some((_, newest)) if version < *newest => Status::Outdated,
                _ if !is_in_scope => Status::Outdated,
                _ => Status::Current,
            }
        }
    }

    /// Applies weight versions that a target has reported directly; its row in the list is older.
    pub(crate) fn on_weights(&self, target: &Target, weights: &[(Model, u64)]) {
        if self.roster.borrow_mut().on_weights(target, weights) {
            self.tracker.borrow_mut().on_updated(target);
            self.capacity_freed.notify_waiters();
        }
    }

    /// Returns the load of all entries together at a target.
    pub(crate) fn load(&self, target: &Target) -> Load {
        let own = self.tracker.borrow().load(target);
        let peers = self.entry_count.get().saturating_sub(1);
        self.peers.borrow().total_load(target, own, peers)
    }

    /// Returns a uniformly distributed random number.
    pub(crate) fn random(&self) -> u32 {
        rand::rng().random()
    }
}
