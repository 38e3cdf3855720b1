//! Measures how late the event loop runs its tasks.

use std::rc::Rc;
use std::time::Duration;

use crate::clock::now;
use crate::logging::Event;
use crate::serve::millis;
use crate::shared::Shared;

/// How often the lag is measured.
const INTERVAL: Duration = Duration::from_millis(200);
/// The length of a second wait, in which a lag shows that is shorter than the interval.
const PROBE_TIME: Duration = Duration::from_millis(1);
/// A lag from which callers notice it, which is logged.
const LOGGED_LAG: Duration = Duration::from_millis(250);
/// The time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the lag as long as the process runs, for the shutdown and for operators. A host that is
/// short of processor time has a great lag, and so has one that was suspended.
pub(crate) async fn measure<Adapter>(shared: Rc<Shared<Adapter>>) {
    let mut logged = None;
    loop {
        let lag = lateness(INTERVAL).await.max(lateness(PROBE_TIME).await);
        let time = now();
        shared.stopping.on_lag(lag, time);
        let gauge = &shared.metrics.loop_lag;
        gauge.set(i64::try_from(lag.as_millis()).unwrap_or(i64::MAX));
        let is_due = logged.is_none_or(|logged| time.since(logged) >= LOG_INTERVAL);
        if lag >= LOGGED_LAG && is_due {
            logged = Some(time);
            Event::new("lagging").with("lag_ms", millis(lag)).warn();
        }
    }
}

/// Waits, and returns how much longer than asked for.
async fn lateness(wait: Duration) -> Duration {
    let started = now();
    tokio::time::sleep(wait).await;
    now().since(started).saturating_sub(wait)
}
