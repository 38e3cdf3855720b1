//! Bounds requests by the shutdown of the process.

use std::time::Duration;

use fleet::catalog::Route;
use fleet::shutdown::{Shutdown, Stage};
use types::Time;

use crate::clock::now;
use crate::shared::Shared;

/// How often a request that waits for its limit looks whether the event loop has become later.
const LAG_INTERVAL: Duration = Duration::from_millis(100);

/// Wakes the tasks that wait for the shutdown, once it has begun.
pub(crate) fn announce<Adapter>(shared: &Shared<Adapter>) {
    shared.shutdown_begun.notify_waiters();
}

/// Returns the time at which a request must have a response, once the shutdown has begun.
pub(crate) fn response_limit<Adapter>(shared: &Shared<Adapter>, route: &Route) -> Option<Time> {
    let began = shared.stopping.get()?;
    Some(began + shutdown(shared).response_limit(route.delivery))
}

/// Returns whether a request with this deadline may be sent to a target now.
pub(crate) fn accepts<Adapter>(
    shared: &Shared<Adapter>,
    route: &Route,
    stage: Stage,
    deadline: Time,
) -> bool {
    let Some(began) = shared.stopping.get() else {
        return true;
    };
    let since = now().since(began);
    shutdown(shared).accepts(route, stage, deadline.since(began), since)
}

/// Waits until the entry is stopping and a request with this deadline may not be sent to a target
/// any more.
pub(crate) async fn until_last_start<Adapter>(
    shared: &Shared<Adapter>,
    route: &Route,
    stage: Stage,
    deadline: Time,
) {
    let began = until_begun(shared).await;
    let last_start = shutdown(shared).last_start(route, stage, deadline.since(began));
    tokio::time::sleep((began + last_start).since(now())).await;
}

/// Waits until the entry is stopping and a request must have a response.
pub(crate) async fn until_response_limit<Adapter>(shared: &Shared<Adapter>, route: &Route) {
    let began = until_begun(shared).await;
    let earliest = shutdown(shared).earliest_response_limit(route.delivery);
    tokio::time::sleep((began + earliest).since(now())).await;
    loop {
        let limit = began + shutdown(shared).response_limit(route.delivery);
        let remaining = limit.since(now());
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining.min(LAG_INTERVAL)).await;
    }
}

/// Returns the part of the grace period in which the shutdown has to be complete.
pub(crate) fn usable<Adapter>(shared: &Shared<Adapter>) -> Duration {
    shutdown(shared).usable()
}

async fn until_begun<Adapter>(shared: &Shared<Adapter>) -> Time {
    loop {
        // Registered before the check, so that no change between the two is missed.
        let begun = shared.shutdown_begun.notified();
        if let Some(began) = shared.stopping.get() {
            return began;
        }
        begun.await;
    }
}

fn shutdown<Adapter>(shared: &Shared<Adapter>) -> Shutdown {
    Shutdown {
        grace: shared.settings.grace(),
        lag: shared.stopping.lag(),
    }
}
