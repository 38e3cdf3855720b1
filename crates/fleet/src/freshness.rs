//! How old an entry's knowledge of the configuration is.

use std::time::Duration;

use types::Time;

/// Evidence that the configuration was the newest one at some moment.
///
/// A key that was taken away must stop working within a bound, also at an entry that was frozen or
/// cut off. So an entry serves keyed requests only while its newest evidence is younger than that
/// bound. Times come from a clock that counts suspensions of the machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct Evidence {
    at: Option<Time>,
    offset: Option<i64>,
}

/// The part of the bound that is left for the way of a request to its target, and for a store whose
/// waiting calls hear of changes up to a second late before it drops its history.
const MARGIN: Duration = Duration::from_millis(1400);
/// The time in µs by which the clocks of entry and store may seem nearer than they are: the way of
/// the fastest answer.
const ALLOWANCE_US: i64 = 10_000;

impl Evidence {
    /// Records an answer of the store that was asked at `asked`, arrived at `heard`, and was given
    /// at `store` on the store's own steady clock, in milliseconds.
    ///
    /// An answer to a waiting call is younger than the question. The least difference of the two
    /// clocks that was ever seen bounds how much younger, since an answer never arrives before it
    /// is given.
    pub fn on_answer(&mut self, asked: Time, heard: Time, store: u64) {
        let micros = i64::try_from(heard.0).unwrap_or(i64::MAX);
        let given = i64::try_from(store.saturating_mul(1000)).unwrap_or(i64::MAX);
        let offset = micros.saturating_sub(given);
        let least = self.offset.map_or(offset, |known| known.min(offset));
        self.offset = Some(least);
        let latest = given.saturating_add(least);
        let early = u64::try_from(latest.saturating_sub(ALLOWANCE_US)).unwrap_or(0);
        let moment = asked.max(Time(early)).min(heard);
        self.at = self.at.max(Some(moment));
    }

    /// Records that another entry had evidence of the same configuration at `store` on the store's
    /// steady clock, in milliseconds.
    ///
    /// An entry that the store turns away goes on with what its neighbours can prove. It needs one
    /// answer of its own, or it could not tell its clock from that of the store.
    pub fn on_peer_evidence(&mut self, store: u64, now: Time) {
        let given = i64::try_from(store.saturating_mul(1000)).unwrap_or(i64::MAX);
        let Some(offset) = self.offset else {
            return;
        };
        let latest = given.saturating_add(offset).saturating_sub(ALLOWANCE_US);
        let moment = Time(u64::try_from(latest).unwrap_or(0)).min(now);
        self.at = self.at.max(Some(moment));
    }

    /// Returns when the newest evidence was given, on the store's steady clock in milliseconds.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<u64> {
        self.store_time(self.at?)
    }

    /// Converts a time to the store's steady clock, in milliseconds.
    #[must_use]
    pub fn store_time(&self, now: Time) -> Option<u64> {
        let own = i64::try_from(now.0).unwrap_or(i64::MAX);
        u64::try_from(own.saturating_sub(self.offset?) / 1000).ok()
    }

    /// Returns how old the evidence is; `None` if there is none yet.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.at.map(|at| now.since(at))
    }

    /// Says whether keyed requests may be served under a bound.
    #[must_use]
    pub fn is_fresh(&self, now: Time, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age + MARGIN < bound)
    }
}
