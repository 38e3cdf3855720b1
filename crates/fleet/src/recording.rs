//! Which entries record in the platform's table store when a weight version was released.
//!
//! Each call to the store is priced, so of hundreds of entries only a few record a release. Failure
//! pattern: these are killed or cut off just when they learn of it. Others check later whether the
//! time was recorded; see `docs/platform.md`.

use std::time::Duration;

use crate::gossip::Peers;

/// The number of entries that record a release as soon as they learn of it; the second one is a
/// fallback in case the first is down.
const RECORDERS: usize = 2;
/// The number of entries that record a release or check whether it was recorded.
const CHECKERS: usize = 5;
/// The delay between the checks of successive entries by rank.
const CHECK_STEP: Duration = Duration::from_millis(1000);
/// How much longer than entries take to notice that others are down they wait before they take over
/// from them.
const SUCCESSION_MARGIN: Duration = Duration::from_millis(1000);
/// How long the other entries may take to learn of a release and to write the row, in addition to
/// their delays.
const RECHECK_MARGIN: Duration = Duration::from_millis(1500);
/// How much later than known a recorded time may be without being corrected: the clock of the store
/// is known only up to the duration of a call.
const CLOCK_TOLERANCE_MS: u64 = 100;

/// The row that records when a version was released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Row {
    /// The version of the row.
    pub version: u64,
    /// When the weights were released, on the store's clock in milliseconds; `None` if the row is
    /// invalid.
    pub released_ms: Option<u64>,
}

/// What an entry does about the row of a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing. An invalid row may have been written by a newer release of this program.
    Keep,
    /// Writes the time that it knows, if the row still has this version; 0 if there is no row.
    Write(u64),
}

impl Step {
    /// Returns what an entry does that knows of the release since `known_ms`, on the store's clock.
    /// The recorded time only moves earlier.
    #[must_use]
    pub fn new(row: Option<Row>, known_ms: u64) -> Self {
        let Some(row) = row else {
            return Self::Write(0);
        };
        match row.released_ms {
            Some(released_ms) if known_ms + CLOCK_TOLERANCE_MS < released_ms => {
                Self::Write(row.version)
            }
            _ => Self::Keep,
        }
    }
}

/// When an entry records a release, or checks whether it was recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// After this time, which is zero for the first recorders.
    After(Duration),
    /// After this time, if it is then one of the first recorders among the live entries.
    AsSuccessor(Duration),
}

impl Turn {
    /// Returns the turn of an entry, given its rank for the row among `entries`; the rank is `None`
    /// as long as the entry is not registered.
    #[must_use]
    pub fn new(rank: Option<usize>, entries: usize) -> Self {
        match rank {
            Some(rank) if rank < CHECKERS => {
                let steps = rank.saturating_sub(RECORDERS - 1);
                Self::After(CHECK_STEP * u32::try_from(steps).unwrap_or(u32::MAX))
            }
            _ => Self::AsSuccessor(succession_delay(entries)),
        }
    }
}

/// Returns whether the entry with this rank is one of the first recorders.
#[must_use]
pub fn is_recorder(rank: Option<usize>) -> bool {
    rank.is_some_and(|rank| rank < RECORDERS)
}

/// Returns the time after a release at which the entries have noticed that others were down.
fn succession_delay(entries: usize) -> Duration {
    Peers::round(entries) * 2 + Peers::EXPIRY_SLACK + SUCCESSION_MARGIN
}

/// Returns after which time an entry that learned of a release late, or from a snapshot, reads the
/// recorded time again, which may be that of another entry which has just started.
///
/// The others have corrected it once their turns since the true release are over, which was no later
/// than the recorded one. `None` if they are.
#[must_use]
pub fn recheck_delay(released_ms: u64, store_time_ms: u64, entries: usize) -> Option<Duration> {
    let released = Duration::from_millis(released_ms);
    let last_check = CHECK_STEP * u32::try_from(CHECKERS - RECORDERS).unwrap_or(u32::MAX);
    let mut turns = [last_check, succession_delay(entries)];
    turns.sort_unstable();
    let mut ends = turns
        .map(|turn| released + turn + RECHECK_MARGIN)
        .into_iter();
    let store_time = Duration::from_millis(store_time_ms);
    ends.find(|end| *end > store_time)
        .map(|end| end - store_time)
}
