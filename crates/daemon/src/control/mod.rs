//! Keeps what a process knows of the configuration and of the other processes.
//!
//! The decisions are those of [`control::Node`]; this module carries them out. See
//! `docs/control.md`.

mod driver;
mod peers;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use arc_swap::ArcSwap;
use control::{Directory, Event, Member, Message};
use platform::{Client, Error};
use rules::Snapshot;
use tokio::sync::{mpsc, oneshot};
use types::{Domain, Host, Incarnation, Target, Time, Version};

use crate::metrics::Metrics;
use crate::settings::{Role, Settings};

pub use peers::accept;

/// What a process knows; it is shared with the request path, which only reads it.
#[derive(Debug)]
pub struct View {
    rules: ArcSwap<Snapshot>,
    directory: ArcSwap<Directory>,
    leaving: ArcSwap<BTreeSet<Host>>,
    ready: AtomicBool,
    /// When the platform or a peer was last heard, in microseconds; 0 for never.
    heard: AtomicU64,
    incarnation: Incarnation,
    platform: Client,
    inputs: mpsc::Sender<Input>,
}

/// What reaches the driver of the control part.
#[derive(Debug)]
enum Input {
    /// Something that happened.
    Event(Event),
    /// A question of a peer and where its answer goes.
    Request(Message, oneshot::Sender<Message>),
}

/// Inputs that may wait. Beyond that questions of peers are dropped, who ask others then.
const BACKLOG: usize = 1024;

impl View {
    /// Returns the rules in force.
    pub fn rules(&self) -> Arc<Snapshot> {
        self.rules.load_full()
    }

    /// Returns the known members.
    pub fn directory(&self) -> Arc<Directory> {
        self.directory.load_full()
    }

    /// Returns the hosts that the platform is about to take away.
    pub fn leaving(&self) -> Arc<BTreeSet<Host>> {
        self.leaving.load_full()
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> Version {
        self.rules.load().version
    }

    /// Says whether the process has learned the configuration.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Says whether the process must refuse new work because it cannot know the rules in force: it
    /// has not learned them since its start, or it has heard from nobody for 3 s.
    ///
    /// The age is computed on each call, so that a process that was paused refuses at once.
    pub fn is_isolated(&self) -> bool {
        let heard = match self.heard.load(Ordering::Acquire) {
            0 => return true,
            heard => Time(heard),
        };
        !self.is_ready() || crate::now().since(heard) >= control::ISOLATION_TIMEOUT
    }

    /// Says whether operators have taken out the target, its host or its failure domain, or the
    /// platform is about to take the host away.
    pub fn is_drained(&self, target: &Target, host: &Host, domain: &Domain) -> bool {
        self.rules.load().is_drained(target, host, domain) || self.leaving.load().contains(host)
    }

    /// Records the configuration that a peer on the request path has, so that the process that is
    /// behind catches up at once.
    pub fn note_version(&self, version: Version) {
        if version > self.version() {
            self.input(Event::Hint(version));
        }
    }

    /// Records that a member could not be reached; no work is sent to it for a while, and peers
    /// are asked whether they reach it.
    pub fn note_unreachable(&self, name: &str) {
        self.input(Event::Unreachable(name.to_owned()));
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the client of the platform.
    pub fn platform(&self) -> &Client {
        &self.platform
    }

    fn input(&self, event: Event) {
        // An observation that finds the backlog full is made again by the next request.
        let _ = self.inputs.try_send(Input::Event(event));
    }
}

/// Starts the control part of a process.
///
/// # Errors
/// Fails when the client of the platform cannot be set up.
pub fn spawn(
    settings: &Settings,
    address: SocketAddr,
    metrics: Metrics,
) -> Result<Arc<View>, Error> {
    let addresses = &settings.platform;
    let platform = Client::new(&addresses.table, &addresses.objects, &addresses.hosts)?;
    // The clock only has to differ between two starts of one process; when it was set back, the
    // process learns of its former records from its peers and takes a greater number among them.
    let clock = std::time::SystemTime::UNIX_EPOCH
        .elapsed()
        .unwrap_or_default();
    let incarnation = Incarnation(u64::try_from(clock.as_millis()).unwrap_or_default());
    let (inputs, queue) = mpsc::channel(BACKLOG);
    let view = Arc::new(View {
        rules: ArcSwap::default(),
        directory: ArcSwap::default(),
        leaving: ArcSwap::default(),
        ready: AtomicBool::new(false),
        heard: AtomicU64::new(0),
        incarnation,
        platform,
        inputs,
    });
    let member = Member {
        name: settings.name.clone(),
        incarnation,
        address,
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        role: match &settings.role {
            Role::Entry { .. } => control::Role::Entry,
            Role::Engine { target, model, .. } => control::Role::Engine {
                target: target.clone(),
                model: model.clone(),
            },
            Role::Service {
                target, service, ..
            } => control::Role::Service {
                target: target.clone(),
                service: service.clone(),
            },
        },
    };
    let driver = driver::Driver::new(Arc::clone(&view), settings, member, metrics);
    tokio::spawn(driver.run(queue));
    Ok(view)
}
