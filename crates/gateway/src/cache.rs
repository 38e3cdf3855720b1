use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use fleet::cache::{Index, Key, Observation};
use fleet::catalog::StoreHost;
use fleet::gossip::Peers;
use tokio::task::JoinHandle;
use types::{Store, Time};

use crate::adapter::Platform;
use crate::clock::now;
use crate::logging::Event;
use crate::shared::Shared;

/// How long a store host may hold a call while nothing changes; calls shorter than 200 ms have a
/// cost.
const MAX_WAIT: Duration = Duration::from_millis(800);
/// The same for an entry that does not watch the host, and only fills gaps in the relayed reports.
const GAP_WAIT: Duration = Duration::from_millis(250);
/// The interval at which such an entry polls the host; gossip messages with reports may be lost.
const GAP_INTERVAL: Duration = Duration::from_secs(5);
/// The number of entries that relay the reports of a store host to the others.
const RELAY_COUNT: usize = 2;
/// The age of the newest evidence of a host's boot from which an entry that does not watch the host
/// polls it, because no other entry reports any.
const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(1500);
/// The interval at which such an entry polls the host.
const EVIDENCE_INTERVAL: Duration = Duration::from_secs(1);
/// The back-off after a failed call to a store host.
const BACK_OFF: Duration = Duration::from_millis(250);
/// How long the list of targets must have been watched without an outage of the table store before
/// it is complete and proves that a weight version is unused: targets whose rows expired during an
/// outage register again within about two seconds.
const LIST_CONVERGENCE_TIME: Duration = Duration::from_secs(3);
/// The delay between the snapshots that two entries request from a host after a gap.
const SNAPSHOT_DELAY: Duration = Duration::from_millis(30);
/// A host is logged as slow when less than this share of the possible fetches from it is made.
const SLOW_SHARE: f64 = 0.5;
/// The share above which the host is logged as fast again; the hysteresis keeps the log from
/// flapping.
const FAST_SHARE: f64 = 0.9;
/// The interval at which the configured store hosts are read again, and eviction is considered.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// This entry's part in watching a store host. The first live entries in the host's order watch its
/// reports, the first two of these relay them, and the first one evicts segments.
#[derive(Debug, Clone, Default)]
pub(crate) struct Duty {
    /// The position of this entry among those that watch the host.
    rank: Option<usize>,
    /// The entry that evicts segments from the host in this entry's view.
    pub(crate) evictor: Option<String>,
    /// That entry, and others that live entries name.
    evictors: BTreeSet<String>,
}

impl Duty {
    /// Whether this entry watches the host itself.
    pub(crate) fn watches(&self) -> bool {
        self.rank.is_some()
    }

    /// Whether this entry relays the reports of the host.
    pub(crate) fn relays(&self) -> bool {
        self.rank.is_some_and(|rank| rank < RELAY_COUNT)
    }

    /// Whether this entry and all live ones agree that it evicts segments from the host.
    fn evicts(&self) -> bool {
        self.rank == Some(0) && self.evictor.is_some() && self.evictors.len() == 1
    }

    /// Whether another entry names another one, which may not wait for the same entries.
    fn is_contested(&self) -> bool {
        self.rank == Some(0) && self.evictors.len() > 1
    }
}

/// Determines this entry's part in watching each store host, and whether it may fetch from it.
/// Entries that are gone have no part, so that no host is left without watchers.
pub(crate) fn assign_duties<Adapter>(shared: &Shared<Adapter>, peer_count: usize) {
    let time = now();
    let is_isolated = is_isolated(shared, peer_count);
    let hosts: Vec<(Store, u32)> = {
        let index = shared.cache_index.borrow();
        let hosts = index.hosts();
        hosts
            .map(|(host, _)| (host.name.clone(), host.max_calls))
            .collect()
    };
    let mut duties = HashMap::new();
    for (store, max_calls) in hosts {
        // Half of the calls that a host accepts are left to entries that fill gaps.
        let watchers = (max_calls / 2).max(1) as usize;
        let order = shared.presumed_order(&store, watchers);
        let rank = shared.position(&order);
        let (peers, contacts) = (shared.peers.borrow(), shared.contacts.borrow());
        let evictor = order.into_iter().next().filter(|_| !is_isolated);
        let named: BTreeSet<&str> = peers.evictors(&store).chain(evictor.as_deref()).collect();
        let evictors: BTreeSet<String> = named.into_iter().map(str::to_owned).collect();
        let since = shared.cache_index.borrow().announced_since(&store);
        let is_informed = |name: &String| {
            *name == shared.settings.name
                || since.is_some_and(|since| contacts.is_informed_by(name, since, peer_count, time))
        };
        let is_allowed =
            shared.is_registered.get() && !is_isolated && evictors.iter().all(is_informed);
        let mut index = shared.cache_index.borrow_mut();
        if index.set_informed(&store, is_allowed) {
            Event::new("store_host_fetches")
                .with("store", &*store)
                .with("allowed", is_allowed)
                .with(
                    "evictors",
                    evictors.iter().cloned().collect::<Vec<_>>().join(" "),
                )
                .info();
        }
        let duty = Duty {
            rank,
            evictor,
            evictors,
        };
        duties.insert(store, Rc::new(duty));
    }
    *shared.duties.borrow_mut() = duties;
}

fn is_isolated<Adapter>(shared: &Shared<Adapter>, peer_count: usize) -> bool {
    let started = now() - shared.dispatch.uptime();
    let peers = shared.peers.borrow();
    peers.is_isolated(peer_count, started, now())
}

/// Returns the entries whose announcements of evictions this entry needs and may soon lack.
pub(crate) fn needed_contacts<Adapter>(shared: &Shared<Adapter>, peer_count: usize) -> Vec<String> {
    let (contacts, time) = (shared.contacts.borrow(), now());
    let duties = shared.duties.borrow();
    let evictors: BTreeSet<&String> = duties.values().flat_map(|duty| &duty.evictors).collect();
    let others = evictors
        .into_iter()
        .filter(|name| **name != shared.settings.name);
    others
        .filter(|name| contacts.needs_contact(name, peer_count, time))
        .cloned()
        .collect()
}

/// Returns this entry's part in watching a store host.
pub(crate) fn duty<Adapter>(shared: &Shared<Adapter>, store: &Store) -> Rc<Duty> {
    let duties = shared.duties.borrow();
    duties.get(store).cloned().unwrap_or_default()
}

/// Watches the reports of all store hosts.
pub(crate) async fn watch_all<Adapter>(shared: Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    let mut tasks: HashMap<Store, JoinHandle<()>> = HashMap::new();
    let mut slow = HashSet::new();
    loop {
        let hosts: Vec<Store> = {
            let index = shared.cache_index.borrow();
            index.hosts().map(|(host, _)| host.name.clone()).collect()
        };
        tasks.retain(|store, task| {
            // A watch task only ends by a panic; it is then replaced by another one.
            let known = hosts.contains(store) && !task.is_finished();
            if !known {
                task.abort();
            }
            known
        });
        for store in hosts {
            let watcher = Rc::clone(&shared);
            tasks
                .entry(store.clone())
                .or_insert_with(|| tokio::task::spawn_local(watch(watcher, store)));
        }
        shared.cache_index.borrow_mut().expire(now());
        log_speed_changes(&shared, &mut slow);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Logs which store hosts have become slow or fast again, and updates the gauges.
fn log_speed_changes<Adapter>(shared: &Shared<Adapter>, slow: &mut HashSet<Store>) {
    let index = shared.cache_index.borrow();
    for (store, share, late_ms) in index.fetch_shares() {
        let gauge = shared.metrics.fetch_share.with_label_values(&[&**store]);
        gauge.set(share);
        let changed = match share {
            share if share < SLOW_SHARE => slow.insert(store.clone()),
            share if share > FAST_SHARE => slow.remove(store),
            _ => false,
        };
        if changed {
            Event::new("store_host_pace")
                .with("store", &**store)
                .with("slow", slow.contains(store))
                .with("share", share)
                .with("late_ms", late_ms.round())
                .info();
        }
    }
    slow.retain(|store| index.host(store).is_some());
}

/// Watches the reports of one store host.
async fn watch<Adapter>(shared: Rc<Shared<Adapter>>, store: Store)
where
    Adapter: Platform,
{
    let mut since = 0;
    let mut boot = None;
    let mut polled_at: Option<Time> = None;
    let mut failures: u32 = 0;
    loop {
        let host = shared.cache_index.borrow().host(&store).cloned();
        let Some(host) = host else {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        };
        let duty = duty(&shared, &store);
        let watches = duty.watches();
        let is_synced = shared.cache_index.borrow().is_synced(&store);
        let interval = match failures == 0 && lacks_evidence(&shared, &store) {
            true => EVIDENCE_INTERVAL,
            false => GAP_INTERVAL,
        };
        if !watches
            && is_synced
            && polled_at.is_some_and(|polled_at| now().since(polled_at) < interval)
        {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        let wait = if watches { MAX_WAIT } else { GAP_WAIT };
        let started = now();
        let updates = shared.adapter.updates(host.address, since, wait).await;
        let time = now();
        polled_at = Some(time);
        let updates = match updates {
            Ok(updates) => updates,
            Err(error) => {
                if watches {
                    observe(&shared, &store, None, time);
                }
                // Only entries that watch the host mark it as down.
                if failures == 0 {
                    Event::new("store_host_lost")
                        .with("store", &*store)
                        .with("follows", watches)
                        .with("why", error)
                        .warn();
                }
                failures += 1;
                tokio::time::sleep(BACK_OFF).await;
                continue;
            }
        };
        // A host that had nothing to report has replied at the end of the wait.
        let waited = time.since(started) >= wait && updates.reports.is_empty();
        let observed_at = if waited { started + wait } else { started };
        observe(&shared, &store, Some(updates.boot), observed_at);
        let restarted = boot.is_some_and(|boot| boot != updates.boot);
        if boot != Some(updates.boot) || failures > 0 {
            Event::new("store_host")
                .with("store", &*store)
                .with("domain", &*host.domain)
                .with("boot", updates.boot)
                .with("gap", updates.gap)
                .with("failures", failures)
                .info();
            boot = Some(updates.boot);
            failures = 0;
        }
        if restarted && since > 0 {
            // `since` is a sequence number of the former boot, so the reports start in the middle.
            // All reports of the new boot are read from the beginning.
            since = 0;
            continue;
        }
        since = updates.next;
        if duty.relays() {
            let mut peers = shared.peers.borrow_mut();
            peers.on_reports(&store, updates.boot, &updates.reports, time);
        }
        shared
            .cache_index
            .borrow_mut()
            .on_reports(&store, updates.boot, updates.reports, time);
        if !updates.gap || load_snapshot(&shared, &host, duty.rank, &mut since).await {
            shared.cache_index.borrow_mut().on_synced(&store, started);
        }
    }
}

/// Whether the newest evidence of a host's boot is so old that nothing will be fetched from it soon.
fn lacks_evidence<Adapter>(shared: &Shared<Adapter>, store: &Store) -> bool {
    let observation = shared.cache_index.borrow().observation(store);
    observation.is_none_or(|observation| {
        observation.boot.is_some() && now().since(observation.at) >= MAX_EVIDENCE_AGE
    })
}

/// Records what a call to a store host has shown.
fn observe<Adapter>(shared: &Shared<Adapter>, store: &Store, boot: Option<u64>, at: Time) {
    let observation = Observation {
        boot,
        at,
        since: at,
    };
    let mut index = shared.cache_index.borrow_mut();
    index.on_observed(store, observation);
}

/// Reads a snapshot of a store host after a gap in its reports, and sets `since` to the sequence
/// number from which reports continue; returns whether it succeeded.
async fn load_snapshot<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    host: &StoreHost,
    rank: Option<usize>,
    since: &mut u64,
) -> bool
where
    Adapter: Platform,
{
    // The call blocks the host's other work, so entries that start together call one after another,
    // in the order of their ranks.
    let position = u32::try_from(rank.unwrap_or(0)).unwrap_or(u32::MAX);
    tokio::time::sleep(SNAPSHOT_DELAY * position).await;
    let store = &host.name;
    let called_at = now();
    match shared.adapter.snapshot(host.address).await {
        Ok(snapshot) => {
            Event::new("store_host_listed")
                .with("store", &**store)
                .with("boot", snapshot.boot)
                .with("parts", snapshot.reports.len())
                .info();
            *since = snapshot.next;
            observe(shared, store, Some(snapshot.boot), called_at);
            let mut index = shared.cache_index.borrow_mut();
            index.on_snapshot(store, snapshot.boot, snapshot.reports, now());
            true
        }
        // Later reports are known. Segments from before the gap are prefilled and saved again.
        Err(error) => {
            Event::new("store_host_not_listed")
                .with("store", &**store)
                .with("why", error)
                .warn();
            false
        }
    }
}

/// Evicts unused segments from the store hosts that this entry is responsible for.
pub(crate) async fn evict<Adapter>(shared: Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    let started = now();
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let had_outage = shared
            .roster
            .borrow()
            .had_store_outage(now(), LIST_CONVERGENCE_TIME);
        let names: Vec<String> = shared.peer_addresses().into_keys().collect();
        let uptime = shared.dispatch.uptime();
        if had_outage
            || !shared.is_registered.get()
            || !shared.peers.borrow().may_evict()
            || !shared.contacts.borrow().have_met(&names, uptime)
        {
            continue;
        }
        let converged = now().since(started) >= LIST_CONVERGENCE_TIME;
        let stores: Vec<Store> = {
            let index = shared.cache_index.borrow();
            index.hosts().map(|(host, _)| host.name.clone()).collect()
        };
        for store in stores {
            if !duty(&shared, &store).evicts() {
                continue;
            }
            let status = shared.namespace_status();
            let status = |namespace: &str| status(namespace).conservative(converged);
            let retired = {
                let max = shared.peers.borrow().retire_capacity();
                let mut index = shared.cache_index.borrow_mut();
                index.retire(&store, status, max, now())
            };
            if retired.is_empty() {
                continue;
            }
            tokio::task::spawn_local(evict_retired(Rc::clone(&shared), store, retired));
        }
    }
}

/// An announcement to the other entries of segments that are about to be evicted.
#[derive(Debug, Clone, Copy)]
struct Announcement {
    /// The sequence number from which state messages contain it.
    sequence: u64,
    at: Time,
}

fn announce_retired<Adapter>(
    shared: &Shared<Adapter>,
    store: &Store,
    retired: &[Key],
) -> Announcement {
    let at = now();
    shared
        .cache_index
        .borrow_mut()
        .on_retired(store, retired, at);
    let mut peers = shared.peers.borrow_mut();
    for key in retired {
        peers.on_retired(store.clone(), key.clone());
    }
    let sequence = shared.dispatch.last_sequence() + 1;
    Announcement { sequence, at }
}

/// Whether all entries that may fetch from a host have received an announcement.
fn is_known_to_all<Adapter>(
    shared: &Shared<Adapter>,
    store: &Store,
    announcement: Announcement,
) -> bool {
    let (time, count) = (now(), shared.peer_addresses().len());
    let peers = shared.peers.borrow();
    // After a stall, the state of the other entries is that of before.
    let has_stalled = shared
        .cache_index
        .borrow()
        .has_stalled_since(announcement.at, time);
    !has_stalled
        && peers.may_evict()
        && !is_isolated(shared, count)
        && !duty(shared, store).is_contested()
        && shared
            .contacts
            .borrow()
            .have_received(announcement.sequence, count, time)
}

/// Announces that segments are retired, and evicts them once the other entries have stopped
/// fetching them.
async fn evict_retired<Adapter>(shared: Rc<Shared<Adapter>>, store: Store, mut retired: Vec<Key>)
where
    Adapter: Platform,
{
    while !retired.is_empty() {
        let announcement = announce_retired(&shared, &store, &retired);
        let round = Peers::round(shared.entry_count.get());
        tokio::time::sleep(Index::retire_grace().max(round * 3)).await;
        let mut deferred = Vec::new();
        if is_known_to_all(&shared, &store, announcement) {
            // Each entry has had two rounds of gossip to report that it still fetches a segment.
            let window = round * 2 + Peers::EXPIRY_SLACK;
            let index = shared.cache_index.borrow();
            let is_pinned = |key: &Key| index.is_pinned(&store, key, window, now());
            (deferred, retired) = retired.into_iter().partition(is_pinned);
        } else {
            std::mem::swap(&mut deferred, &mut retired);
        }
        if !retired.is_empty() {
            evict_now(&shared, &store, &retired).await;
            let mut peers = shared.peers.borrow_mut();
            peers.on_evicted(&store, &retired, now());
        }
        retired = deferred;
    }
}

async fn evict_now<Adapter>(shared: &Rc<Shared<Adapter>>, store: &Store, retired: &[Key])
where
    Adapter: Platform,
{
    let host = {
        let index = shared.cache_index.borrow();
        let mut hosts = index.hosts();
        hosts
            .find(|(host, _)| host.name == *store)
            .map(|(host, boot)| (host.address, boot))
    };
    let Some((address, Some(boot))) = host else {
        return;
    };
    let result = shared.adapter.evict(address, boot, retired).await;
    Event::new("parts_freed")
        .with("store", &**store)
        .with("parts", retired.len())
        .with("failure", result.err())
        .info();
}
