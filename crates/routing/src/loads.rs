use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use types::Time;

use crate::Load;

/// The load of each target that an entry has communicated with; entries in it expire.
///
/// Loads are not broadcast but piggybacked on responses, so the state is bounded by the targets
/// that the entry communicates with.
#[derive(Debug)]
pub struct Loads<Name> {
    targets: HashMap<Name, State>,
}

#[derive(Debug, Clone, Copy, Default)]
struct State {
    load: Load,
    excluded_until: Time,
}

/// Time after which a reported load is ignored; by then the target has processed the requests that
/// were waiting.
const LOAD_TTL: Duration = Duration::from_secs(2);
/// Time for which a failed target is excluded from selection; agents probe their targets every 200
/// ms.
const FAILURE_BACK_OFF: Duration = Duration::from_millis(500);

impl<Name> Default for Loads<Name> {
    fn default() -> Self {
        Self {
            targets: HashMap::new(),
        }
    }
}

impl<Name> Loads<Name>
where
    Name: Eq + Hash,
{
    /// Records the load carried by a response, unless a newer one is known.
    pub fn record(&mut self, target: Name, load: Load) {
        let state = self.targets.entry(target).or_default();
        if load.received_at >= state.load.received_at {
            state.load = load;
        }
    }

    /// Excludes a failed target from selection for a short time.
    pub fn record_failure(&mut self, target: Name, now: Time) {
        self.targets.entry(target).or_default().excluded_until = now + FAILURE_BACK_OFF;
    }

    /// Returns the expected wait at a target for a prompt whose own prefill takes `own`, or `None`
    /// while the target is excluded.
    pub fn expected_wait<Query>(&self, target: &Query, own: Duration, now: Time) -> Option<Duration>
    where
        Name: Borrow<Query>,
        Query: Eq + Hash + ?Sized,
    {
        let Some(state) = self.targets.get(target) else {
            return Some(Duration::ZERO);
        };
        if state.excluded_until > now {
            return None;
        }
        let age = now.since(state.load.received_at);
        if age > LOAD_TTL {
            return Some(Duration::ZERO);
        }
        // The target has processed prompts since the report, so the total wait has shrunk by the
        // age; which prompts remain is not known.
        let aged = Load {
            wait: state.load.wait.saturating_sub(age),
            ..state.load
        };
        Some(aged.expected_wait(own))
    }
}
