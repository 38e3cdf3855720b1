//! The agent: the only process that sends requests to its target, so its view of the target is
//! authoritative.

mod batch;
mod cache;
mod claim;
mod completion;
mod gate;
mod lease;
mod prompt;
mod rollout;
mod service;
mod track;
mod transfer;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use displaydoc::Display;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout};
use types::{Request, Verdict};
use wire::{
    Admitted, Client, Dispatch, Frame, Handle, Listener, Reason, Refused, Resolution, Stream, Work,
};

use crate::admin::Report;
use crate::control::View;
use crate::metrics::Metrics;
use crate::settings::{Role, Settings};
use claim::Claims;
use completion::Registry;
use gate::Gate;
use rollout::{Progress, Rollout};
use track::Tracker;

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    gate: Gate,
    pending_writes: Tracker,
    peer_listener: Handle,
    address: SocketAddr,
    admin: SocketAddr,
}

/// How long a peer may take to send the first frame of a stream.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(10);

/// Why an agent failed to start.
#[derive(Debug, Display, thiserror::Error)]
pub enum Error {
    /// the settings do not have the role of an agent
    Role,
    /// cannot bind an address: {0}
    Bind(#[from] std::io::Error),
    /// cannot set up the platform client: {0}
    Platform(#[from] platform::Error),
    /// cannot set up the client of the target: {0}
    Engine(#[from] engine::Error),
    /// cannot set up the client of a store host: {0}
    Store(#[from] store::Error),
}

/// The state shared by all requests of an agent.
#[derive(Debug)]
struct Shared {
    name: String,
    view: Arc<View>,
    gate: Gate,
    metrics: Metrics,
    completions: Registry,
    claims: Claims,
    peer_listener: Handle,
    target: Target,
    rollout: Option<Arc<Mutex<Progress>>>,
}

#[derive(Debug)]
enum Target {
    Engine(Box<prompt::Backend>),
    Service(service::Backend),
}

/// Starts an agent with the given settings.
///
/// # Errors
/// Fails if an address cannot be bound or a client cannot be set up; an unavailable platform or
/// target is not an error.
pub async fn spawn(settings: &Settings) -> Result<Agent, Error> {
    let metrics = Metrics::new();
    let listener = Listener::bind(settings.peer_address, settings.keys()).await?;
    let address = listener.address();
    let view = crate::control::spawn(settings, address, metrics.clone())?;
    let mut rollout = None;
    let (gate, target) = match &settings.role {
        Role::Entry { .. } => return Err(Error::Role),
        Role::Engine {
            model,
            address,
            cold_limit,
            warm_limit,
            warm_after,
            target,
        } => {
            let limits = admission::Limits {
                cold: *cold_limit,
                warm: *warm_limit,
                warm_after: *warm_after,
                max_queued: gate::MAX_QUEUED,
            };
            let gate = Gate::spawn(limits, metrics.clone());
            let backend =
                prompt::Backend::spawn(settings, model.clone(), address, &gate, &metrics)?;
            rollout = Some(Rollout::spawn(
                settings,
                (target.clone(), model.clone()),
                (Arc::clone(&view), gate.clone()),
                backend.engine(),
                metrics.clone(),
            )?);
            (gate, Target::Engine(Box::new(backend)))
        }
        Role::Service {
            service,
            address,
            limit,
            ..
        } => {
            let limits = admission::Limits {
                cold: *limit,
                warm: *limit,
                warm_after: 1,
                max_queued: gate::MAX_QUEUED,
            };
            let gate = Gate::spawn(limits, metrics.clone());
            let backend = service::Backend::spawn(service.clone(), address, &gate)?;
            (gate, Target::Service(backend))
        }
    };
    gate.watch_rules(Arc::clone(&view), settings);
    let (pending_writes, peer_listener) = (Tracker::default(), listener.handle());
    let client = Client::new(settings.keys());
    let shared = Arc::new(Shared {
        claims: Claims::new(
            settings.name.clone(),
            Arc::clone(&view),
            client,
            pending_writes.clone(),
        ),
        peer_listener: peer_listener.clone(),
        name: settings.name.clone(),
        view,
        gate: gate.clone(),
        metrics: metrics.clone(),
        completions: Registry::default(),
        target,
        rollout,
    });
    let admin = crate::admin::spawn(
        settings.admin_address,
        metrics,
        Arc::clone(&shared),
        settings.limits.machine().administration(),
    )
    .await?;
    crate::admin::register(Arc::clone(&shared.view), &settings.name, admin);
    tokio::spawn(accept(listener, shared));
    Ok(Agent {
        gate,
        pending_writes,
        peer_listener,
        address,
        admin,
    })
}

impl Agent {
    /// Returns the address for streams from other processes.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the admin endpoint.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Refuses new work and returns once all running requests have finished, their outcomes are
    /// stored and every reader has received its whole completion.
    pub async fn drain(&self) {
        self.gate.stop().await;
        self.pending_writes.idle().await;
        self.peer_listener.close().await;
    }
}

impl Report for Shared {
    fn is_ready(&self) -> bool {
        !self.view.is_isolated() && self.gate.state().is_ready()
    }

    fn status(&self) -> Value {
        let state = self.gate.state();
        let progress = self.rollout.as_ref().map(|progress| {
            let progress = progress.lock().unwrap_or_else(PoisonError::into_inner);
            progress.clone()
        });
        let progress = progress.unwrap_or_default();
        json!({
            "name": self.name,
            "version": self.view.version(),
            "incarnation": self.view.incarnation(),
            "state": state.name,
            "in_flight": state.load.in_flight,
            "limit": state.load.limit,
            "refused_connections": self.peer_listener.failed_handshakes(),
            "weights": progress.weights,
            "rollout": progress.rollout,
        })
    }
}

async fn accept(mut listener: Listener, shared: Arc<Shared>) {
    while let Some(stream) = listener.accept().await {
        tokio::spawn(serve(stream, Arc::clone(&shared)));
    }
}

async fn serve(mut stream: Stream, shared: Arc<Shared>) {
    let frame = match timeout(FIRST_FRAME_TIMEOUT, stream.receiver.recv()).await {
        Ok(Ok(Some(frame))) => frame,
        Ok(Ok(None)) => return,
        Ok(Err(error)) => return shared.reject(&error.to_string()),
        Err(_) => return shared.reject("no frame received within 10 s"),
    };
    if let Frame::Dispatch(dispatch) = &frame {
        shared.view.note_version(dispatch.version);
    }
    match frame {
        Frame::Control(message) => return shared.view.serve(message, &mut stream).await,
        Frame::Dispatch(dispatch) if shared.view.is_isolated() => {
            let refused = shared.refuse(dispatch.request, Reason::Isolated);
            let _ = stream.sender.send(&refused).await;
        }
        Frame::Dispatch(dispatch) => run(dispatch, &mut stream, &shared).await,
        Frame::Resume(resume) => match shared.completions.get(resume.request, &resume.team) {
            Some(buffer) => {
                let admitted = Frame::Admitted(Admitted {
                    load: shared.gate.state().load,
                    version: shared.view.version(),
                });
                if stream.sender.send(&admitted).await.is_ok() {
                    completion::follow(&buffer, resume.from, &mut stream, &shared).await;
                }
            }
            None => {
                // A completion of another team is reported as unknown too, so that nothing can be
                // learned about it. The request may have run here before this process started.
                let (request, verdict) = (resume.request, Verdict::MayHaveRun);
                let refused = shared.refuse_with(request, verdict, Reason::Unknown);
                let _ = stream.sender.send(&refused).await;
            }
        },
        Frame::Query(query) => {
            let resolution = Resolution {
                attempt: query.attempt,
                status: shared.claims.resolve(&query).await,
            };
            let _ = stream.sender.send(&Frame::Resolution(resolution)).await;
        }
        _ => shared.reject("the first frame does not start a request"),
    }
    stream.sender.finish();
}

async fn run(dispatch: Dispatch, stream: &mut Stream, shared: &Arc<Shared>) {
    let deadline = Instant::now() + Duration::from_millis(dispatch.deadline_ms.into());
    if dispatch.deadline_ms == 0 {
        let refused = shared.refuse(dispatch.request, Reason::Deadline);
        let _ = stream.sender.send(&refused).await;
        return;
    }
    match (&shared.target, dispatch.work.clone()) {
        (Target::Engine(backend), Work::Prompt(prompt)) => {
            prompt::run(shared, backend, &dispatch, prompt, deadline, stream).await;
        }
        (Target::Service(backend), Work::Call(call)) => {
            let reply = service::run(shared, backend, &dispatch, &call, deadline).await;
            let _ = stream.sender.send(&reply).await;
        }
        _ => {
            let refused = shared.refuse(dispatch.request, Reason::WrongTarget);
            let _ = stream.sender.send(&refused).await;
        }
    }
}

impl Shared {
    /// Returns the refusal of a request that was not sent to the target and never will be.
    fn refuse(&self, request: Request, reason: Reason) -> Frame {
        self.refuse_with(request, Verdict::NotRun, reason)
    }

    fn refuse_with(&self, request: Request, verdict: Verdict, reason: Reason) -> Frame {
        self.metrics.count_refusal(&format!("{reason:?}"));
        Frame::Refused(Refused {
            request,
            verdict,
            reason,
            retry_after_ms: 50,
            load: self.gate.state().load,
        })
    }

    /// Counts a stream that does not start a request; the stream closes when it is dropped.
    fn reject(&self, error: &str) {
        log::debug!("closed a stream: {error}");
        self.metrics.count_refusal("bad_stream");
    }
}
