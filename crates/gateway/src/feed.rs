use std::rc::Rc;
use std::time::Duration;

use fleet::discovery::Action;
use fleet::roster::Member;
use types::{Target, Time};

use crate::adapter::{Batch, Change, List, Platform};
use crate::clock::now;
use crate::discovery::{self, Fetched};
use crate::leader;
use crate::logging::{self, Event};
use crate::serve::millis;
use crate::shared::Shared;

/// How long the store may hold a call while nothing changes. Evidence ages meanwhile, so it is well
/// under the bound on removed keys.
const WAIT: Duration = Duration::from_millis(1500);
/// What each entry that is heard adds to the longest wait, beyond that of few entries.
const WAIT_EACH: Duration = Duration::from_millis(400);
/// The shortest time for which a call is held.
const LEAST_WAIT: Duration = Duration::from_millis(700);
/// The longest time for which a call is held.
const MOST_WAIT: Duration = Duration::from_secs(6);
/// How often a call is compared with what others have learned.
const LOOK: Duration = Duration::from_millis(150);
/// The age of the evidence beyond which an entry asks itself. The bound on removed keys is five
/// seconds, and less than four of them are left for the way.
const UNPROVEN: Duration = Duration::from_millis(2200);
/// The same for the list of targets. Neighbours rely on the age of the last answer.
const WAIT_TARGETS: Duration = Duration::from_secs(2);
/// How long changes of targets are gathered before the next call; each call has a price, and the
/// bound on targets that leave is two seconds.
const GATHER: Duration = Duration::from_millis(350);
/// How much longer they are gathered for each entry: all entries together pay for the calls, and
/// what is urgent (silence, refusals, new weights) they learn sooner from targets and each other.
const GATHER_EACH: Duration = Duration::from_millis(15);
/// The longest time for which they are gathered.
const MOST_GATHER: Duration = Duration::from_millis(800);
/// How often an entry whose neighbours tell it of the targets looks whether they still do.
const REST: Duration = Duration::from_millis(200);
/// How long an entry waits after a failed call; each further one doubles it.
const BACK_OFF: Duration = Duration::from_millis(60);
/// The longest wait after a failed call.
const MOST_BACK_OFF: Duration = Duration::from_millis(400);
/// How often what is gone is forgotten.
const SWEEP: Duration = Duration::from_millis(250);

/// Follows a list for as long as the process runs.
pub(crate) async fn watch<Adapter>(shared: Rc<Shared<Adapter>>, list: List)
where
    Adapter: Platform,
{
    let mut cursor = match list {
        List::Targets => discovery::bootstrap(&shared).await,
        List::Operator => None,
    };
    // The newest state that was ever read: a store that has lost its place may answer with an older
    // one, which would bring back targets and evacuations that are gone.
    let mut newest = cursor.unwrap_or(0);
    let mut failures: u32 = 0;
    let mut hurry = false;
    loop {
        if list == List::Targets {
            match shared.discovery.next(&shared, cursor) {
                Action::Idle => {
                    tokio::time::sleep(REST).await;
                    continue;
                }
                Action::Fetch(neighbour) => {
                    if let Fetched::Whole(read) = discovery::fetch(&shared, &neighbour).await {
                        cursor = Some(read);
                        newest = newest.max(read);
                    }
                    continue;
                }
                Action::PollStore(known) => cursor = known,
            }
        }
        let asked = now();
        let heard = match cursor {
            Some(cursor) => {
                let wait = match std::mem::take(&mut hurry) {
                    true => Duration::ZERO,
                    false => wait(&shared, list),
                };
                let call = shared.adapter.watch(list, cursor, wait);
                tokio::select! {
                    heard = call => heard,
                    () = overdue(&shared, list) => {
                        hurry = true;
                        continue;
                    }
                }
            }
            None => shared.adapter.load(list).await.map(Some),
        };
        let time = now();
        match heard {
            Ok(Some(batch)) if batch.cursor < newest => {
                count(&shared, "old");
                Event::new("store_old")
                    .with("list", format!("{list:?}"))
                    .with("cursor", batch.cursor)
                    .with("newest", newest)
                    .warn();
                shared.roster.borrow_mut().on_store_outage(time);
                tokio::time::sleep(MOST_BACK_OFF).await;
            }
            Ok(Some(batch)) => {
                newest = batch.cursor;
                if failures > 0 || cursor.is_none() {
                    Event::new("store_heard")
                        .with("list", format!("{list:?}"))
                        .with("failures", failures)
                        .with("cursor", batch.cursor)
                        .info();
                }
                failures = 0;
                count(&shared, "ok");
                if list == List::Operator {
                    let mut proof = shared.evidence.get();
                    proof.on_answer(asked, time, batch.store_time);
                    shared.evidence.set(proof);
                    let mut read = shared.operator_progress.get();
                    read.cursor = batch.cursor;
                    // A whole list tells nothing of when something changed.
                    if cursor.is_some() && !batch.changes.is_empty() {
                        read.last_change = batch.cursor;
                    }
                    shared.operator_progress.set(read);
                }
                let whole = cursor.is_none();
                let quiet = batch.changes.is_empty();
                cursor = Some(batch.cursor);
                if list == List::Targets {
                    shared.discovery.on_store(batch.cursor, time);
                }
                apply(&shared, list, batch, whole, time);
                if list == List::Targets && whole {
                    discovery::publish(&shared, Vec::new(), Vec::new());
                }
                if list == List::Targets && !whole && !quiet {
                    let entries = u32::try_from(shared.entry_count.get()).unwrap_or(u32::MAX);
                    let gather = GATHER + GATHER_EACH.saturating_mul(entries);
                    tokio::time::sleep(gather.min(MOST_GATHER)).await;
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
                let wait = BACK_OFF * 2u32.saturating_pow(failures.min(8) - 1);
                // Spread, so that entries that failed together do not return together.
                let jitter = f64::from(shared.random()) / f64::from(u32::MAX);
                tokio::time::sleep(wait.min(MOST_BACK_OFF).mul_f64(0.5 + jitter)).await;
            }
        }
    }
}

/// Returns how long the store may hold a call. All entries prove to each other that the operator has
/// changed nothing, so each of them asks less often the more there are.
fn wait<Adapter>(shared: &Shared<Adapter>, list: List) -> Duration {
    if list == List::Targets {
        return WAIT_TARGETS;
    }
    let heard = shared.peers.borrow().count();
    let most = WAIT_EACH.saturating_mul(u32::try_from(heard + 1).unwrap_or(u32::MAX));
    // Spread, since a change ends the calls of all entries at the same moment.
    let spread = most.clamp(WAIT, MOST_WAIT).saturating_sub(LEAST_WAIT);
    LEAST_WAIT + spread.mul_f64(f64::from(shared.random()) / f64::from(u32::MAX))
}

/// Returns when a call for the operator's changes takes too long: another entry has learned of one,
/// or nobody proves any more that there are none. The call's connection may have fallen silent.
async fn overdue<Adapter>(shared: &Shared<Adapter>, list: List) {
    if list == List::Targets {
        return std::future::pending().await;
    }
    let begun = now();
    loop {
        tokio::time::sleep(LOOK).await;
        let time = now();
        let behind = shared
            .peers
            .borrow()
            .has_newer_operator_data(shared.operator_progress.get().cursor, time);
        let age = shared.evidence.get().age(time).unwrap_or_default();
        let unproven = age >= UNPROVEN && time.since(begun) >= WAIT;
        if behind || unproven {
            Event::new("store_overdue")
                .with("behind", behind)
                .with("proof_age_ms", millis(age))
                .info();
            return;
        }
    }
}

fn count<Adapter>(shared: &Shared<Adapter>, outcome: &str) {
    shared.metrics.store.with_label_values(&[outcome]).inc();
}

fn apply<Adapter>(shared: &Rc<Shared<Adapter>>, list: List, batch: Batch, whole: bool, time: Time)
where
    Adapter: Platform,
{
    let mut members = Vec::new();
    let mut evacuated = Vec::new();
    let (mut listed, mut unlisted) = (Vec::new(), Vec::new());
    for change in batch.changes {
        match change {
            Change::Upserted(member) if whole => members.push(member),
            Change::Upserted(member) => {
                if upsert(shared, member.clone(), time) {
                    listed.push(member);
                }
            }
            Change::Removed(target, revision) => {
                if remove(shared, &target, revision, time) {
                    unlisted.push((target, revision));
                }
            }
            Change::Catalog(catalog) => adopt(shared, *catalog),
            Change::Weights(model, version) => {
                if shared.rollout.borrow_mut().release(&model, version, time) {
                    Event::new("weights_named")
                        .with("model", &*model)
                        .with("version", version)
                        .info();
                    let shared = Rc::clone(shared);
                    tokio::task::spawn_local(leader::record_named(
                        shared, model, version, whole, time,
                    ));
                }
            }
            Change::Evacuate(domain, true) if whole => evacuated.push(domain),
            Change::Evacuate(domain, out) => {
                Event::new("evacuation")
                    .with("domain", &*domain)
                    .with("out", out)
                    .info();
                let mut set = shared.evacuated.borrow_mut();
                if out {
                    set.insert(domain);
                } else {
                    set.remove(&domain);
                }
            }
        }
    }
    if whole && list == List::Targets {
        let mut roster = shared.roster.borrow_mut();
        roster.replace(members, batch.cursor, time);
    }
    if list == List::Targets && (!listed.is_empty() || !unlisted.is_empty()) {
        discovery::publish(shared, listed, unlisted);
    }
    if whole && list == List::Operator {
        *shared.evacuated.borrow_mut() = evacuated.into_iter().collect();
    }
    notify_lag(shared);
}

/// Wakes who waits for changes of the list of targets.
pub(crate) fn notify_lag<Adapter>(shared: &Shared<Adapter>) {
    if shared
        .rollout
        .borrow()
        .is_incomplete(&shared.roster.borrow())
    {
        shared.weights_lag.notify_waiters();
    }
}

/// Takes over what a target reports; says whether that is new.
pub(crate) fn upsert<Adapter>(shared: &Shared<Adapter>, member: Member, time: Time) -> bool {
    let mut roster = shared.roster.borrow_mut();
    let known = roster.get(&member.id).map(|entry| Rc::new(entry.clone()));
    let changed = known.is_none_or(|known| {
        known.member.draining != member.draining
            || known.member.weights != member.weights
            || known.member.started_ms != member.started_ms
    });
    if changed {
        Event::new("target")
            .with("target", &*member.id)
            .with("service", &*member.service)
            .with("address", member.address.to_string())
            .with("domain", &*member.domain)
            .with("draining", member.draining)
            .with("cold_ms", millis(member.cold_remaining))
            .with(
                "weights",
                member.weights.first().map(|(_, version)| *version),
            )
            .info();
    }
    roster.upsert(member, time)
}

/// Takes a target off the list; says whether that is new.
pub(crate) fn remove<Adapter>(
    shared: &Shared<Adapter>,
    target: &Target,
    revision: u64,
    time: Time,
) -> bool {
    let news = shared.roster.borrow_mut().remove(target, revision, time);
    if news {
        Event::new("target_gone").with("target", &**target).info();
    }
    news
}

fn adopt<Adapter>(shared: &Shared<Adapter>, catalog: fleet::catalog::Catalog) {
    let known = shared.catalog();
    if known.is_some_and(|known| known.version >= catalog.version) {
        return;
    }
    Event::new("config")
        .with("version", catalog.version.0)
        .info();
    let version = i64::try_from(catalog.version.0).unwrap_or(i64::MAX);
    shared.metrics.version.set(version);
    let engines = catalog.pools().filter_map(|pool| pool.engine.as_ref());
    let token_bytes = engines.map(|engine| engine.token_bytes).max();
    shared
        .cache_index
        .borrow_mut()
        .configure(catalog.stores(), token_bytes.unwrap_or(0));
    *shared.catalog.borrow_mut() = Some(Rc::new(catalog));
}

/// Forgets what is gone and keeps the gauges up to date.
pub(crate) async fn sweep<Adapter>(shared: Rc<Shared<Adapter>>) {
    loop {
        tokio::time::sleep(SWEEP).await;
        let time = now();
        shared.tracker.borrow_mut().on_tick(time);
        shared.roster.borrow_mut().expire(time);
        let roster = shared.roster.borrow();
        let known = |target: &Target| roster.get(target).is_some();
        shared.connections.borrow_mut().retain(known, time);
        shared.tracker.borrow_mut().retain(known);
        shared.ramp.borrow_mut().retain(known);
        let age = shared
            .evidence
            .get()
            .age(time)
            .map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        shared.metrics.proof.set(age);
        let waiting = shared.queues.borrow().total();
        let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
        shared.metrics.waiting.set(waiting);
        let buffered = shared.buffers.borrow().used();
        let buffered = i64::try_from(buffered).unwrap_or(i64::MAX);
        shared.metrics.buffered.set(buffered);
        let dropped = i64::try_from(logging::dropped()).unwrap_or(i64::MAX);
        shared.metrics.dropped.set(dropped);
    }
}
