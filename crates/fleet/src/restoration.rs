//! What an entry relies on after the platform's table store was restored from an older copy.
//!
//! A restored store lacks the changes that it acknowledged after the copy was made, until the
//! operator and the targets write them again. An entry must not undo what it knows of them. See
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

/// The time after which the lists are taken as they are: they contain no target any more that left
/// after the copy was made, since the platform removes a row after three missed reports, which are
/// 1.2 seconds apart.
pub const LIST_SETTLE_TIME: Duration = Duration::from_secs(4);

impl Restoration {
    /// Records the era of a response of the table store.
    pub fn on_era(&mut self, era: u64, now: Time) -> Change {
        match self.era {
            Some(known) if era <= known => Change::None,
            known => {
                *self = Self {
                    era: Some(era),
                    began: Some(now),
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

    /// Returns whether the lists may still be those of a copy.
    #[must_use]
    pub fn is_settling(&self, now: Time) -> bool {
        self.began
            .is_some_and(|began| now.since(began) < LIST_SETTLE_TIME)
    }
}
