//! The order in which callers lose their connections when there is no room.

use std::time::Duration;

use types::Time;

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// It waits for the caller's next request.
    Idle,
    /// The head of a request arrives.
    Head,
    /// The body of a request arrives.
    Body,
    /// A request is served; the caller has nothing to do.
    Serving,
    /// A response waits for the caller to read.
    Sending,
}

/// How far a caller is.
#[derive(Debug, Clone, Copy)]
pub(super) struct Standing {
    pub(super) activity: Activity,
    /// When the activity began.
    pub(super) since: Time,
    /// When the caller last moved bytes.
    pub(super) moved_at: Time,
    /// Up to when the caller has made progress at the minimum rate.
    pub(super) progressed_at: Time,
    /// Whether a target has answered a request on the connection.
    pub(super) is_proven: bool,
    /// The memory that it holds, in bytes.
    pub(super) held: usize,
}

/// A rank; the greatest loses first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank(pub(super) Class, pub(super) u128);

/// Groups of callers; all of a later group lose before those of an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Class {
    /// Sends or reads at the minimum rate or faster, but has taken long.
    Slow,
    /// Has been connected for a moment, and may be about to send.
    Arriving,
    /// Was served before, and is idle.
    Kept,
    /// Was never served, and is idle.
    Unproven,
    /// Is in the middle of a message and makes no progress.
    Stalled,
}

/// The rate below which a caller makes no progress, in bytes per second. The slowest machines have
/// links of 10 Mbit/s, which thousands of callers may share.
const MIN_RATE: u64 = 256;
/// How long a caller may make no progress before its connection can be closed for want of room. A
/// lost packet is sent again within this time.
const STALL_GRACE: Duration = Duration::from_millis(400);
/// The same for callers that were never served, while these occupy most of the room.
const CROWDED_GRACE: Duration = Duration::from_millis(100);
/// How long a message may take before its sender counts as slow.
const SLOW_AFTER: Duration = Duration::from_secs(1);
/// How long a body may make no progress at the minimum rate, whether there is room or not.
pub const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a caller may read nothing of a response that waits for it, whether there is room or
/// not. A slow reader opens its window in steps, which are seconds apart.
pub const UNREAD_TIMEOUT: Duration = Duration::from_secs(20);

impl Standing {
    /// Records that the caller has moved this many bytes.
    pub(super) fn progress(&mut self, bytes: usize, now: Time) {
        self.moved_at = now;
        let earned = (bytes as u64).saturating_mul(1_000_000) / MIN_RATE;
        self.progressed_at = (self.progressed_at + Duration::from_micros(earned)).min(now);
    }

    /// Records that another activity begins.
    pub(super) fn begin(&mut self, activity: Activity, now: Time) {
        self.activity = activity;
        self.since = now;
        self.moved_at = now;
        self.progressed_at = now;
    }

    /// Returns the rank; `None` if the connection must not be closed for want of room.
    ///
    /// `is_crowded` says that connections which were never served occupy most of the room; then
    /// those that have just arrived lose before those that were served.
    pub(super) fn rank(&self, is_crowded: bool, now: Time) -> Option<Rank> {
        let stalled = now.since(self.progressed_at);
        let grace = match is_crowded && !self.is_proven {
            true => CROWDED_GRACE,
            false => STALL_GRACE,
        };
        let lasted = now.since(self.since).as_micros();
        match self.activity {
            Activity::Serving => None,
            Activity::Idle if self.is_proven => Some(Rank(Class::Kept, lasted)),
            Activity::Idle if is_crowded || stalled >= STALL_GRACE => {
                Some(Rank(Class::Unproven, lasted))
            }
            Activity::Idle => Some(Rank(Class::Arriving, lasted)),
            Activity::Head | Activity::Body | Activity::Sending if stalled >= grace => {
                let weight = stalled.as_micros() * self.held as u128;
                Some(Rank(Class::Stalled, weight))
            }
            Activity::Head | Activity::Body | Activity::Sending => {
                (now.since(self.since) >= SLOW_AFTER).then_some(Rank(Class::Slow, lasted))
            }
        }
    }
}
