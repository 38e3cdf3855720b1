use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use fleet::cache::{Index, Key};
use fleet::catalog::StoreHost;
use fleet::gossip::Peers;
use tokio::task::JoinHandle;
use types::{Store, Time};

use crate::adapter::Platform;
use crate::clock::now;
use crate::logging::Event;
use crate::shared::Shared;

/// How long a store host may hold a call while nothing changes; calls shorter than 200 ms have a
/// price.
const WAIT: Duration = Duration::from_millis(800);
/// The same for entries that only fill gaps in what others pass on.
const SHORT_WAIT: Duration = Duration::from_millis(250);
/// How often such an entry asks; words of others may be lost.
const HEAL: Duration = Duration::from_secs(5);
/// Entries that pass the reports of a host on.
pub(crate) const RELAY_COUNT: usize = 2;
/// How long a store host that does not answer is left alone.
const BACK_OFF: Duration = Duration::from_millis(250);
/// How long the list of targets must have been followed before it shows that weights are out of use:
/// targets that lapsed while the platform's store was away are listed again within about two seconds.
const SETTLE: Duration = Duration::from_secs(3);
/// The time between the lists that two entries ask of a host which they lost track of.
const LIST_TURN: Duration = Duration::from_millis(30);
/// A host is logged as slow when less than this share of its fetches is made.
const SLOW_SHARE: f64 = 0.5;
/// It is logged as fast again beyond this share; the distance keeps the log from flapping.
const FAST_SHARE: f64 = 0.9;
/// How often hosts of a new configuration are followed.
const LOOK: Duration = Duration::from_millis(500);

/// Follows the reports of all store hosts.
pub(crate) async fn watch_all<Adapter>(shared: Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    let mut followed: HashMap<Store, JoinHandle<()>> = HashMap::new();
    let mut slow = HashSet::new();
    loop {
        let hosts: Vec<Store> = {
            let kept = shared.cache_index.borrow();
            kept.hosts().map(|(host, _)| host.name.clone()).collect()
        };
        followed.retain(|store, task| {
            // A follower ends by a panic only, and another one takes its place.
            let known = hosts.contains(store) && !task.is_finished();
            if !known {
                task.abort();
            }
            known
        });
        for store in hosts {
            let follower = Rc::clone(&shared);
            followed
                .entry(store.clone())
                .or_insert_with(|| tokio::task::spawn_local(watch(follower, store)));
        }
        shared.cache_index.borrow_mut().expire(now());
        tell(&shared, &mut slow);
        tokio::time::sleep(LOOK).await;
    }
}

/// Logs which store hosts have become slow, or fast again, and keeps the gauges up to date.
fn tell<Adapter>(shared: &Shared<Adapter>, slow: &mut HashSet<Store>) {
    let kept = shared.cache_index.borrow();
    for (store, share, late_ms) in kept.fetch_shares() {
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
    slow.retain(|store| kept.host(store).is_some());
}

/// Follows the reports of one store host.
async fn watch<Adapter>(shared: Rc<Shared<Adapter>>, store: Store)
where
    Adapter: Platform,
{
    let mut since = 0;
    let mut boot = None;
    let mut asked: Option<Time> = None;
    let mut failures: u32 = 0;
    loop {
        let host = shared.cache_index.borrow().host(&store).cloned();
        let Some(host) = host else {
            tokio::time::sleep(LOOK).await;
            continue;
        };
        let readers = (host.max_calls / 2).max(1) as usize;
        let rank = shared.rank(&store);
        let reads = rank.is_some_and(|rank| rank < readers);
        let sure = shared.cache_index.borrow().is_synced(&store);
        if !reads && sure && asked.is_some_and(|asked| now().since(asked) < HEAL) {
            tokio::time::sleep(LOOK).await;
            continue;
        }
        let wait = if reads { WAIT } else { SHORT_WAIT };
        let begun = now();
        let news = shared.adapter.updates(host.address, since, wait).await;
        let time = now();
        asked = Some(time);
        let news = match news {
            Ok(news) => news,
            Err(why) => {
                if reads {
                    shared.cache_index.borrow_mut().on_down(&store);
                }
                // An entry that does not follow the host leaves it to others to say that it is down.
                if failures == 0 {
                    Event::new("store_host_lost")
                        .with("store", &*store)
                        .with("follows", reads)
                        .with("why", why)
                        .warn();
                }
                failures += 1;
                tokio::time::sleep(BACK_OFF).await;
                continue;
            }
        };
        let restarted = boot.is_some_and(|boot| boot != news.boot);
        if boot != Some(news.boot) || failures > 0 {
            Event::new("store_host")
                .with("store", &*store)
                .with("domain", &*host.domain)
                .with("boot", news.boot)
                .with("gap", news.gap)
                .with("failures", failures)
                .info();
            boot = Some(news.boot);
            failures = 0;
        }
        if restarted && since > 0 {
            // The reports came after a number of the former boot; all of this one follow.
            since = 0;
            let mut kept = shared.cache_index.borrow_mut();
            kept.on_reports(&store, news.boot, Vec::new(), time);
            continue;
        }
        since = news.next;
        if rank.is_some_and(|rank| rank < RELAY_COUNT) {
            let mut peers = shared.peers.borrow_mut();
            peers.on_reports(&store, &news.reports, time);
        }
        shared
            .cache_index
            .borrow_mut()
            .on_reports(&store, news.boot, news.reports, time);
        if !news.gap || list(&shared, &host, rank, &mut since).await {
            shared.cache_index.borrow_mut().on_synced(&store, begun);
        }
    }
}

/// Reads all that a store host keeps, after reports that it no longer has; `since` becomes the
/// number after which reports go on. Says whether it was read.
async fn list<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    host: &StoreHost,
    rank: Option<usize>,
    since: &mut u64,
) -> bool
where
    Adapter: Platform,
{
    // The call holds up the host, so entries that start together take turns.
    let turn = u32::try_from(rank.unwrap_or(0)).unwrap_or(u32::MAX);
    tokio::time::sleep(LIST_TURN * turn).await;
    let store = &host.name;
    match shared.adapter.snapshot(host.address).await {
        Ok(whole) => {
            Event::new("store_host_listed")
                .with("store", &**store)
                .with("boot", whole.boot)
                .with("parts", whole.reports.len())
                .info();
            *since = whole.next;
            let mut kept = shared.cache_index.borrow_mut();
            kept.on_snapshot(store, whole.boot, whole.reports, now());
            true
        }
        // What was reported since is known; the rest is read again and saved again.
        Err(why) => {
            Event::new("store_host_not_listed")
                .with("store", &**store)
                .with("why", why)
                .warn();
            false
        }
    }
}

/// Frees parts that are out of use, for the hosts that this entry looks after.
pub(crate) async fn evict<Adapter>(shared: Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    let begun = now();
    loop {
        tokio::time::sleep(LOOK).await;
        let shaken = shared.roster.borrow().had_store_outage(now(), SETTLE);
        if shaken || !shared.peers.borrow().may_evict() {
            continue;
        }
        let settled = now().since(begun) >= SETTLE;
        let stores: Vec<Store> = {
            let kept = shared.cache_index.borrow();
            kept.hosts().map(|(host, _)| host.name.clone()).collect()
        };
        for store in stores {
            if shared.rank(&store) != Some(0) {
                continue;
            }
            let standing = shared.standing();
            let standing = |space: &str| standing(space).conservative(settled);
            let retired = {
                let most = shared.peers.borrow().retire_capacity();
                let mut kept = shared.cache_index.borrow_mut();
                kept.retire(&store, standing, most, now())
            };
            if retired.is_empty() {
                continue;
            }
            tell_retired(&shared, &store, &retired);
            tokio::task::spawn_local(free_retired(Rc::clone(&shared), store, retired));
        }
    }
}

/// Tells the others which parts are about to be freed.
fn tell_retired<Adapter>(shared: &Shared<Adapter>, store: &Store, retired: &[Key]) {
    let time = now();
    shared
        .cache_index
        .borrow_mut()
        .on_retired(store, retired, time);
    let mut peers = shared.peers.borrow_mut();
    for key in retired {
        peers.on_retired(store.clone(), key.clone(), time);
    }
}

/// Frees parts once the others have stopped using them.
async fn free_retired<Adapter>(shared: Rc<Shared<Adapter>>, store: Store, mut retired: Vec<Key>)
where
    Adapter: Platform,
{
    while !retired.is_empty() {
        let cycle = Peers::round(shared.entry_count.get());
        tokio::time::sleep(Index::retire_grace().max(cycle * 3)).await;
        let mut later = Vec::new();
        if shared.peers.borrow().may_evict() {
            // Each entry has had two turns to say that it still fetches one.
            let told = cycle * 2 + Peers::EXPIRY_SLACK;
            let kept = shared.cache_index.borrow();
            let read = |key: &Key| kept.is_pinned(&store, key, told, now());
            (later, retired) = retired.into_iter().partition(read);
        } else {
            // One is out of reach since, and may not have heard of it.
            std::mem::swap(&mut later, &mut retired);
        }
        if !later.is_empty() {
            tell_retired(&shared, &store, &later);
        }
        if !retired.is_empty() {
            free_now(&shared, &store, &retired).await;
        }
        retired = later;
    }
}

async fn free_now<Adapter>(shared: &Rc<Shared<Adapter>>, store: &Store, retired: &[Key])
where
    Adapter: Platform,
{
    let host = {
        let kept = shared.cache_index.borrow();
        let mut hosts = kept.hosts();
        hosts
            .find(|(host, _)| host.name == *store)
            .map(|(host, boot)| (host.address, boot))
    };
    let Some((address, Some(boot))) = host else {
        return;
    };
    let freed = shared.adapter.evict(address, boot, retired).await;
    Event::new("parts_freed")
        .with("store", &**store)
        .with("parts", retired.len())
        .with("failure", freed.err())
        .info();
}
