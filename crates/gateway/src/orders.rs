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
use crate::leader::{LOST_LEASE_TIMEOUT, key_in_era};
use crate::logging::Event;
use crate::serve::millis;
use crate::shared::Shared;

/// Issues weight update orders for as long as this entry holds the lease on orders.
///
/// Orders of two lease holders to the same target must be a minimum time apart, but a holder that
/// crashed cannot tell its successor which targets it has ordered. So each holder records the
/// targets in the table store before it sends them orders, and a successor blocks orders to just
/// these targets for that time.
#[derive(Debug)]
pub(crate) struct Issuer<Adapter> {
    shared: Rc<Shared<Adapter>>,
    lease: Rc<RefCell<Lease>>,
    fence: Fence,
    /// The era of the table store in which the lease is held.
    era: u64,
    /// Whether the record of former holders has been read and taken over.
    ready: Cell<bool>,
    /// When the targets with unfinished orders were last polled.
    polled_at: Cell<Time>,
    /// The version and content of the row; the lock serializes writes.
    record: Mutex<(u64, Record)>,
}

/// The content of the row in which lease holders record the targets of their orders.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct Record {
    /// The fencing token of the last holder; holders with a lower token must not write any more.
    fence: u64,
    /// The name of the last holder.
    holder: String,
    /// The ordered targets, each with the holder and the time on the table store's clock in ms.
    targets: Vec<(Target, String, u64)>,
}

/// The key of the row with the issued orders, in the first era of the table store.
const RECORD_KEY: &str = "orders/given";
/// How long an order is kept in the record beyond the minimum time between orders of two holders: a
/// holder relies on its lease for a second, and its last order may take as long.
const RETENTION_MARGIN: Duration = Duration::from_secs(3);
/// The poll interval for targets with unfinished orders; each call has a cost.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// The maximum delay before an order is sent, during which gossip informs the other entries of it.
/// It is bounded because it delays every order, and gossip takes longer the more entries there are.
const MAX_ANNOUNCE_DELAY: Duration = Duration::from_millis(200);
/// The back-off after a failed call to the table store.
const BACK_OFF: Duration = Duration::from_millis(150);

impl<Adapter> Issuer<Adapter>
where
    Adapter: Platform,
{
    /// Starts to issue orders under a lease that is held; the record of former holders is read
    /// first.
    pub(crate) fn spawn(
        shared: &Rc<Shared<Adapter>>,
        lease: &Rc<RefCell<Lease>>,
        fence: Fence,
        era: u64,
    ) -> Rc<Self> {
        let issuer = Rc::new(Self {
            shared: Rc::clone(shared),
            lease: Rc::clone(lease),
            fence,
            era,
            ready: Cell::new(false),
            polled_at: Cell::new(now()),
            record: Mutex::default(),
        });
        tokio::task::spawn_local(Rc::clone(&issuer).take_over());
        issuer
    }

    /// Sends the orders that are due, and polls targets with unfinished orders.
    pub(crate) fn issue(self: &Rc<Self>) {
        if !self.ready.get() {
            return;
        }
        self.poll_unfinished();
        if self.has_lost_orders() {
            return;
        }
        let shared = &self.shared;
        let due = {
            let roster = shared.roster.borrow();
            let limits = Limits {
                staleness_bound: shared.settings.weights_limit(),
                overloaded: shared.dispatch.is_overloaded(shared),
            };
            shared.rollout.borrow_mut().due(&roster, limits, now())
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
            && self.shared.adapter.era() == self.era
    }

    fn record_key(&self) -> String {
        key_in_era(RECORD_KEY, self.era)
    }

    /// Takes over the record of former holders: blocks the targets that they have ordered, and
    /// writes its own fencing token, so that they cannot record more.
    async fn take_over(self: Rc<Self>) {
        let mut record = self.record.lock().await;
        let key = self.record_key();
        while self.is_held() {
            let read = self.shared.adapter.get(&key).await;
            let (version, known) = match read {
                Ok(None) => (0, Record::default()),
                Ok(Some(row)) => match serde_json::from_value(row.value) {
                    Ok(known) => (row.version, known),
                    Err(error) => {
                        // Without a record, any target may have been ordered.
                        log::error!("invalid order record in row {key}: {error}");
                        self.block(self.all_targets());
                        (row.version, Record::default())
                    }
                },
                Err(error) => {
                    log::warn!("failed to read the row {key}: {error}");
                    tokio::time::sleep(BACK_OFF).await;
                    continue;
                }
            };
            if known.fence > self.fence.0 {
                return;
            }
            let own = &self.shared.settings.name;
            let others = known.targets.iter();
            let others = others.filter(|(_, holder, at)| holder != own && !self.is_expired(*at));
            self.block(others.map(|(target, ..)| target.clone()).collect());
            *record = (version, known);
            if self.write(&mut record, &[]).await {
                self.ready.set(true);
                return;
            }
            tokio::time::sleep(BACK_OFF).await;
        }
    }

    /// Returns whether a holder before a restoration of the table store may have given orders that
    /// are too recent for others. The record of them is lost, and no later record contains them.
    fn has_lost_orders(&self) -> bool {
        let began = self.shared.restoration.borrow().began();
        let last_order = began.map(|began| began + LOST_LEASE_TIMEOUT);
        last_order.is_some_and(|at| now() < at + self.shared.settings.lease_gap())
    }

    /// Returns how long orders are kept in the record.
    fn retention(&self) -> Duration {
        self.shared.settings.lease_gap() + RETENTION_MARGIN
    }

    fn all_targets(&self) -> Vec<Target> {
        let roster = self.shared.roster.borrow();
        roster
            .iter()
            .map(|record| record.member.id.clone())
            .collect()
    }

    fn block(&self, targets: Vec<Target>) {
        let gap = self.shared.settings.lease_gap();
        Event::new("orders_taken_over")
            .with("fence", self.fence.0)
            .with("barred", targets.len())
            .with("for_ms", millis(gap))
            .info();
        let mut rollout = self.shared.rollout.borrow_mut();
        rollout.block(targets, now() + gap);
    }

    fn is_expired(&self, at: u64) -> bool {
        let Some(time) = self.shared.evidence.get().store_time(now()) else {
            return false;
        };
        time.saturating_sub(at) > millis(self.retention())
    }

    /// Records targets that are about to get orders; returns whether the write succeeded. No other
    /// entry writes the row while this one holds the lease, so a conflict means that the lease is
    /// lost.
    async fn write(&self, record: &mut (u64, Record), targets: &[Target]) -> bool {
        let own = &self.shared.settings.name;
        let Some(time) = self.shared.evidence.get().store_time(now()) else {
            // Without the store's time, a successor would consider the order expired.
            log::warn!("the row {RECORD_KEY} is not written: the store's time is not known yet");
            return false;
        };
        let key = self.record_key();
        let (version, known) = &mut *record;
        known.fence = self.fence.0;
        known.holder.clone_from(own);
        known.targets.retain(|(_, _, at)| !self.is_expired(*at));
        let added = targets.iter();
        known
            .targets
            .extend(added.map(|target| (target.clone(), own.clone(), time)));
        let value = match serde_json::to_value(&*known) {
            Ok(value) => value,
            Err(error) => {
                log::error!("failed to serialize the row {key}: {error}");
                return false;
            }
        };
        let row = Write {
            key: key.clone(),
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
                log::warn!("failed to write the row {key}: {error}");
                false
            }
        }
    }

    async fn send_all(self: Rc<Self>, due: Vec<Order>) {
        // Gossip tells the other entries first, so that they stop sending requests to the targets.
        let peers = self.shared.entry_count.get().saturating_sub(1);
        tokio::time::sleep(Peers::round(peers).min(MAX_ANNOUNCE_DELAY)).await;
        let targets: Vec<Target> = due.iter().map(|order| order.target.clone()).collect();
        let written = {
            let mut record = self.record.lock().await;
            let written = self.is_held() && self.write(&mut record, &targets).await;
            if !written && self.ready.replace(false) {
                // The write may have been applied, so the row is read again.
                tokio::task::spawn_local(Rc::clone(&self).take_over());
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
            roster
                .get(&order.target)
                .map(|record| record.member.address)
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
        let label = format!("{answer:?}").to_lowercase();
        shared.metrics.orders.with_label_values(&[&label]).inc();
        Event::new("order")
            .with("target", &*order.target)
            .with("model", &*order.model)
            .with("version", order.version)
            .with("fence", self.fence.0)
            .with("answer", label)
            .info();
        let mut rollout = shared.rollout.borrow_mut();
        rollout.on_answer(&order.target, answer, now());
    }

    /// Polls targets that may have finished an order; the list of targets shows it up to a
    /// heartbeat interval later.
    fn poll_unfinished(&self) {
        if now().since(self.polled_at.get()) < POLL_INTERVAL {
            return;
        }
        self.polled_at.set(now());
        let unfinished = self.shared.rollout.borrow().unfinished(now());
        for target in unfinished {
            let shared = Rc::clone(&self.shared);
            tokio::task::spawn_local(async move {
                let address = {
                    let roster = shared.roster.borrow();
                    roster.get(&target).map(|record| record.member.address)
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
