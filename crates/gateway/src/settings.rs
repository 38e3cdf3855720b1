use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use displaydoc::Display;
use fleet::callers::Machine;
use rustix::process::{Resource, getrlimit};
use serde::Deserialize;
use types::Domain;

/// The settings of an entry, read from JSON with comments. `docs/OPERATIONS.md` lists the keys.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the process, unique among entries.
    pub name: String,
    /// The failure domain of the host.
    pub domain: Domain,
    /// The address of the host.
    pub ip: IpAddr,
    /// The address on which callers connect.
    pub http_address: SocketAddr,
    /// The address of the readiness check, which tells whether the entry accepts new connections.
    pub ready_address: SocketAddr,
    /// The port on which metrics are served.
    pub metrics_port: u16,
    /// The UDP port for messages between entries.
    pub peer_port: u16,
    /// The address of the platform's table store.
    pub store_address: SocketAddr,
    /// Whether the whole system is starting for the first time.
    pub first_start: bool,
    /// The resource limits of the process.
    #[serde(default)]
    pub limits: Limits,
    /// Decisions that are off unless the operators ask for them.
    #[serde(default)]
    pub scheduling: Scheduling,
    /// The bounds that the operators set.
    pub bounds: Bounds,
}

/// Decisions that are off unless the operators ask for them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Scheduling {
    /// Whether a dispatcher learns a prefill rate for each target; see
    /// `docs/design/target-rates.md`.
    pub target_rates: bool,
}

/// Resource limits of the process; missing keys have the values of [`Limits::default`].
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The memory limit of the process in MB, above which the host kills it.
    pub memory_mb: f64,
    /// The CPU share of the process; entries with a larger share dispatch more requests.
    pub cpu_share: f64,
    /// The maximum size of a response that is not a stream, in bytes. Such a response is buffered
    /// until it is complete, so that a truncated one is not forwarded as if it were complete.
    pub answer_bytes: usize,
    /// The number of file descriptors that the process may open; by default the limit that the
    /// operating system sets for it.
    pub descriptors: Option<usize>,
    /// The number of connections of callers; by default derived from the descriptors.
    pub caller_connections: Option<usize>,
}

/// The fraction of the memory limit that unfinished messages may take; the rest is for connections,
/// lists and memory that the allocator does not return.
const BUFFER_FRACTION: f64 = 0.35;

/// The least number of descriptors with which an entry works.
const MIN_DESCRIPTORS: usize = 100;
/// The least number of callers' connections.
const MIN_CONNECTIONS: usize = 8;

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory_mb: 128.0,
            cpu_share: 0.1,
            answer_bytes: 4 << 20,
            descriptors: None,
            caller_connections: None,
        }
    }
}

impl Limits {
    /// Returns the memory budget for unfinished messages of all requests, in bytes.
    #[must_use]
    pub fn buffer_bytes(&self) -> usize {
        (self.memory_mb * BUFFER_FRACTION * 1e6) as usize
    }

    /// Returns what callers can exhaust.
    #[must_use]
    pub fn machine(&self) -> Machine {
        let system = || usize::try_from(getrlimit(Resource::Nofile).current?).ok();
        let descriptors = self.descriptors.or_else(system);
        Machine::new(self.memory_mb, descriptors, self.caller_connections)
    }
}

/// Bounds that the operators set; the names of durations end with their unit.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// The time after which a revoked API key must not work at any entry.
    pub revoke_ms: f64,
    /// The time after which a target that leaves must get no more requests.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: f64,
    /// The grace period between the request to stop and the forced kill.
    pub grace_s: f64,
    /// The maximum ratio of retries to requests, over all entries.
    pub retry_ratio: f64,
    /// The window over which retries and requests are counted.
    pub retry_window_s: f64,
    /// The number of retries per window, over all entries, that are allowed regardless of the
    /// ratio.
    pub retry_extra: f64,
    /// The factor by which the request rate for a cold target may be exceeded.
    pub cold_factor: f64,
    /// The number of requests per second that are allowed on top of that rate.
    pub cold_slack: f64,
    /// The time after a release from which no request may start on older weights; not set if the
    /// operators set no bound.
    pub weights_ms: Option<f64>,
    /// The minimum time between orders of two lease holders to the same target.
    pub lease_gap_ms: f64,
}

fn default_drain_ms() -> f64 {
    DEFAULT_DRAIN_MS
}

/// The strictest bound of the known deployments, where none is set.
const DEFAULT_DRAIN_MS: f64 = 2000.0;

/// Why settings were rejected.
#[derive(Debug, Display, thiserror::Error)]
pub enum Problem {
    /// {0}: failed to read the settings: {1}
    Read(PathBuf, std::io::Error),
    /// {0}: {1}
    Parse(PathBuf, serde_json::Error),
    /// {file}: invalid value for {key}: got {value}, expected {expected}
    Value {
        /// The settings file.
        file: PathBuf,
        /// The key with the invalid value.
        key: &'static str,
        /// The value that was found.
        value: String,
        /// A description of the valid values.
        expected: &'static str,
    },
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// Fails when the file cannot be read, is not valid JSON, has a missing or unknown key, or has
    /// a value that is out of range. The message contains the file, the key or location, and the
    /// value.
    pub fn open(file: &Path) -> Result<Self, Problem> {
        Self::open_with_drain(file, None)
    }

    /// Reads and validates a settings file, of which `drain_ms` replaces [`Bounds::drain_ms`].
    ///
    /// # Errors
    /// As for [`Self::open`].
    pub fn open_with_drain(file: &Path, drain_ms: Option<f64>) -> Result<Self, Problem> {
        let mut settings = Self::parse(file)?;
        settings.bounds.drain_ms = drain_ms.unwrap_or(settings.bounds.drain_ms);
        settings.check(file)?;
        Ok(settings)
    }

    fn parse(file: &Path) -> Result<Self, Problem> {
        let text = std::fs::read(file).map_err(|error| Problem::Read(file.to_owned(), error))?;
        let json = json_comments::StripComments::new(text.as_slice());
        serde_json::from_reader(json).map_err(|error| Problem::Parse(file.to_owned(), error))
    }

    /// Returns the time after which a revoked API key must not work.
    #[must_use]
    pub fn revocation_limit(&self) -> Duration {
        milliseconds(self.bounds.revoke_ms)
    }

    /// Returns the time after which a target that leaves must get no more requests.
    #[must_use]
    pub fn drain_limit(&self) -> Duration {
        milliseconds(self.bounds.drain_ms)
    }

    /// Returns the grace period between the request to stop and the forced kill.
    #[must_use]
    pub fn grace(&self) -> Duration {
        milliseconds(self.bounds.grace_s * 1000.0)
    }

    /// Returns the minimum time between orders of two lease holders to the same target.
    #[must_use]
    pub fn lease_gap(&self) -> Duration {
        milliseconds(self.bounds.lease_gap_ms)
    }

    /// Returns the time after a release from which no request may start on older weights; the
    /// maximum duration if there is no bound.
    #[must_use]
    pub fn weights_limit(&self) -> Duration {
        self.bounds.weights_ms.map_or(Duration::MAX, milliseconds)
    }

    /// Returns the window over which retries and requests are counted.
    #[must_use]
    pub fn retry_window(&self) -> Duration {
        milliseconds(self.bounds.retry_window_s * 1000.0)
    }

    fn check(&self, file: &Path) -> Result<(), Problem> {
        let bounds = &self.bounds;
        let reject = |key, value, expected| {
            Err(Problem::Value {
                file: file.to_owned(),
                key,
                value,
                expected,
            })
        };
        if self.name.is_empty() {
            return reject("name", self.name.clone(), "a name");
        }
        let minima = [
            ("bounds.revoke_ms", bounds.revoke_ms, 1000.0, "1000 or more"),
            ("bounds.drain_ms", bounds.drain_ms, 500.0, "500 or more"),
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
            (
                "limits.descriptors",
                self.limits.descriptors.unwrap_or(MIN_DESCRIPTORS) as f64,
                MIN_DESCRIPTORS as f64,
                "100 or more",
            ),
            (
                "limits.caller_connections",
                self.limits.caller_connections.unwrap_or(MIN_CONNECTIONS) as f64,
                MIN_CONNECTIONS as f64,
                "8 or more",
            ),
        ];
        for (key, value, minimum, expected) in minima {
            if value < minimum {
                return reject(key, value.to_string(), expected);
            }
        }
        Ok(())
    }
}

fn milliseconds(number: f64) -> Duration {
    Duration::try_from_secs_f64(number / 1000.0).unwrap_or_default()
}
