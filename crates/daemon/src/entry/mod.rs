//! The entry: accepts requests from callers, chooses targets and relays completions.
//!
//! It holds soft state only. Its view of a target may be wrong; the agent decides.

mod api;
mod body;
mod call;
mod http;
mod limit;
mod load;
mod relay;
mod reply;
mod route;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use context::Secret;
use displaydoc::Display;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use types::Verdict;
use wire::{Client, Handle, Keys, Listener, Reason};

use crate::admin::{Query, Report};
use crate::callers::Callers;
use crate::control::View;
use crate::metrics::Metrics;
use crate::server;
use crate::settings::{Role, Settings};
use load::Loads;
use route::Routes;

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    http: SocketAddr,
    admin: SocketAddr,
    peer: SocketAddr,
    stop: watch::Sender<bool>,
    server_task: JoinHandle<()>,
    peer_task: JoinHandle<()>,
}

/// Why an entry failed to start.
#[derive(Debug, Display, thiserror::Error)]
pub enum Error {
    /// the settings do not have the role of an entry
    Role,
    /// cannot bind an address: {0}
    Bind(#[from] std::io::Error),
    /// cannot set up the platform client: {0}
    Platform(#[from] platform::Error),
}

/// The state shared by all requests of an entry.
#[derive(Debug)]
struct Shared {
    name: String,
    region: types::Region,
    view: Arc<View>,
    client: Client,
    keys: Keys,
    secret: String,
    metrics: Metrics,
    loads: Loads,
    budget: Mutex<routing::Budget>,
    peer_listener: Handle,
    routes: Arc<Routes>,
    limits: limit::Limits,
}

/// Starts an entry with the given settings.
///
/// # Errors
/// Fails if an address cannot be bound; an unavailable platform is not an error.
pub async fn spawn(settings: &Settings) -> Result<Entry, Error> {
    let Role::Entry { http_address } = &settings.role else {
        return Err(Error::Role);
    };
    let metrics = Metrics::new();
    let machine = settings.limits.machine();
    let keys = settings.keys();
    let listener = Listener::bind(settings.peer_address, keys.clone()).await?;
    let (peer, peer_listener) = (listener.address(), listener.handle());
    let view = crate::control::spawn(settings, peer, metrics.clone())?;
    let peer_task = tokio::spawn(crate::control::accept(listener, Arc::clone(&view)));
    let shared = Arc::new(Shared {
        name: settings.name.clone(),
        region: settings.region.clone(),
        view,
        client: Client::new(keys.clone()),
        keys,
        secret: settings.context_secret.clone(),
        metrics: metrics.clone(),
        loads: Loads::default(),
        budget: Mutex::default(),
        peer_listener,
        routes: Arc::default(),
        limits: limit::Limits::default(),
    });
    shared
        .routes
        .watch(Arc::clone(&shared.view), shared.region.clone());
    let admin = crate::admin::spawn(
        settings.admin_address,
        metrics.clone(),
        Arc::clone(&shared),
        machine.administration(),
    )
    .await?;
    crate::admin::register(Arc::clone(&shared.view), &settings.name, admin);
    let socket = listen(*http_address)?;
    let http = socket.local_addr()?;
    let (stop, stopped) = watch::channel(false);
    let server_task = tokio::spawn(server::run(
        socket,
        http::routes(shared),
        Callers::new(machine.callers(), metrics.clone()),
        refuse_busy,
        metrics,
        stopped,
    ));
    Ok(Entry {
        http,
        admin,
        peer,
        stop,
        server_task,
        peer_task,
    })
}

/// Refuses a request for whose head there is no memory.
fn refuse_busy(metrics: &Metrics) -> warp::reply::Response {
    let refusal = api::Refusal::system(Reason::Full, Verdict::NotRun, body::BUSY_RETRY_MS);
    reply::refuse(metrics, &refusal)
}

/// The maximum number of connections that wait to be accepted; tokio's default.
const ACCEPT_BACKLOG: u32 = 1024;

/// Binds the address for callers with `TCP_NODELAY`: otherwise a first token that waits for the
/// acknowledgement of the response head is about 40 ms late. Accepted sockets inherit the option
/// from the listening one.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

impl Entry {
    /// Returns the address for callers.
    #[must_use]
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Returns the address of the admin endpoint.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Returns the address for streams from other processes.
    #[must_use]
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Accepts no new requests and returns once all running ones are answered.
    pub async fn drain(self) {
        self.stop.send_replace(true);
        let _ = self.server_task.await;
        self.peer_task.abort();
    }
}

impl Report for Shared {
    fn is_ready(&self) -> bool {
        !self.view.is_isolated()
    }

    fn explain(&self, query: &Query) -> Option<Value> {
        let Query {
            team,
            model,
            prompt,
        } = query;
        // The text of a chat with this single message, as `Chat::prompt` formats it.
        let text = format!("user: {prompt}\n");
        let root = context::root_digest(&self.secret(team), model, &text);
        let need = route::Need::Model(model, std::time::Duration::ZERO);
        let key = routing::Key::new(&[&root]);
        let candidates = route::candidates(self, need, key, true);
        let names = candidates
            .iter()
            .map(|candidate| candidate.member.name.as_str());
        Some(json!({ "candidates": names.collect::<Vec<_>>() }))
    }

    fn status(&self) -> Value {
        let members: Vec<_> = self.view.directory().iter().cloned().collect();
        json!({
            "name": self.name,
            "version": self.view.version(),
            "incarnation": self.view.incarnation(),
            "members": members,
            "refused_connections": self.peer_listener.failed_handshakes(),
        })
    }
}

impl Shared {
    fn budget(&self) -> MutexGuard<'_, routing::Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an agent could not be reached.
    fn record_unreachable(&self, name: &str) {
        self.loads.record_failure(name, crate::now());
        self.view.note_unreachable(name);
    }

    fn secret(&self, team: &types::Team) -> Secret {
        Secret::derive(self.secret.as_bytes(), team)
    }
}
