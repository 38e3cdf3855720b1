use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use types::Time;
use wire::Load;

/// What an entry last heard of the agents that it talked to; see [`routing::Loads`].
#[derive(Debug, Default)]
pub(super) struct Loads(Mutex<routing::Loads<String>>);

impl Loads {
    /// Records the load that an answer carried.
    pub(super) fn heard(&self, agent: &str, load: Load, now: Time) {
        // A refusal that no agent made carries no load.
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

    /// Leaves an agent out for a short while.
    pub(super) fn failed(&self, agent: &str, now: Time) {
        self.lock().record_failure(agent.to_owned(), now);
    }

    /// Returns the expected wait at each agent for a prompt that takes the time `own` to compute;
    /// an agent that is left out has none.
    pub(super) fn waits<'name>(
        &self,
        agents: impl Iterator<Item = &'name str>,
        own: Duration,
    ) -> Vec<Option<Duration>> {
        let (loads, now) = (self.lock(), crate::now());
        agents
            .map(|agent| loads.expected_wait(agent, own, now))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, routing::Loads<String>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
