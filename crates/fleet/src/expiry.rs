//! When requests must no longer begin on outdated weights; see `docs/platform.md`.
//!
//! Load pattern: targets are still outdated near the end of the operators' bound, and requests wait
//! at them for seconds because they are slow or full. Such a request is sent in time and begins
//! after the bound.

use std::time::Duration;

use types::Time;

/// The time from which no request may begin on the weights of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Expiry(Time);

/// How long before the expiry requests are no longer sent: they may still wait at the target.
const SENDING_MARGIN: Duration = Duration::from_millis(1500);
/// How long before the expiry a request that has not begun is withdrawn. The target learns of it
/// when its connection is closed, and may have learned of the release before this entry did.
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(300);

impl Expiry {
    /// Returns the expiry of weights that were replaced at `outdated_since`, or `None` if the
    /// operators set no limit, for which `limit` is the maximum duration.
    #[must_use]
    pub fn new(outdated_since: Time, limit: Duration) -> Option<Self> {
        (limit != Duration::MAX).then(|| Self(outdated_since + limit))
    }

    /// Returns whether a request may be sent to the target.
    #[must_use]
    pub fn allows_sending(self, now: Time) -> bool {
        now + SENDING_MARGIN < self.0
    }

    /// Returns how long a request that was sent may still wait at the target; zero if it has to be
    /// withdrawn now.
    #[must_use]
    pub fn remaining_wait(self, now: Time) -> Duration {
        self.0.since(now).saturating_sub(WITHDRAWAL_MARGIN)
    }

    /// Returns whether the weights have expired.
    #[must_use]
    pub fn is_past(self, now: Time) -> bool {
        now >= self.0
    }
}
