//! Brings the engine to the weight version that the rules name, one target of a model at a time.
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

/// What a rollout needs to know of the agent that it belongs to.
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

/// How far a rollout is, for `boragereel status`.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct Progress {
    /// The weight version that the engine serves, as of its last report.
    pub(super) weights: Option<Weights>,
    /// What the rollout does or waits for; `None` without one.
    pub(super) rollout: Option<&'static str>,
}

/// The row `order/{target}`: the last order to a target that does not check fencing numbers.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Sent {
    fence: Fence,
    weights: Weights,
    /// Whether the outcome is known; until then the order may still be carried out.
    done: bool,
}

/// Why a rollout stopped before the engine served the new weights; it is tried again later.
#[derive(Debug, displaydoc::Display)]
enum Stop {
    /// the lease was lost
    Lease,
    /// the rules name other weights by now
    Changed,
    /// it is the model's last ready target
    LastTarget,
    /// the platform is unavailable: {0}
    Platform(platform::Error),
    /// the engine did not carry out the order: {0}
    Engine(engine::Error),
    /// the engine did not serve the new weights in time
    Timeout,
    /// another process wrote the record of the order
    Raced,
}

/// How often the rules are compared with the engine; a change waits half of it on average.
const INTERVAL: Duration = Duration::from_millis(500);
/// The lease outlasts a few lost renewals, and a dead holder blocks its model for 11 s at most.
const LEASE: Duration = Duration::from_secs(10);
/// How long running requests may take to finish; those that take longer keep their own blocks.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);
/// An order is carried out or dropped by the engine within this time.
const ORDER_TIMEOUT: Duration = Duration::from_secs(30);
/// How long the next target waits for this one to warm up; without traffic it does not.
const WARM_TIMEOUT: Duration = Duration::from_secs(3);
/// The first pause after a rollout that stopped; it doubles each time, so that weights that no
/// engine can load do not keep taking targets out.
const RETRY: Duration = Duration::from_secs(1);
/// The greatest number of doublings of [`RETRY`]: about four minutes.
const DOUBLINGS: u32 = 8;
/// How long another agent may take to say whether it is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(1);
/// Reads of a model's turn by all its agents together; at 16 models they stay below a tenth of
/// what the platform bears.
const READS_PER_S: f64 = 10.0;
/// How often an agent that has its model's turn looks for a slot.
const SLOT_LOOK: Duration = Duration::from_secs(1);
/// Servers that may load weights at the same time without slowing each other down.
const SLOTS: u32 = 2;

impl Rollout {
    /// Starts to follow the rules; returns where the progress can be read.
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
            sleep(INTERVAL).await;
            let Some((serves, wanted)) = self.compare().await else {
                self.report(None);
                failures = 0;
                continue;
            };
            log::info!("rollout from weights {serves} to {wanted}");
            let result = self.roll(&wanted).await;
            self.gate.set_out(false);
            let outcome = match &result {
                Ok(()) => "done",
                Err(Stop::LastTarget) => "last_target",
                Err(_) => "stopped",
            };
            self.metrics.rollouts.with_label_values(&[outcome]).inc();
            match result {
                Ok(()) => log::info!("the engine serves weights {wanted}"),
                Err(stop) => {
                    log::warn!("the rollout to weights {wanted} stopped: {stop}");
                    let pause = RETRY * 2_u32.pow(failures.min(DOUBLINGS));
                    failures += 1;
                    let changed = self.pause(pause, &wanted).await;
                    if changed {
                        failures = 0;
                    }
                }
            }
        }
    }

    /// Waits, or returns true as soon as the rules name other weights or the target is drained.
    async fn pause(&self, pause: Duration, wanted: &Weights) -> bool {
        self.report(Some("pauses after a rollout that stopped"));
        // With jitter, agents that failed together do not compete in step.
        let end = Instant::now() + pause.mul_f64(rand::random_range(0.5..1.5));
        let drained = self.is_drained();
        while Instant::now() < end {
            let rules = self.view.rules();
            let named = rules.models.get(&self.model).map(|served| &served.weights);
            if named != Some(wanted) || self.is_drained() != drained {
                return true;
            }
            sleep(INTERVAL).await;
        }
        false
    }

    /// Returns the weights served and wanted if they differ.
    async fn compare(&self) -> Option<(Weights, Weights)> {
        let serves = self.engine.status().await.ok()?.weights;
        self.lock().weights = Some(serves.clone());
        let wanted = self.view.rules().models.get(&self.model)?.weights.clone();
        (serves != wanted).then_some((serves, wanted))
    }

    async fn roll(&self, wanted: &Weights) -> Result<(), Stop> {
        self.report(Some("waits for the model's turn"));
        let turn = self.lease(format!("lease/rollout/{}", self.model), self.look());
        turn.wait().await;
        let result = self.roll_in_turn(&turn, wanted).await;
        turn.release().await;
        result
    }

    async fn roll_in_turn(&self, turn: &Handle, wanted: &Weights) -> Result<(), Stop> {
        self.report(Some("waits for a slot to load weights"));
        let slots: Vec<Handle> = (0..SLOTS)
            .map(|slot| self.lease(format!("lease/weights/{slot}"), SLOT_LOOK))
            .collect();
        let slot = Handle::wait_any(&slots).await;
        let result = self.load(turn, &slots[slot], wanted).await;
        for slot in slots {
            slot.release().await;
        }
        result?;
        self.gate.set_out(false);
        self.report(Some("warms up"));
        let warm = async {
            while self.gate.state().name != "ready" {
                sleep(INTERVAL).await;
            }
        };
        // A target without traffic stays cold, so the turn passes on after a while.
        let _ = timeout(WARM_TIMEOUT, warm).await;
        Ok(())
    }

    async fn load(&self, turn: &Handle, slot: &Handle, wanted: &Weights) -> Result<(), Stop> {
        if !self.is_drained() && !self.has_ready_sibling().await? {
            return Err(Stop::LastTarget);
        }
        // Waiting for the leases may have taken long: the rules and the turn may have changed.
        let rules = self.view.rules();
        let named = rules.models.get(&self.model).map(|served| &served.weights);
        if named != Some(wanted) {
            return Err(Stop::Changed);
        }
        turn.fence().ok_or(Stop::Lease)?;
        self.report(Some("finishes running requests"));
        self.gate.set_out(true);
        self.gate.wait_empty(DRAIN_TIMEOUT).await;
        let check = self.view.rules().checks.get(&self.target).copied();
        let check = check.unwrap_or_default();
        let record = match check {
            Check::Fencing => None,
            Check::Nothing | Check::Sender => Some(self.settle_earlier().await?),
        };
        self.report(Some("loads weights"));
        let fence = turn.fence().ok_or(Stop::Lease)?;
        let record = match record {
            Some(version) => Some(self.write_order(version, fence, wanted, false).await?),
            None => None,
        };
        // The record took time: both leases are checked right before the act.
        if turn.fence() != Some(fence) || slot.fence().is_none() {
            if let Some(version) = record {
                self.write_order(version, fence, wanted, true).await?;
            }
            return Err(Stop::Lease);
        }
        let order = Order {
            fence,
            weights: wanted.clone(),
        };
        let deadline = Instant::now() + ORDER_TIMEOUT;
        let ordered = timeout(ORDER_TIMEOUT, self.engine.order(&order)).await;
        if let Ok(Err(error @ engine::Error::StaleFence)) = ordered {
            return Err(Stop::Engine(error));
        }
        // Whatever became of the answer, the engine's report tells which weights it serves; until
        // then, or until the order cannot be carried out any more, the target stays out.
        let served = self.wait_served(wanted, deadline).await;
        if let Some(version) = record {
            self.write_order(version, fence, wanted, true).await?;
        }
        match (served, ordered) {
            (true, _) => Ok(()),
            (false, Ok(Err(error))) => Err(Stop::Engine(error)),
            (false, _) => Err(Stop::Timeout),
        }
    }

    /// Waits until no order of an earlier incarnation can be carried out any more; returns the
    /// version of the record.
    async fn settle_earlier(&self) -> Result<u64, Stop> {
        let key = self.order_key();
        let row = self
            .view
            .platform()
            .get(&key)
            .await
            .map_err(Stop::Platform)?;
        let Some(row) = row else {
            return Ok(0);
        };
        match serde_json::from_value::<Sent>(row.value) {
            Ok(sent) if sent.done => {}
            Ok(sent) => {
                self.report(Some("waits out an earlier order"));
                self.wait_served(&sent.weights, Instant::now() + ORDER_TIMEOUT)
                    .await;
            }
            Err(_) => sleep(ORDER_TIMEOUT).await,
        }
        Ok(row.version)
    }

    async fn write_order(
        &self,
        expect: u64,
        fence: Fence,
        weights: &Weights,
        done: bool,
    ) -> Result<u64, Stop> {
        let sent = Sent {
            fence,
            weights: weights.clone(),
            done,
        };
        let data = |error: serde_json::Error| platform::Error::Data(error.to_string());
        let value = serde_json::to_value(sent).map_err(|error| Stop::Platform(data(error)))?;
        let write = Write {
            key: self.order_key(),
            expect,
            value: Some(value),
        };
        // A lost answer stops the rollout; the record then only makes the next attempt wait.
        match self.view.platform().commit(&[write]).await {
            Ok(Commit::Applied(versions)) => Ok(versions.first().copied().unwrap_or_default()),
            Ok(Commit::Conflict(_)) => Err(Stop::Raced),
            Err(error) => Err(Stop::Platform(error)),
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
            sleep(INTERVAL / 5).await;
        }
    }

    fn is_drained(&self) -> bool {
        let rules = self.view.rules();
        rules.is_drained(&self.target, &self.host, &self.domain)
    }

    /// Says whether another target of the model takes new work right now.
    async fn has_ready_sibling(&self) -> Result<bool, Stop> {
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
            let key = crate::admin::key(&member.name);
            let row = self
                .view
                .platform()
                .get(&key)
                .await
                .map_err(Stop::Platform)?;
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

    fn lease(&self, key: String, look: Duration) -> Handle {
        let view = Arc::clone(&self.view);
        let terms = Timing {
            duration: LEASE,
            poll_interval: look.mul_f64(rand::random_range(0.5..1.5)),
        };
        Handle::spawn(view, key, self.name.clone(), terms)
    }

    /// Returns how often this agent looks for the model's turn, so that all agents of the model
    /// together read the row [`READS_PER_S`] times a second, however many they are.
    fn look(&self) -> Duration {
        let directory = self.view.directory();
        let serves = |member: &&Member| matches!(&member.role, Role::Engine { model, .. } if *model == self.model);
        let agents = directory.iter().filter(serves).count();
        Duration::from_secs_f64(agents.max(1) as f64 / READS_PER_S)
    }

    fn order_key(&self) -> String {
        format!("order/{}", self.target)
    }

    fn report(&self, rollout: Option<&'static str>) {
        self.lock().rollout = rollout;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
