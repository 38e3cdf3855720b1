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
    knobs: Knobs,
    heard: HashMap<Name, Heard>,
}

/// How loads are read; `docs/routing.md` gives the figures behind the defaults.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Knobs {
    /// How long a load that was heard counts.
    pub age: Duration,
    /// How long a target that failed is left out.
    pub avoid: Duration,
    /// What a request of this entry that the last load does not include yet adds to the wait.
    pub sent: Duration,
    /// What each request beyond the target's limit adds to the wait.
    pub slot: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Heard {
    load: Load,
    sent: u32,
    avoid_until: Time,
}

impl Default for Knobs {
    fn default() -> Self {
        Self {
            age: Duration::from_secs(2),
            avoid: Duration::from_millis(500),
            sent: Duration::ZERO,
            slot: Duration::from_millis(200),
        }
    }
}

impl<Name> Default for Loads<Name> {
    fn default() -> Self {
        Self::new(Knobs::default())
    }
}

impl<Name> Loads<Name> {
    /// Starts without knowledge.
    #[must_use]
    pub fn new(knobs: Knobs) -> Self {
        Self {
            knobs,
            heard: HashMap::new(),
        }
    }
}

impl<Name> Loads<Name>
where
    Name: Eq + Hash,
{
    /// Counts a request that was sent, since the next load is heard only with its answer.
    pub fn sent(&mut self, target: Name) {
        self.heard.entry(target).or_default().sent += 1;
    }

    /// Records the load that an answer carried.
    pub fn heard(&mut self, target: Name, load: Load) {
        let heard = self.heard.entry(target).or_default();
        if load.heard >= heard.load.heard {
            heard.load = load;
            heard.sent = 0;
        }
    }

    /// Leaves a target out for a short while.
    pub fn failed(&mut self, target: Name, now: Time) {
        self.heard.entry(target).or_default().avoid_until = now + self.knobs.avoid;
    }

    /// Returns the expected wait at a target for a prompt that takes the time `own` to compute, or
    /// `None` while the target is left out.
    pub fn wait<Query>(&self, target: &Query, own: Duration, now: Time) -> Option<Duration>
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
        let age = now.since(heard.load.heard);
        let sent = self.knobs.sent * heard.sent;
        if age > self.knobs.age {
            return Some(sent);
        }
        let over = (heard.load.in_flight + heard.sent + 1).saturating_sub(heard.load.limit);
        // What waited when the load was heard has been worked on since.
        let told = heard.load.wait.saturating_sub(age) + sent;
        // An engine that computes in turn lets each other prompt go ahead by no more than the
        // length of this one.
        let in_turn = own * (heard.load.computing + heard.sent);
        Some(told.min(in_turn) + self.knobs.slot * over)
    }
}
