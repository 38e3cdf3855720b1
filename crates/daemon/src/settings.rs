//! The settings of a process: JSON with comments, read once at the start.

use std::collections::BTreeSet;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;

use displaydoc::Display;
use serde::Deserialize;
use types::{Domain, Host, Model, Region, Service, Store, Target};
use wire::{Key, Keys};

/// Everything that a process has to be told; the rest comes from the platform.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the process, unique in the deployment.
    pub name: String,
    /// The host that it runs on.
    pub host: Host,
    /// The failure domain of the host.
    pub domain: Domain,
    /// The region of the failure domain.
    pub region: Region,
    /// Where other processes reach this one; port 0 takes any free port.
    pub peer_address: SocketAddr,
    /// Where operators reach metrics and status.
    pub admin_address: SocketAddr,
    /// The cluster keys; the first one is used, all are accepted.
    pub cluster_keys: Vec<String>,
    /// The secret from which the teams' keys for kept context are derived.
    pub context_secret: String,
    /// The platform's services.
    pub platform: Platform,
    /// The store hosts for kept context.
    #[serde(default)]
    pub stores: Vec<StoreHost>,
    /// Addresses of other processes to start from.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// How long an answer goes on that nobody follows, in milliseconds; callers can resume it for
    /// as long.
    #[serde(default = "default_abandon_ms")]
    pub abandon_ms: u64,
    /// What the process does.
    pub role: Role,
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

/// A store host.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreHost {
    /// Its name.
    pub name: Store,
    /// Its address, like `http://10.0.0.1:80`.
    pub address: String,
}

/// What a process does.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Role {
    /// Takes requests from callers.
    Entry {
        /// Where callers reach it.
        http_address: SocketAddr,
    },
    /// Stands beside a model engine.
    Engine {
        /// The engine's name.
        target: Target,
        /// The model that it serves.
        model: Model,
        /// The engine's address, like `http://127.0.0.1:80`.
        address: String,
        /// Requests at the same time that the engine bears while it is cold.
        cold_limit: u32,
        /// Requests at the same time that it bears once it is warm.
        warm_limit: u32,
        /// Answers that warm the engine up; until then it gets no more than `cold_limit`.
        #[serde(default = "default_warm_after")]
        warm_after: u32,
    },
    /// Stands beside an instance of a plain service.
    Service {
        /// The instance's name.
        target: Target,
        /// The service that it belongs to.
        service: Service,
        /// The instance's address, like `http://127.0.0.1:80`.
        address: String,
        /// Calls at the same time that it bears.
        limit: u32,
    },
}

fn default_warm_after() -> u32 {
    8
}

/// Why the settings cannot be used, with the place and what would be accepted.
#[derive(Debug, Display, thiserror::Error)]
pub enum Error {
    /// {0}: cannot be read: {1}
    Read(String, std::io::Error),
    /// {0}:{1}:{2}: {3}
    Mistake(String, usize, usize, String),
}

/// A value that is not accepted: the keys that lead to it, and what would be.
struct Problem {
    path: Vec<&'static str>,
    message: String,
}

/// Cluster keys at the same time: the old one and the new one while they are replaced.
const MAX_KEYS: usize = 2;
/// Shorter secrets could be guessed.
const MIN_SECRET: usize = 16;

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Fails on a file that cannot be read, on malformed JSON, on unknown keys, and on values that
    /// are not accepted or contradict each other, each with line and column.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let file = path.display().to_string();
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::Read(file.clone(), error))?;
        Self::parse(&file, &text)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    /// As [`Settings::open`].
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let mut json = String::new();
        json_comments::StripComments::new(text.as_bytes())
            .read_to_string(&mut json)
            .map_err(|error| Error::Read(file.to_owned(), error))?;
        let settings: Self = serde_json::from_str(&json).map_err(|error| {
            let (line, column) = (error.line(), error.column());
            let message = error.to_string();
            let place = format!(" at line {line} column {column}");
            let mut message = message.trim_end_matches(&place).to_owned();
            if message.contains("socket address") {
                message.push_str("; accepted is an IP address with a port, like 10.0.0.1:7000");
            }
            Error::Mistake(file.to_owned(), line, column, message)
        })?;
        match settings.problem() {
            Some(problem) => {
                let (line, column) = locate(&json, &problem.path);
                let key = problem.path.join(".");
                let message = format!("{key}: {}", problem.message);
                Err(Error::Mistake(file.to_owned(), line, column, message))
            }
            None => Ok(settings),
        }
    }

    /// Returns the cluster keys.
    ///
    /// # Panics
    /// Panics without a key, which the check of the settings excludes.
    #[must_use]
    pub fn keys(&self) -> Keys {
        Keys::new(self.cluster_keys.iter().map(|key| Key::new(key)).collect())
            .expect("the settings have a cluster key")
    }

    fn problem(&self) -> Option<Problem> {
        self.bad_name()
            .or_else(|| self.bad_secret())
            .or_else(|| self.bad_address())
            .or_else(|| self.bad_limit())
    }

    fn bad_name(&self) -> Option<Problem> {
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
                // The role's own key is called service too.
                names.push((vec!["role", "service", "service"], service));
            }
        }
        for store in &self.stores {
            names.push((vec!["stores", "name"], &store.name));
        }
        // A name that the rules do not accept could never be drained.
        let accepted = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let (path, name) = names
            .into_iter()
            .find(|(_, name)| name.is_empty() || name.len() > 64 || !name.chars().all(accepted))?;
        let message = format!(
            "{name:?} is not accepted; accepted are 1 to 64 letters, digits, '-', '_' or '.'"
        );
        Some(Problem { path, message })
    }

    fn bad_secret(&self) -> Option<Problem> {
        let problem = |key, message: &str| {
            Some(Problem {
                path: vec![key],
                message: message.to_owned(),
            })
        };
        let keys = &self.cluster_keys;
        if keys.is_empty() || keys.len() > MAX_KEYS {
            return problem(
                "cluster_keys",
                "accepted is one key, or two while they are replaced",
            );
        }
        if keys.iter().any(|key| key.len() < MIN_SECRET) {
            return problem("cluster_keys", "accepted are at least 16 characters a key");
        }
        if self.context_secret.len() < MIN_SECRET {
            return problem("context_secret", "accepted are at least 16 characters");
        }
        if keys.contains(&self.context_secret) {
            return problem(
                "context_secret",
                "it is a cluster key as well; accepted is a secret of its own, which stays the same \
                 when cluster keys are replaced",
            );
        }
        None
    }

    fn bad_address(&self) -> Option<Problem> {
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
            let message = format!("{url:?} is not accepted; accepted is like http://10.0.0.1:80");
            return Some(Problem { path, message });
        }
        for (index, (key, address)) in sockets.iter().enumerate() {
            let earlier = sockets[..index].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = earlier
                && address.port() != 0
            {
                let message = format!("{address} is the {other} too; accepted is another port");
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
                message: "a name stands twice; accepted is one entry for each store host"
                    .to_owned(),
            });
        }
        None
    }

    fn bad_limit(&self) -> Option<Problem> {
        let (key, message) = match self.role {
            Role::Engine {
                cold_limit,
                warm_limit,
                ..
            } if cold_limit == 0 || cold_limit > warm_limit => (
                "cold_limit",
                format!(
                    "{cold_limit} is not accepted; accepted is a number from 1 to the warm_limit {warm_limit}"
                ),
            ),
            Role::Service { limit: 0, .. } => (
                "limit",
                "0 is not accepted; accepted is a number from 1".to_owned(),
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

/// Returns line and column, from 1, of the key at the end of a path.
///
/// The keys are searched one after the other, each behind the one before; text in quotes is a key
/// when a colon follows.
fn locate(json: &str, path: &[&str]) -> (usize, usize) {
    let mut at = 0;
    for key in path {
        let quoted = format!("\"{key}\"");
        let found = json[at..].match_indices(&quoted).find(|(start, _)| {
            let rest = &json[at + start + quoted.len()..];
            rest.trim_start().starts_with(':')
        });
        if let Some((start, _)) = found {
            at += start + 1;
        }
    }
    let before = &json[..at.saturating_sub(1)];
    let line = before.matches('\n').count() + 1;
    let column = before.len() - before.rfind('\n').map_or(0, |newline| newline + 1) + 1;
    (line, column)
}
