use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use displaydoc::Display;
use serde::Deserialize;
use types::Domain;

/// The settings of an entry, JSON with comments; `docs/OPERATIONS.md` lists the keys.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the process; each process has its own.
    pub name: String,
    /// The failure domain of the host.
    pub domain: Domain,
    /// The host's own address.
    pub ip: IpAddr,
    /// Where callers connect.
    pub http_address: SocketAddr,
    /// Where the platform asks whether the entry takes new connections.
    pub ready_address: SocketAddr,
    /// Where counters are read.
    pub metrics_port: u16,
    /// Where entries tell each other their loads.
    pub peer_port: u16,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// What the process may use.
    #[serde(default)]
    pub limits: Limits,
    /// Bounds that the operators set.
    pub bounds: Bounds,
}

/// What the process may use; keys that are left out have the values of [`Limits::default`].
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The memory of the process in MB, beyond which the host ends it.
    pub memory_mb: f64,
    /// The share of a processor that the process gets; entries with more of it place more requests.
    pub cpu_share: f64,
    /// The longest answer that is not a stream, in bytes. An answer is kept until it is whole, so
    /// that one that breaks off does not look complete.
    pub answer_bytes: usize,
}

/// The part of the memory that unfinished messages may take; the rest is for connections, lists and
/// what the allocator does not give back.
const BUFFERED: f64 = 0.35;

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: 128.0,
            cpu_share: 0.1,
            answer_bytes: 4 << 20,
        }
    }
}

impl Limits {
    /// Returns the bytes that unfinished messages of all requests may take.
    #[must_use]
    pub fn buffer_bytes(&self) -> usize {
        (self.memory_mb * BUFFERED * 1e6) as usize
    }
}

/// Bounds that the operators set; the names of times end with their unit.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The time after which a removed key must not work anywhere.
    pub revoke_ms: f64,
    /// The time between a request to stop and the end by force.
    pub grace_s: f64,
    /// Repeats for each request, over all entries.
    pub retry_ratio: f64,
    /// The window over which repeats are counted.
    pub retry_window_s: f64,
    /// Repeats in a window that need no requests, over all entries.
    pub retry_extra: f64,
    /// By how much the rate of a cold target may be exceeded.
    pub cold_factor: f64,
    /// Requests in a second above that.
    pub cold_slack: f64,
    /// The time after which nothing may begin on older weights than were named; none where the
    /// operators set no bound.
    pub weights_ms: Option<f64>,
    /// The time that has to lie between orders of two holders of the lease.
    pub lease_gap_ms: f64,
}

/// Why settings were not accepted.
#[derive(Debug, Display, thiserror::Error)]
pub enum Problem {
    /// {0}: cannot be read: {1}
    Read(PathBuf, std::io::Error),
    /// {0}: {1}
    Parse(PathBuf, serde_json::Error),
    /// {file}: {key} is {value}; accepted is {accepted}
    Value {
        /// The file.
        file: PathBuf,
        /// The key.
        key: &'static str,
        /// What it holds.
        value: String,
        /// What would be accepted.
        accepted: &'static str,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Fails when the file cannot be read, is not JSON with the known keys, or has a value that
    /// cannot work; the message names file, place and value.
    pub fn open(file: &Path) -> Result<Self, Problem> {
        let text = std::fs::read(file).map_err(|error| Problem::Read(file.to_owned(), error))?;
        let json = json_comments::StripComments::new(text.as_slice());
        let settings: Self = serde_json::from_reader(json)
            .map_err(|error| Problem::Parse(file.to_owned(), error))?;
        settings.check(file)?;
        Ok(settings)
    }

    /// Returns the time after which a removed key must not work.
    #[must_use]
    pub fn revocation_limit(&self) -> Duration {
        milliseconds(self.bounds.revoke_ms)
    }

    /// Returns the time between a request to stop and the end by force.
    #[must_use]
    pub fn grace(&self) -> Duration {
        milliseconds(self.bounds.grace_s * 1000.0)
    }

    /// Returns the time that has to lie between the orders of two holders of the lease.
    #[must_use]
    pub fn lease_gap(&self) -> Duration {
        milliseconds(self.bounds.lease_gap_ms)
    }

    /// Returns the time after which nothing may begin on older weights.
    #[must_use]
    pub fn weights_limit(&self) -> Duration {
        self.bounds.weights_ms.map_or(Duration::MAX, milliseconds)
    }

    /// Returns the window over which repeats are counted.
    #[must_use]
    pub fn retry_window(&self) -> Duration {
        milliseconds(self.bounds.retry_window_s * 1000.0)
    }

    fn check(&self, file: &Path) -> Result<(), Problem> {
        let bounds = &self.bounds;
        let refuse = |key, value, accepted| {
            Err(Problem::Value {
                file: file.to_owned(),
                key,
                value,
                accepted,
            })
        };
        if self.name.is_empty() {
            return refuse("name", self.name.clone(), "a name");
        }
        let least = [
            ("bounds.revoke_ms", bounds.revoke_ms, 1000.0, "1000 or more"),
            ("bounds.grace_s", bounds.grace_s, 1.0, "1 or more"),
            (
                "bounds.retry_window_s",
                bounds.retry_window_s,
                0.1,
                "0.1 or more",
            ),
            ("bounds.lease_gap_ms", bounds.lease_gap_ms, 0.0, "0 or more"),
            ("bounds.retry_ratio", bounds.retry_ratio, 0.0, "0 or more"),
            ("bounds.retry_extra", bounds.retry_extra, 0.0, "0 or more"),
            ("bounds.cold_factor", bounds.cold_factor, 0.0, "0 or more"),
            ("bounds.cold_slack", bounds.cold_slack, 0.0, "0 or more"),
            (
                "limits.memory_mb",
                self.limits.memory_mb,
                32.0,
                "32 or more",
            ),
            (
                "limits.cpu_share",
                self.limits.cpu_share,
                0.001,
                "0.001 or more",
            ),
            (
                "limits.answer_bytes",
                self.limits.answer_bytes as f64,
                1024.0,
                "1024 or more",
            ),
        ];
        for (key, value, least, accepted) in least {
            if value < least {
                return refuse(key, value.to_string(), accepted);
            }
        }
        Ok(())
    }
}

fn milliseconds(number: f64) -> Duration {
    Duration::try_from_secs_f64(number / 1000.0).unwrap_or_default()
}
