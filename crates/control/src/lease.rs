use std::time::Duration;

use serde::{Deserialize, Serialize};
use types::{Fence, Incarnation, Time};

/// The content of the row `lease/{name}`.
///
/// The row is never deleted, because a new row would start again with small fencing numbers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The process that wrote the row.
    pub holder: String,
    /// Its incarnation; a later one waits like any other process, because the earlier one may
    /// only be paused.
    pub incarnation: Incarnation,
    /// Different in each write of this incarnation, so that a lost answer can be matched with its row.
    pub write: u64,
    /// Grows by one with each new holder; renewals keep it.
    pub fence: Fence,
    /// How long the lease holds, in milliseconds.
    pub duration_ms: u64,
    /// Whether the holder has given it back.
    pub released: bool,
}

/// A conditional write of the lease's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The version that the row must have; 0 means that there must be no row.
    pub expect: u64,
    /// The new content.
    pub grant: Grant,
}

/// What the process that runs the lease has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the row and report it with [`Lease::on_read`].
    Read,
    /// Write the row at once and report the outcome with [`Lease::on_write`].
    Write(Write),
    /// Do nothing until this time; the lease is held by another process, or by this one if
    /// [`Lease::fence`] says so.
    Wait(Time),
    /// The lease is neither held nor wanted.
    Idle,
}

/// What came of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Written {
    /// The row was written and has this version.
    Applied(u64),
    /// The row had another version.
    Conflict,
    /// The answer was lost: the write may have taken effect, or may still do so.
    Lost,
}

/// How a lease is taken.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// How long it holds after each write.
    pub duration: Duration,
    /// How often a row that another process holds is read again. When many wait, each reads seldom
    /// and yet one of them soon sees a release.
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
    terms: Timing,
    wanted: bool,
    writes: u64,
    state: State,
    pending: Option<Pending>,
}

#[derive(Debug, Clone)]
enum State {
    /// Nothing is known; the row has to be read.
    Unknown,
    /// The row has been the same since this process first saw it.
    Watched {
        version: u64,
        grant: Option<Grant>,
        first_seen: Time,
        last_read: Time,
    },
    Held {
        version: u64,
        grant: Grant,
        taken: Time,
    },
}

/// A write whose outcome is not known.
#[derive(Debug, Clone)]
struct Pending {
    grant: Grant,
    /// Read before the write was sent: the others count from when they see the row, which is later.
    sent: Time,
}

/// A view that is older is read again before a lease that seems to have lapsed is taken, because
/// the holder has renewed it in most cases and a read costs less than a write that fails.
const FRESH: Duration = Duration::from_secs(1);

impl Lease {
    /// Makes the view of a process that neither holds nor wants the lease.
    ///
    /// `nonce` is drawn at random: writes of an earlier view of the same process may still arrive
    /// and must not be taken for writes of this one.
    #[must_use]
    pub fn new(holder: String, incarnation: Incarnation, terms: Timing, nonce: u64) -> Self {
        Self {
            holder,
            incarnation,
            terms,
            wanted: false,
            writes: nonce,
            state: State::Unknown,
            pending: None,
        }
    }

    /// Starts to take the lease and to renew it from then on.
    pub fn acquire(&mut self) {
        self.wanted = true;
    }

    /// Gives the lease up: [`Lease::fence`] returns `None` from now on, and the next steps tell
    /// the others.
    pub fn release(&mut self) {
        self.wanted = false;
    }

    /// Returns the fencing number while the lease is held; it is asked before each act.
    #[must_use]
    pub fn fence(&self, now: Time) -> Option<Fence> {
        match &self.state {
            State::Held { grant, taken, .. } if self.wanted && now < *taken + self.held() => {
                Some(grant.fence)
            }
            _ => None,
        }
    }

    /// Returns the next step; a write counts as sent at `now`.
    pub fn poll(&mut self, now: Time) -> Step {
        if self.pending.is_some() {
            return Step::Read;
        }
        match self.state.clone() {
            State::Unknown if self.wanted => Step::Read,
            State::Unknown => Step::Idle,
            State::Held { version, grant, .. } if !self.wanted => {
                // Forgotten before the write is sent, so that taking the lease again while the
                // release is on its way starts with a read.
                self.state = State::Unknown;
                self.write(now, version, grant.fence, true)
            }
            State::Held {
                version,
                grant,
                taken,
            } => {
                if now >= taken + self.held() {
                    self.state = State::Unknown;
                    return Step::Read;
                }
                // Renewed at half time, one lost write can be repeated before the lease lapses.
                let renewal = taken + self.terms.duration / 2;
                if now < renewal {
                    return Step::Wait(renewal);
                }
                self.write(now, version, grant.fence, false)
            }
            State::Watched { .. } if !self.wanted => Step::Idle,
            State::Watched {
                version,
                grant,
                first_seen,
                last_read,
            } => {
                let fence = grant.as_ref().map_or(0, |grant| grant.fence.0);
                let lapse = grant.as_ref().map_or(first_seen, |grant| {
                    first_seen + Duration::from_millis(grant.duration_ms) / 10 * 11
                });
                if grant.is_none_or(|grant| self.is_free(&grant)) {
                    return self.write(now, version, Fence(fence + 1), false);
                }
                if now >= lapse {
                    return match now.since(last_read) <= FRESH {
                        true => self.write(now, version, Fence(fence + 1), false),
                        false => Step::Read,
                    };
                }
                match (last_read + self.terms.poll_interval).min(lapse) {
                    again if again <= now => Step::Read,
                    again => Step::Wait(again),
                }
            }
        }
    }

    /// Records the row, with its version, as it was read; a read that failed is not reported.
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
            // The lost write has taken effect; it counts from when it was sent.
            self.state = State::Held {
                version,
                grant: pending.grant,
                taken: pending.sent,
            };
            return;
        }
        match &mut self.state {
            State::Held { version: held, .. } if *held == version => {}
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

    /// Records the outcome of the last write.
    pub fn on_write(&mut self, written: Written) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        self.state = match written {
            Written::Applied(version) if !pending.grant.released => State::Held {
                version,
                grant: pending.grant,
                taken: pending.sent,
            },
            // A conflict may come from an earlier write of this process; the row will tell.
            Written::Applied(_) | Written::Conflict => State::Unknown,
            Written::Lost => {
                // A release is not repeated: the others wait the lease out.
                if pending.grant.released {
                    self.state = State::Unknown;
                    return;
                }
                self.pending = Some(pending);
                return;
            }
        };
    }

    /// How long the holder relies on the lease, by its own clock.
    fn held(&self) -> Duration {
        self.terms.duration / 10 * 9
    }

    /// Says whether nobody else holds the lease, however long ago the row was seen first.
    fn is_free(&self, grant: &Grant) -> bool {
        let own = grant.holder == self.holder && grant.incarnation == self.incarnation;
        grant.released || own
    }

    fn write(&mut self, now: Time, expect: u64, fence: Fence, released: bool) -> Step {
        self.writes = self.writes.wrapping_add(1);
        let grant = Grant {
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            write: self.writes,
            fence,
            duration_ms: u64::try_from(self.terms.duration.as_millis()).unwrap_or(u64::MAX),
            released,
        };
        self.pending = Some(Pending {
            grant: grant.clone(),
            sent: now,
        });
        Step::Write(Write { expect, grant })
    }
}
