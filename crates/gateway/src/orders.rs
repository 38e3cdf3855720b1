use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use control::Lease;
use fleet::gossip::Peers;
use fleet::rollout::{Answer, Limits, Order};
use platform::{Commit, Write};
use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;
use types::{Fence, Target, Time};

use crate::adapter::Platform;
use crate::clock::now;
use crate::logging::Event;
use crate::serve::millis;
use crate::shared::Shared;

/// Gives orders for as long as this entry holds the lease on them.
///
/// Orders of two holders to one target have to be some time apart, but a holder that vanished leaves
/// no word. So each holder writes down the targets before it gives them orders, and a successor
/// leaves just these alone for that time.
#[derive(Debug)]
pub(crate) struct Issuer<Adapter> {
    shared: Rc<Shared<Adapter>>,
    lease: Rc<RefCell<Lease>>,
    fence: Fence,
    /// Whether the targets of former holders are known.
    ready: Cell<bool>,
    /// When targets under way were last asked whether they have finished.
    asked: Cell<Time>,
    /// The version of the row and what it holds; the lock keeps two writes apart.
    record: Mutex<(u64, Record)>,
}

/// The row in which holders write down the targets of their orders.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Record {
    /// The fencing number of the last holder; one with a smaller number writes nothing any more.
    fence: u64,
    /// The name of the last holder.
    holder: String,
    /// Targets, each with the holder and with the time of the store in ms.
    targets: Vec<(Target, String, u64)>,
}

/// The row of orders that were given.
const GIVEN: &str = "orders/given";
/// How long an order is remembered beyond the time that has to pass between two holders: a holder
/// relies on its lease for a second, and its last order may take as long.
const SLACK: Duration = Duration::from_secs(3);
/// How often targets under way are asked whether they have finished; each call has a price.
const ASK: Duration = Duration::from_millis(200);
/// How long the other entries have at most to hear of an order before it is given; each order waits
/// as long, and with many entries it takes longer until all have heard.
const ANNOUNCE: Duration = Duration::from_millis(200);
/// How long an entry waits after a failed call to the store.
const BACK_OFF: Duration = Duration::from_millis(150);

impl<Adapter> Issuer<Adapter>
where
    Adapter: Platform,
{
    /// Starts to give orders under a lease that is held; the record of former holders is read first.
    pub(crate) fn spawn(
        shared: &Rc<Shared<Adapter>>,
        lease: &Rc<RefCell<Lease>>,
        fence: Fence,
    ) -> Rc<Self> {
        let issuer = Rc::new(Self {
            shared: Rc::clone(shared),
            lease: Rc::clone(lease),
            fence,
            ready: Cell::new(false),
            asked: Cell::new(now()),
            record: Mutex::default(),
        });
        tokio::task::spawn_local(Rc::clone(&issuer).succeed());
        issuer
    }

    /// Gives the orders that are due, and asks targets whether they have finished.
    pub(crate) fn give(self: &Rc<Self>) {
        if !self.ready.get() {
            return;
        }
        self.ask();
        let shared = &self.shared;
        let due = {
            let roster = shared.roster.borrow();
            let terms = Limits {
                staleness_bound: shared.settings.weights_limit(),
                overloaded: shared.dispatch.is_overloaded(shared),
            };
            shared.rollout.borrow_mut().due(&roster, terms, now())
        };
        if due.is_empty() {
            return;
        }
        for order in &due {
            shared.rollout.borrow_mut().on_sent(order, now());
            shared
                .tracker
                .borrow_mut()
                .on_updating(&order.target, now());
        }
        tokio::task::spawn_local(Rc::clone(self).send_all(due));
    }

    fn is_held(&self) -> bool {
        self.lease.borrow().fence(now()) == Some(self.fence)
    }

    /// Reads what former holders ordered, and keeps them from writing down more.
    async fn succeed(self: Rc<Self>) {
        let mut record = self.record.lock().await;
        while self.is_held() {
            let read = self.shared.adapter.get(GIVEN).await;
            let (version, known) = match read {
                Ok(None) => (0, Record::default()),
                Ok(Some(row)) => match serde_json::from_value(row.value) {
                    Ok(known) => (row.version, known),
                    Err(error) => {
                        // Without a record all targets count as ordered.
                        log::error!("the row {GIVEN} cannot be read: {error}");
                        self.bar(self.all());
                        (row.version, Record::default())
                    }
                },
                Err(error) => {
                    log::warn!("the row {GIVEN} cannot be read: {error}");
                    tokio::time::sleep(BACK_OFF).await;
                    continue;
                }
            };
            if known.fence > self.fence.0 {
                return;
            }
            let own = &self.shared.settings.name;
            let others = known.targets.iter();
            let others = others.filter(|(_, holder, at)| holder != own && !self.is_past(*at));
            self.bar(others.map(|(target, ..)| target.clone()).collect());
            *record = (version, known);
            if self.write(&mut record, &[]).await {
                self.ready.set(true);
                return;
            }
            tokio::time::sleep(BACK_OFF).await;
        }
    }

    fn all(&self) -> Vec<Target> {
        let roster = self.shared.roster.borrow();
        roster.iter().map(|entry| entry.member.id.clone()).collect()
    }

    fn bar(&self, targets: Vec<Target>) {
        let gap = self.shared.settings.lease_gap();
        Event::new("orders_taken_over")
            .with("fence", self.fence.0)
            .with("barred", targets.len())
            .with("for_ms", millis(gap))
            .info();
        let mut rollout = self.shared.rollout.borrow_mut();
        rollout.block(targets, now() + gap);
    }

    fn is_past(&self, at: u64) -> bool {
        let Some(time) = self.shared.evidence.get().store_time(now()) else {
            return false;
        };
        let kept = self.shared.settings.lease_gap() + SLACK;
        time.saturating_sub(at) > millis(kept)
    }

    /// Writes down targets that are about to get orders. Nobody else writes the row while this entry
    /// holds the lease, so a conflict means that it does not.
    async fn write(&self, record: &mut (u64, Record), targets: &[Target]) -> bool {
        let own = &self.shared.settings.name;
        let Some(time) = self.shared.evidence.get().store_time(now()) else {
            // Without its time, a successor would take an order for one of long ago.
            log::warn!("the row {GIVEN} is not written: the store's time is not known yet");
            return false;
        };
        let (version, known) = &mut *record;
        known.fence = self.fence.0;
        known.holder.clone_from(own);
        known.targets.retain(|(_, _, at)| !self.is_past(*at));
        let added = targets.iter();
        known
            .targets
            .extend(added.map(|target| (target.clone(), own.clone(), time)));
        let value = match serde_json::to_value(&*known) {
            Ok(value) => value,
            Err(error) => {
                log::error!("the row {GIVEN} cannot be written: {error}");
                return false;
            }
        };
        let row = Write {
            key: GIVEN.to_owned(),
            expect: *version,
            value: Some(value),
        };
        match self.shared.adapter.commit(&[row]).await {
            Ok(Commit::Applied(versions)) => {
                *version = versions.first().copied().unwrap_or(*version);
                true
            }
            Ok(Commit::Conflict(_)) => {
                Event::new("orders_conflict")
                    .with("fence", self.fence.0)
                    .warn();
                false
            }
            Err(error) => {
                log::warn!("the row {GIVEN} cannot be written: {error}");
                false
            }
        }
    }

    async fn send_all(self: Rc<Self>, due: Vec<Order>) {
        // The other entries hear of it first and send the targets nothing more.
        let peers = self.shared.entry_count.get().saturating_sub(1);
        tokio::time::sleep(Peers::round(peers).min(ANNOUNCE)).await;
        let targets: Vec<Target> = due.iter().map(|order| order.target.clone()).collect();
        let written = {
            let mut record = self.record.lock().await;
            let written = self.is_held() && self.write(&mut record, &targets).await;
            if !written && self.ready.replace(false) {
                // The write may have taken effect, so the row is read again.
                tokio::task::spawn_local(Rc::clone(&self).succeed());
            }
            written
        };
        for order in due {
            let issuer = Rc::clone(&self);
            tokio::task::spawn_local(async move {
                let answer = match written {
                    true => issuer.send(&order).await,
                    false => Answer::Refused,
                };
                issuer.on_answer(&order, answer);
            });
        }
    }

    async fn send(&self, order: &Order) -> Answer {
        let shared = &self.shared;
        let address = {
            let roster = shared.roster.borrow();
            roster.get(&order.target).map(|entry| entry.member.address)
        };
        let Some(address) = address else {
            return Answer::Refused;
        };
        let Some(state) = shared.adapter.status(address).await else {
            return Answer::Refused;
        };
        if state.busy {
            return Answer::Busy;
        }
        if !self.is_held() {
            return Answer::Refused;
        }
        let holder = &shared.settings.name;
        shared
            .adapter
            .order(address, order, holder, self.fence, state.accepted_orders)
            .await
    }

    fn on_answer(&self, order: &Order, answer: Answer) {
        let shared = &self.shared;
        let word = format!("{answer:?}").to_lowercase();
        shared.metrics.orders.with_label_values(&[&word]).inc();
        Event::new("order")
            .with("target", &*order.target)
            .with("model", &*order.model)
            .with("version", order.version)
            .with("fence", self.fence.0)
            .with("answer", word)
            .info();
        let mut rollout = shared.rollout.borrow_mut();
        rollout.on_answer(&order.target, answer, now());
    }

    /// Asks targets that may have finished whether they have; the list tells up to a heartbeat later.
    fn ask(&self) {
        if now().since(self.asked.get()) < ASK {
            return;
        }
        self.asked.set(now());
        let unfinished = self.shared.rollout.borrow().unfinished(now());
        for target in unfinished {
            let shared = Rc::clone(&self.shared);
            tokio::task::spawn_local(async move {
                let address = {
                    let roster = shared.roster.borrow();
                    roster.get(&target).map(|entry| entry.member.address)
                };
                let Some(address) = address else {
                    return;
                };
                let Some(state) = shared.adapter.status(address).await else {
                    return;
                };
                if state.busy {
                    return;
                }
                for (model, version) in &state.weights {
                    let mut peers = shared.peers.borrow_mut();
                    peers.on_updated(target.clone(), model.clone(), *version, now());
                }
                shared.on_weights(&target, &state.weights);
            });
        }
    }
}
