//! Gossip between entries: their loads and the cached segments that they use.
//!
//! Messages are small, are sent to a few peers at a time, and may be lost. Without any, an entry
//! assumes that the others have the same load as itself.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use types::{Model, Store, Target, Time};

use crate::cache::{Key, Lateness, Report};
use crate::cell::Cell;
use crate::placement::Load;
use crate::quarantine::{Evidence, requests};

/// The periodic gossip message of an entry: its state as far as other entries need it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct State {
    /// The sender.
    pub from: String,
    /// The incarnation of the sender: a random number that it draws at each process start.
    pub incarnation: u64,
    /// Sequence number within that incarnation.
    pub sequence: u64,
    /// The version of the configuration in use; 0 for none.
    pub config_version: u64,
    /// When the sender's newest evidence for that configuration was given, on the table store's
    /// monotonic clock in milliseconds.
    pub evidence: Option<u64>,
    /// The [`types::Revision`] of the table store at which the sender last read a change made by the
    /// operator. Its era is that of the evidence.
    pub operator_version: u64,
    /// Whether the sender has run long enough to know the loads of the other entries.
    pub warm: bool,
    /// The sender's requests in flight, by target.
    pub loads: Vec<(Target, Load)>,
    /// The time since the sender last received anything from each of these targets.
    pub last_heard: Vec<(Target, Duration)>,
    /// The lateness of its fetches from each store host since the previous message.
    pub lateness: Vec<(Store, Lateness)>,
    /// Targets that are loading new weights by order of the sender.
    pub updating: Vec<Target>,
    /// Targets that the sender has recently seen with new weights.
    pub updated: Vec<(Target, Model, u64)>,
    /// Segments that it has recently fetched.
    pub used: Vec<(Store, Key)>,
    /// Segments that it has retired and is about to evict.
    pub retired: Vec<(Store, Key)>,
    /// Segments retired by other entries that it is still fetching.
    pub pinned: Vec<(Store, Key)>,
    /// What the sender knows of store hosts, from its own calls or from other entries.
    pub stores: Vec<StoreState>,
    /// Which entry evicts segments from each store host, in the sender's view.
    pub evictors: Vec<(Store, String)>,
    /// The newest state message of the recipient that the sender has received.
    pub received: Option<Receipt>,
    /// Recent reports of these store hosts.
    pub reports: Vec<(Store, Report)>,
    /// Cells of the sender with queued requests, each with the expected wait of a new one.
    pub queue_delays: Vec<(Cell, Duration)>,
    /// Entries that the sender no longer receives messages from and that have not announced their
    /// shutdown.
    pub suspected: Vec<String>,
    /// What the sender knows of segments that crash targets.
    pub crashes: Vec<Evidence>,
    /// What the sender knows of requests that crash targets.
    pub crashing_requests: Vec<requests::Evidence>,
    /// Whether the sender is shutting down and no longer uses anything.
    pub leaving: bool,
}

/// Acknowledges a state message of another entry, and all before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Receipt {
    /// The incarnation of the entry that sent the message.
    pub incarnation: u64,
    /// Its sequence number.
    pub sequence: u64,
}

/// What an entry knows of a store host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreState {
    /// The store host.
    pub store: Store,
    /// The boot id of the host, or `None` if it does not respond.
    pub boot: Option<u64>,
    /// The time since this was last observed.
    pub age: Duration,
    /// The time since the host was first known to run under this boot.
    pub boot_age: Duration,
}

/// The immediate load report of an entry to the dispatchers of its targets.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Update {
    /// The sender.
    pub from: String,
    /// The incarnation of the sender: a random number that it draws at each process start.
    pub incarnation: u64,
    /// Sequence number, from the same counter as those of gossip messages.
    pub sequence: u64,
    /// The sender's current requests in flight at these targets.
    pub loads: Vec<(Target, Load)>,
    /// The placement requests, by sequence number, whose grants these loads include or that were
    /// not used.
    pub acknowledged: Vec<u64>,
    /// Targets that have sent something.
    pub heard: Vec<Target>,
    /// Targets that failed.
    pub failed: Vec<Target>,
    /// Targets that had no capacity.
    pub refused: Vec<Target>,
    /// Targets that refused a request because they are loading new weights.
    pub updating: Vec<Target>,
}

/// The cached segments listed in a gossip message.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Segments {
    /// Recently fetched segments.
    pub used: Vec<(Store, Key)>,
    /// Segments that are about to be evicted.
    pub retired: Vec<(Store, Key)>,
}

/// The state of the other entries.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<String, Peer>,
    /// Entries that are no longer heard from and have not announced their shutdown, with the time
    /// of their last message.
    suspected: HashMap<String, Time>,
    /// When any other entry was last heard.
    last_heard: Time,
    loads_by_target: HashMap<Target, Load>,
    used: VecDeque<(Time, Store, Key)>,
    retired: VecDeque<Retired>,
    /// Recent reports of store hosts, each with the boot id under which it was made.
    reports: VecDeque<(Time, Store, u64, Report)>,
    updated: VecDeque<(Time, Target, Model, u64)>,
    /// The newest version at which any other entry has read a change made by the operator, and when
    /// this was first reported.
    operator: (u64, Time),
    /// When another entry last had orders in progress.
    last_orders: Option<Time>,
    /// The waits that dispatchers have reported for their cells.
    queue_delays: HashMap<Cell, (Duration, Time)>,
    /// The newest configuration in use by any entry, and when it was first reported.
    config: Option<(u64, Time)>,
    /// The newest configuration that was reverted; reports of it are outdated.
    reverted: u64,
    /// Position of the next recipient in the list of peers.
    next_peer: usize,
}

#[derive(Debug)]
struct Peer {
    incarnation: u64,
    sequence: u64,
    last_heard: Time,
    warm: bool,
    suspected: HashSet<String>,
    /// When a message of this incarnation was first received.
    since: Time,
    loads: HashMap<Target, Load>,
    evictors: HashMap<Store, String>,
}

/// A retired segment that is announced.
#[derive(Debug)]
struct Retired {
    store: Store,
    key: Key,
    /// When it was evicted.
    evicted_at: Option<Time>,
}

/// Interval between gossip rounds of an entry.
pub const INTERVAL: Duration = Duration::from_millis(100);
/// Number of peers that get a message per interval. It limits the cost regardless of the number of
/// entries.
pub const FAN_OUT: usize = 5;
/// Maximum number of used segments in one message.
const MAX_USED: usize = 20;
/// Maximum number of retired segments in one message: as many as an entry evicts from a few hosts
/// while every peer gets a message.
const MAX_RETIRED: usize = 80;
/// Maximum number of suspected entries in one message, about as many as a failure domain has.
const MAX_SUSPECTED: usize = 40;
/// Maximum number of reports in one message.
const MAX_REPORTS: usize = 80;
/// How long an evicted segment is still announced. The host's report may reach other entries later.
const EVICTED_TIME: Duration = Duration::from_millis(1800);
/// How long a suspected entry may still use outdated state; network partitions and suspensions of
/// hosts last seconds.
const SUSPECT_TTL: Duration = Duration::from_secs(10);
/// How long an entry that hears no other one takes itself to be cut off. After that, the others are
/// gone.
const ISOLATION_TIME: Duration = Duration::from_secs(20);
/// How long an entry may take to learn of a configuration that another entry uses: both wait for
/// the same reply of the table store.
const CONFIG_DELAY: Duration = Duration::from_millis(1000);
/// Maximum time between the table store's replies to two entries that wait for the same change.
const OPERATOR_DELAY: Duration = Duration::from_millis(300);

impl Peers {
    /// How long a message counts beyond the time at which the next one is due.
    pub const EXPIRY_SLACK: Duration = Duration::from_millis(400);

    /// Returns the time in which each of `count` peers gets a message.
    #[must_use]
    pub fn round(count: usize) -> Duration {
        let ticks = count.div_ceil(FAN_OUT).max(1);
        INTERVAL * u32::try_from(ticks).unwrap_or(u32::MAX)
    }

    /// Returns the entries that live peers name as the one that evicts segments from a host.
    pub fn evictors(&self, store: &Store) -> impl Iterator<Item = &str> {
        let peers = self.peers.values();
        peers.filter_map(|peer| peer.evictors.get(store).map(String::as_str))
    }

    /// Handles a message. Returns whether it is newer than the state of its sender.
    pub fn on_state(&mut self, state: &State, now: Time) -> bool {
        let peer = self.peers.get(&state.from);
        let old = peer.is_some_and(|peer| {
            peer.incarnation == state.incarnation && peer.sequence >= state.sequence
        });
        if old {
            return false;
        }
        let same = peer.filter(|peer| peer.incarnation == state.incarnation);
        let since = same.map_or(now, |peer| peer.since);
        self.drop_peer(&state.from);
        if state.operator_version > self.operator.0 {
            self.operator = (state.operator_version, now);
        }
        if !state.updating.is_empty() || !state.updated.is_empty() {
            self.last_orders = Some(now);
        }
        for (cell, delay) in &state.queue_delays {
            self.queue_delays.insert(cell.clone(), (*delay, now));
        }
        if state.config_version > self.reverted
            && self
                .config
                .is_none_or(|(version, _)| version < state.config_version)
        {
            self.config = Some((state.config_version, now));
        }
        let loads: HashMap<Target, Load> = state.loads.iter().cloned().collect();
        for (target, load) in &loads {
            self.loads_by_target
                .entry(target.clone())
                .or_default()
                .add(load);
        }
        let peer = Peer {
            incarnation: state.incarnation,
            sequence: state.sequence,
            last_heard: now,
            warm: state.warm,
            suspected: state.suspected.iter().cloned().collect(),
            since,
            loads,
            evictors: state.evictors.iter().cloned().collect(),
        };
        self.peers.insert(state.from.clone(), peer);
        self.last_heard = now;
        self.suspected.remove(&state.from);
        if state.leaving {
            self.drop_peer(&state.from);
        }
        true
    }

    /// Handles a load report for some targets. Returns whether it is newer than the state of its
    /// sender.
    pub fn on_update(&mut self, update: &Update, now: Time) -> bool {
        let known = self.peers.get(&update.from);
        let same = known.filter(|known| known.incarnation == update.incarnation);
        if same.is_some_and(|known| known.sequence >= update.sequence) {
            return false;
        }
        if same.is_none() {
            self.drop_peer(&update.from);
        }
        let peer = self
            .peers
            .entry(update.from.clone())
            .or_insert_with(|| Peer {
                incarnation: update.incarnation,
                sequence: update.sequence,
                last_heard: now,
                warm: false,
                suspected: HashSet::new(),
                since: now,
                loads: HashMap::new(),
                evictors: HashMap::new(),
            });
        peer.sequence = update.sequence;
        peer.last_heard = now;
        self.last_heard = now;
        self.suspected.remove(&update.from);
        for (target, load) in &update.loads {
            let previous = match load.running {
                0 => peer.loads.remove(target),
                _ => peer.loads.insert(target.clone(), *load),
            };
            let sum = self.loads_by_target.entry(target.clone()).or_default();
            sum.subtract(&previous.unwrap_or_default());
            sum.add(load);
            if sum.running == 0 {
                self.loads_by_target.remove(target);
            }
        }
        true
    }

    /// Returns how long a request waits in a cell, as far as its dispatcher has reported it.
    #[must_use]
    pub fn queue_delay(&self, cell: &Cell) -> Duration {
        self.queue_delays
            .get(cell)
            .map_or(Duration::ZERO, |(delay, _)| *delay)
    }

    /// Returns the number of live peers.
    #[must_use]
    pub fn count(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether an entry is alive, that is, whether a message of it was received recently.
    #[must_use]
    pub fn is_alive(&self, name: &str) -> bool {
        self.peers.contains_key(name)
    }

    /// Returns whether any other entry knows the loads of all entries.
    #[must_use]
    pub fn has_warm(&self) -> bool {
        self.peers.values().any(|peer| peer.warm)
    }

    /// Returns the load at a target as reported by the other entries.
    #[must_use]
    pub fn reported_load(&self, target: &Target) -> Load {
        self.loads_by_target
            .get(target)
            .copied()
            .unwrap_or_default()
    }

    /// Returns whether another entry has used a newer configuration for longer than this one needs
    /// to learn of it.
    ///
    /// A table store that replies with stale data, or a restarted entry that reads such data, must
    /// not make revoked keys valid again.
    #[must_use]
    pub fn has_newer_config(&self, version: u64, now: Time) -> bool {
        self.newer_config(version, now).is_some()
    }

    /// Returns the configuration of which [`Self::has_newer_config`] takes notice.
    #[must_use]
    pub fn newer_config(&self, version: u64, now: Time) -> Option<u64> {
        let newer = self
            .config
            .filter(|(newest, since)| *newest > version && now.since(*since) >= CONFIG_DELAY);
        newer.map(|(newest, _)| newest)
    }

    /// Records that a configuration was reverted, so that it no longer counts as newer than the
    /// ones before it.
    pub fn on_reverted(&mut self, version: u64) {
        self.reverted = self.reverted.max(version);
        self.config = self.config.filter(|(newest, _)| *newest > version);
    }

    /// Returns whether another entry has read a change made by the operator that an entry at this
    /// version lacks, for longer than it takes to learn of it.
    #[must_use]
    pub fn has_newer_operator_data(&self, version: u64, now: Time) -> bool {
        let (newest, since) = self.operator;
        newest > version && now.since(since) >= OPERATOR_DELAY
    }

    /// Returns whether another entry has recently had orders in progress.
    #[must_use]
    pub fn has_recent_orders(&self, within: Duration, now: Time) -> bool {
        self.last_orders.is_some_and(|at| now.since(at) < within)
    }

    /// Drops state that has expired; `count` is the number of peers.
    pub fn expire(&mut self, count: usize, now: Time) {
        let limit = Self::round(count) * 2 + Self::EXPIRY_SLACK;
        let expired: Vec<String> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.last_heard) > limit)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            if let Some(peer) = self.peers.get(&name) {
                self.suspected.insert(name.clone(), peer.last_heard);
            }
            self.drop_peer(&name);
        }
        self.suspected.retain(|_, at| now.since(*at) < SUSPECT_TTL);
        let recent = Self::round(count) + INTERVAL * 2;
        self.queue_delays
            .retain(|_, (_, at)| now.since(*at) <= recent);
        while self
            .used
            .front()
            .is_some_and(|(at, ..)| now.since(*at) > recent)
        {
            self.used.pop_front();
        }
        while self
            .reports
            .front()
            .is_some_and(|(at, ..)| now.since(*at) > recent)
        {
            self.reports.pop_front();
        }
        while self
            .updated
            .front()
            .is_some_and(|(at, ..)| now.since(*at) > recent)
        {
            self.updated.pop_front();
        }
        let evicted_ttl = EVICTED_TIME.max(Self::round(count) * 3);
        self.retired.retain(|retired| {
            retired
                .evicted_at
                .is_none_or(|at| now.since(at) <= evicted_ttl)
        });
    }

    /// Estimates the load of all entries at a target, of which `own` is this entry's; `count` is
    /// the number of peers.
    #[must_use]
    pub fn total_load(&self, target: &Target, own: Load, count: usize) -> Load {
        if count == 0 {
            return own;
        }
        if self.peers.is_empty() {
            return own.scaled(count as f64 + 1.0);
        }
        let sum = self
            .loads_by_target
            .get(target)
            .copied()
            .unwrap_or_default();
        let mut total = sum.scaled(count as f64 / self.peers.len() as f64);
        total.add(&own);
        total
    }

    /// Records that this entry fetches a segment.
    pub fn on_used(&mut self, store: Store, key: Key, now: Time) {
        self.used.push_back((now, store, key));
    }

    /// Returns whether segments may be evicted: each entry that this one suspects must be suspected
    /// by all other entries as well. Such an entry is dead or stalled, and reads the reports of the
    /// store hosts before it fetches anything again. An entry that others still hear from keeps
    /// using what it knows.
    ///
    /// Load pattern: a network partition separates two failure domains while segments are about to
    /// be evicted.
    #[must_use]
    pub fn may_evict(&self) -> bool {
        self.suspected.iter().all(|(name, last)| {
            // A peer that started since then has never heard from it.
            let mut others = self.peers.values().filter(|peer| peer.since <= *last);
            others.all(|peer| peer.suspected.contains(name))
        })
    }

    /// Returns whether this entry hears none of the `count` other ones. Rather than all of them, it
    /// may be the one that is cut off; it neither evicts segments nor fetches any then. `started` is
    /// the start of this entry.
    #[must_use]
    pub fn is_isolated(&self, count: usize, started: Time, now: Time) -> bool {
        let last_heard = self.last_heard.max(started);
        count > 0 && self.peers.is_empty() && now.since(last_heard) < ISOLATION_TIME
    }

    /// Returns the suspected entries to report in a message.
    #[must_use]
    pub fn suspected(&self) -> Vec<String> {
        let mut suspected: Vec<String> = self.suspected.keys().cloned().collect();
        suspected.sort();
        suspected.truncate(MAX_SUSPECTED);
        suspected
    }

    /// Returns how many more segments may be retired, so that each message can list all of them.
    #[must_use]
    pub fn retire_capacity(&self) -> usize {
        let waiting = self.retired.iter();
        let waiting = waiting.filter(|retired| retired.evicted_at.is_none());
        MAX_RETIRED.saturating_sub(waiting.count())
    }

    /// Records that this entry has retired a segment and is about to evict it. It is announced until
    /// some time after [`Self::on_evicted`].
    pub fn on_retired(&mut self, store: Store, key: Key) {
        let known = self.retired.iter();
        let mut known = known.filter(|retired| retired.store == store && retired.key == key);
        if known.next().is_none() {
            let evicted_at = None;
            self.retired.push_back(Retired {
                store,
                key,
                evicted_at,
            });
        }
    }

    /// Records that retired segments of a host were evicted, or are given up.
    pub fn on_evicted(&mut self, store: &Store, keys: &[Key], now: Time) {
        for retired in &mut self.retired {
            if retired.store == *store && keys.contains(&retired.key) {
                retired.evicted_at.get_or_insert(now);
            }
        }
    }

    /// Records that this entry has seen a target with new weights; the target list reports it up to
    /// two seconds later.
    pub fn on_updated(&mut self, target: Target, model: Model, version: u64, now: Time) {
        self.updated.push_back((now, target, model, version));
    }

    /// Returns the targets with new weights to report in a message.
    #[must_use]
    pub fn updated(&self) -> Vec<(Target, Model, u64)> {
        let updated = self.updated.iter().cloned();
        updated
            .map(|(_, target, model, version)| (target, model, version))
            .collect()
    }

    /// Records reports of a store host, to forward them. Those of a former boot are dropped: under
    /// the new boot, the segments are gone or are just being written.
    pub fn on_reports(&mut self, store: &Store, boot: u64, reports: &[Report], now: Time) {
        self.reports
            .retain(|(_, other, reported, _)| other != store || *reported == boot);
        let reports = reports.iter().cloned();
        self.reports
            .extend(reports.map(|report| (now, store.clone(), boot, report)));
    }

    /// Returns the reports to forward in a message.
    #[must_use]
    pub fn reports(&self) -> Vec<(Store, Report)> {
        let newest = self.reports.iter().rev().take(MAX_REPORTS).rev();
        newest
            .map(|(_, store, _, report)| (store.clone(), report.clone()))
            .collect()
    }

    /// Returns the peers to send a message to now, in round-robin order.
    pub fn next_recipients<'names>(&mut self, peers: &'names [String]) -> Vec<&'names str> {
        let count = peers.len().min(FAN_OUT);
        let chosen = (0..count).map(|step| peers[(self.next_peer + step) % peers.len()].as_str());
        let chosen = chosen.collect();
        self.next_peer = self.next_peer.wrapping_add(count);
        chosen
    }

    /// Returns the segments to list in a message: recently used and retired ones.
    #[must_use]
    pub fn segments(&self) -> Segments {
        let used = self.used.iter().rev().take(MAX_USED);
        // Those that are not evicted yet are never left out; see `retire_capacity`.
        let (waiting, evicted): (Vec<&Retired>, Vec<&Retired>) = self
            .retired
            .iter()
            .rev()
            .partition(|retired| retired.evicted_at.is_none());
        let retired = waiting.into_iter().chain(evicted).take(MAX_RETIRED);
        Segments {
            used: used
                .map(|(_, store, key)| (store.clone(), key.clone()))
                .collect(),
            retired: retired
                .map(|retired| (retired.store.clone(), retired.key.clone()))
                .collect(),
        }
    }

    fn drop_peer(&mut self, name: &str) {
        let Some(peer) = self.peers.remove(name) else {
            return;
        };
        for (target, load) in &peer.loads {
            if let Some(sum) = self.loads_by_target.get_mut(target) {
                sum.subtract(load);
                if sum.running == 0 && sum.kv_tokens == 0 {
                    self.loads_by_target.remove(target);
                }
            }
        }
    }
}
