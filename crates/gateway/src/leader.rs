//! The rollout leader: competes for the lease on orders, and issues orders while it is held. Also
//! registers this entry, and records when weight versions were released.
//!
//! The leaders of [`crate::discovery`], which watch the table store for their failure domain, are
//! something else.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use control::{Grant, Lease, Step, Timing, Written};
use fleet::recording::{self, Turn};
use platform::{Commit, Row, Write};
use types::{Fence, Incarnation, Model, Revision, Time};

use crate::adapter::Platform;
use crate::clock::now;
use crate::logging::Event;
use crate::orders::Issuer;
use crate::restoration;
use crate::serve::millis;
use crate::shared::{Peer, Shared};

/// The key of the row that holds the lease on orders, in the first era of the table store.
const LEASE_KEY: &str = "lease/orders";
/// The key prefix of the rows that record when weight versions were released.
const RELEASES_PREFIX: &str = "named/";
/// The number of successive write conflicts after which a release time is not written. More than a
/// few mean that the row exists but cannot be read.
const MAX_CONFLICTS: usize = 4;
/// The key prefix of the rows in which entries register.
const ENTRIES_PREFIX: &str = "entry/";
/// The duration of the lease; a successor waits this long before it takes over.
const LEASE_DURATION: Duration = Duration::from_millis(1200);
/// The time after which no holder relies on a lease that was lost in a restoration of the table
/// store, with a margin for clock drift.
pub(crate) const LOST_LEASE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The interval at which an entry without the lease reads it, and checks whether orders are needed.
const POLL_INTERVAL: Duration = Duration::from_millis(1000);
/// The maximum random delay before an entry tries to acquire the lease. The last holder does not
/// wait, since it can issue orders at once.
const MAX_JITTER_MS: u64 = 300;
/// The number of entries that compete for the lease; the others join in only when no entry has
/// issued orders for [`NO_ORDERS_TIMEOUT`].
const CANDIDATES: usize = 3;
/// The time without orders after which all entries compete for the lease. It is longer than a
/// takeover between candidates, which takes about three seconds.
const NO_ORDERS_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which the rollout is advanced while the lease is held.
const TICK: Duration = Duration::from_millis(100);
/// The back-off after a failed call to the table store.
const BACK_OFF: Duration = Duration::from_millis(150);
/// The interval at which the list of registered entries is read.
const COUNT_INTERVAL: Duration = Duration::from_secs(5);
/// The time after its registration from which an entry uses shared quotas; the other entries have
/// counted it by then.
const JOIN_DELAY: Duration = Duration::from_secs(6);
/// The time after which an entry that has just registered reads the list of entries again. Entries
/// start within a few hundred milliseconds of each other, so the others have registered by then.
const RECOUNT_DELAY: Duration = Duration::from_millis(600);
/// The same as [`JOIN_DELAY`] for the first start of the whole system, when there are no callers
/// yet.
const FIRST_JOIN_DELAY: Duration = Duration::from_secs(2);

/// Competes for the lease on orders while targets serve outdated weights, and issues the orders
/// while the lease is held.
pub(crate) async fn run_rollout<Adapter>(shared: Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    let mut held = false;
    let mut outdated_since: Option<Time> = None;
    let (mut era, mut lease) = (shared.era(), new_lease(&shared));
    loop {
        let lagging = shared.weights_lag.notified();
        if !needs_orders(&shared) {
            outdated_since = None;
            // A target that restarts may serve outdated weights without any change to a list, so
            // this is also checked periodically.
            let _ = tokio::time::timeout(POLL_INTERVAL, lagging).await;
            continue;
        }
        if era != shared.era() {
            (era, lease) = (shared.era(), new_lease(&shared));
            held = false;
        }
        let began = shared.restoration.borrow().began();
        if began.is_some_and(|began| now().since(began) < LOST_LEASE_TIMEOUT) {
            tokio::time::sleep(TICK).await;
            continue;
        }
        let since = *outdated_since.get_or_insert_with(now);
        let rank = shared.live_rank(LEASE_KEY);
        let is_candidate = rank.is_some_and(|rank| rank < CANDIDATES);
        let orders_seen = shared
            .peers
            .borrow()
            .has_recent_orders(NO_ORDERS_TIMEOUT, now());
        let orders_expected = orders_seen || now().since(since) < NO_ORDERS_TIMEOUT;
        if !held && !is_candidate && orders_expected {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        }
        if !held {
            let wait = u64::from(shared.random()) % MAX_JITTER_MS;
            tokio::time::sleep(Duration::from_millis(wait)).await;
        }
        lease.borrow_mut().acquire();
        held |= run_lease(&shared, &lease, era).await;
        lease.borrow_mut().release();
        // If the release cannot be written, the others wait until the lease expires.
        let step = lease.borrow_mut().poll(now());
        if let Step::Write(write) = step {
            let outcome = write_lease(&shared, &lease_key(era), write).await;
            lease.borrow_mut().on_write(outcome);
        }
        shared.metrics.leads.set(0);
    }
}

/// Makes this entry's view of the lease on orders in the era of the table store.
///
/// A restoration of the store may bring back an older lease, and with it fencing tokens that were
/// given out already. So each era has a row and a range of fencing tokens of its own.
fn new_lease<Adapter>(shared: &Shared<Adapter>) -> Rc<RefCell<Lease>> {
    let timing = Timing {
        duration: LEASE_DURATION,
        poll_interval: POLL_INTERVAL,
    };
    let incarnation =
        Incarnation(u64::from(shared.random()) << 16 | u64::from(shared.random() >> 16));
    let nonce = u64::from(shared.random());
    let name = shared.settings.name.clone();
    let floor = Fence(Revision::new(shared.era(), 0).into());
    let lease = Lease::new(name, incarnation, timing, nonce).with_fence_floor(floor);
    Rc::new(RefCell::new(lease))
}

fn lease_key(era: u64) -> String {
    key_in_era(LEASE_KEY, era)
}

/// Returns the key of a row that must not come back with older content after a restoration of the
/// table store.
pub(crate) fn key_in_era(key: &str, era: u64) -> String {
    match era {
        0 => key.to_owned(),
        _ => format!("{key}.{era}"),
    }
}

fn needs_orders<Adapter>(shared: &Shared<Adapter>) -> bool {
    let rollout = shared.rollout.borrow();
    shared.stopping.get().is_none() && rollout.is_incomplete(&shared.roster.borrow())
}

/// Drives the lease until no more orders are needed; returns whether the lease is held then.
async fn run_lease<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    lease: &Rc<RefCell<Lease>>,
    era: u64,
) -> bool
where
    Adapter: Platform,
{
    let key = lease_key(era);
    let mut issuer: Option<Rc<Issuer<Adapter>>> = None;
    let mut invalid_version = None;
    while needs_orders(shared) {
        let step = lease.borrow_mut().poll(now());
        match step {
            Step::Read => {
                let read = shared.adapter.get(&key).await;
                let version = read.as_ref().ok().and_then(Option::as_ref);
                let version = version.map(|row| row.version);
                match read.map(|row| row.map(parse_grant).transpose()) {
                    Ok(Ok(grant)) => lease.borrow_mut().on_read(now(), grant),
                    Ok(Err(error)) => {
                        if invalid_version != version {
                            log::error!("invalid lease in row {key}: {error}");
                            invalid_version = version;
                        }
                        tokio::time::sleep(POLL_INTERVAL).await;
                    }
                    Err(error) => {
                        log::warn!("failed to read the lease on orders: {error}");
                        tokio::time::sleep(BACK_OFF).await;
                    }
                }
            }
            Step::Write(write) => {
                let outcome = write_lease(shared, &key, write).await;
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
        restoration::check(shared);
        if shared.era() != era {
            if issuer.take().is_some() {
                Event::new("lease_lost").with("era", era).warn();
            }
            shared.rollout.borrow_mut().clear();
            return false;
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
            Issuer::spawn(shared, lease, fence, era)
        });
        issuer.issue();
    }
    issuer.is_some()
}

/// Parses the row of the lease. A process does not replace an invalid row, since it does not know
/// the fencing token; an operator has to delete it.
fn parse_grant(row: Row) -> Result<(u64, Grant), serde_json::Error> {
    serde_json::from_value(row.value).map(|grant| (row.version, grant))
}

async fn write_lease<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    key: &str,
    write: control::Write,
) -> Written
where
    Adapter: Platform,
{
    let value = match serde_json::to_value(&write.grant) {
        Ok(value) => value,
        Err(error) => {
            log::error!("failed to serialize the lease on orders: {error}");
            return Written::Conflict;
        }
    };
    let row = Write {
        key: key.to_owned(),
        expect: write.expect,
        value: Some(value),
    };
    match shared.adapter.commit(&[row]).await {
        Ok(Commit::Applied(versions)) => {
            Written::Applied(versions.first().copied().unwrap_or_default())
        }
        Ok(Commit::Conflict(_)) => Written::Conflict,
        Err(error) => {
            log::warn!("failed to write the lease on orders: {error}");
            Written::Lost
        }
    }
}

/// Reads when a weight version was released, and records the time if no entry has done so or if the
/// recorded one is too late.
///
/// The row of the version does not contain the time. Without it, an entry that starts in the middle
/// of a rollout would let targets serve outdated weights for the full bound again. Such an entry, and
/// one that learns of a release late, sets `reads_now`; the others wait for their turn.
pub(crate) async fn record_release<Adapter>(
    shared: Rc<Shared<Adapter>>,
    model: Model,
    version: u64,
    reads_now: bool,
) where
    Adapter: Platform,
{
    let key = format!("{RELEASES_PREFIX}{model}.{version}");
    if !reads_now && !wait_for_turn(&shared, &key).await {
        return;
    }
    // No entry was running before the first start of the whole system.
    let may_be_corrected = reads_now && !shared.settings.first_start;
    let mut conflicts = 0;
    while conflicts < MAX_CONFLICTS {
        match try_record_release(&shared, &model, version).await {
            Ok(Recorded::Yes { recheck }) => {
                let Some(delay) = recheck.filter(|_| may_be_corrected) else {
                    return;
                };
                conflicts = 0;
                tokio::time::sleep(delay).await;
            }
            Ok(Recorded::Conflict) => {
                conflicts += 1;
                tokio::time::sleep(BACK_OFF).await;
            }
            Ok(Recorded::Unready) => tokio::time::sleep(BACK_OFF).await,
            Err(error) => {
                log::warn!("failed to read or write the row {key}: {error}");
                tokio::time::sleep(BACK_OFF * 2).await;
            }
        }
    }
    log::warn!("failed to write the row {key}: {conflicts} successive conflicts");
}

/// Whether the time of a release is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Recorded {
    /// The row is there. After `recheck`, other entries will have corrected it if it is too late.
    Yes { recheck: Option<Duration> },
    /// Another entry has written the row, possibly with an earlier time.
    Conflict,
    /// The clock of the table store is not known yet.
    Unready,
}

async fn try_record_release<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    model: &Model,
    version: u64,
) -> Result<Recorded, platform::Error>
where
    Adapter: Platform,
{
    let prefix = format!("{RELEASES_PREFIX}{model}.");
    let key = format!("{prefix}{version}");
    let rows = shared.adapter.scan(&prefix).await?;
    let time = now();
    let Some(store_time) = shared.evidence.get().store_time(time) else {
        return Ok(Recorded::Unready);
    };
    let Some(known) = shared.rollout.borrow().released_at(model, version) else {
        return Ok(Recorded::Yes { recheck: None });
    };
    let known_ms = store_time.saturating_sub(millis(time.since(known)));
    let row = rows.iter().find(|row| row.key == key);
    let row = row.map(|row| recording::Row {
        version: row.version,
        released_ms: row.value.as_u64(),
    });
    for row in rows {
        let version = row.key.strip_prefix(&prefix);
        let version = version.and_then(|version| version.parse().ok());
        let (Some(version), Some(released_at)) = (version, row.value.as_u64()) else {
            log::warn!("invalid release time in row {}", row.key);
            continue;
        };
        let age = Duration::from_millis(store_time.saturating_sub(released_at));
        restore_release(shared, model, version, time, age);
    }
    let recorded_ms = match recording::Step::new(row, known_ms) {
        recording::Step::Keep => row.and_then(|row| row.released_ms),
        recording::Step::Write(expect) => {
            let write = Write {
                key,
                expect,
                value: Some(serde_json::json!(known_ms)),
            };
            match shared.adapter.commit(&[write]).await? {
                Commit::Applied(_) => Some(known_ms),
                Commit::Conflict(_) => return Ok(Recorded::Conflict),
            }
        }
    };
    let entries = shared.registered.borrow().len();
    let recheck = recorded_ms
        .and_then(|recorded_ms| recording::recheck_delay(recorded_ms, store_time, entries));
    Ok(Recorded::Yes { recheck })
}

/// Applies the recorded time of a release, which was `age` before `time`.
fn restore_release<Adapter>(
    shared: &Shared<Adapter>,
    model: &Model,
    version: u64,
    time: Time,
    age: Duration,
) {
    let earlier = shared
        .rollout
        .borrow_mut()
        .restore(model, version, time - age);
    if let Some(earlier) = earlier {
        Event::new("release_restored")
            .with("model", &**model)
            .with("version", version)
            .with("age_ms", millis(age))
            .with("earlier_ms", millis(earlier))
            .info();
    }
}

/// Waits until this entry is to record a release, or to check whether it was recorded; returns
/// whether it is.
async fn wait_for_turn<Adapter>(shared: &Shared<Adapter>, key: &str) -> bool {
    let entries = shared.registered.borrow().len();
    match Turn::new(shared.presumed_rank(key), entries) {
        Turn::After(delay) => {
            tokio::time::sleep(delay).await;
            true
        }
        Turn::AsSuccessor(delay) => {
            tokio::time::sleep(delay).await;
            recording::is_recorder(shared.presumed_rank(key))
        }
    }
}

/// Records again when the known weight versions were released, after a restoration of the table
/// store.
pub(crate) fn record_releases<Adapter>(shared: &Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    for (model, release) in shared.rollout.borrow().releases() {
        let (shared, model) = (Rc::clone(shared), model.clone());
        tokio::task::spawn_local(record_release(shared, model, release.version, false));
    }
}

/// Registers this entry, and counts the entries that share the quotas.
pub(crate) async fn count_entries<Adapter>(shared: Rc<Shared<Adapter>>)
where
    Adapter: Platform,
{
    let own = format!("{ENTRIES_PREFIX}{}", shared.settings.name);
    loop {
        let restored = shared.restored.notified();
        let (requested, era) = (now(), shared.adapter.era());
        match shared.adapter.scan(ENTRIES_PREFIX).await {
            Ok(rows) => {
                // A restarted host may have another address or another CPU share.
                let row = rows.iter().find(|row| row.key == own);
                let known = row
                    .and_then(parse_entry)
                    .is_some_and(|(_, peer)| peer == shared.registration());
                let version = row.map_or(0, |row| row.version);
                // A row that is missing was lost in a restoration of the table store, since none is
                // ever deleted. Its entry still uses its share of the quotas.
                let mut registered = shared.registered.borrow().clone();
                registered.extend(rows.iter().filter_map(parse_entry));
                let entries = rows.len().max(registered.len()).max(1);
                if *shared.registered.borrow() != registered {
                    *shared.registered.borrow_mut() = registered;
                    shared.dispatch.on_entries_changed();
                }
                // The rows are from before or after a restoration that was learned meanwhile.
                let is_same_era = era == shared.adapter.era();
                let nodes = (known && is_same_era).then(|| shared.hosts());
                shared
                    .cold
                    .borrow_mut()
                    .on_list(nodes, rows.len(), era, requested, now());
                shared.is_counted.set(true);
                shared.is_registered.set(known);
                if shared.entry_count.replace(entries) != entries {
                    Event::new("entries").with("count", entries).info();
                }
                if known && shared.quota_from.get().is_none() {
                    shared.quota_from.set(Some(now()));
                }
                if !known && !register(&shared, &own, version).await {
                    tokio::time::sleep(BACK_OFF).await;
                    continue;
                }
                let wait = if known { COUNT_INTERVAL } else { RECOUNT_DELAY };
                // The rows may be missing after a restoration of the table store.
                let _ = tokio::time::timeout(wait, restored).await;
            }
            Err(error) => {
                log::warn!("failed to read the registered entries: {error}");
                tokio::time::sleep(BACK_OFF * 2).await;
            }
        }
    }
}

/// Parses the registration of an entry.
fn parse_entry(row: &Row) -> Option<(String, Peer)> {
    let name = row.key.strip_prefix(ENTRIES_PREFIX)?;
    match serde_json::from_value(row.value.clone()) {
        Ok(peer) => Some((name.to_owned(), peer)),
        Err(error) => {
            log::warn!("invalid entry registration in row {}: {error}", row.key);
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
        log::warn!("failed to register this entry: {error}");
        return false;
    }
    let time = now();
    if shared.may_use_quota(time) {
        // The other entries have counted the registration that was lost.
        return true;
    }
    let wait = match shared.settings.first_start {
        true => FIRST_JOIN_DELAY,
        false => JOIN_DELAY,
    };
    shared.quota_from.set(Some(time + wait));
    true
}
