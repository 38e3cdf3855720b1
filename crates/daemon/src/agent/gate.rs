use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use admission::{Decision, Estimator, Job, Limits, Outcome};
use rules::{Priority, Snapshot};
use tokio::sync::oneshot;
use types::{Attempt, Boot, Domain, Host, Target, Time};
use wire::{Dispatch, Load, Reason};
use xtra::prelude::*;

use crate::control::View;
use crate::metrics::Metrics;
use crate::settings::{Role, Settings};

/// A handle of the actor that owns the target's [`admission::Gate`].
#[derive(Debug, Clone)]
pub(super) struct Gate {
    actor: Address<Owner>,
    state: Arc<RwLock<State>>,
    /// Whether a rollout has drained the target; it has the effect of a drain rule.
    in_rollout: Arc<AtomicBool>,
}

/// A copy of the gate's state that can be read without sending a message to the actor.
#[derive(Debug, Clone)]
pub(super) struct State {
    pub(super) name: String,
    pub(super) load: Load,
    published_at: Time,
}

#[derive(xtra::Actor)]
struct Owner {
    gate: admission::Gate,
    estimator: Estimator,
    rules: Arc<Snapshot>,
    /// The queued requests, each with its number of tokens to compute and the channel for the
    /// decision.
    queued: HashMap<Attempt, (u32, oneshot::Sender<Decision>)>,
    state: Arc<RwLock<State>>,
    metrics: Metrics,
}

struct Request(Job);
struct Send(Attempt, u32);
struct FirstToken(Attempt);
struct Probe(Boot);
struct Confirm(Attempt, Boot);
struct Finish(Attempt, Outcome);
struct Rules(Arc<Snapshot>, bool);
struct Stop;

/// The number of prefills that stand for one request ahead in the queue for a slot: a request
/// without a slot has to wait for whole completions, however short its prompt is.
const SLOT_WAIT_PREFILLS: u32 = 100;
/// The maximum queue length at an agent; in a longer queue, requests would wait longer than most
/// callers do.
pub(super) const MAX_QUEUED: u32 = 64;
/// How often the drain rules are applied and expired requests are refused.
const RULES_INTERVAL: Duration = Duration::from_millis(100);
/// How often a draining agent checks whether its work has finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Gate {
    /// Starts the actor.
    pub(super) fn spawn(limits: Limits, metrics: Metrics) -> Self {
        let gate = admission::Gate::new(limits);
        let load = Load {
            in_flight: 0,
            limit: gate.allowed(),
            ..Load::default()
        };
        let state = Arc::new(RwLock::new(State {
            name: gate.state().to_owned(),
            load,
            published_at: crate::now(),
        }));
        let owner = Owner {
            gate,
            estimator: Estimator::default(),
            rules: Arc::default(),
            queued: HashMap::new(),
            state: Arc::clone(&state),
            metrics,
        };
        Self {
            actor: xtra::spawn_tokio(owner, Mailbox::unbounded()),
            state,
            in_rollout: Arc::default(),
        }
    }

    /// Applies drain rules as they come into force.
    pub(super) fn watch_rules(&self, view: Arc<View>, settings: &Settings) {
        let (host, domain) = (settings.host.clone(), settings.domain.clone());
        let target = match &settings.role {
            Role::Engine { target, .. } | Role::Service { target, .. } => target.clone(),
            Role::Entry { .. } => return,
        };
        let gate = self.clone();
        tokio::spawn(async move {
            loop {
                gate.apply_rules(&view, &target, &host, &domain).await;
                tokio::time::sleep(RULES_INTERVAL).await;
            }
        });
    }

    async fn apply_rules(&self, view: &View, target: &Target, host: &Host, domain: &Domain) {
        let rules = view.rules();
        let in_rollout = self.in_rollout.load(Ordering::Acquire);
        let drained = in_rollout || view.is_drained(target, host, domain);
        let _ = self.actor.send(Rules(rules, drained)).await;
    }

    /// Waits for the admission of a request for which the target computes at most `work` tokens.
    pub(super) async fn admit(&self, dispatch: &Dispatch, work: u32) -> Result<(), Reason> {
        let load = self.state().load;
        let queue = routing::Load {
            wait: Duration::from_millis(load.wait_ms.into()),
            prefilling: load.prefilling,
            received_at: Time::default(),
        };
        let prefill_time = routing::prefill_time(dispatch.uncached_tokens);
        if queue.expected_wait(prefill_time).as_millis() > dispatch.max_wait_ms.into() {
            return Err(Reason::Slow);
        }
        let remaining = Duration::from_millis(dispatch.deadline_ms.into());
        let job = Job {
            attempt: dispatch.attempt,
            team: dispatch.team.clone(),
            share: 1,
            work: work.min(dispatch.uncached_tokens.max(1)),
            priority: match dispatch.priority {
                Priority::Low => 0,
                Priority::Normal => 1,
                Priority::High => 2,
            },
            deadline: crate::now() + remaining,
        };
        let Ok(decision) = self.actor.send(Request(job)).await else {
            return Err(Reason::Unavailable);
        };
        match decision.await {
            Ok(Decision::Admit) => Ok(()),
            Ok(Decision::Refuse(refusal)) => Err(refusal_reason(refusal)),
            Ok(Decision::Wait) | Err(_) => Err(Reason::Unavailable),
        }
    }

    /// Records that an admitted request is sent, with the number of tokens left to compute.
    pub(super) async fn record_sent(&self, attempt: Attempt, work: u32) {
        let _ = self.actor.send(Send(attempt, work)).await;
    }

    /// Records the first token of a completion.
    pub(super) async fn record_first_token(&self, attempt: Attempt) {
        let _ = self.actor.send(FirstToken(attempt)).await;
    }

    /// Records that the target responded to a request.
    pub(super) async fn record_response(&self, attempt: Attempt, boot: Boot) {
        let _ = self.actor.send(Confirm(attempt, boot)).await;
    }

    /// Records the end of a request.
    pub(super) async fn record_end(&self, attempt: Attempt, outcome: Outcome) {
        let _ = self.actor.send(Finish(attempt, outcome)).await;
    }

    /// Records that the target responded to a probe.
    pub(super) async fn record_probe(&self, boot: Boot) {
        let _ = self.actor.send(Probe(boot)).await;
    }

    /// Returns the state after the last event.
    pub(super) fn state(&self) -> State {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        let mut state = state.clone();
        // The target has worked on the queue since then.
        let age = crate::now().since(state.published_at).as_millis();
        let age = u32::try_from(age).unwrap_or(u32::MAX);
        state.load.wait_ms = state.load.wait_ms.saturating_sub(age);
        state
    }

    /// Drains the target for a rollout, or ends that; it takes effect within [`RULES_INTERVAL`].
    pub(super) fn set_in_rollout(&self, in_rollout: bool) {
        self.in_rollout.store(in_rollout, Ordering::Release);
    }

    /// Waits until the target is drained and idle, or until `limit` has passed.
    pub(super) async fn wait_drained(&self, timeout: Duration) {
        let drained = async {
            while self.state().name != "drained" {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(timeout, drained).await;
    }

    /// Stops admission and waits until no request runs.
    pub(super) async fn stop(&self) {
        let _ = self.actor.send(Stop).await;
        while self.state().load.in_flight > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }
}

impl State {
    /// Returns whether the target accepts new work.
    pub(super) fn is_ready(&self) -> bool {
        matches!(self.name.as_str(), "cold" | "warming" | "ready")
    }
}

impl Owner {
    /// Delivers the decisions that are due to the queued requests.
    fn resolve_queued(&mut self) {
        let now = crate::now();
        while let Some((attempt, decision)) = self.gate.next_decision(now) {
            if let Some((work, sender)) = self.queued.remove(&attempt) {
                self.deliver(attempt, work, decision, sender);
            }
        }
    }

    fn deliver(
        &mut self,
        attempt: Attempt,
        work: u32,
        decision: Decision,
        sender: oneshot::Sender<Decision>,
    ) {
        // The request counts from now on, also while its context is fetched; otherwise the target
        // would seem idle to all requests that arrive in the meantime.
        if decision == Decision::Admit {
            self.estimator.on_sent(attempt, work, crate::now());
        }
        // Nobody waits for the decision any more, so the request will not be sent.
        if sender.send(decision).is_err() && decision == Decision::Admit {
            self.on_end(attempt, Outcome::Cancelled);
        }
    }

    fn on_end(&mut self, attempt: Attempt, outcome: Outcome) {
        self.estimator.on_end(attempt, crate::now());
        self.gate.on_finish(attempt, outcome);
    }

    /// Returns how many requests have to finish before a new one gets a slot.
    fn requests_ahead(&self) -> u32 {
        (self.gate.in_flight() + 1).saturating_sub(self.gate.allowed())
    }

    fn expected_wait(&self) -> Duration {
        let (requests_ahead, allowed) = (self.requests_ahead(), self.gate.allowed());
        let queued: u64 = self.queued.values().map(|(work, _)| u64::from(*work)).sum();
        self.estimator
            .expected_wait(crate::now(), requests_ahead, allowed)
            + self.estimator.prefill_time(queued)
    }

    fn publish(&self) {
        let load = Load {
            in_flight: self.gate.in_flight() + self.gate.queued(),
            limit: self.gate.allowed(),
            wait_ms: u32::try_from(self.expected_wait().as_millis()).unwrap_or(u32::MAX),
            prefilling: self.estimator.prefilling()
                + self.gate.queued()
                + SLOT_WAIT_PREFILLS * self.requests_ahead(),
        };
        self.metrics.in_flight.set(self.gate.in_flight().into());
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        if state.name != self.gate.state() {
            log::info!(
                "the target state changed from {} to {}",
                state.name,
                self.gate.state()
            );
            self.gate.state().clone_into(&mut state.name);
        }
        state.load = load;
        state.published_at = crate::now();
    }
}

/// Handles a message, then delivers the decisions that are due and publishes the resulting state.
macro_rules! handle {
    ($message:ty, $return:ty, |$owner:ident, $value:ident| $body:expr) => {
        impl Handler<$message> for Owner {
            type Return = $return;

            async fn handle(&mut self, $value: $message, _context: &mut Context<Self>) -> $return {
                let $owner = &mut *self;
                let result = $body;
                self.resolve_queued();
                self.publish();
                result
            }
        }
    };
}

handle!(Request, oneshot::Receiver<Decision>, |owner, message| {
    let (sender, receiver) = oneshot::channel();
    let mut job = message.0;
    if let Some(team) = owner.rules.teams.get(&job.team) {
        job.share = team.share;
    }
    let (attempt, work) = (job.attempt, job.work);
    match owner.gate.on_request(job) {
        Decision::Wait => {
            owner.queued.insert(attempt, (work, sender));
        }
        decision => owner.deliver(attempt, work, decision, sender),
    }
    receiver
});
handle!(Send, (), |owner, message| owner.estimator.on_sent(
    message.0,
    message.1,
    crate::now()
));
handle!(FirstToken, (), |owner, message| owner
    .estimator
    .on_first_token(message.0, crate::now()));
handle!(Confirm, (), |owner, message| owner
    .gate
    .on_confirm(message.0, message.1));
handle!(Finish, (), |owner, message| owner
    .on_end(message.0, message.1));
handle!(Probe, (), |owner, message| owner.gate.on_probe(message.0));
handle!(Rules, (), |owner, message| {
    owner.rules = message.0;
    owner.gate.set_drained(message.1);
});
handle!(Stop, (), |owner, _message| owner.gate.stop());

fn refusal_reason(refusal: admission::Refusal) -> Reason {
    match refusal {
        admission::Refusal::Full | admission::Refusal::Unconfirmed => Reason::Full,
        admission::Refusal::Leaving => Reason::Leaving,
        admission::Refusal::Suspect => Reason::Unavailable,
        admission::Refusal::Deadline => Reason::Deadline,
    }
}
