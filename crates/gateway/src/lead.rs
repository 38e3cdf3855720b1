use std::rc::Rc;
use std::time::Duration;

use control::{Grant, Lease, Step, Terms, Written};
use fleet::rollout::{Answer, Order};
use platform::{Commit, Row, Write};
use types::{Fence, Incarnation, Model, Time};

use crate::border::Platform;
use crate::clock::now;
use crate::journal::Event;
use crate::shared::Shared;

/// The row of the lease on orders.
const LEASE: &str = "lease/orders";
/// The rows that say when versions were named.
const NAMED: &str = "named/";
/// Entries that record when a version was named; the second one in case the first is away.
const RECORDERS: usize = 2;
/// The rows of the entries.
const ENTRIES: &str = "entry/";
/// How long the lease holds. A successor waits this long and then the gap between two holders.
const DURATION: Duration = Duration::from_millis(1200);
/// How often a waiting entry reads the lease of another one.
const LOOK: Duration = Duration::from_millis(1000);
/// How long entries wait before they try to take the lease, at most; the last holder does not wait,
/// since it can give orders at once.
const SPREAD_MS: u64 = 300;
/// How often the state of the rollout is looked at while the lease is held.
const TICK: Duration = Duration::from_millis(100);
/// How often targets under way are asked whether they have finished; each call has a price.
const ASK: Duration = Duration::from_millis(400);
/// How long an entry waits after a failed call to the store.
const BACK_OFF: Duration = Duration::from_millis(150);
/// How often entries are counted.
const COUNT: Duration = Duration::from_secs(5);
/// How long after it registered an entry uses shared allowances; the others have counted it by
/// then.
const JOIN: Duration = Duration::from_secs(6);
/// The same when all start together, before there are callers.
const FIRST_JOIN: Duration = Duration::from_secs(2);

/// Takes the lease on orders while targets serve older weights than were named, and gives the
/// orders.
pub(crate) async fn lead<Border>(shared: Rc<Shared<Border>>)
where
    Border: Platform,
{
    let terms = Terms {
        duration: DURATION,
        look: LOOK,
    };
    let incarnation = Incarnation(u64::from(shared.draw()) << 16 | u64::from(shared.draw() >> 16));
    let nonce = u64::from(shared.draw());
    let name = shared.settings.name.clone();
    let mut lease = Lease::new(name, incarnation, terms, nonce);
    let mut held: Option<Fence> = None;
    loop {
        let lagging = shared.lag.notified();
        if !is_behind(&shared) {
            // Weights may also fall behind without a change of a list, as a target restarts.
            let _ = tokio::time::timeout(LOOK, lagging).await;
            continue;
        }
        if held.is_none() {
            let wait = u64::from(shared.draw()) % SPREAD_MS;
            tokio::time::sleep(Duration::from_millis(wait)).await;
        }
        lease.take();
        held = hold(&shared, &mut lease, held).await;
        lease.release();
        // A release that fails is waited out by the others.
        if let Step::Write(write) = lease.poll(now()) {
            let outcome = store(&shared, write).await;
            lease.on_write(outcome);
        }
        shared.metrics.leads.set(0);
    }
}

fn is_behind<Border>(shared: &Shared<Border>) -> bool {
    let rollout = shared.rollout.borrow();
    shared.stopping.get().is_none() && rollout.is_behind(&shared.roster.borrow())
}

/// Runs the lease until no target is behind; returns the fencing number that was held last.
async fn hold<Border>(
    shared: &Rc<Shared<Border>>,
    lease: &mut Lease,
    last: Option<Fence>,
) -> Option<Fence>
where
    Border: Platform,
{
    let gap = shared.settings.lease_gap();
    let mut held: Option<(Fence, Time)> = None;
    let mut looked = now();
    while is_behind(shared) {
        match lease.poll(now()) {
            Step::Read => {
                let read = shared.border.get(LEASE).await;
                match read {
                    Ok(row) => {
                        lease.on_read(now(), row.and_then(grant));
                    }
                    Err(error) => {
                        log::warn!("the lease cannot be read: {error}");
                        tokio::time::sleep(BACK_OFF).await;
                    }
                }
            }
            Step::Write(write) => {
                let outcome = store(shared, write).await;
                lease.on_write(outcome);
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
        let Some(fence) = lease.fence(now()) else {
            if held.take().is_some() {
                Event::new("lease_lost").warn();
                shared.metrics.leads.set(0);
                shared.rollout.borrow_mut().forget();
            }
            continue;
        };
        let (_, from) = *held.get_or_insert_with(|| {
            // The last holder may have given orders until just now, unless it was this entry.
            let own = last.is_some_and(|last| last.0 + 1 == fence.0) || fence.0 == 1;
            let from = if own { now() } else { now() + gap };
            Event::new("lease_taken")
                .with("fence", fence.0)
                .with("waits_ms", crate::serve::millis(from.since(now())))
                .info();
            shared.metrics.leads.set(1);
            (fence, from)
        });
        if now() >= from {
            give(shared, lease, fence);
            look(shared, &mut looked);
        }
    }
    lease.fence(now()).or(held.map(|(fence, _)| fence)).or(last)
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

/// Asks targets that may have finished whether they have; the list tells up to a heartbeat later.
fn look<Border>(shared: &Rc<Shared<Border>>, looked: &mut Time)
where
    Border: Platform,
{
    if now().since(*looked) < ASK {
        return;
    }
    *looked = now();
    let unfinished = shared.rollout.borrow().unfinished(now());
    for target in unfinished {
        let shared = Rc::clone(shared);
        tokio::task::spawn_local(async move {
            let address = {
                let roster = shared.roster.borrow();
                roster.get(&target).map(|entry| entry.member.address)
            };
            let Some(address) = address else {
                return;
            };
            if let Some(state) = shared.border.state(address).await
                && !state.busy
            {
                let mut roster = shared.roster.borrow_mut();
                roster.on_weights(&target, &state.weights);
            }
        });
    }
}

/// Sends the orders that are due.
fn give<Border>(shared: &Rc<Shared<Border>>, lease: &Lease, fence: Fence)
where
    Border: Platform,
{
    let due = {
        let roster = shared.roster.borrow();
        shared.rollout.borrow_mut().due(&roster, now())
    };
    for order in due {
        shared.rollout.borrow_mut().on_sent(&order, now());
        let (shared, lease) = (Rc::clone(shared), lease.clone());
        tokio::task::spawn_local(async move {
            let answer = send(&shared, &lease, &order, fence).await;
            let word = format!("{answer:?}").to_lowercase();
            shared.metrics.orders.with_label_values(&[&word]).inc();
            Event::new("order")
                .with("target", &*order.target)
                .with("model", &*order.model)
                .with("version", order.version)
                .with("fence", fence.0)
                .with("answer", word)
                .info();
            shared
                .rollout
                .borrow_mut()
                .on_answer(&order.target, answer, now());
        });
    }
}

async fn send<Border>(
    shared: &Rc<Shared<Border>>,
    lease: &Lease,
    order: &Order,
    fence: Fence,
) -> Answer
where
    Border: Platform,
{
    let address = {
        let roster = shared.roster.borrow();
        roster.get(&order.target).map(|entry| entry.member.address)
    };
    let Some(address) = address else {
        return Answer::Refused;
    };
    let Some(state) = shared.border.state(address).await else {
        return Answer::Refused;
    };
    if state.busy {
        return Answer::Busy;
    }
    // The copy of the lease ends no later than the lease itself.
    if lease.fence(now()) != Some(fence) {
        return Answer::Refused;
    }
    let holder = &shared.settings.name;
    shared
        .border
        .order(address, order, holder, fence, state.orders)
        .await
}

async fn store<Border>(shared: &Rc<Shared<Border>>, write: control::Write) -> Written
where
    Border: Platform,
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
    match shared.border.commit(&[row]).await {
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
pub(crate) async fn record<Border>(
    shared: Rc<Shared<Border>>,
    model: Model,
    version: u64,
    started: bool,
    since: Time,
) where
    Border: Platform,
{
    let key = format!("{NAMED}{model}.{version}");
    let recorder = shared.rank(&key).is_some_and(|rank| rank < RECORDERS);
    if !started && !recorder {
        return;
    }
    loop {
        let row = match shared.border.get(&key).await {
            Ok(row) => row,
            Err(error) => {
                log::warn!("the row {key} cannot be read: {error}");
                tokio::time::sleep(BACK_OFF * 2).await;
                continue;
            }
        };
        let time = now();
        let Some(store) = shared.proof.get().store_time(time) else {
            tokio::time::sleep(BACK_OFF).await;
            continue;
        };
        if let Some(row) = row {
            let age =
                Duration::from_millis(store.saturating_sub(row.value.as_u64().unwrap_or(store)));
            shared
                .rollout
                .borrow_mut()
                .named_at(&model, version, time - age);
            return;
        }
        let age = u64::try_from(time.since(since).as_millis()).unwrap_or(0);
        let row = Write {
            key: key.clone(),
            expect: 0,
            value: Some(serde_json::json!(store.saturating_sub(age))),
        };
        match shared.border.commit(&[row]).await {
            Ok(_) => return,
            Err(error) => {
                log::warn!("the row {key} cannot be written: {error}");
                tokio::time::sleep(BACK_OFF * 2).await;
            }
        }
    }
}

/// Registers this entry and counts those that share the allowances.
pub(crate) async fn count<Border>(shared: Rc<Shared<Border>>)
where
    Border: Platform,
{
    let own = format!("{ENTRIES}{}", shared.settings.name);
    loop {
        match shared.border.scan(ENTRIES).await {
            Ok(rows) => {
                let known = rows.iter().any(|row| row.key == own);
                let entries = rows.len().max(1);
                let names = rows.iter().filter_map(|row| {
                    let name = row.key.strip_prefix(ENTRIES)?;
                    let ip = row.value.get("ip")?.as_str()?.parse().ok()?;
                    Some((name.to_owned(), ip))
                });
                *shared.names.borrow_mut() = names.collect();
                if shared.entries.replace(entries) != entries {
                    Event::new("entries").with("count", entries).info();
                }
                if known && shared.joined.get().is_none() {
                    shared.joined.set(Some(now()));
                }
                if !known && !register(&shared, &own).await {
                    tokio::time::sleep(BACK_OFF).await;
                    continue;
                }
                let wait = if known { COUNT } else { FIRST_JOIN };
                tokio::time::sleep(wait).await;
            }
            Err(error) => {
                log::warn!("the entries cannot be counted: {error}");
                tokio::time::sleep(BACK_OFF * 2).await;
            }
        }
    }
}

async fn register<Border>(shared: &Rc<Shared<Border>>, key: &str) -> bool
where
    Border: Platform,
{
    let row = Write {
        key: key.to_owned(),
        expect: 0,
        value: Some(serde_json::json!({ "ip": shared.settings.ip })),
    };
    if let Err(error) = shared.border.commit(&[row]).await {
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
