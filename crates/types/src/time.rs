use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on the monotonic clock of one process, in microseconds since an arbitrary start.
///
/// Crates without I/O take the time as an argument, so that tests and replays run in virtual time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time that lies `millis` milliseconds after the start of the clock.
    #[must_use]
    pub fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1000))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    /// Returns an earlier time, at the earliest the start of the clock.
    fn sub(self, duration: Duration) -> Self {
        Self(
            self.0
                .saturating_sub(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)),
        )
    }
}
