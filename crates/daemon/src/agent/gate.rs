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

/// The handle of the actor that owns the target's [`admission::Gate`].
#[derive(Debug, Clone)]
pub(super) struct Gate {
    actor: Address<Owner>,
    state: Arc<RwLock<State>>,
    /// Whether a rollout has taken the target out; it counts like a drain rule.
    out: Arc<AtomicBool>,
}

/// A copy of the gate's state that can be read without asking the actor.
#[derive(Debug, Clone)]
pub(super) struct State {
    pub(super) name: String,
    pub(super) load: Load,
    at: Time,
}

#[derive(xtra::Actor)]
struct Owner {
    gate: admission::Gate,
    pace: Estimator,
    rules: Arc<Snapshot>,
    /// The requests that wait, with their work and the way back to each.
    waiting: HashMap<Attempt, (u32, oneshot::Sender<Decision>)>,
    state: Arc<RwLock<State>>,
    metrics: Metrics,
}

struct Request(Job);
struct Send(Attempt, u32);
struct First(Attempt);
struct Probe(Boot);
struct Confirm(Attempt, Boot);
struct Finish(Attempt, Outcome);
struct Rules(Arc<Snapshot>, bool);
struct Stop;

/// A request without a slot waits for whole answers, however short its prompt is.
const SLOT_TURNS: u32 = 100;
/// Requests that wait at an agent; more would wait longer than most callers do.
pub(super) const WAITING: u32 = 64;
/// How often the rules are compared with the drain state and expired requests are refused.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(100);
/// How often a stopping agent looks whether its work is finished.
const STOP_INTERVAL: Duration = Duration::from_millis(20);

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
            at: crate::now(),
        }));
        let owner = Owner {
            gate,
            pace: Estimator::default(),
            rules: Arc::default(),
            waiting: HashMap::new(),
            state: Arc::clone(&state),
            metrics,
        };
        Self {
            actor: xtra::spawn_tokio(owner, Mailbox::unbounded()),
            state,
            out: Arc::default(),
        }
    }

    /// Applies drain rules as they come into force.
    pub(super) fn follow(&self, view: Arc<View>, settings: &Settings) {
        let (host, domain) = (settings.host.clone(), settings.domain.clone());
        let target = match &settings.role {
            Role::Engine { target, .. } | Role::Service { target, .. } => target.clone(),
            Role::Entry { .. } => return,
        };
        let gate = self.clone();
        tokio::spawn(async move {
            loop {
                gate.apply_rules(&view, &target, &host, &domain).await;
                tokio::time::sleep(FOLLOW_INTERVAL).await;
            }
        });
    }

    async fn apply_rules(&self, view: &View, target: &Target, host: &Host, domain: &Domain) {
        let rules = view.rules();
        let out = self.out.load(Ordering::Acquire);
        let drained = out || view.is_drained(target, host, domain);
        let _ = self.actor.send(Rules(rules, drained)).await;
    }

    /// Waits for the admission of a request that makes the target compute at most `work` tokens.
    pub(super) async fn request(&self, dispatch: &Dispatch, work: u32) -> Result<(), Reason> {
        let load = self.state().load;
        let wait = routing::Load {
            wait: Duration::from_millis(load.wait_ms.into()),
            prefilling: load.prefilling,
            received_at: Time::default(),
        };
        let own = routing::prefill_time(dispatch.uncached_tokens);
        if wait.expected_wait(own).as_millis() > dispatch.max_wait_ms.into() {
            return Err(Reason::Slow);
        }
        let left = Duration::from_millis(dispatch.deadline_ms.into());
        let ask = Job {
            attempt: dispatch.attempt,
            team: dispatch.team.clone(),
            share: 1,
            work: work.min(dispatch.uncached_tokens.max(1)),
            priority: match dispatch.priority {
                Priority::Low => 0,
                Priority::Normal => 1,
                Priority::High => 2,
            },
            deadline: crate::now() + left,
        };
        let Ok(decision) = self.actor.send(Request(ask)).await else {
            return Err(Reason::Unavailable);
        };
        match decision.await {
            Ok(Decision::Admit) => Ok(()),
            Ok(Decision::Refuse(refusal)) => Err(reason(refusal)),
            Ok(Decision::Wait) | Err(_) => Err(Reason::Unavailable),
        }
    }

    /// Records that an admitted request is sent, with the tokens that are left to compute.
    pub(super) async fn sending(&self, attempt: Attempt, work: u32) {
        let _ = self.actor.send(Send(attempt, work)).await;
    }

    /// Records the first token of an answer.
    pub(super) async fn first(&self, attempt: Attempt) {
        let _ = self.actor.send(First(attempt)).await;
    }

    /// Records that the target answered a request.
    pub(super) async fn confirm(&self, attempt: Attempt, boot: Boot) {
        let _ = self.actor.send(Confirm(attempt, boot)).await;
    }

    /// Records the end of a request.
    pub(super) async fn finish(&self, attempt: Attempt, outcome: Outcome) {
        let _ = self.actor.send(Finish(attempt, outcome)).await;
    }

    /// Records that the target answered a probe.
    pub(super) async fn probed(&self, boot: Boot) {
        let _ = self.actor.send(Probe(boot)).await;
    }

    /// Returns the state as it was after the last event.
    pub(super) fn state(&self) -> State {
        let state = self.state.read().unwrap_or_else(PoisonError::into_inner);
        let mut state = state.clone();
        // The target has worked on what waited since then.
        let age = crate::now().since(state.at).as_millis();
        let age = u32::try_from(age).unwrap_or(u32::MAX);
        state.load.wait_ms = state.load.wait_ms.saturating_sub(age);
        state
    }

    /// Takes the target out for a rollout, or ends that; it takes effect within
    /// [`FOLLOW_INTERVAL`].
    pub(super) fn set_out(&self, out: bool) {
        self.out.store(out, Ordering::Release);
    }

    /// Waits until the target is out and nothing runs, or until `limit` has passed.
    pub(super) async fn wait_empty(&self, limit: Duration) {
        let empty = async {
            while self.state().name != "drained" {
                tokio::time::sleep(STOP_INTERVAL).await;
            }
        };
        let _ = tokio::time::timeout(limit, empty).await;
    }

    /// Stops admission and waits until nothing runs.
    pub(super) async fn stop(&self) {
        let _ = self.actor.send(Stop).await;
        while self.state().load.in_flight > 0 {
            tokio::time::sleep(STOP_INTERVAL).await;
        }
    }
}

impl State {
    /// Says whether the target takes new work.
    pub(super) fn is_ready(&self) -> bool {
        matches!(self.name.as_str(), "cold" | "warming" | "ready")
    }
}

impl Owner {
    /// Tells the waiting requests whose fate is known by now.
    fn settle(&mut self) {
        let now = crate::now();
        while let Some((attempt, decision)) = self.gate.next_decision(now) {
            if let Some((work, sender)) = self.waiting.remove(&attempt) {
                self.decided(attempt, work, decision, sender);
            }
        }
    }

    fn decided(
        &mut self,
        attempt: Attempt,
        work: u32,
        decision: Decision,
        sender: oneshot::Sender<Decision>,
    ) {
        // It counts from now on, also while its context is fetched; otherwise all that come in the
        // meantime would take the target for idle.
        if decision == Decision::Admit {
            self.pace.on_sent(attempt, work, crate::now());
        }
        // Nobody waits for it any more, so it will not be sent.
        if sender.send(decision).is_err() && decision == Decision::Admit {
            self.end(attempt, Outcome::Cancelled);
        }
    }

    fn end(&mut self, attempt: Attempt, outcome: Outcome) {
        self.pace.on_end(attempt, crate::now());
        self.gate.on_finish(attempt, outcome);
    }

    /// Returns how many requests have to finish before a new one gets a slot.
    fn ahead(&self) -> u32 {
        (self.gate.in_flight() + 1).saturating_sub(self.gate.allowed())
    }

    fn wait(&self) -> Duration {
        let (ahead, allowed) = (self.ahead(), self.gate.allowed());
        let queued: u64 = self
            .waiting
            .values()
            .map(|(work, _)| u64::from(*work))
            .sum();
        self.pace.expected_wait(crate::now(), ahead, allowed) + self.pace.prefill_time(queued)
    }

    fn publish(&self) {
        let load = Load {
            in_flight: self.gate.in_flight() + self.gate.queued(),
            limit: self.gate.allowed(),
            wait_ms: u32::try_from(self.wait().as_millis()).unwrap_or(u32::MAX),
            prefilling: self.pace.prefilling() + self.gate.queued() + SLOT_TURNS * self.ahead(),
        };
        self.metrics.in_flight.set(self.gate.in_flight().into());
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        if state.name != self.gate.state() {
            log::info!(
                "the target went from {} to {}",
                state.name,
                self.gate.state()
            );
            self.gate.state().clone_into(&mut state.name);
        }
        state.load = load;
        state.at = crate::now();
    }
}

/// Handles a message, then settles what waits and publishes the state that it led to.
macro_rules! handle {
    ($message:ty, $return:ty, |$owner:ident, $value:ident| $body:expr) => {
        impl Handler<$message> for Owner {
            type Return = $return;

            async fn handle(&mut self, $value: $message, _context: &mut Context<Self>) -> $return {
                let $owner = &mut *self;
                let result = $body;
                self.settle();
                self.publish();
                result
            }
        }
    };
}

handle!(Request, oneshot::Receiver<Decision>, |owner, message| {
    let (sender, receiver) = oneshot::channel();
    let mut ask = message.0;
    if let Some(account) = owner.rules.teams.get(&ask.team) {
        ask.share = account.share;
    }
    let (attempt, work) = (ask.attempt, ask.work);
    match owner.gate.on_request(ask) {
        Decision::Wait => {
            owner.waiting.insert(attempt, (work, sender));
        }
        decision => owner.decided(attempt, work, decision, sender),
    }
    receiver
});
handle!(Send, (), |owner, message| owner.pace.on_sent(
    message.0,
    message.1,
    crate::now()
));
handle!(First, (), |owner, message| owner
    .pace
    .on_first_token(message.0, crate::now()));
handle!(Confirm, (), |owner, message| owner
    .gate
    .on_confirm(message.0, message.1));
handle!(Finish, (), |owner, message| owner.end(message.0, message.1));
handle!(Probe, (), |owner, message| owner.gate.on_probe(message.0));
handle!(Rules, (), |owner, message| {
    owner.rules = message.0;
    owner.gate.set_drained(message.1);
});
handle!(Stop, (), |owner, _message| owner.gate.stop());

fn reason(refusal: admission::Refusal) -> Reason {
    match refusal {
        admission::Refusal::Full | admission::Refusal::Unconfirmed => Reason::Full,
        admission::Refusal::Leaving => Reason::Leaving,
        admission::Refusal::Suspect => Reason::Unavailable,
        admission::Refusal::Deadline => Reason::Deadline,
    }
}
