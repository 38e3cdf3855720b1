//! The entry: takes requests from callers, chooses targets and relays answers.
//!
//! It holds soft state only. What it believes of a target may be wrong; the agent decides.

mod api;
mod http;
mod load;
mod relay;
mod route;

use std::net::SocketAddr;
use std::sync::Arc;

use context::Secret;
use displaydoc::Display;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use wire::{Client, Keys, Listener};

use crate::admin::Report;
use crate::control::View;
use crate::metrics::Metrics;
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
    task: JoinHandle<()>,
    peers: JoinHandle<()>,
}

/// Why an entry did not start.
#[derive(Debug, Display, thiserror::Error)]
pub enum Error {
    /// the settings are not those of an entry
    Role,
    /// an address cannot be bound: {0}
    Bind(#[from] std::io::Error),
    /// the platform's client cannot be set up: {0}
    Platform(#[from] platform::Error),
}

/// What all requests of an entry share.
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
    routes: Arc<Routes>,
}

/// Starts an entry as the settings say.
///
/// # Errors
/// Fails when an address cannot be bound; an unavailable platform is no failure.
pub async fn spawn(settings: &Settings) -> Result<Entry, Error> {
    let Role::Entry { http_address } = &settings.role else {
        return Err(Error::Role);
    };
    let metrics = Metrics::new();
    let keys = settings.keys();
    let listener = Listener::bind(settings.peer_address, keys.clone()).await?;
    let peer = listener.address();
    let view = crate::control::spawn(settings, peer, metrics.clone())?;
    let peers = tokio::spawn(crate::control::accept(listener, Arc::clone(&view)));
    let shared = Arc::new(Shared {
        name: settings.name.clone(),
        region: settings.region.clone(),
        view,
        client: Client::new(keys.clone()),
        keys,
        secret: settings.context_secret.clone(),
        metrics: metrics.clone(),
        loads: Loads::default(),
        routes: Arc::default(),
    });
    shared
        .routes
        .follow(Arc::clone(&shared.view), shared.region.clone());
    let admin = crate::admin::spawn(settings.admin_address, metrics, Arc::clone(&shared)).await?;
    crate::admin::register(Arc::clone(&shared.view), &settings.name, admin);
    let socket = TcpListener::bind(http_address).await?;
    let http = socket.local_addr()?;
    let (stop, mut stopped) = watch::channel(false);
    let server = warp::serve(http::routes(shared))
        .incoming(socket)
        .graceful(async move {
            let _ = stopped.wait_for(|&stop| stop).await;
        });
    let task = tokio::spawn(server.run());
    Ok(Entry {
        http,
        admin,
        peer,
        stop,
        task,
        peers,
    })
}

impl Entry {
    /// Returns the address for callers.
    #[must_use]
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Returns the address of the operators' endpoint.
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
        let _ = self.task.await;
        self.peers.abort();
    }
}

impl Report for Shared {
    fn is_ready(&self) -> bool {
        !self.view.is_isolated()
    }

    fn status(&self) -> Value {
        let members: Vec<_> = self.view.directory().iter().cloned().collect();
        json!({
            "name": self.name,
            "version": self.view.version(),
            "incarnation": self.view.incarnation(),
            "members": members,
        })
    }
}

impl Shared {
    /// Records that an agent could not be reached.
    fn unreachable(&self, name: &str) {
        self.loads.failed(name, crate::now());
        self.view.note_unreachable(name);
    }

    fn secret(&self, team: &types::Team) -> Secret {
        Secret::derive(self.secret.as_bytes(), team)
    }
}
