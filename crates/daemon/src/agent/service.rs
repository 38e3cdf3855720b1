use std::time::Duration;

use admission::Outcome;
use control::{Claim, State};
use engine::{Plain, Service as _};
use types::{Boot, Service, Verdict};
use wire::{Call, Dispatch, Frame, Reason, Reply};

use super::claim::{self, Claimed};
use super::gate::Gate;
use super::{Error, Shared};

/// The plain service beside this agent.
#[derive(Debug)]
pub(super) struct Backend {
    service: Service,
    plain: Plain,
}

/// How often the service is asked whether it is there.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Plain services have no boot id; one that is always the same never means cold.
const NO_BOOT: Boot = Boot(0);

impl Backend {
    /// Starts to probe the service.
    pub(super) fn spawn(service: Service, address: &str, gate: &Gate) -> Result<Self, Error> {
        let plain = Plain::new(address)?;
        let (probed, gate) = (plain.clone(), gate.clone());
        tokio::spawn(async move {
            loop {
                if probed.probe().await.is_ok() {
                    gate.probed(NO_BOOT).await;
                }
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        });
        Ok(Self { service, plain })
    }
}

/// Runs a call; one that must not repeat is sent at most once.
pub(super) async fn run(
    shared: &Shared,
    backend: &Backend,
    dispatch: &Dispatch,
    call: &Call,
) -> Frame {
    if call.service != backend.service {
        return shared.refuse(Reason::WrongTarget);
    }
    if let Err(reason) = shared.gate.request(dispatch, 1).await {
        return shared.refuse(reason);
    }
    let (answer, outcome) = claim_and_send(shared, backend, dispatch, call).await;
    shared.gate.finish(dispatch.attempt, outcome).await;
    answer
}

async fn claim_and_send(
    shared: &Shared,
    backend: &Backend,
    dispatch: &Dispatch,
    call: &Call,
) -> (Frame, Outcome) {
    let key = match &call.key {
        Some(key) if !call.repeatable => claim::row_key(&dispatch.team, key),
        _ => return send(shared, backend, dispatch, call).await,
    };
    let platform = shared.view.platform();
    let mut claim = Claim {
        attempt: dispatch.attempt,
        agent: shared.name.clone(),
        incarnation: shared.view.incarnation(),
        state: State::Claimed,
    };
    let version = match claim::acquire(platform, &key, &claim).await {
        Claimed::Ours(version) => version,
        Claimed::Done(outcome) => {
            let reply = Frame::Reply(Reply {
                status: outcome.status,
                body: outcome.body,
                replayed: true,
                load: shared.gate.state().load,
            });
            return (reply, Outcome::Cancelled);
        }
        Claimed::InDoubt => {
            let refused = shared.refuse_with(Verdict::MayHaveRun, Reason::InDoubt);
            return (refused, Outcome::Cancelled);
        }
        Claimed::Unknown => return (shared.refuse(Reason::Platform), Outcome::Cancelled),
    };
    let (answer, outcome) = send(shared, backend, dispatch, call).await;
    if let Frame::Reply(reply) = &answer {
        let (status, body) = (reply.status, reply.body.clone());
        claim.state = State::Done(control::Outcome { status, body });
        claim::store(platform, &key, version, &claim).await;
    }
    (answer, outcome)
}

async fn send(
    shared: &Shared,
    backend: &Backend,
    dispatch: &Dispatch,
    call: &Call,
) -> (Frame, Outcome) {
    match backend
        .plain
        .call(&call.call, dispatch.attempt, &call.body)
        .await
    {
        Ok(reply) => {
            shared.gate.confirm(dispatch.attempt, NO_BOOT).await;
            let reply = Frame::Reply(Reply {
                status: reply.status,
                body: reply.body,
                replayed: false,
                load: shared.gate.state().load,
            });
            (reply, Outcome::Success)
        }
        Err(error) => {
            log::debug!(
                "the service did not answer attempt {}: {error}",
                dispatch.attempt
            );
            let refused = shared.refuse_with(error.verdict(), Reason::Unavailable);
            (refused, Outcome::Failure)
        }
    }
}
