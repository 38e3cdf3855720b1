use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use types::Time;
use wire::Load;

/// What an entry last heard of the agents that it talked to; everything in it ages.
#[derive(Debug, Default)]
pub(super) struct Loads(Mutex<HashMap<String, Heard>>);

#[derive(Debug, Clone, Copy, Default)]
struct Heard {
    load: Load,
    at: Time,
    avoid_until: Time,
}

/// How long a load that was heard counts.
const LOAD_AGE: Duration = Duration::from_secs(2);
/// How long an agent that failed is left out.
const AVOID: Duration = Duration::from_millis(500);
/// The wait that a target with all slots taken is assumed to cost.
const SERVICE_TIME: Duration = Duration::from_millis(200);

impl Loads {
    /// Records the load that an answer carried.
    pub(super) fn heard(&self, agent: &str, load: Load, now: Time) {
        let mut loads = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let heard = loads.entry(agent.to_owned()).or_default();
        heard.load = load;
        heard.at = now;
    }

    /// Leaves an agent out for a short while.
    pub(super) fn failed(&self, agent: &str, now: Time) {
        let mut loads = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        loads.entry(agent.to_owned()).or_default().avoid_until = now + AVOID;
    }

    /// Returns the expected wait at an agent, or `None` while it is left out.
    pub(super) fn wait(&self, agent: &str, now: Time) -> Option<Duration> {
        let loads = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(heard) = loads.get(agent) else {
            return Some(Duration::ZERO);
        };
        if heard.avoid_until > now {
            return None;
        }
        if now.since(heard.at) > LOAD_AGE || heard.load.in_flight < heard.load.limit {
            return Some(Duration::ZERO);
        }
        let over = heard.load.in_flight + 1 - heard.load.limit;
        Some(SERVICE_TIME * over)
    }
}
