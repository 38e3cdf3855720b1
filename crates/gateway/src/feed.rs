use std::rc::Rc;
use std::time::Duration;

use fleet::cold::Stats;
use fleet::discovery::Action;
use fleet::freshness;
use fleet::restoration::LIST_SETTLE_TIME;
use fleet::roster::{Member, Record};
use types::{Revision, Target, Time};

use crate::adapter::{Batch, Change, List, Platform};
use crate::clock::now;
use crate::discovery::{self, Fetched};
use crate::leader;
use crate::logging::{self, Event};
use crate::quarantine;
use crate::restoration;
use crate::serve::millis;
use crate::shared::Shared;

/// The maximum time for which the table store holds a call while nothing changes, with few entries.
/// Freshness evidence ages meanwhile, so it is well below the revocation bound for keys.
const BASE_WAIT: Duration = Duration::from_millis(1500);
/// The maximum wait per live entry, where that is more than the wait with few entries.
const WAIT_PER_ENTRY: Duration = Duration::from_millis(400);
/// The minimum time for which a call is held.
const MIN_WAIT: Duration = Duration::from_millis(700);
/// The maximum time for which a call is held, with any number of entries.
const MAX_WAIT: Duration = Duration::from_secs(6);
/// The interval at which a pending call is compared with what other entries have reported.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(150);
/// How long a call without a wait may take before it is made again. Each further one in succession
/// may take twice as long: a large configuration takes seconds on a slow link.
const IMMEDIATE_TIMEOUT: Duration = Duration::from_millis(600);
/// How often that timeout doubles.
const IMMEDIATE_DOUBLINGS: u32 = 3;
/// The age of the freshness evidence beyond which an entry asks the store itself. The revocation
/// bound for keys is five seconds, and less than four of them remain after the margin for requests
/// in transit.
const MAX_EVIDENCE_AGE: Duration = Duration::from_millis(2200);
/// How long changes of targets accumulate before the next call. Each call has a cost, and
/// targets that leave must be noticed within two seconds.
const BATCHING_DELAY: Duration = Duration::from_millis(350);
/// The additional delay per entry. The calls of all entries add to the same cost, and entries learn
/// urgent changes (unresponsive targets, refusals, new weights) sooner from targets and each other.
const BATCHING_DELAY_PER_ENTRY: Duration = Duration::from_millis(15);
/// The maximum delay for which changes of targets accumulate.
const MAX_BATCHING_DELAY: Duration = Duration::from_millis(800);
/// The interval at which an entry that receives the list of targets from its neighbours checks
/// whether they are still fresh.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);
/// The back-off after a failed call; it doubles with each further failure.
const BACK_OFF: Duration = Duration::from_millis(60);
/// The maximum back-off after failed calls.
const MAX_BACK_OFF: Duration = Duration::from_millis(400);
/// The same for the list of targets at an entry whose neighbours usually send it. When the table
/// store is down, hundreds of entries call it.
const MAX_FOLLOWER_BACK_OFF: Duration = Duration::from_millis(1000);
/// The interval at which expired state is dropped and gauges are updated.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// How often grants for cold targets are logged.
const COLD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// How much of a list a batch contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Extent {
    /// The changes since the known state.
    Changes,
    /// The whole list.
    Whole,
    /// The whole list of a store that was just restored from a copy, which may lack changes.
    Copy,
}

/// When a reply of the table store was given and received.
#[derive(Debug, Clone, Copy)]
struct Reply {
    received_at: Time,
    given_at: Time,
    /// Whether its changes may be much older than the reply.
    is_late: bool,
}

/// Watches a list of the table store for the lifetime of the process.
pub(crate) async fn watch<Adapter>(shared: Rc<Shared<Adapter>>, list: List)
where
    Adapter: Platform,
{
    let mut cursor = match list {
        List::Targets => discovery::bootstrap(&shared).await,
        List::Operator => {
            if !shared.settings.first_start {
                restoration::read_began(&shared).await;
            }
            None
        }
    };
    // The newest revision that was ever read. A store that has lost state may reply with an older
    // one, which would bring back removed targets and evacuations.
    let mut newest = cursor.unwrap_or(0);
    // When the list is loaded again: after a restoration of the store, and as long as the store lists
    // an older configuration than the one in use.
    let mut reload_at: Option<Time> = None;
    let mut failures: u32 = 0;
    // When the store gave its last reply.
    let mut replied_at: Option<Time> = None;
    // The number of successive calls without a wait.
    let mut immediate: u32 = 0;
    loop {
        if list == List::Targets {
            match shared.discovery.next(&shared, cursor) {
                Action::Idle => {
                    tokio::time::sleep(IDLE_INTERVAL).await;
                    continue;
                }
                Action::Fetch(neighbour) => {
                    if let Fetched::Complete(read) = discovery::fetch(&shared, &neighbour).await {
                        cursor = Some(read);
                        newest = newest.max(read);
                    }
                    continue;
                }
                Action::PollStore(known) => cursor = known,
            }
        }
        let sent_at = now();
        if reload_at.is_some_and(|reload_at| reload_at <= sent_at) {
            cursor = None;
        }
        let reply = match cursor {
            Some(cursor) => {
                let wait = match immediate {
                    0 => wait(&shared, list),
                    _ => Duration::ZERO,
                };
                let wait = reload_at.map_or(wait, |reload_at| wait.min(reload_at.since(sent_at)));
                let call = shared.adapter.watch(list, cursor, wait);
                tokio::select! {
                    reply = call => reply,
                    () = stalled(&shared, list, immediate) => {
                        immediate += 1;
                        continue;
                    }
                }
            }
            None => shared.adapter.load(list).await.map(Some),
        };
        let time = now();
        restoration::check(&shared);
        match reply {
            Ok(Some(batch)) if cursor.is_some_and(|cursor| is_restored(cursor, batch.cursor)) => {
                // The batch lacks the changes between the copy and the cursor.
                count(&shared, "restored");
                cursor = None;
            }
            Ok(Some(batch)) if batch.cursor < newest => {
                count(&shared, "old");
                Event::new("store_old")
                    .with("list", format!("{list:?}"))
                    .with("cursor", batch.cursor)
                    .with("newest", newest)
                    .warn();
                shared.roster.borrow_mut().on_store_outage(time);
                tokio::time::sleep(MAX_BACK_OFF).await;
            }
            Ok(Some(batch)) => {
                let extent = match cursor {
                    Some(_) => Extent::Changes,
                    None if newest != 0 && is_restored(newest, batch.cursor) => {
                        reload_at = Some(time + LIST_SETTLE_TIME);
                        Extent::Copy
                    }
                    // The first list after a restoration may have been read from another entry.
                    None if reload_at.is_some_and(|reload_at| sent_at < reload_at) => Extent::Copy,
                    None => {
                        reload_at = None;
                        Extent::Whole
                    }
                };
                newest = batch.cursor;
                immediate = 0;
                if failures > 0 || cursor.is_none() {
                    Event::new("store_heard")
                        .with("list", format!("{list:?}"))
                        .with("failures", failures)
                        .with("cursor", batch.cursor)
                        .with("era", Revision::from(batch.cursor).era())
                        .info();
                }
                failures = 0;
                count(&shared, "ok");
                if list == List::Operator {
                    on_operator_batch(&shared, &batch, extent, sent_at, time);
                }
                let snapshot = cursor.is_none();
                let unchanged = batch.changes.is_empty();
                cursor = Some(batch.cursor);
                if list == List::Targets {
                    shared.discovery.on_store(batch.cursor, time);
                }
                let given_at = shared.evidence.get().given_at(time, batch.store_time);
                let is_late = freshness::shows_late(replied_at, sent_at, given_at);
                replied_at = Some(given_at);
                let reply = Reply {
                    received_at: time,
                    given_at,
                    is_late,
                };
                apply(&shared, list, batch, extent, reply);
                let known = shared.config_version();
                if extent == Extent::Whole
                    && list == List::Operator
                    && shared.restoration.borrow().lags(known)
                {
                    reload_at = Some(time + LIST_SETTLE_TIME);
                }
                // Also without changes: the neighbours rely on the age of the last reply.
                if list == List::Targets && (snapshot || unchanged) {
                    discovery::publish(&shared, Vec::new(), Vec::new());
                }
                if list == List::Targets && !snapshot && !unchanged {
                    let entries = u32::try_from(shared.entry_count.get()).unwrap_or(u32::MAX);
                    let delay = BATCHING_DELAY + BATCHING_DELAY_PER_ENTRY.saturating_mul(entries);
                    tokio::time::sleep(delay.min(MAX_BATCHING_DELAY)).await;
                }
            }
            Ok(None) => {
                count(&shared, "forgotten");
                Event::new("store_forgot")
                    .with("list", format!("{list:?}"))
                    .with("cursor", cursor)
                    .warn();
                cursor = None;
            }
            Err(error) => {
                count(&shared, "failed");
                if failures == 0 {
                    Event::new("store_lost")
                        .with("list", format!("{list:?}"))
                        .with("why", error.to_string())
                        .warn();
                }
                failures += 1;
                shared.roster.borrow_mut().on_store_outage(time);
                let is_follower = list == List::Targets && !discovery::is_leader(&shared);
                let max_wait = match is_follower {
                    true => MAX_FOLLOWER_BACK_OFF,
                    false => MAX_BACK_OFF,
                };
                let wait = BACK_OFF * 2u32.saturating_pow(failures.min(8) - 1);
                // Jitter, so that entries that failed together do not retry together.
                let jitter = f64::from(shared.random()) / f64::from(u32::MAX);
                tokio::time::sleep(wait.min(max_wait).mul_f64(0.5 + jitter)).await;
            }
        }
    }
}

/// Updates the evidence of freshness and the progress by a batch of the operator's list.
fn on_operator_batch<Adapter>(
    shared: &Shared<Adapter>,
    batch: &Batch,
    extent: Extent,
    sent_at: Time,
    time: Time,
) {
    let mut restoration = shared.restoration.borrow_mut();
    restoration.on_store_time(batch.store_time, time);
    let mut known = shared.config_version();
    for change in &batch.changes {
        match change {
            Change::Catalog(catalog) => {
                let version = catalog.version.0;
                restoration.on_config(version, extent == Extent::Changes);
                known = known.max(Some(version));
            }
            Change::InvalidCatalog => restoration.on_invalid_config(known),
            Change::Evacuate(..)
            | Change::Weights(..)
            | Change::Upserted(_)
            | Change::Removed(..) => {}
        }
    }
    let mut evidence = shared.evidence.get();
    if restoration.confirms(known, time) {
        evidence.on_answer(sent_at, time, batch.store_time);
    } else {
        evidence.on_store_clock(time, batch.store_time);
    }
    shared.evidence.set(evidence);
    // A response to a call that was made after the report does not contain the newer configuration.
    let mut peers = shared.peers.borrow_mut();
    let reported = peers.newer_config(known.unwrap_or(0), sent_at);
    if let Some(lost) = reported.filter(|reported| restoration.reverts(*reported, time)) {
        peers.on_reverted(lost);
    }
    let mut progress = shared.operator_progress.get();
    progress.cursor = batch.cursor;
    let era = Revision::from(batch.cursor).era();
    if extent == Extent::Changes && !batch.changes.is_empty() {
        progress.last_change = batch.cursor;
    } else {
        // A snapshot does not show when the last change was, but it was in this era.
        let start = u64::from(Revision::new(era, 0));
        progress.last_change = progress.last_change.max(start);
    }
    shared.operator_progress.set(progress);
}

/// Returns whether the store was restored from a copy between two revisions.
fn is_restored(before: u64, after: u64) -> bool {
    Revision::from(before).era() < Revision::from(after).era()
}

/// Returns how long the store may hold a call. All entries share freshness evidence for the
/// operator's list, so each of them calls less often the more entries there are.
fn wait<Adapter>(shared: &Shared<Adapter>, list: List) -> Duration {
    if list == List::Targets {
        return shared.discovery.wait(shared);
    }
    let unsettled = shared.restoration.borrow().unsettled_for(now());
    if !unsettled.is_zero() {
        return unsettled;
    }
    let peers = shared.peers.borrow().count();
    let max = WAIT_PER_ENTRY.saturating_mul(u32::try_from(peers + 1).unwrap_or(u32::MAX));
    // Jitter, since a change ends the calls of all entries at the same moment.
    let range = max.clamp(BASE_WAIT, MAX_WAIT).saturating_sub(MIN_WAIT);
    MIN_WAIT + range.mul_f64(f64::from(shared.random()) / f64::from(u32::MAX))
}

/// Returns when the call for the operator's list has stalled: another entry has reported a newer
/// change, or the freshness evidence is not renewed any more. This happens when the connection of
/// the call is dead without being closed. A call without a wait has stalled if it takes too long;
/// `immediate` says how many of them were made in succession.
async fn stalled<Adapter>(shared: &Shared<Adapter>, list: List, immediate: u32) {
    if list == List::Targets {
        return std::future::pending().await;
    }
    let started = now();
    if let Some(doublings) = immediate.checked_sub(1) {
        let factor = 2u32.saturating_pow(doublings.min(IMMEDIATE_DOUBLINGS));
        tokio::time::sleep(IMMEDIATE_TIMEOUT * factor).await;
        Event::new("store_overdue")
            .with("behind", true)
            .with("calls", immediate)
            .info();
        return;
    }
    loop {
        tokio::time::sleep(STALL_CHECK_INTERVAL).await;
        let time = now();
        let behind = shared
            .peers
            .borrow()
            .has_newer_operator_data(shared.operator_progress.get().cursor, time);
        let age = shared.evidence.get().age(time).unwrap_or_default();
        let unconfirmed = age >= MAX_EVIDENCE_AGE && time.since(started) >= BASE_WAIT;
        if behind || unconfirmed {
            Event::new("store_overdue")
                .with("behind", behind)
                .with("proof_age_ms", millis(age))
                .info();
            return;
        }
    }
}

fn count<Adapter>(shared: &Shared<Adapter>, outcome: &str) {
    shared
        .metrics
        .store_calls
        .with_label_values(&[outcome])
        .inc();
}

fn apply<Adapter>(
    shared: &Rc<Shared<Adapter>>,
    list: List,
    batch: Batch,
    extent: Extent,
    reply: Reply,
) where
    Adapter: Platform,
{
    let snapshot = extent != Extent::Changes;
    let time = reply.received_at;
    let mut members = Vec::new();
    let mut evacuated = Vec::new();
    let (mut updated, mut removed) = (Vec::new(), Vec::new());
    for change in batch.changes {
        match change {
            Change::Upserted(member) if snapshot => members.push(member),
            Change::Upserted(member) => {
                if upsert(shared, member.clone(), time) {
                    updated.push(member);
                }
            }
            Change::Removed(target, revision) => {
                if remove(shared, &target, revision, time) {
                    removed.push((target, revision));
                }
            }
            Change::Catalog(catalog) => adopt(shared, *catalog),
            Change::InvalidCatalog => {}
            Change::Weights(model, version) => {
                let mut rollout = shared.rollout.borrow_mut();
                if rollout.release(&model, version, reply.given_at) {
                    drop(rollout);
                    Event::new("weights_named")
                        .with("model", &*model)
                        .with("version", version)
                        .with("age_ms", millis(time.since(reply.given_at)))
                        .with("late", reply.is_late)
                        .info();
                    let shared = Rc::clone(shared);
                    // The release may be older than what this entry has seen of it.
                    let reads_now = snapshot || reply.is_late;
                    tokio::task::spawn_local(leader::record_release(
                        shared, model, version, reads_now,
                    ));
                }
            }
            Change::Evacuate(domain, true) if snapshot => evacuated.push(domain),
            Change::Evacuate(domain, is_evacuated) => {
                Event::new("evacuation")
                    .with("domain", &*domain)
                    .with("out", is_evacuated)
                    .info();
                let mut domains = shared.evacuated.borrow_mut();
                if is_evacuated {
                    domains.insert(domain);
                } else {
                    domains.remove(&domain);
                }
            }
        }
    }
    if list == List::Targets {
        let mut roster = shared.roster.borrow_mut();
        match extent {
            Extent::Changes => {}
            Extent::Whole => roster.replace(members, batch.cursor, time),
            Extent::Copy => roster.merge_restored(members, batch.cursor, time),
        }
    }
    if list == List::Targets && (!updated.is_empty() || !removed.is_empty()) {
        discovery::publish(shared, updated, removed);
    }
    if list == List::Operator {
        let mut domains = shared.evacuated.borrow_mut();
        match extent {
            Extent::Changes => {}
            Extent::Whole => *domains = evacuated.into_iter().collect(),
            Extent::Copy => domains.extend(evacuated),
        }
    }
    notify_lag(shared);
}

/// Wakes the rollout task if targets serve outdated weights.
pub(crate) fn notify_lag<Adapter>(shared: &Shared<Adapter>) {
    if shared
        .rollout
        .borrow()
        .is_incomplete(&shared.roster.borrow())
    {
        shared.weights_lag.notify_waiters();
    }
}

/// Updates the roster with the row of a target; returns whether the row contains anything new.
pub(crate) fn upsert<Adapter>(shared: &Shared<Adapter>, member: Member, time: Time) -> bool {
    let mut roster = shared.roster.borrow_mut();
    let known = roster.get(&member.id).map(|record| Rc::new(record.clone()));
    let changed = known.as_ref().is_none_or(|known| {
        known.member.draining != member.draining
            || known.member.weights != member.weights
            || known.member.started_ms != member.started_ms
    });
    let has_restarted = |known: &Record| known.member.started_ms != member.started_ms;
    if known.as_deref().is_some_and(has_restarted) {
        let mut dispatcher = shared.dispatch.dispatcher.borrow_mut();
        dispatcher.on_restart(&member.id);
    }
    if changed {
        Event::new("target")
            .with("target", &*member.id)
            .with("service", &*member.service)
            .with("address", member.address.to_string())
            .with("domain", &*member.domain)
            .with("draining", member.draining)
            .with("cold_ms", millis(member.cold_remaining))
            .with("build", &*member.build)
            .with(
                "weights",
                member.weights.first().map(|(_, version)| *version),
            )
            .info();
    }
    roster.upsert(member, time)
}

/// Removes a target from the roster; returns whether this changed the roster.
pub(crate) fn remove<Adapter>(
    shared: &Shared<Adapter>,
    target: &Target,
    revision: u64,
    time: Time,
) -> bool {
    let changed = shared.roster.borrow_mut().remove(target, revision, time);
    if changed {
        Event::new("target_gone").with("target", &**target).info();
    }
    changed
}

fn adopt<Adapter>(shared: &Shared<Adapter>, catalog: fleet::catalog::Catalog) {
    if let Some(known) = shared.config_version() {
        if known == catalog.version.0 {
            return;
        }
        if known > catalog.version.0 {
            if !shared.restoration.borrow().reverts(known, now()) {
                return;
            }
            Event::new("config_reverted").with("version", known).warn();
            shared.peers.borrow_mut().on_reverted(known);
        }
    }
    Event::new("config")
        .with("version", catalog.version.0)
        .info();
    let version = i64::try_from(catalog.version.0).unwrap_or(i64::MAX);
    shared.metrics.config_version.set(version);
    let engines = catalog.pools().filter_map(|pool| pool.engine.as_ref());
    let token_bytes = engines.map(|engine| engine.token_bytes).max();
    shared
        .cache_index
        .borrow_mut()
        .configure(catalog.stores(), token_bytes.unwrap_or(0));
    *shared.catalog.borrow_mut() = Some(Rc::new(catalog));
}

/// Periodically drops the state of expired and removed targets, and updates the gauges.
pub(crate) async fn sweep<Adapter>(shared: Rc<Shared<Adapter>>) {
    let mut cold_reported = now();
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let time = now();
        shared.tracker.borrow_mut().on_tick(time);
        shared.roster.borrow_mut().expire(time);
        let roster = shared.roster.borrow();
        let known = |target: &Target| roster.get(target).is_some();
        shared.connections.borrow_mut().retain(known, time);
        shared.tracker.borrow_mut().retain(known);
        shared.ramp.borrow_mut().retain(known);
        shared.cold.borrow_mut().retain(known, time);
        if time.since(cold_reported) >= COLD_REPORT_INTERVAL {
            cold_reported = time;
            report_cold(&shared);
        }
        let mut dispatcher = shared.dispatch.dispatcher.borrow_mut();
        dispatcher.retain(known);
        let spread = dispatcher.rates().spread().unwrap_or_default();
        drop(dispatcher);
        for (quantile, rate) in ["lowest", "median", "highest"].iter().zip(spread) {
            let rates = &shared.metrics.target_rates;
            rates.with_label_values(&[quantile]).set(rate);
        }
        let age = shared
            .evidence
            .get()
            .age(time)
            .map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        shared.metrics.evidence_age.set(age);
        let waiting = shared.queues.borrow().total();
        let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
        shared.metrics.waiting.set(waiting);
        let buffered = shared.buffers.borrow().used();
        let buffered = i64::try_from(buffered).unwrap_or(i64::MAX);
        shared.metrics.buffered.set(buffered);
        let usage = shared.callers.usage();
        let gauge = |count| i64::try_from(count).unwrap_or(i64::MAX);
        shared
            .metrics
            .caller_connections
            .set(gauge(usage.connections));
        shared.metrics.caller_bytes.set(gauge(usage.bytes));
        shared.callers.report(time);
        quarantine::sweep(&shared, time);
        let dropped = i64::try_from(logging::dropped()).unwrap_or(i64::MAX);
        shared.metrics.log_dropped.set(dropped);
    }
}

/// Logs how the budgets of cold targets have been used.
fn report_cold<Adapter>(shared: &Shared<Adapter>) {
    let stats = shared.cold.borrow_mut().take_stats();
    if stats != Stats::default() {
        Event::new("cold_budget")
            .with("granted", stats.granted)
            .with("withheld", stats.withheld)
            .info();
    }
}
