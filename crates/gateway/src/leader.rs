use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use control::{Grant, Lease, Step, Timing, Written};
use platform::{Commit, Row, Write};
use types::{Incarnation, Model, Time};

use crate::adapter::Platform;
use crate::clock::now;
use crate::logging::Event;
use crate::orders::Issuer;
use crate::shared::{Peer, Shared};

/// The row of the lease on orders.
const LEASE: &str = "lease/orders";
/// The rows that say when versions were named.
const NAMED: &str = "named/";
/// Entries that record when a version was named; the second one in case the first is away.
const RECORDERS: usize = 2;
/// The rows of the entries.
const ENTRIES: &str = "entry/";
/// How long the lease holds; a successor waits this long.
const DURATION: Duration = Duration::from_millis(1200);
/// How often a waiting entry reads the lease of another one.
const LOOK: Duration = Duration::from_millis(1000);
/// How long entries wait before they try to take the lease, at most; the last holder does not wait,
/// since it can give orders at once.
const SPREAD_MS: u64 = 300;
/// Entries that read the lease of another one, to take it over; the others do so only when nobody
/// has given orders for [`UNORDERED`].
const CANDIDATES: usize = 3;
/// See [`CANDIDATES`]. A takeover between candidates takes about three seconds.
const UNORDERED: Duration = Duration::from_secs(5);
/// How often the state of the rollout is looked at while the lease is held.
const TICK: Duration = Duration::from_millis(100);
/// How long an entry waits after a failed call to the store.
const BACK_OFF: Duration = Duration::from_millis(150);
/// How often entries are counted.
const COUNT: Duration = Duration::from_secs(5);
/// How long after it registered an entry uses shared allowances; the others have counted it by
/// then.
const JOIN: Duration = Duration::from_secs(6);
/// How soon an entry that has just registered counts again: all start within a few hundred
/// milliseconds of each other.
const RECOUNT: Duration = Duration::from_millis(600);
/// The same when all start together, before there are callers.
const FIRST_JOIN: Duration = Duration::from_secs(2);

/// Takes the lease on orders while targets serve older weights than were named, and gives the
/// orders.
pub(crate) async fn lead<Adapter>(shared: Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    let terms = Timing {
        duration: DURATION,
        poll_interval: LOOK,
    };
    let incarnation =
        Incarnation(u64::from(shared.random()) << 16 | u64::from(shared.random() >> 16));
    let nonce = u64::from(shared.random());
    let name = shared.settings.name.clone();
    let lease = Lease::new(name, incarnation, terms, nonce);
    let lease = Rc::new(RefCell::new(lease));
    let mut held = false;
    let mut behind: Option<Time> = None;
    loop {
        let lagging = shared.weights_lag.notified();
        if !is_behind(&shared) {
            behind = None;
            // Weights may also fall behind without a change of a list, as a target restarts.
            let _ = tokio::time::timeout(LOOK, lagging).await;
            continue;
        }
        let since = *behind.get_or_insert_with(now);
        let rank = shared.live_rank(LEASE);
        let candidate = rank.is_some_and(|rank| rank < CANDIDATES);
        let ordered = shared.peers.borrow().has_recent_orders(UNORDERED, now());
        let early = ordered || now().since(since) < UNORDERED;
        if !held && !candidate && early {
            tokio::time::sleep(LOOK).await;
            continue;
        }
        if !held {
            let wait = u64::from(shared.random()) % SPREAD_MS;
            tokio::time::sleep(Duration::from_millis(wait)).await;
        }
        lease.borrow_mut().acquire();
        held |= hold(&shared, &lease).await;
        lease.borrow_mut().release();
        // A release that fails is waited out by the others.
        let step = lease.borrow_mut().poll(now());
        if let Step::Write(write) = step {
            let outcome = store(&shared, write).await;
            lease.borrow_mut().on_write(outcome);
        }
        shared.metrics.leads.set(0);
    }
}

fn is_behind<Adapter>(shared: &Shared<Adapter>) -> bool {
    let rollout = shared.rollout.borrow();
    shared.stopping.get().is_none() && rollout.is_incomplete(&shared.roster.borrow())
}

/// Runs the lease until no target is behind; says whether it is held then.
async fn hold<Adapter>(shared: &Rc<Shared<Adapter>>, lease: &Rc<RefCell<Lease>>) -> bool
where
    Adapter: Platform,
{
    let mut issuer: Option<Rc<Issuer<Adapter>>> = None;
    while is_behind(shared) {
        let step = lease.borrow_mut().poll(now());
        match step {
            Step::Read => {
                let read = shared.adapter.get(LEASE).await;
                match read {
                    Ok(row) => {
                        lease.borrow_mut().on_read(now(), row.and_then(grant));
                    }
                    Err(error) => {
                        log::warn!("the lease cannot be read: {error}");
                        tokio::time::sleep(BACK_OFF).await;
                    }
                }
            }
            Step::Write(write) => {
                let outcome = store(shared, write).await;
                lease.borrow_mut().on_write(outcome);
                if outcome == Written::Lost {
                    tokio::time::sleep(BACK_OFF).await;
                }
            }
            Step::Wait(until) => {
                let wait = until.since(now()).min(TICK);
                tokio::time::sleep(wait).await;
            }
            Step::Idle => tokio::time::sleep(TICK).await,
        }
        let held = lease.borrow().fence(now());
        let Some(fence) = held else {
            if issuer.take().is_some() {
                Event::new("lease_lost").warn();
                shared.metrics.leads.set(0);
                shared.rollout.borrow_mut().clear();
            }
            continue;
        };
        let issuer = issuer.get_or_insert_with(|| {
            Event::new("lease_taken").with("fence", fence.0).info();
            shared.metrics.leads.set(1);
            Issuer::spawn(shared, lease, fence)
        });
        issuer.give();
    }
    issuer.is_some()
}

/// Reads the lease's row; one that cannot be read counts as missing, and an operator has to drop it.
fn grant(row: Row) -> Option<(u64, Grant)> {
    match serde_json::from_value(row.value) {
        Ok(grant) => Some((row.version, grant)),
        Err(error) => {
            log::error!("the row {LEASE} holds no lease: {error}");
            None
        }
    }
}

async fn store<Adapter>(shared: &Rc<Shared<Adapter>>, write: control::Write) -> Written
where
    Adapter: Platform,
{
    let value = match serde_json::to_value(&write.grant) {
        Ok(value) => value,
        Err(error) => {
            log::error!("a lease cannot be written: {error}");
            return Written::Conflict;
        }
    };
    let row = Write {
        key: LEASE.to_owned(),
        expect: write.expect,
        value: Some(value),
    };
    match shared.adapter.commit(&[row]).await {
        Ok(Commit::Applied(versions)) => {
            Written::Applied(versions.first().copied().unwrap_or_default())
        }
        Ok(Commit::Conflict(_)) => Written::Conflict,
        Err(error) => {
            log::warn!("the lease cannot be written: {error}");
            Written::Lost
        }
    }
}

/// Reads when a version was named, or records it where nobody has.
///
/// The row of the version does not say it, and an entry that starts in the middle of a rollout would
/// give old weights their whole time again.
pub(crate) async fn record_named<Adapter>(
    shared: Rc<Shared<Adapter>>,
    model: Model,
    version: u64,
    started: bool,
    since: Time,
) where
    Adapter: Platform,
{
    let prefix = format!("{NAMED}{model}.");
    let key = format!("{prefix}{version}");
    let recorder = shared.rank(&key).is_some_and(|rank| rank < RECORDERS);
    if !started && !recorder {
        return;
    }
    loop {
        let rows = match shared.adapter.scan(&prefix).await {
            Ok(rows) => rows,
            Err(error) => {
                log::warn!("the rows {prefix} cannot be read: {error}");
                tokio::time::sleep(BACK_OFF * 2).await;
                continue;
            }
        };
        let time = now();
        let Some(store) = shared.evidence.get().store_time(time) else {
            tokio::time::sleep(BACK_OFF).await;
            continue;
        };
        let known = rows.iter().any(|row| row.key == key);
        for row in rows {
            let version = row.key.strip_prefix(&prefix);
            let version = version.and_then(|version| version.parse().ok());
            let (Some(version), Some(at)) = (version, row.value.as_u64()) else {
                log::warn!("the row {} does not say when a version was named", row.key);
                continue;
            };
            let age = Duration::from_millis(store.saturating_sub(at));
            let mut rollout = shared.rollout.borrow_mut();
            rollout.restore(&model, version, time - age);
        }
        if known {
            return;
        }
        let age = u64::try_from(time.since(since).as_millis()).unwrap_or(0);
        let row = Write {
            key: key.clone(),
            expect: 0,
            value: Some(serde_json::json!(store.saturating_sub(age))),
        };
        match shared.adapter.commit(&[row]).await {
            Ok(_) => return,
            Err(error) => {
                log::warn!("the row {key} cannot be written: {error}");
                tokio::time::sleep(BACK_OFF * 2).await;
            }
        }
    }
}

/// Registers this entry and counts those that share the allowances.
pub(crate) async fn count_entries<Adapter>(shared: Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    let own = format!("{ENTRIES}{}", shared.settings.name);
    loop {
        match shared.adapter.scan(ENTRIES).await {
            Ok(rows) => {
                // A host may return at another address, or with another share of a processor.
                let row = rows.iter().find(|row| row.key == own);
                let known = row
                    .and_then(peer)
                    .is_some_and(|(_, peer)| peer == shared.registration());
                let version = row.map_or(0, |row| row.version);
                let entries = rows.len().max(1);
                let names = rows.iter().filter_map(peer);
                let names: BTreeMap<String, Peer> = names.collect();
                if *shared.registered.borrow() != names {
                    *shared.registered.borrow_mut() = names;
                    shared.dispatch.on_entries_changed();
                }
                shared.is_counted.set(true);
                if shared.entry_count.replace(entries) != entries {
                    Event::new("entries").with("count", entries).info();
                }
                if known && shared.joined.get().is_none() {
                    shared.joined.set(Some(now()));
                }
                if !known && !register(&shared, &own, version).await {
                    tokio::time::sleep(BACK_OFF).await;
                    continue;
                }
                let wait = if known { COUNT } else { RECOUNT };
                tokio::time::sleep(wait).await;
            }
            Err(error) => {
                log::warn!("the entries cannot be counted: {error}");
                tokio::time::sleep(BACK_OFF * 2).await;
            }
        }
    }
}

/// Reads the row of an entry.
fn peer(row: &Row) -> Option<(String, Peer)> {
    let name = row.key.strip_prefix(ENTRIES)?;
    match serde_json::from_value(row.value.clone()) {
        Ok(peer) => Some((name.to_owned(), peer)),
        Err(error) => {
            log::warn!("the row {} names no entry: {error}", row.key);
            None
        }
    }
}

async fn register<Adapter>(shared: &Rc<Shared<Adapter>>, key: &str, version: u64) -> bool
where
    Adapter: Platform,
{
    let row = Write {
        key: key.to_owned(),
        expect: version,
        value: Some(serde_json::json!(shared.registration())),
    };
    if let Err(error) = shared.adapter.commit(&[row]).await {
        log::warn!("the entry cannot be registered: {error}");
        return false;
    }
    let wait = match shared.settings.first_start {
        true => FIRST_JOIN,
        false => JOIN,
    };
    shared.joined.set(Some(now() + wait));
    true
}
