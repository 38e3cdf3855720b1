use nix::time::{ClockId, clock_gettime};
use types::Time;

/// Returns the time since the machine booted, including the time that it was suspended.
///
/// `CLOCK_MONOTONIC` stops during a suspension, so freshness evidence would seem younger than it
/// is.
#[must_use]
pub fn now() -> Time {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => {
            let seconds = u64::try_from(time.tv_sec()).unwrap_or(0);
            let nanos = u64::try_from(time.tv_nsec()).unwrap_or(0);
            Time(seconds * 1_000_000 + nanos / 1000)
        }
        Err(error) => panic!("failed to read CLOCK_BOOTTIME: {error}"),
    }
}
