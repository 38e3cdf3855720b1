use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use admission::{Decision, Limits, Outcome};
use types::{Attempt, Boot, Domain, Host, Target};
use wire::{Load, Reason};
use xtra::prelude::*;

use crate::control::View;
use crate::metrics::Metrics;
use crate::settings::{Role, Settings};

/// The handle of the actor that owns the target's [`admission::Gate`].
#[derive(Debug, Clone)]
pub(super) struct Gate {
    actor: Address<Owner>,
    state: Arc<RwLock<State>>,
}

/// A copy of the gate's state that can be read without asking the actor.
#[derive(Debug, Clone)]
pub(super) struct State {
    pub(super) name: String,
    pub(super) load: Load,
}

#[derive(xtra::Actor)]
struct Owner {
    gate: admission::Gate,
    state: Arc<RwLock<State>>,
    metrics: Metrics,
}

struct Request(Attempt);
struct Confirm(Attempt, Boot);
struct Finish(Attempt, Outcome);
struct Observe(Boot);
struct Drained(bool);
struct Stop;

/// How often the rules are compared with the drain state.
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
        };
        let state = Arc::new(RwLock::new(State {
            name: gate.state().to_owned(),
            load,
        }));
        let owner = Owner {
            gate,
            state: Arc::clone(&state),
            metrics,
        };
        Self {
            actor: xtra::spawn_tokio(owner, Mailbox::unbounded()),
            state,
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
        let drained = view.rules().is_drained(target, host, domain);
        let _ = self.actor.send(Drained(drained)).await;
    }

    /// Asks for admission of a request.
    pub(super) async fn request(&self, attempt: Attempt) -> Result<(), Reason> {
        match self.actor.send(Request(attempt)).await {
            Ok(Decision::Admit) => Ok(()),
            Ok(Decision::Refuse(refusal)) => Err(reason(refusal)),
            Err(_) => Err(Reason::Unavailable),
        }
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
    pub(super) async fn observe(&self, boot: Boot) {
        let _ = self.actor.send(Observe(boot)).await;
    }

    /// Returns the state as it was after the last event.
    pub(super) fn state(&self) -> State {
        self.state
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
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
    fn publish(&self) {
        let load = Load {
            in_flight: self.gate.in_flight(),
            limit: self.gate.allowed(),
        };
        self.metrics.in_flight.set(load.in_flight.into());
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
    }
}

/// Handles a message by one call of the gate and publishes the state that it led to.
macro_rules! handle {
    ($message:ty, $return:ty, |$gate:ident, $value:ident| $body:expr) => {
        impl Handler<$message> for Owner {
            type Return = $return;

            async fn handle(&mut self, $value: $message, _context: &mut Context<Self>) -> $return {
                let $gate = &mut self.gate;
                let result = $body;
                self.publish();
                result
            }
        }
    };
}

handle!(Request, Decision, |gate, message| gate
    .on_request(message.0));
handle!(Confirm, (), |gate, message| gate
    .on_confirm(message.0, message.1));
handle!(Finish, (), |gate, message| gate
    .on_finish(message.0, message.1));
handle!(Observe, (), |gate, message| gate.on_probe(message.0));
handle!(Drained, (), |gate, message| {
    gate.set_drained(message.0);
});
handle!(Stop, (), |gate, _message| gate.stop());

fn reason(refusal: admission::Refusal) -> Reason {
    match refusal {
        admission::Refusal::Full | admission::Refusal::Unconfirmed => Reason::Full,
        admission::Refusal::Leaving => Reason::Leaving,
        admission::Refusal::Suspect => Reason::Unavailable,
    }
}
