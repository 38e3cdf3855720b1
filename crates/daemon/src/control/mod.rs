//! Maintains a process's view of the configuration and of the other processes.
//!
//! [`control::Node`] makes the decisions; this module does the I/O. See `docs/control.md`.

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

/// The view of a process, shared with the request path, which only reads it.
#[derive(Debug)]
pub struct View {
    rules: ArcSwap<Snapshot>,
    directory: ArcSwap<Directory>,
    leaving: ArcSwap<BTreeSet<Host>>,
    ready: AtomicBool,
    /// When the platform or a peer was last heard, in microseconds; 0 means never.
    last_heard: AtomicU64,
    incarnation: Incarnation,
    platform: Client,
    inputs: mpsc::Sender<Input>,
}

/// An input of the driver.
#[derive(Debug)]
enum Input {
    /// An event for the node.
    Event(Event),
    /// A request of a peer and the channel for the reply.
    Request(Message, oneshot::Sender<Message>),
}

/// The maximum number of queued inputs. Further requests of peers are dropped; the peers then ask
/// others.
const MAX_QUEUED_INPUTS: usize = 1024;

impl View {
    /// Returns the rules in force.
    pub fn rules(&self) -> Arc<Snapshot> {
        self.rules.load_full()
    }

    /// Returns the known members.
    pub fn directory(&self) -> Arc<Directory> {
        self.directory.load_full()
    }

    /// Returns the hosts that the platform is about to remove.
    pub fn leaving(&self) -> Arc<BTreeSet<Host>> {
        self.leaving.load_full()
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> Version {
        self.rules.load().version
    }

    /// Returns whether the process has received the configuration.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Returns whether the process must refuse new work because it cannot know the rules in force:
    /// it has not received them since its start, or it has heard neither the platform nor a peer for
    /// 3 s.
    ///
    /// The age is computed on each call, so that a process that was suspended refuses at once.
    pub fn is_isolated(&self) -> bool {
        let last_heard = match self.last_heard.load(Ordering::Acquire) {
            0 => return true,
            last_heard => Time(last_heard),
        };
        !self.is_ready() || crate::now().since(last_heard) >= control::ISOLATION_TIMEOUT
    }

    /// Returns whether operators have drained the target, its host or its failure domain, or the
    /// platform is about to remove the host.
    pub fn is_drained(&self, target: &Target, host: &Host, domain: &Domain) -> bool {
        self.rules.load().is_drained(target, host, domain) || self.leaving.load().contains(host)
    }

    /// Records the configuration version of a peer on the request path, so that a process with an
    /// older one catches up at once.
    pub fn note_version(&self, version: Version) {
        if version > self.version() {
            self.send_event(Event::Hint(version));
        }
    }

    /// Records that a member could not be reached; no work is sent to it for a while, and peers are
    /// asked whether they reach it.
    pub fn note_unreachable(&self, name: &str) {
        self.send_event(Event::Unreachable(name.to_owned()));
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the client of the platform.
    pub fn platform(&self) -> &Client {
        &self.platform
    }

    fn send_event(&self, event: Event) {
        // An observation that is dropped because the queue is full is made again by the next
        // request.
        let _ = self.inputs.try_send(Input::Event(event));
    }
}

/// Starts the control part of a process.
///
/// # Errors
/// Fails if the client of the platform cannot be set up.
pub fn spawn(
    settings: &Settings,
    address: SocketAddr,
    metrics: Metrics,
) -> Result<Arc<View>, Error> {
    let addresses = &settings.platform;
    let platform = Client::new(&addresses.table, &addresses.objects, &addresses.hosts)?;
    // The clock only has to differ between two starts of one process. If it was set back, the
    // process learns of its former records from its peers and takes a greater incarnation.
    let clock = std::time::SystemTime::UNIX_EPOCH
        .elapsed()
        .unwrap_or_default();
    let incarnation = Incarnation(u64::try_from(clock.as_millis()).unwrap_or_default());
    let (inputs, queue) = mpsc::channel(MAX_QUEUED_INPUTS);
    let view = Arc::new(View {
        rules: ArcSwap::default(),
        directory: ArcSwap::default(),
        leaving: ArcSwap::default(),
        ready: AtomicBool::new(false),
        last_heard: AtomicU64::new(0),
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
