//! Keeps what a process knows of the configuration and of the other processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use control::{Directory, Member};
use platform::{Client, Commit, Error, Table, Write, config};
use rules::Snapshot;
use types::{Incarnation, Version};

use crate::metrics::Metrics;
use crate::settings::{Role, Settings};

/// What a process knows; it is shared with the request path, which only reads it.
#[derive(Debug)]
pub struct View {
    rules: ArcSwap<Snapshot>,
    directory: ArcSwap<Directory>,
    ready: AtomicBool,
    incarnation: Incarnation,
    platform: Client,
}

/// How often the platform is asked for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

impl View {
    /// Returns the rules in force.
    pub fn rules(&self) -> Arc<Snapshot> {
        self.rules.load_full()
    }

    /// Returns the known members.
    pub fn directory(&self) -> Arc<Directory> {
        self.directory.load_full()
    }

    /// Returns the version of the configuration in force.
    pub fn version(&self) -> Version {
        self.rules.load().version
    }

    /// Says whether the process has learned the configuration.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the client of the platform.
    pub fn platform(&self) -> &Client {
        &self.platform
    }
}

/// Registers the process and keeps its view up to date.
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
    // The clock only has to differ between two starts of one process; registration repairs a
    // clock that was set back by taking the greater of clock and row.
    let clock = std::time::SystemTime::UNIX_EPOCH
        .elapsed()
        .unwrap_or_default();
    let incarnation = Incarnation(u64::try_from(clock.as_millis()).unwrap_or_default());
    let view = Arc::new(View {
        rules: ArcSwap::default(),
        directory: ArcSwap::default(),
        ready: AtomicBool::new(false),
        incarnation,
        platform,
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
    let task = Arc::clone(&view);
    tokio::spawn(async move {
        let mut registered = false;
        loop {
            if !registered {
                registered = register(&task.platform, &member).await.is_ok();
            }
            if let Err(error) = poll(&task, &metrics).await {
                log::debug!("the platform was not read: {error}");
            }
            let jitter = rand::random_range(0.5..1.5);
            tokio::time::sleep(POLL_INTERVAL.mul_f64(jitter)).await;
        }
    });
    Ok(view)
}

async fn register(platform: &Client, member: &Member) -> Result<(), Error> {
    let key = format!("member/{}", member.name);
    let value = serde_json::to_value(member).map_err(|error| Error::Data(error.to_string()))?;
    loop {
        let row = platform.get(&key).await?;
        let expect = row.map_or(0, |row| row.version);
        let write = Write {
            key: key.clone(),
            expect,
            value: Some(value.clone()),
        };
        if matches!(platform.commit(&[write]).await?, Commit::Applied(_)) {
            return Ok(());
        }
    }
}

async fn poll(view: &View, metrics: &Metrics) -> Result<(), Error> {
    let (head, _) = config::head(&view.platform).await?;
    if head.version > view.version() {
        let snapshot = config::load(&view.platform, &head).await?;
        log::info!("configuration {} is in force", snapshot.version);
        metrics
            .version
            .set(i64::try_from(snapshot.version.0).unwrap_or(i64::MAX));
        view.rules.store(Arc::new(snapshot));
    }
    let mut directory = Directory::default();
    for row in view.platform.scan("member/").await? {
        if let Ok(member) = serde_json::from_value(row.value) {
            directory.insert(member);
        }
    }
    view.directory.store(Arc::new(directory));
    view.ready.store(true, Ordering::Release);
    Ok(())
}
