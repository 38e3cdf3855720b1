use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use types::Time;
use wire::Load;

/// The loads that agents last reported to this entry; see [`routing::Loads`].
#[derive(Debug, Default)]
pub(super) struct Loads(Mutex<routing::Loads<String>>);

impl Loads {
    /// Records the load in a reply of an agent.
    pub(super) fn record(&self, agent: &str, load: Load, now: Time) {
        // A refusal that no agent sent carries no load.
        if load.limit == 0 {
            return;
        }
        let load = routing::Load {
            wait: Duration::from_millis(load.wait_ms.into()),
            prefilling: load.prefilling,
            received_at: now,
        };
        self.lock().record(agent.to_owned(), load);
    }

    /// Excludes an agent for a short while.
    pub(super) fn record_failure(&self, agent: &str, now: Time) {
        self.lock().record_failure(agent.to_owned(), now);
    }

    /// Returns the expected wait at each agent for a prompt with this prefill time; an excluded
    /// agent has none.
    pub(super) fn expected_waits<'name>(
        &self,
        agents: impl Iterator<Item = &'name str>,
        prefill_time: Duration,
    ) -> Vec<Option<Duration>> {
        let (loads, now) = (self.lock(), crate::now());
        agents
            .map(|agent| loads.expected_wait(agent, prefill_time, now))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, routing::Loads<String>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
