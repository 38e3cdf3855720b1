//! Updates the engine to the weight version in the rules, one target of a model at a time.
//!
//! See `docs/design.md`, section 5.8.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use control::{Member, Role, Timing};
use engine::{Client, Engine, Order};
use platform::{Commit, Table, Write};
use rules::Check;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout};
use types::{Fence, Host, Model, Target, Weights};

use super::gate::Gate;
use super::lease::Handle;
use crate::control::View;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// The rollouts of one target, with what they need to know of its agent.
#[derive(Debug)]
pub(super) struct Rollout {
    name: String,
    host: Host,
    domain: types::Domain,
    target: Target,
    model: Model,
    view: Arc<View>,
    gate: Gate,
    engine: Client,
    http: reqwest::Client,
    metrics: Metrics,
    progress: Arc<Mutex<Progress>>,
}

/// The progress of a rollout, for `boragereel status`.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct Progress {
    /// The weight version that the engine last reported.
    pub(super) weights: Option<Weights>,
    /// The current step of the rollout; `None` without one.
    pub(super) rollout: Option<&'static str>,
}

/// The row `order/{target}`: the last order to a target that does not check fencing tokens.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Record {
    fence: Fence,
    weights: Weights,
    /// Whether the outcome is known; until then the order may still be executed.
    done: bool,
}

/// Why a rollout stopped before the engine served the new weights; it is retried later.
#[derive(Debug, displaydoc::Display)]
enum Error {
    /// the lease was lost
    LeaseLost,
    /// the rules specify other weights by now
    Superseded,
    /// this is the model's last ready target
    LastTarget,
    /// the platform is unavailable: {0}
    Platform(platform::Error),
    /// the engine did not execute the order: {0}
    Engine(engine::Error),
    /// the engine did not serve the new weights in time
    Timeout,
    /// another process wrote the record of the order
    Conflict,
}

/// How often the rules are compared with the engine; on average a change waits for half of it.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The lease outlasts a few lost renewals, and a dead holder blocks its model for at most 11 s.
const LEASE_DURATION: Duration = Duration::from_secs(10);
/// How long running requests may take to finish; those that take longer keep their own blocks.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
/// The engine executes or drops an order within this time.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);
/// How long the next target waits for this one to warm up, which does not happen without traffic.
const WARM_TIMEOUT: Duration = Duration::from_secs(3);
/// The delay after the first failed rollout; it doubles each time, so that weights that no engine
/// can load do not keep draining targets.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// The maximum number of doublings of [`RETRY_DELAY`], to about four minutes.
const MAX_DOUBLINGS: u32 = 8;
/// How long another agent may take to report whether it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
/// How often all agents of a model together read the model's lease; with 16 models they stay below
/// a tenth of what the platform supports.
const LEASE_READS_PER_S: f64 = 10.0;
/// How often an agent that holds its model's lease checks for a free slot.
const SLOT_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// The number of servers that can load weights concurrently without slowing each other down.
const LOAD_SLOTS: u32 = 2;

impl Rollout {
    /// Starts to watch the rules for new weights; returns the shared progress.
    pub(super) fn spawn(
        settings: &Settings,
        (target, model): (Target, Model),
        (view, gate): (Arc<View>, Gate),
        engine: Client,
        metrics: Metrics,
    ) -> Result<Arc<Mutex<Progress>>, platform::Error> {
        let http = reqwest::Client::builder()
            .timeout(READY_TIMEOUT)
            .no_proxy()
            .build()?;
        let progress = Arc::<Mutex<Progress>>::default();
        let rollout = Self {
            name: settings.name.clone(),
            host: settings.host.clone(),
            domain: settings.domain.clone(),
            target,
            model,
            view,
            gate,
            engine,
            http,
            metrics,
            progress: Arc::clone(&progress),
        };
        tokio::spawn(rollout.run());
        Ok(progress)
    }

    async fn run(self) {
        let mut failures = 0;
        loop {
            sleep(POLL_INTERVAL).await;
            let Some((served, wanted)) = self.find_mismatch().await else {
                self.set_progress(None);
                failures = 0;
                continue;
            };
            log::info!("rollout from weights {served} to {wanted}");
            let result = self.update(&wanted).await;
            self.gate.set_in_rollout(false);
            let outcome = match &result {
                Ok(()) => "done",
                Err(Error::LastTarget) => "last_target",
                Err(_) => "stopped",
            };
            self.metrics.rollouts.with_label_values(&[outcome]).inc();
            match result {
                Ok(()) => log::info!("the engine serves weights {wanted}"),
                Err(error) => {
                    log::warn!("the rollout to weights {wanted} stopped: {error}");
                    let delay = RETRY_DELAY * 2_u32.pow(failures.min(MAX_DOUBLINGS));
                    failures += 1;
                    let changed = self.back_off(delay, &wanted).await;
                    if changed {
                        failures = 0;
                    }
                }
            }
        }
    }

    /// Waits for the delay, or returns true as soon as the rules specify other weights or the drain
    /// state changes.
    async fn back_off(&self, delay: Duration, wanted: &Weights) -> bool {
        self.set_progress(Some("pauses after a rollout that stopped"));
        // Jitter keeps agents that failed together from retrying at the same time.
        let end = Instant::now() + delay.mul_f64(rand::random_range(0.5..1.5));
        let drained = self.is_drained();
        while Instant::now() < end {
            let rules = self.view.rules();
            let configured = rules.models.get(&self.model).map(|served| &served.weights);
            if configured != Some(wanted) || self.is_drained() != drained {
                return true;
            }
            sleep(POLL_INTERVAL).await;
        }
        false
    }

    /// Returns the served and the configured weights if they differ.
    async fn find_mismatch(&self) -> Option<(Weights, Weights)> {
        let served = self.engine.status().await.ok()?.weights;
        self.lock().weights = Some(served.clone());
        let wanted = self.view.rules().models.get(&self.model)?.weights.clone();
        (served != wanted).then_some((served, wanted))
    }

    async fn update(&self, wanted: &Weights) -> Result<(), Error> {
        self.set_progress(Some("waits for the model's turn"));
        let model_lease = self.lease(
            format!("lease/rollout/{}", self.model),
            self.lease_poll_interval(),
        );
        model_lease.wait().await;
        let result = self.update_with_lease(&model_lease, wanted).await;
        model_lease.release().await;
        result
    }

    async fn update_with_lease(&self, model_lease: &Handle, wanted: &Weights) -> Result<(), Error> {
        self.set_progress(Some("waits for a slot to load weights"));
        let slots: Vec<Handle> = (0..LOAD_SLOTS)
            .map(|slot| self.lease(format!("lease/weights/{slot}"), SLOT_POLL_INTERVAL))
            .collect();
        let slot = Handle::wait_any(&slots).await;
        let result = self.load_weights(model_lease, &slots[slot], wanted).await;
        for slot in slots {
            slot.release().await;
        }
        result?;
        self.gate.set_in_rollout(false);
        self.set_progress(Some("warms up"));
        let warm = async {
            while self.gate.state().name != "ready" {
                sleep(POLL_INTERVAL).await;
            }
        };
        // A target without traffic stays cold, so the lease is passed on after a while.
        let _ = timeout(WARM_TIMEOUT, warm).await;
        Ok(())
    }

    async fn load_weights(
        &self,
        model_lease: &Handle,
        slot: &Handle,
        wanted: &Weights,
    ) -> Result<(), Error> {
        if !self.is_drained() && !self.has_ready_sibling().await? {
            return Err(Error::LastTarget);
        }
        // Waiting for the leases may have taken long: the rules and the model's lease may have
        // changed.
        let rules = self.view.rules();
        let configured = rules.models.get(&self.model).map(|served| &served.weights);
        if configured != Some(wanted) {
            return Err(Error::Superseded);
        }
        model_lease.fence().ok_or(Error::LeaseLost)?;
        self.set_progress(Some("finishes running requests"));
        self.gate.set_in_rollout(true);
        self.gate.wait_drained(DRAIN_TIMEOUT).await;
        let check = self.view.rules().checks.get(&self.target).copied();
        let check = check.unwrap_or_default();
        let record = match check {
            Check::Fencing => None,
            Check::Nothing | Check::Sender => Some(self.wait_for_earlier_order().await?),
        };
        self.set_progress(Some("loads weights"));
        let fence = model_lease.fence().ok_or(Error::LeaseLost)?;
        let record = match record {
            Some(version) => Some(self.write_record(version, fence, wanted, false).await?),
            None => None,
        };
        // Writing the record took time, so both leases are checked right before the order.
        if model_lease.fence() != Some(fence) || slot.fence().is_none() {
            if let Some(version) = record {
                self.write_record(version, fence, wanted, true).await?;
            }
            return Err(Error::LeaseLost);
        }
        let order = Order {
            fence,
            weights: wanted.clone(),
        };
        let deadline = Instant::now() + ORDER_TIMEOUT;
        let reply = timeout(ORDER_TIMEOUT, self.engine.order(&order)).await;
        if let Ok(Err(error @ engine::Error::StaleFence)) = reply {
            return Err(Error::Engine(error));
        }
        // Whether or not a reply arrived, the engine's status tells which weights it serves. The
        // target stays drained until it serves the new ones or the order cannot be executed any
        // more.
        let served = self.wait_served(wanted, deadline).await;
        if let Some(version) = record {
            self.write_record(version, fence, wanted, true).await?;
        }
        match (served, reply) {
            (true, _) => Ok(()),
            (false, Ok(Err(error))) => Err(Error::Engine(error)),
            (false, _) => Err(Error::Timeout),
        }
    }

    /// Waits until no earlier order to this target can be executed any more; returns the version of
    /// the record.
    async fn wait_for_earlier_order(&self) -> Result<u64, Error> {
        let key = self.order_key();
        let row = self
            .view
            .platform()
            .get(&key)
            .await
            .map_err(Error::Platform)?;
        let Some(row) = row else {
            return Ok(0);
        };
        match serde_json::from_value::<Record>(row.value) {
            Ok(record) if record.done => {}
            Ok(record) => {
                self.set_progress(Some("waits out an earlier order"));
                self.wait_served(&record.weights, Instant::now() + ORDER_TIMEOUT)
                    .await;
            }
            Err(_) => sleep(ORDER_TIMEOUT).await,
        }
        Ok(row.version)
    }

    async fn write_record(
        &self,
        expect: u64,
        fence: Fence,
        weights: &Weights,
        done: bool,
    ) -> Result<u64, Error> {
        let record = Record {
            fence,
            weights: weights.clone(),
            done,
        };
        let data_error = |error: serde_json::Error| platform::Error::Data(error.to_string());
        let value =
            serde_json::to_value(record).map_err(|error| Error::Platform(data_error(error)))?;
        let write = Write {
            key: self.order_key(),
            expect,
            value: Some(value),
        };
        // A lost reply stops the rollout; the record then only makes the next attempt wait.
        match self.view.platform().commit(&[write]).await {
            Ok(Commit::Applied(versions)) => Ok(versions.first().copied().unwrap_or_default()),
            Ok(Commit::Conflict(_)) => Err(Error::Conflict),
            Err(error) => Err(Error::Platform(error)),
        }
    }

    async fn wait_served(&self, weights: &Weights, deadline: Instant) -> bool {
        loop {
            if let Ok(status) = self.engine.status().await
                && status.weights == *weights
            {
                self.lock().weights = Some(status.weights);
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            sleep(POLL_INTERVAL / 5).await;
        }
    }

    fn is_drained(&self) -> bool {
        let rules = self.view.rules();
        rules.is_drained(&self.target, &self.host, &self.domain)
    }

    /// Returns whether another target of the model accepts new work right now.
    async fn has_ready_sibling(&self) -> Result<bool, Error> {
        let (rules, directory) = (self.view.rules(), self.view.directory());
        let serves = |member: &&Member| {
            let Role::Engine { target, model } = &member.role else {
                return false;
            };
            *model == self.model
                && *target != self.target
                && !rules.is_drained(target, &member.host, &member.domain)
        };
        for member in directory.iter().filter(serves) {
            let key = crate::admin::row_key(&member.name);
            let row = self
                .view
                .platform()
                .get(&key)
                .await
                .map_err(Error::Platform)?;
            let address = row.as_ref().and_then(|row| row.value["address"].as_str());
            let Some(address) = address else {
                continue;
            };
            let ready = self
                .http
                .get(format!("http://{address}/ready"))
                .send()
                .await;
            if ready.is_ok_and(|response| response.status().is_success()) {
                return Ok(true);
            }
        }
        Ok(false)
    }

    fn lease(&self, key: String, poll_interval: Duration) -> Handle {
        let view = Arc::clone(&self.view);
        let timing = Timing {
            duration: LEASE_DURATION,
            poll_interval: poll_interval.mul_f64(rand::random_range(0.5..1.5)),
        };
        Handle::spawn(view, key, self.name.clone(), timing)
    }

    /// Returns how often this agent polls the model's lease, so that all agents of the model
    /// together read the row [`LEASE_READS_PER_S`] times per second, however many they are.
    fn lease_poll_interval(&self) -> Duration {
        let directory = self.view.directory();
        let serves = |member: &&Member| matches!(&member.role, Role::Engine { model, .. } if *model == self.model);
        let agents = directory.iter().filter(serves).count();
        Duration::from_secs_f64(agents.max(1) as f64 / LEASE_READS_PER_S)
    }

    fn order_key(&self) -> String {
        format!("order/{}", self.target)
    }

    fn set_progress(&self, rollout: Option<&'static str>) {
        self.lock().rollout = rollout;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
