use std::time::Duration;

use admission::Outcome;
use control::Denial;
use engine::{Plain, Service as _};
use tokio::time::Instant;
use types::{Boot, Service};
use wire::{Call, Dispatch, Frame, Reason, Reply};

use super::claim;
use super::gate::Gate;
use super::{Error, Shared};

/// The plain service beside this agent.
#[derive(Debug)]
pub(super) struct Backend {
    service: Service,
    client: Plain,
}

/// How often the service is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Plain services have no boot id; with a constant one they never count as cold.
const NO_BOOT: Boot = Boot(0);

impl Backend {
    /// Sets up the client and starts to probe the service.
    pub(super) fn spawn(service: Service, address: &str, gate: &Gate) -> Result<Self, Error> {
        let client = Plain::new(address)?;
        let (probe_client, gate) = (client.clone(), gate.clone());
        tokio::spawn(async move {
            loop {
                if probe_client.probe().await.is_ok() {
                    gate.record_probe(NO_BOOT).await;
                }
                tokio::time::sleep(PROBE_INTERVAL).await;
            }
        });
        Ok(Self { service, client })
    }
}

/// Runs a call; one that is not idempotent is sent at most once.
pub(super) async fn run(
    shared: &Shared,
    backend: &Backend,
    dispatch: &Dispatch,
    call: &Call,
    deadline: Instant,
) -> Frame {
    if call.service != backend.service {
        return shared.refuse(dispatch.request, Reason::WrongTarget);
    }
    if let Err(reason) = shared.gate.admit(dispatch, 1).await {
        return shared.refuse(dispatch.request, reason);
    }
    let (frame, outcome) = claim_and_send(shared, backend, dispatch, call, deadline).await;
    shared.gate.record_end(dispatch.attempt, outcome).await;
    frame
}

async fn claim_and_send(
    shared: &Shared,
    backend: &Backend,
    dispatch: &Dispatch,
    call: &Call,
    deadline: Instant,
) -> (Frame, Outcome) {
    let key = match &call.key {
        Some(key) if !call.repeatable => claim::row_key(&dispatch.team, key),
        _ if Instant::now() >= deadline => {
            let refused = shared.refuse(dispatch.request, Reason::Deadline);
            return (refused, Outcome::Cancelled);
        }
        _ => {
            return match send(backend, dispatch, call).await {
                Ok(reply) => succeeded(shared, dispatch, reply).await,
                Err(error) => failed(shared, dispatch, &error),
            };
        }
    };
    let digest = claim::digest(call);
    let held = match shared.claims.acquire(key, digest, deadline).await {
        Ok(held) => held,
        Err(denial) => {
            return (
                denied(shared, dispatch, denial, deadline),
                Outcome::Cancelled,
            );
        }
    };
    match send(backend, dispatch, call).await {
        Ok(reply) => {
            let (status, body) = (reply.status, reply.body.clone());
            let stored = shared
                .claims
                .store_outcome(held, control::Outcome { status, body });
            let (frame, ()) = tokio::join!(succeeded(shared, dispatch, reply), stored);
            frame
        }
        Err(error) => {
            if error.verdict() == types::Verdict::NotRun {
                shared.claims.release(held);
            } else {
                shared.claims.mark_outcome_unknown(&held);
            }
            failed(shared, dispatch, &error)
        }
    }
}

fn denied(shared: &Shared, dispatch: &Dispatch, denial: Denial, deadline: Instant) -> Frame {
    let verdict = denial.verdict();
    let reason = match denial {
        Denial::Replay(outcome) => {
            return Frame::Reply(Reply {
                request: dispatch.request,
                status: outcome.status,
                body: outcome.body,
                replayed: true,
                load: shared.gate.state().load,
            });
        }
        Denial::InDoubt => Reason::InDoubt,
        Denial::Mismatch => Reason::Mismatch,
        Denial::Platform if Instant::now() >= deadline => Reason::Deadline,
        Denial::Platform => Reason::Platform,
    };
    shared.refuse_with(dispatch.request, verdict, reason)
}

async fn send(
    backend: &Backend,
    dispatch: &Dispatch,
    call: &Call,
) -> Result<engine::Reply, engine::Error> {
    let (call, body) = (&call.call, &call.body);
    backend.client.call(call, dispatch.attempt, body).await
}

async fn succeeded(shared: &Shared, dispatch: &Dispatch, reply: engine::Reply) -> (Frame, Outcome) {
    shared.gate.record_response(dispatch.attempt, NO_BOOT).await;
    let reply = Frame::Reply(Reply {
        request: dispatch.request,
        status: reply.status,
        body: reply.body,
        replayed: false,
        load: shared.gate.state().load,
    });
    (reply, Outcome::Success)
}

fn failed(shared: &Shared, dispatch: &Dispatch, error: &engine::Error) -> (Frame, Outcome) {
    let attempt = dispatch.attempt;
    log::debug!("the service did not answer attempt {attempt}: {error}");
    let verdict = error.verdict();
    let refused = shared.refuse_with(dispatch.request, verdict, Reason::Unavailable);
    (refused, Outcome::Failure)
}
