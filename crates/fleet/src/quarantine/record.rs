//! The crashes that are evidence against one suspect.

use std::time::Duration;

use types::Time;

use super::Crash;

/// The evidence about one suspect.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// The crashes since a response last began, in the order of time.
    pub(super) crashes: Vec<Crash>,
    pub(super) begun: Option<Time>,
    /// When this entry last sent a request to test the suspect.
    pub(super) trial: Option<Time>,
    /// When the newest evidence in the record was observed, by any entry.
    pub(super) changed: Time,
}

/// A record as it is told to other entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Told {
    pub(super) crashes: Vec<(u64, Duration, Duration)>,
    pub(super) begun: Option<Duration>,
}

/// Maximum number of crashes in a record.
pub(super) const MAX_CRASHES: usize = 8;

impl Record {
    /// Adds what this entry knew of the suspect before the record.
    pub(super) fn recall(&mut self, begun: Option<Time>) {
        self.begun = self.begun.max(begun);
        self.changed = self.changed.max(begun.unwrap_or_default());
    }

    /// Adds a crash; returns whether it is new.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        if self.begun.is_some_and(|begun| crash.lost <= begun) {
            return false;
        }
        self.changed = self.changed.max(crash.lost);
        let known = self
            .crashes
            .iter_mut()
            .find(|known| known.target == crash.target);
        let is_new = known.is_none();
        match known {
            Some(known) => {
                // Gossip arrives late by varying times; the earliest one is the most exact.
                known.lost = known.lost.min(crash.lost);
                known.in_flight = known.in_flight.min(crash.in_flight);
            }
            None => self.crashes.push(crash),
        }
        self.crashes.sort_by_key(|crash| (crash.lost, crash.target));
        if self.crashes.len() > MAX_CRASHES {
            return self.crashes.remove(0).target != crash.target;
        }
        is_new
    }

    /// Records that a response began at `begun`; returns whether this voids any evidence.
    pub(super) fn on_begun(&mut self, begun: Time) -> bool {
        if self.begun.is_none_or(|known| known < begun) {
            self.begun = Some(begun);
        }
        let count = self.crashes.len();
        self.crashes.retain(|crash| crash.lost > begun);
        let changed = self.crashes.len() < count;
        self.changed = self.changed.max(begun);
        if changed {
            self.trial = None;
        }
        changed
    }

    /// Merges what another entry has told; returns whether this changes anything.
    pub(super) fn merge(&mut self, told: &Told, now: Time) -> bool {
        let mut is_changed = false;
        if let Some(elapsed) = told.begun {
            is_changed |= self.on_begun(now - elapsed);
        }
        for (target, elapsed, in_flight) in told.crashes.iter().take(MAX_CRASHES) {
            let crash = Crash {
                target: *target,
                lost: now - *elapsed,
                in_flight: *in_flight,
            };
            is_changed |= self.add(crash);
        }
        is_changed
    }

    pub(super) fn told(&self, now: Time) -> Told {
        let crashes = self.crashes.iter();
        let crashes = crashes.map(|crash| (crash.target, now.since(crash.lost), crash.in_flight));
        Told {
            crashes: crashes.collect(),
            begun: self.begun.map(|begun| now.since(begun)),
        }
    }

    /// Returns whether this record has a crash, or may have dropped it because it was full.
    pub(super) fn may_have(&self, crash: &Crash) -> bool {
        let oldest = self.crashes.first().map(|crash| crash.lost);
        let is_dropped =
            self.crashes.len() >= MAX_CRASHES && oldest.is_some_and(|oldest| crash.lost < oldest);
        is_dropped
            || self
                .crashes
                .iter()
                .any(|known| known.target == crash.target)
    }

    /// Returns whether this record has all crashes of another one, as far as it has kept them.
    pub(super) fn covers(&self, other: &Self) -> bool {
        other.crashes.iter().all(|crash| self.may_have(crash))
    }

    /// Returns the number of successive crashes: each lost a request that was sent after the
    /// previous crash. Targets that crash together, as in the loss of a failure domain, count once.
    pub(super) fn chain(&self) -> usize {
        let mut count = 0;
        let mut last = None;
        for crash in &self.crashes {
            if last.is_none_or(|last| crash.lost - crash.in_flight >= last) {
                count += 1;
                last = Some(crash.lost);
            }
        }
        count
    }

    /// Returns when the last crash was.
    pub(super) fn last_crash(&self) -> Time {
        let last = self.crashes.last();
        last.map_or(Time::default(), |crash| crash.lost)
    }
}
