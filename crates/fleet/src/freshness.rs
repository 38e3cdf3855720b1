//! Age of an entry's configuration.

use std::time::Duration;

use types::Time;

/// Evidence that the configuration was the newest one at some point in time.
///
/// A revoked key must stop working within a bound, even at an entry that was suspended or
/// partitioned from the table store. Therefore an entry serves requests with keys only while its
/// newest evidence is younger than that bound. Times come from a clock that advances while the
/// machine is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct Evidence {
    /// When the newest evidence was given, on this entry's clock.
    confirmed: Option<Time>,
    /// The smallest difference seen between this entry's clock and that of the table store, in µs.
    offset: Option<i64>,
}

/// Margin of the bound for the transit of a request to its target, and for a table store whose long
/// polls report changes up to a second late before it drops its history.
const MARGIN: Duration = Duration::from_millis(1400);
/// How much, in µs, the estimated clock offset may understate the true one: the transit time of the
/// fastest reply.
const OFFSET_ERROR_US: i64 = 10_000;

/// How much older than the reply that shows it a change may be without being counted as late.
const MAX_CHANGE_AGE: Duration = Duration::from_millis(100);

/// Returns whether the changes in a reply may be older than the reply by more than an error of the
/// clock. The reply was requested at `sent_at` and given at `given_at`; the one before it was given
/// at `previous`.
///
/// A long poll that has waited is answered when a change is made. One that is answered at once
/// shows what has happened since the previous reply: the entry may have been suspended or cut off.
#[must_use]
pub fn shows_late(previous: Option<Time>, sent_at: Time, given_at: Time) -> bool {
    let has_waited = given_at.since(sent_at) >= MAX_CHANGE_AGE;
    let is_recent = previous.is_some_and(|previous| given_at.since(previous) < MAX_CHANGE_AGE);
    !has_waited && !is_recent
}

impl Evidence {
    /// Records the time of a reply of the table store on its monotonic clock, in milliseconds.
    /// Returns the latest time on this entry's clock at which it may have been given, in µs.
    pub fn on_store_clock(&mut self, received_at: Time, store_ms: u64) -> i64 {
        let received_us = i64::try_from(received_at.0).unwrap_or(i64::MAX);
        let given_us = i64::try_from(store_ms.saturating_mul(1000)).unwrap_or(i64::MAX);
        let offset = received_us.saturating_sub(given_us);
        let min_offset = self.offset.map_or(offset, |known| known.min(offset));
        self.offset = Some(min_offset);
        given_us.saturating_add(min_offset)
    }

    /// Records a reply of the table store that is evidence of the configuration: it was requested
    /// at `sent_at`, arrived at `received_at`, and was given at `store_ms` on the table store's
    /// monotonic clock, in milliseconds.
    ///
    /// The reply to a long poll is younger than the request. The smallest clock difference of the
    /// earlier replies bounds how much younger, since a reply never arrives before it is given.
    pub fn on_answer(&mut self, sent_at: Time, received_at: Time, store_ms: u64) {
        let is_first = self.offset.is_none();
        let latest_us = self.on_store_clock(received_at, store_ms);
        let earliest_us = match is_first {
            true => 0,
            false => u64::try_from(latest_us.saturating_sub(OFFSET_ERROR_US)).unwrap_or(0),
        };
        let confirmed = sent_at.max(Time(earliest_us)).min(received_at);
        self.confirmed = self.confirmed.max(Some(confirmed));
    }

    /// Returns the earliest time on this entry's clock at which a reply may have been given that
    /// arrived at `received_at` and was given at `store_ms` on the table store's monotonic clock.
    #[must_use]
    pub fn given_at(&self, received_at: Time, store_ms: u64) -> Time {
        let given_us = i64::try_from(store_ms.saturating_mul(1000)).unwrap_or(i64::MAX);
        let Some(offset) = self.offset else {
            return received_at;
        };
        let given_us = given_us
            .saturating_add(offset)
            .saturating_sub(OFFSET_ERROR_US);
        Time(u64::try_from(given_us).unwrap_or(0)).min(received_at)
    }

    /// Records that the table store was restored from a copy, after which its clock may differ.
    pub fn on_restored(&mut self) {
        self.offset = None;
    }

    /// Records that another entry had evidence of the same configuration at `store_ms` on the table
    /// store's monotonic clock, in milliseconds.
    ///
    /// An entry that the table store rejects can continue with the evidence of its neighbours. It
    /// needs one reply of its own first, to relate its clock to that of the table store.
    pub fn on_peer_evidence(&mut self, store_ms: u64, now: Time) {
        let given_us = i64::try_from(store_ms.saturating_mul(1000)).unwrap_or(i64::MAX);
        let Some(offset) = self.offset else {
            return;
        };
        let latest_us = given_us
            .saturating_add(offset)
            .saturating_sub(OFFSET_ERROR_US);
        let confirmed = Time(u64::try_from(latest_us).unwrap_or(0)).min(now);
        self.confirmed = self.confirmed.max(Some(confirmed));
    }

    /// Returns when the newest evidence was given, on the table store's monotonic clock in
    /// milliseconds.
    #[must_use]
    pub fn confirmed_at(&self) -> Option<u64> {
        self.store_time(self.confirmed?)
    }

    /// Converts a time to the table store's monotonic clock, in milliseconds.
    #[must_use]
    pub fn store_time(&self, now: Time) -> Option<u64> {
        let own = i64::try_from(now.0).unwrap_or(i64::MAX);
        u64::try_from(own.saturating_sub(self.offset?) / 1000).ok()
    }

    /// Returns the age of the evidence; `None` if there is none yet.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Returns whether requests with keys may be served, given the maximum age of the evidence.
    #[must_use]
    pub fn is_fresh(&self, now: Time, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age + MARGIN < bound)
    }
}
