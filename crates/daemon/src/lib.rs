//! The daemon `boragereeld` as a library: it connects the pure crates to the network.
//!
//! [`entry::spawn`] takes requests from callers, [`agent::spawn`] stands beside a target; both
//! return running handles. See `docs/architecture.md`.

pub mod admin;
pub mod agent;
pub mod control;
pub mod entry;
pub mod metrics;
pub mod settings;

use std::sync::LazyLock;
use std::time::Instant;

use types::Time;

/// Returns the present on this process's monotonic clock.
#[must_use]
pub fn now() -> Time {
    static START: LazyLock<Instant> = LazyLock::new(Instant::now);
    Time(u64::try_from(START.elapsed().as_micros()).unwrap_or(u64::MAX))
}
