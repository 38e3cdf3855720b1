use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use types::Time;

use crate::Load;

/// What an entry believes of the targets that it talked to; everything in it ages.
///
/// Nothing is broadcast: a load comes with an answer, so the state is bounded by the targets that
/// the entry talks to.
#[derive(Debug)]
pub struct Loads<Name> {
    heard: HashMap<Name, Heard>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Heard {
    load: Load,
    avoid_until: Time,
}

/// How long a load that was heard counts; by then a target has worked on whatever waited.
const LOAD_AGE: Duration = Duration::from_secs(2);
/// How long a target that failed is left out; agents ask their targets every 200 ms.
const AVOID: Duration = Duration::from_millis(500);

impl<Name> Default for Loads<Name> {
    fn default() -> Self {
        Self {
            heard: HashMap::new(),
        }
    }
}

impl<Name> Loads<Name>
where
    Name: Eq + Hash,
{
    /// Records the load that an answer carried; an older one than is known changes nothing.
    pub fn record(&mut self, target: Name, load: Load) {
        let heard = self.heard.entry(target).or_default();
        if load.received_at >= heard.load.received_at {
            heard.load = load;
        }
    }

    /// Leaves a target out for a short while.
    pub fn record_failure(&mut self, target: Name, now: Time) {
        self.heard.entry(target).or_default().avoid_until = now + AVOID;
    }

    /// Returns the expected wait at a target for a prompt that takes the time `own` to compute, or
    /// `None` while the target is left out.
    pub fn expected_wait<Query>(&self, target: &Query, own: Duration, now: Time) -> Option<Duration>
    where
        Name: Borrow<Query>,
        Query: Eq + Hash + ?Sized,
    {
        let Some(heard) = self.heard.get(target) else {
            return Some(Duration::ZERO);
        };
        if heard.avoid_until > now {
            return None;
        }
        let age = now.since(heard.load.received_at);
        if age > LOAD_AGE {
            return Some(Duration::ZERO);
        }
        // What waited in all has been worked on since; which prompts are left is not known.
        let aged = Load {
            wait: heard.load.wait.saturating_sub(age),
            ..heard.load
        };
        Some(aged.expected_wait(own))
    }
}
