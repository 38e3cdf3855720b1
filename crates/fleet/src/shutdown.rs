//! Graceful shutdown: which requests a stopping process still accepts.

use std::time::Duration;

use crate::catalog::{Delivery, Route};

/// The phases of a graceful shutdown, by the time since it began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// The time between the request to shut down and the forced exit.
    pub grace: Duration,
}

/// The fraction of the grace period in which all requests are accepted. The balancer sends new
/// connections until it notices the shutdown, after two failed health checks one second apart.
const ALL_FRACTION: f64 = 0.3;
/// The fraction of the grace period in which plain requests are accepted; they take some tens of
/// milliseconds.
const PLAIN_FRACTION: f64 = 0.7;

impl Shutdown {
    /// Returns whether a request that arrives `since` the shutdown began is accepted.
    ///
    /// If all entries of a failure domain shut down at the same time, the balancer sends callers to
    /// them until they are gone. A stream that begins late would be cut off at the end, so its
    /// caller is redirected to another entry at once.
    #[must_use]
    pub fn accepts(&self, route: &Route, since: Duration) -> bool {
        let fraction = match route.delivery {
            Delivery::Stream => ALL_FRACTION,
            Delivery::Idempotent | Delivery::AtMostOnce => PLAIN_FRACTION,
        };
        since < self.grace.mul_f64(fraction)
    }
}
