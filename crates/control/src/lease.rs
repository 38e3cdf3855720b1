use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::{Fence, Incarnation, Time};

/// The content of the row `lease/{name}`.
///
/// The row is never deleted, because a new row would restart with small fencing tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The process that wrote the row.
    pub holder: String,
    /// The incarnation of the holder. A later incarnation waits like any other process, because the
    /// earlier one may only be paused.
    pub incarnation: Incarnation,
    /// A number unique to each write of this incarnation, which identifies the write in the row
    /// when its response was lost.
    pub write: u64,
    /// The fencing token; it grows by one with each new holder and is kept by renewals.
    pub fence: Fence,
    /// The duration of the lease, in milliseconds.
    pub duration_ms: u64,
    /// Whether the holder has released the lease.
    pub released: bool,
}

/// A conditional write of the lease row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The expected version of the row; 0 means that the row must not exist.
    pub expect: u64,
    /// The new content of the row.
    pub grant: Grant,
}

/// The next step that the caller has to perform for the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the row and pass it to [`Lease::on_read`].
    Read,
    /// Write the row immediately and pass the result to [`Lease::on_write`].
    Write(Write),
    /// Do nothing until this time; the lease is held by another process, or by this one if
    /// [`Lease::fence`] returns a fencing token.
    Wait(Time),
    /// The lease is neither held nor requested.
    Idle,
}

/// The result of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// The row was written and has this version.
    Applied(u64),
    /// The row had a different version.
    Conflict,
    /// The response was lost; the write may have taken effect or may still do so.
    Lost,
}

/// The timing parameters of a lease.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// The duration for which the lease is valid after each write.
    pub duration: Duration,
    /// The interval at which a contender reads the row. When many processes wait, each can read
    /// rarely, and still one of them sees a release soon.
    pub poll_interval: Duration,
}

/// One process's view of a lease: a state machine over conditional writes.
///
/// At most one process believes that it holds the lease at any time, as long as no clock runs more
/// than 10% fast or slow; see `docs/design.md`, section 5.8.
#[derive(Debug, Clone)]
pub struct Lease {
    holder: String,
    incarnation: Incarnation,
    timing: Timing,
    requested: bool,
    last_write: u64,
    /// New holders get greater fencing tokens than this one.
    fence_floor: Fence,
    state: State,
    pending: Option<Pending>,
}

#[derive(Debug, Clone)]
enum State {
    /// The row has to be read.
    Unknown,
    /// The row has not changed since this process first saw its current version.
    Watched {
        version: u64,
        grant: Option<Grant>,
        first_seen: Time,
        last_read: Time,
    },
    Held {
        version: u64,
        grant: Grant,
        acquired_at: Time,
    },
}

/// A write whose result is not known.
#[derive(Debug, Clone)]
struct Pending {
    grant: Grant,
    /// Taken before the write was sent. Other processes measure from when they first see the row,
    /// which is later.
    sent_at: Time,
}

/// Maximum age of the view of the row when an expired lease is taken over; with an older view the
/// row is read again first. In most cases the holder has renewed the lease, and a read costs less
/// than a failed write.
const MAX_VIEW_AGE: Duration = Duration::from_secs(1);

impl Lease {
    /// Creates the view of a process that neither holds nor requests the lease.
    ///
    /// `nonce` is drawn at random, because writes of an earlier view of the same process may still
    /// arrive and must not be mistaken for writes of this one.
    #[must_use]
    pub fn new(holder: String, incarnation: Incarnation, timing: Timing, nonce: u64) -> Self {
        Self {
            holder,
            incarnation,
            timing,
            requested: false,
            last_write: nonce,
            fence_floor: Fence(0),
            state: State::Unknown,
            pending: None,
        }
    }

    /// Makes new holders get greater fencing tokens than `floor`, for a row that was lost with the
    /// tokens given out before.
    #[must_use]
    pub fn with_fence_floor(mut self, floor: Fence) -> Self {
        self.fence_floor = floor;
        self
    }

    /// Requests the lease; it is acquired and renewed by the following steps.
    pub fn acquire(&mut self) {
        self.requested = true;
    }

    /// Releases the lease: [`Lease::fence`] returns `None` from now on, and the following steps
    /// write the release to the row.
    pub fn release(&mut self) {
        self.requested = false;
    }

    /// Returns the fencing token while the lease is held; must be checked before each action under
    /// the lease.
    #[must_use]
    pub fn fence(&self, now: Time) -> Option<Fence> {
        match &self.state {
            State::Held {
                grant, acquired_at, ..
            } if self.requested && now < *acquired_at + self.validity() => Some(grant.fence),
            _ => None,
        }
    }

    /// Returns the next step; a returned write is assumed to be sent at `now`.
    pub fn poll(&mut self, now: Time) -> Step {
        if self.pending.is_some() {
            return Step::Read;
        }
        match self.state.clone() {
            State::Unknown if self.requested => Step::Read,
            State::Unknown => Step::Idle,
            State::Held { version, grant, .. } if !self.requested => {
                // The state is reset before the release is sent, so that requesting the lease again
                // in the meantime starts with a read.
                self.state = State::Unknown;
                self.write(now, version, grant.fence, true)
            }
            State::Held {
                version,
                grant,
                acquired_at,
            } => {
                if now >= acquired_at + self.validity() {
                    self.state = State::Unknown;
                    return Step::Read;
                }
                // Renewal at half the duration leaves time to repeat one lost write before the
                // lease expires.
                let renewal = acquired_at + self.timing.duration / 2;
                if now < renewal {
                    return Step::Wait(renewal);
                }
                self.write(now, version, grant.fence, false)
            }
            State::Watched { .. } if !self.requested => Step::Idle,
            State::Watched {
                version,
                grant,
                first_seen,
                last_read,
            } => {
                let fence = grant.as_ref().map_or(0, |grant| grant.fence.0);
                let fence = fence.max(self.fence_floor.0);
                let expiry = grant.as_ref().map_or(first_seen, |grant| {
                    first_seen + Duration::from_millis(grant.duration_ms) / 10 * 11
                });
                if grant.is_none_or(|grant| self.is_available(&grant)) {
                    return self.write(now, version, Fence(fence.saturating_add(1)), false);
                }
                if now >= expiry {
                    return match now.since(last_read) <= MAX_VIEW_AGE {
                        true => self.write(now, version, Fence(fence.saturating_add(1)), false),
                        false => Step::Read,
                    };
                }
                match (last_read + self.timing.poll_interval).min(expiry) {
                    next_read if next_read <= now => Step::Read,
                    next_read => Step::Wait(next_read),
                }
            }
        }
    }

    /// Processes the row as read, with its version. A failed read is not reported.
    pub fn on_read(&mut self, now: Time, row: Option<(u64, Grant)>) {
        let pending = self.pending.take();
        let (version, grant) = match row {
            Some((version, grant)) => (version, Some(grant)),
            None => (0, None),
        };
        if let (Some(pending), Some(grant)) = (pending, &grant)
            && pending.grant == *grant
            && !grant.released
        {
            // The lost write has taken effect; its lease runs from when it was sent.
            self.state = State::Held {
                version,
                grant: pending.grant,
                acquired_at: pending.sent_at,
            };
            return;
        }
        match &mut self.state {
            State::Held {
                version: current, ..
            } if *current == version => {}
            State::Watched {
                version: seen,
                last_read,
                ..
            } if *seen == version => *last_read = now,
            state => {
                *state = State::Watched {
                    version,
                    grant,
                    first_seen: now,
                    last_read: now,
                };
            }
        }
    }

    /// Processes the result of the last write.
    pub fn on_write(&mut self, written: Written) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.state = match written {
            Written::Applied(version) if !pending.grant.released => State::Held {
                version,
                grant: pending.grant,
                acquired_at: pending.sent_at,
            },
            // A conflict may be caused by an earlier write of this process, so the row has to be
            // read.
            Written::Applied(_) | Written::Conflict => State::Unknown,
            Written::Lost => {
                // A lost release is not repeated; other processes wait for the lease to expire.
                if pending.grant.released {
                    self.state = State::Unknown;
                    return;
                }
                self.pending = Some(pending);
                return;
            }
        };
    }

    /// Returns how long the holder relies on the lease by its own clock, with a margin of 10% for
    /// clock drift.
    fn validity(&self) -> Duration {
        self.timing.duration / 10 * 9
    }

    /// Returns whether the lease can be taken immediately, because it was released or already
    /// belongs to this incarnation.
    fn is_available(&self, grant: &Grant) -> bool {
        let own = grant.holder == self.holder && grant.incarnation == self.incarnation;
        grant.released || own
    }

    fn write(&mut self, now: Time, expect: u64, fence: Fence, released: bool) -> Step {
        self.last_write = self.last_write.wrapping_add(1);
        let grant = Grant {
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            write: self.last_write,
            fence,
            duration_ms: u64::try_from(self.timing.duration.as_millis()).unwrap_or(u64::MAX),
            released,
        };
        self.pending = Some(Pending {
            grant: grant.clone(),
            sent_at: now,
        });
        Step::Write(Write { expect, grant })
    }
}
