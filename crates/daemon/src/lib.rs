//! The daemon `boragereeld` as a library: it runs the entry and agent roles on top of the crates
//! that do no I/O.
//!
//! [`entry::spawn`] starts a process that serves callers, [`agent::spawn`] the sidecar of a target;
//! both return handles of the running process. See `docs/architecture.md`.

pub mod admin;
pub mod agent;
mod callers;
pub mod control;
pub mod entry;
pub mod metrics;
mod server;
pub mod settings;

use std::sync::LazyLock;
use std::time::Instant;

use types::Time;

/// Returns the current time on this process's monotonic clock.
#[must_use]
pub fn now() -> Time {
    static START: LazyLock<Instant> = LazyLock::new(Instant::now);
    Time(u64::try_from(START.elapsed().as_micros()).unwrap_or(u64::MAX))
}
