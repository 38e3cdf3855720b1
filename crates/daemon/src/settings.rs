//! The settings of a process: JSON with comments, read once at startup.

use std::collections::BTreeSet;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;

use displaydoc::Display;
use fleet::callers::Machine;
use rustix::process::{Resource, getrlimit};
use serde::Deserialize;
use types::{Domain, Host, Model, Region, Service, Store, Target};
use wire::{Key, Keys};

/// The settings of one process; everything else is read from the platform.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the process, unique in the deployment.
    pub name: String,
    /// The host that the process runs on.
    pub host: Host,
    /// The failure domain of the host.
    pub domain: Domain,
    /// The region of the failure domain.
    pub region: Region,
    /// The address for streams from other processes; port 0 selects a free port.
    pub peer_address: SocketAddr,
    /// The address of the metrics and status endpoint for operators.
    pub admin_address: SocketAddr,
    /// The cluster keys; the first one is used, all are accepted.
    pub cluster_keys: Vec<String>,
    /// The secret from which the keys of the teams' cached context are derived.
    pub context_secret: String,
    /// The addresses of the platform's services.
    pub platform: Platform,
    /// The store hosts that cache context.
    #[serde(default)]
    pub stores: Vec<StoreHost>,
    /// Addresses of other processes to join the cluster through.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// How long a completion continues without a reader, in milliseconds; a caller can resume it
    /// within this time.
    #[serde(default = "default_abandon_ms")]
    pub abandon_ms: u64,
    /// What the process may use.
    #[serde(default)]
    pub limits: Limits,
    /// The role of the process.
    pub role: Role,
}

/// What a process may use.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The memory of the process in MB.
    pub memory_mb: f64,
    /// The number of file descriptors that the process may open; by default the limit that the
    /// operating system sets for it.
    pub descriptors: Option<usize>,
    /// The number of connections of callers; by default derived from the descriptors.
    pub caller_connections: Option<usize>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: 1024.0,
            descriptors: None,
            caller_connections: None,
        }
    }
}

impl Limits {
    /// Returns what callers can exhaust.
    #[must_use]
    pub fn machine(&self) -> Machine {
        let system = || usize::try_from(getrlimit(Resource::Nofile).current?).ok();
        let descriptors = self.descriptors.or_else(system);
        Machine::new(self.memory_mb, descriptors, self.caller_connections)
    }
}

fn default_abandon_ms() -> u64 {
    30_000
}

/// The addresses of the platform's services, like `http://10.0.0.1:80`.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The table service.
    pub table: String,
    /// The object store.
    pub objects: String,
    /// The host list.
    pub hosts: String,
}

/// A store host, which caches context blocks.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreHost {
    /// Its name.
    pub name: Store,
    /// Its address, like `http://10.0.0.1:80`.
    pub address: String,
}

/// The role of a process.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Role {
    /// Accepts requests from callers.
    Entry {
        /// The address for callers.
        http_address: SocketAddr,
    },
    /// Runs as the sidecar of a model engine.
    Engine {
        /// The engine's name.
        target: Target,
        /// The model that it serves.
        model: Model,
        /// The engine's address, like `http://127.0.0.1:80`.
        address: String,
        /// The maximum number of concurrent requests while the engine is cold.
        cold_limit: u32,
        /// The maximum number of concurrent requests once the engine is warm.
        warm_limit: u32,
        /// The number of completions after which the engine counts as warm; until then `cold_limit`
        /// applies.
        #[serde(default = "default_warm_after")]
        warm_after: u32,
    },
    /// Runs as the sidecar of an instance of a plain service.
    Service {
        /// The instance's name.
        target: Target,
        /// The service that it belongs to.
        service: Service,
        /// The instance's address, like `http://127.0.0.1:80`.
        address: String,
        /// The maximum number of concurrent calls.
        limit: u32,
    },
}

fn default_warm_after() -> u32 {
    8
}

/// Why the settings are invalid, with the position and the expected value.
#[derive(Debug, Display, thiserror::Error)]
pub enum Error {
    /// {0}: cannot read the file: {1}
    Read(String, std::io::Error),
    /// {0}:{1}:{2}: {3}
    Invalid(String, usize, usize, String),
}

/// An invalid value: the path of keys that leads to it, and a message that says what is expected.
struct Problem {
    path: Vec<&'static str>,
    message: String,
}

/// Two keys are needed while a key is rotated.
const MAX_CLUSTER_KEYS: usize = 2;
/// Shorter secrets could be guessed.
const MIN_SECRET_BYTES: usize = 16;

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Fails if the file cannot be read and, with line and column, if the JSON is malformed or has
    /// unknown keys, invalid values or values that contradict each other.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let file = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::Read(file.clone(), error))?;
        Self::parse(&file, &text)
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    /// Fails as [`Settings::open`] does.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let mut json = String::new();
        json_comments::StripComments::new(text.as_bytes())
            .read_to_string(&mut json)
            .map_err(|error| Error::Read(file.to_owned(), error))?;
        let settings: Self = serde_json::from_str(&json).map_err(|error| {
            let (line, column) = (error.line(), error.column());
            let message = error.to_string();
            let suffix = format!(" at line {line} column {column}");
            let mut message = message.trim_end_matches(&suffix).to_owned();
            if message.contains("socket address") {
                message.push_str("; expected an IP address with a port, like 10.0.0.1:7000");
            }
            Error::Invalid(file.to_owned(), line, column, message)
        })?;
        match settings.find_problem() {
            Some(problem) => {
                let (line, column) = locate(&json, &problem.path);
                let key = problem.path.join(".");
                let message = format!("{key}: {}", problem.message);
                Err(Error::Invalid(file.to_owned(), line, column, message))
            }
            None => Ok(settings),
        }
    }

    /// Returns the cluster keys.
    ///
    /// # Panics
    /// Panics without a cluster key, which [`Settings::parse`] rejects.
    #[must_use]
    pub fn keys(&self) -> Keys {
        Keys::new(self.cluster_keys.iter().map(|key| Key::new(key)).collect())
            .expect("the settings have a cluster key")
    }

    fn find_problem(&self) -> Option<Problem> {
        self.check_names()
            .or_else(|| self.check_secrets())
            .or_else(|| self.check_addresses())
            .or_else(|| self.check_limits())
    }

    fn check_names(&self) -> Option<Problem> {
        let mut names: Vec<(Vec<&'static str>, &str)> = vec![
            (vec!["name"], &self.name),
            (vec!["host"], &self.host),
            (vec!["domain"], &self.domain),
            (vec!["region"], &self.region),
        ];
        match &self.role {
            Role::Entry { .. } => {}
            Role::Engine { target, model, .. } => {
                names.push((vec!["role", "target"], target));
                names.push((vec!["role", "model"], model));
            }
            Role::Service {
                target, service, ..
            } => {
                names.push((vec!["role", "target"], target));
                // The key of the role is `service` too.
                names.push((vec!["role", "service", "service"], service));
            }
        }
        for store in &self.stores {
            names.push((vec!["stores", "name"], &store.name));
        }
        // A target or host whose name the rules parser rejects could never be drained.
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let (path, name) = names.into_iter().find(|(_, name)| {
            name.is_empty() || name.len() > 64 || !name.chars().all(is_allowed)
        })?;
        let message =
            format!("{name:?} is invalid; expected 1 to 64 letters, digits, '-', '_' or '.'");
        Some(Problem { path, message })
    }

    fn check_secrets(&self) -> Option<Problem> {
        let problem = |key, message: &str| {
            Some(Problem {
                path: vec![key],
                message: message.to_owned(),
            })
        };
        let keys = &self.cluster_keys;
        if keys.is_empty() || keys.len() > MAX_CLUSTER_KEYS {
            return problem(
                "cluster_keys",
                "expected one key, or two while a key is rotated",
            );
        }
        if keys.iter().any(|key| key.len() < MIN_SECRET_BYTES) {
            return problem("cluster_keys", "expected at least 16 characters per key");
        }
        if self.context_secret.len() < MIN_SECRET_BYTES {
            return problem("context_secret", "expected at least 16 characters");
        }
        if keys.contains(&self.context_secret) {
            return problem(
                "context_secret",
                "equals a cluster key; expected a separate secret, which stays the same when \
                 cluster keys are rotated",
            );
        }
        None
    }

    fn check_addresses(&self) -> Option<Problem> {
        let platform = &self.platform;
        let mut urls = vec![
            (vec!["platform", "table"], &platform.table),
            (vec!["platform", "objects"], &platform.objects),
            (vec!["platform", "hosts"], &platform.hosts),
        ];
        for store in &self.stores {
            urls.push((vec!["stores", "address"], &store.address));
        }
        let mut sockets = vec![("peer_address", self.peer_address)];
        sockets.push(("admin_address", self.admin_address));
        match &self.role {
            Role::Entry { http_address } => sockets.push(("http_address", *http_address)),
            Role::Engine { address, .. } | Role::Service { address, .. } => {
                urls.push((vec!["role", "address"], address));
            }
        }
        if let Some((path, url)) = urls.into_iter().find(|(_, url)| !is_url(url)) {
            let message = format!("{url:?} is invalid; expected a URL like http://10.0.0.1:80");
            return Some(Problem { path, message });
        }
        for (index, (key, address)) in sockets.iter().enumerate() {
            let duplicate = sockets[..index].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = duplicate
                && address.port() != 0
            {
                let message = format!("{address} is also the {other}; expected another port");
                return Some(Problem {
                    path: vec![key],
                    message,
                });
            }
        }
        let names: BTreeSet<&Store> = self.stores.iter().map(|store| &store.name).collect();
        if names.len() < self.stores.len() {
            return Some(Problem {
                path: vec!["stores"],
                message: "a name appears twice; expected one entry per store host".to_owned(),
            });
        }
        None
    }

    fn check_limits(&self) -> Option<Problem> {
        let (key, message) = match self.role {
            Role::Engine {
                cold_limit,
                warm_limit,
                ..
            } if cold_limit == 0 || cold_limit > warm_limit => (
                "cold_limit",
                format!(
                    "{cold_limit} is invalid; expected a number from 1 to the warm_limit {warm_limit}"
                ),
            ),
            Role::Service { limit: 0, .. } => (
                "limit",
                "0 is invalid; expected a number of at least 1".to_owned(),
            ),
            _ => return None,
        };
        Some(Problem {
            path: vec!["role", key],
            message,
        })
    }
}

fn is_url(url: &str) -> bool {
    let host = url
        .strip_prefix("http://")
        .or_else(|| url.strip_prefix("https://"));
    host.is_some_and(|host| {
        !host.is_empty() && !host.starts_with([':', '/']) && !host.contains(' ')
    })
}

/// Returns the line and column, starting at 1, of the last key of a path.
///
/// Each key is searched after the position of the previous one; a quoted string counts as a key if
/// a colon follows.
fn locate(json: &str, path: &[&str]) -> (usize, usize) {
    let mut offset = 0;
    for key in path {
        let quoted = format!("\"{key}\"");
        let position = json[offset..].match_indices(&quoted).find(|(start, _)| {
            let rest = &json[offset + start + quoted.len()..];
            rest.trim_start().starts_with(':')
        });
        if let Some((start, _)) = position {
            offset += start + 1;
        }
    }
    let before = &json[..offset.saturating_sub(1)];
    let line = before.matches('\n').count() + 1;
    let column = before.len() - before.rfind('\n').map_or(0, |newline| newline + 1) + 1;
    (line, column)
}
