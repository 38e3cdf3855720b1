//! What a stopping process still accepts.

use std::time::Duration;

use crate::catalog::{Delivery, Route};

/// The phases of a graceful stop, by the time since it began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    /// The time between the request to stop and the end by force.
    pub grace: Duration,
}

/// The part of the grace in which all requests are accepted: the balancer still sends new
/// connections until it has noticed, after two misses of a question that it asks each second.
const OPEN: f64 = 0.3;
/// The part of the grace in which plain requests are accepted; they take some tens of milliseconds.
const PLAIN: f64 = 0.7;

impl Shutdown {
    /// Says whether a request that arrives `since` the stop began is accepted.
    ///
    /// Where all entries of a failure domain stop at the same time, the balancer keeps sending them
    /// callers until they are gone. A stream that begins late would be cut at the end, so its
    /// caller is sent to another entry at once.
    #[must_use]
    pub fn accepts(&self, route: &Route, since: Duration) -> bool {
        let part = match route.delivery {
            Delivery::Stream => OPEN,
            Delivery::Idempotent | Delivery::AtMostOnce => PLAIN,
        };
        since < self.grace.mul_f64(part)
    }
}
