use std::time::Duration;

use types::{Domain, Store, Time};

use super::{Action, Index, Plan};

/// How much later than expected first events came after fetches from a host.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Lateness {
    /// The sum over all fetches, in ms; negative if they were faster.
    pub sum_ms: f64,
    /// The number of fetches.
    pub count: u32,
}

/// How much longer requests that fetch wait at busy targets than those that do not: they are longer,
/// and their prompts are read in turns with those of others.
const QUEUED: f64 = 2.0;
/// How long observations are remembered to tell others; longer than it takes to tell each of them.
pub(super) const OBSERVED: Duration = Duration::from_secs(3);
/// The weight of the newest observation.
const SMOOTHING: f64 = 0.2;

impl Index {
    /// Records when the first event of a request came: `excess` is the time beyond that of reading
    /// what was to be read.
    ///
    /// Load pattern: the engines of a failure domain are busy, so that all that they get comes late.
    /// Only what comes later than requests there that fetch nothing says something of a host.
    pub fn on_first_token(&mut self, plan: &Plan, domain: &Domain, excess: Duration, now: Time) {
        let excess = excess.as_secs_f64() * 1000.0;
        if plan.fetch_time.is_zero() {
            let usual = self.usual_ms.entry(domain.clone()).or_insert(excess);
            *usual += SMOOTHING * (excess - *usual);
            return;
        }
        let Some(usual) = self.usual_ms.get(domain) else {
            return;
        };
        let fetches = plan.actions.iter().rev().find_map(|act| match act {
            Action::Fetch(store) => Some(store),
            Action::Prefill | Action::Skip(_) | Action::Save(_) => None,
        });
        // The last part is the longest one, and its host has most to do with the delay.
        let Some(shelf) = fetches.and_then(|store| self.shelves.get_mut(store)) else {
            return;
        };
        let expected = plan.fetch_time.as_secs_f64() * 1000.0;
        let late = Lateness {
            sum_ms: excess - usual * QUEUED - expected,
            count: 1,
        };
        shelf.on_late(late, now);
        shelf.own.push_back((now, late.sum_ms));
    }

    /// Records how late fetches from a host were at another entry. Each one alone sees too few of
    /// them to notice within a second that a host has become slow, or fast again.
    pub fn on_lateness(&mut self, store: &Store, late: Lateness, now: Time) {
        if let Some(shelf) = self.shelves.get_mut(store) {
            shelf.on_late(late, now);
        }
    }

    /// Returns how late this entry's fetches from each host were within some time, to tell others.
    #[must_use]
    pub fn lateness(&self, within: Duration, now: Time) -> Vec<(Store, Lateness)> {
        let shelves = self.shelves.iter();
        let observed = shelves.map(|(name, shelf)| {
            let recent = shelf.own.iter().filter(|(at, _)| now.since(*at) < within);
            let late = recent.fold(Lateness::default(), |late, (_, ms)| Lateness {
                sum_ms: late.sum_ms + ms,
                count: late.count + 1,
            });
            (name.clone(), late)
        });
        observed.filter(|(_, late)| late.count > 0).collect()
    }

    /// Returns the share of fetches from each host that are not left out because it is slow, and how
    /// late its fetches are on average, in ms.
    pub fn fetch_shares(&self) -> impl Iterator<Item = (&Store, f64, f64)> {
        let shelves = self.shelves.iter();
        shelves.map(|(name, shelf)| (name, shelf.willing, shelf.late_ms()))
    }
}
