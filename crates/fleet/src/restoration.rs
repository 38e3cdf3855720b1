//! What an entry relies on after the platform's table store was restored from an older copy.
//!
//! A restored store lacks the changes that it acknowledged after the copy was made, until the
//! operator and the targets write them again. An entry must neither undo what it knows of them nor
//! take the copy as evidence that its configuration is the newest one. See
//! `docs/design.md`.

use std::time::Duration;

use types::Time;

/// The state of the operator's rows since the newest restoration.
#[derive(Debug, Default)]
pub struct Restoration {
    /// The era of the newest response; `None` before the first one.
    era: Option<u64>,
    /// When the era began, as far as known; `None` if that was long ago.
    began: Option<Time>,
    /// When the era began, on the store's clock in milliseconds, as another entry has recorded it.
    recorded_ms: Option<u64>,
    /// The version of the configuration that the store lists, or of the one in use if the row is
    /// invalid.
    listed: Option<u64>,
    /// Whether the configuration has been written in this era.
    rewritten: bool,
}

/// What the first response of an era says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The era is the known one.
    None,
    /// The process has just started, so that it does not know when the era began.
    Started,
    /// The store was restored while this process was running.
    Restored,
}

/// The time after which the operator has written the configuration again if the copy lacks it. The
/// platform gives two seconds for the rows of targets and names no time for those of the operator.
const CONFIG_SETTLE_TIME: Duration = Duration::from_secs(2);
/// The time after which the lists are taken as they are: they contain no target any more that left
/// after the copy was made, since the platform removes a row after three missed reports, which are
/// 1.2 seconds apart.
pub const LIST_SETTLE_TIME: Duration = Duration::from_secs(4);
/// The time after which a newer configuration than the listed one counts as never acknowledged to
/// the operator, who would have written it again.
const REVERSION_TIME: Duration = Duration::from_secs(10);

impl Restoration {
    /// Records the era of a response of the table store.
    pub fn on_era(&mut self, era: u64, now: Time) -> Change {
        match self.era {
            Some(known) if era <= known => Change::None,
            known => {
                *self = Self {
                    era: Some(era),
                    began: Some(now),
                    ..Self::default()
                };
                match known {
                    Some(_) => Change::Restored,
                    None => Change::Started,
                }
            }
        }
    }

    /// Records when the era began; `None` if that was long ago.
    pub fn on_began(&mut self, began: Option<Time>) {
        self.began = began;
    }

    /// Records when the era began as recorded by another entry: on the store's clock in
    /// milliseconds, or 0 if that was long ago. It applies from the next [`Self::on_store_time`].
    pub fn on_recorded(&mut self, began_ms: u64) {
        self.recorded_ms = Some(began_ms);
    }

    /// Records the time on the store's clock, in milliseconds.
    pub fn on_store_time(&mut self, store_ms: u64, now: Time) {
        if let Some(began_ms) = self.recorded_ms.take() {
            let age = Duration::from_millis(store_ms.saturating_sub(began_ms));
            self.began = (began_ms != 0).then(|| now - age);
        }
    }

    /// Returns the era of the newest response; 0 before the first one.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era.unwrap_or(0)
    }

    /// Returns when the era began if that may have been recently.
    #[must_use]
    pub fn began(&self) -> Option<Time> {
        self.began
    }

    /// Records the version of the configuration in a snapshot, which may be that of the copy, or in
    /// a change, which was written in this era.
    pub fn on_config(&mut self, version: u64, is_change: bool) {
        self.listed = Some(version);
        self.rewritten |= is_change;
    }

    /// Records that the row of the configuration is invalid, so that the one in use, `known`, stays
    /// in force.
    pub fn on_invalid_config(&mut self, known: Option<u64>) {
        self.listed = self.listed.max(known);
    }

    /// Returns how long the operator may still take to write the configuration again if the copy
    /// lacks it.
    #[must_use]
    pub fn unsettled_for(&self, now: Time) -> Duration {
        self.began.map_or(Duration::ZERO, |began| {
            CONFIG_SETTLE_TIME.saturating_sub(now.since(began))
        })
    }

    /// Returns whether a response of the store is evidence that the configuration in use, `known`,
    /// is the newest one.
    ///
    /// It is not while the store lists an older configuration, or while it may lack a newer one
    /// that was acknowledged to the operator before the restoration.
    #[must_use]
    pub fn confirms(&self, known: Option<u64>, now: Time) -> bool {
        let is_listed = self.listed >= known;
        is_listed && (self.rewritten || self.unsettled_for(now).is_zero())
    }

    /// Returns whether the listed configuration replaces a newer one in use, `known`, that was
    /// written before the restoration but not again after it.
    #[must_use]
    pub fn reverts(&self, known: u64, now: Time) -> bool {
        let is_older = self.listed.is_some_and(|listed| listed < known);
        let is_due = self
            .began
            .is_some_and(|began| now.since(began) >= REVERSION_TIME);
        is_older && is_due
    }

    /// Returns whether the store lists an older configuration than the one in use.
    #[must_use]
    pub fn lags(&self, known: Option<u64>) -> bool {
        self.began.is_some() && self.listed < known
    }
}
