//! The settings of a process: JSON with comments, read once at the start.

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

/// Why the settings cannot be used.
#[derive(Debug, Display, thiserror::Error)]
pub enum Error {
    /// {0}: cannot be read: {1}
    Read(String, std::io::Error),
    /// {0}: {1}
    Syntax(String, serde_json::Error),
    /// {0}: {1}
    Value(String, &'static str),
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Fails on a file that cannot be read, on malformed JSON and unknown keys (with line and
    /// column) and on values that contradict each other.
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
        let settings: Self =
            serde_json::from_str(&json).map_err(|error| Error::Syntax(file.to_owned(), error))?;
        match settings.problem() {
            Some(problem) => Err(Error::Value(file.to_owned(), problem)),
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

    fn problem(&self) -> Option<&'static str> {
        if self.name.is_empty() || self.name.len() > 64 {
            return Some("name: accepted are 1 to 64 characters");
        }
        if self.cluster_keys.is_empty() {
            return Some("cluster_keys: at least one key is needed");
        }
        if self.cluster_keys.iter().any(|key| key.len() < 16) {
            return Some("cluster_keys: a key needs at least 16 characters");
        }
        if self.context_secret.len() < 16 {
            return Some("context_secret: at least 16 characters are needed");
        }
        match self.role {
            Role::Engine {
                cold_limit,
                warm_limit,
                ..
            } if cold_limit == 0 || cold_limit > warm_limit => {
                Some("cold_limit: accepted is a number from 1 to warm_limit")
            }
            Role::Service { limit: 0, .. } => Some("limit: accepted is a number from 1"),
            _ => None,
        }
    }
}
