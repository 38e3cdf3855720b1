//! Who may connect to a process, how much memory callers may make it hold, and whose connection is
//! closed when there is no room.

mod capacity;
mod rank;

use std::time::Duration;

use types::Time;

pub use capacity::{Capacity, Machine};
pub use rank::{Activity, BODY_STALL_TIMEOUT, UNREAD_TIMEOUT};
use rank::{Class, Rank, Standing};

/// The connections of all callers of a process, with the memory that each of them holds.
///
/// Load pattern: thousands of callers send messages of legal size and stop just short of the end,
/// send or read very slowly, send many requests ahead, or only connect. Each stays within the limits
/// of the configuration, but together they would exhaust the memory and the descriptors of the
/// process. Therefore the callers that hold the most for the longest time without progress lose
/// their connections first, and idle ones that were served before lose theirs after idle ones that
/// were not.
///
/// `Handle` identifies a connection to the I/O.
#[derive(Debug)]
pub struct Callers<Handle> {
    capacity: Capacity,
    seats: Vec<Option<Seat<Handle>>>,
    vacant: Vec<usize>,
    open: Usage,
    /// What the connections hold whose close was requested.
    closing: Usage,
    /// Open connections on which no target has answered a request.
    unproven: usize,
    /// The connections to close that were not taken yet.
    evicted: Vec<(Handle, Cause)>,
    /// Before these times no connection can be closed for callers with short messages, and for those
    /// with long ones.
    exhausted_until: [Time; 2],
}

/// Identifies the connection of a caller until [`Callers::leave`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id(usize);

/// Connections and the memory that they hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// The number of connections.
    pub connections: usize,
    /// The memory, in bytes.
    pub bytes: usize,
}

/// Why a caller's connection must be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The memory of callers is exhausted.
    Memory,
    /// The connections of callers are exhausted.
    Connections,
    /// A body makes no progress.
    SlowBody,
    /// A response is not read.
    Unread,
}

/// Whether a connection is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Admitted(Id),
    /// There is no room: it must be closed.
    Full(Cause),
}

/// Whether a caller may hold more memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Growth {
    /// The memory is counted.
    Granted,
    /// There is no room: the request must fail.
    Refused,
}

/// When a connection must be looked at again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// After this time.
    After(Duration),
    /// It must be closed now.
    Close(Cause),
}

/// What there must be room for.
#[derive(Debug, Clone, Copy)]
enum Need {
    Connection,
    Bytes(usize),
}

#[derive(Debug)]
struct Seat<Handle> {
    handle: Handle,
    standing: Standing,
    /// The part of a head in memory.
    head: usize,
    is_closing: bool,
}

/// The memory of a connection without a request, with its task and its buffers, in bytes.
pub const CONNECTION_BYTES: usize = 20 << 10;
/// The memory of a request in progress without its messages, in bytes.
pub const REQUEST_BYTES: usize = 20 << 10;
/// The part of a head that fits into the buffer of its connection, in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// The memory that reading a body takes beside the body, in bytes.
pub const BODY_BUFFER_BYTES: usize = 16 << 10;
/// The memory of a field of a head, in the request and in its copy for the target, in bytes.
const FIELD_BYTES: usize = 400;
/// Fields whose memory is part of that of the request.
const INCLUDED_FIELDS: usize = 32;
/// The length of the shortest field of a head: a name of one byte, a colon and the end of the line.
const MIN_FIELD_BYTES: usize = 4;
/// The maximum number of fields of a head; a header map has room for 24,576.
const MAX_FIELDS: usize = 16 << 10;
/// The part of the memory that only callers with short messages may use.
const SMALL_SHARE_DIVISOR: usize = 8;
/// The memory up to which a caller has short messages, in bytes.
const SMALL_BYTES: usize = CONNECTION_BYTES + REQUEST_BYTES + BODY_BUFFER_BYTES + (16 << 10);
/// The part of the capacity by which connections that are being closed may exceed it.
const CLOSING_SHARE_DIVISOR: usize = 8;
/// The part of the capacity that is freed at once beyond what is needed, since each choice looks at
/// all connections.
const BATCH_DIVISOR: usize = 32;
/// How long the result holds that no connection can be closed.
const EXHAUSTED_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the maximum number of fields that fit into a head of `head_bytes`.
#[must_use]
pub fn max_fields(head_bytes: usize) -> usize {
    (head_bytes / MIN_FIELD_BYTES).clamp(100, MAX_FIELDS)
}

/// Returns the memory of a request in progress whose head has so many fields, without its messages,
/// in bytes.
#[must_use]
pub fn request_bytes(fields: usize) -> usize {
    REQUEST_BYTES + fields.saturating_sub(INCLUDED_FIELDS) * FIELD_BYTES
}

impl Cause {
    /// Returns the label for logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connections => "connections",
            Self::SlowBody => "slow_body",
            Self::Unread => "unread",
        }
    }
}

impl<Handle> Callers<Handle>
where
    Handle: Clone,
{
    /// Creates an account without connections.
    #[must_use]
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            seats: Vec::new(),
            vacant: Vec::new(),
            open: Usage::default(),
            closing: Usage::default(),
            unproven: 0,
            evicted: Vec::new(),
            exhausted_until: [Time::default(); 2],
        }
    }

    /// Returns the connections and the memory in use, including those that are being closed.
    #[must_use]
    pub fn usage(&self) -> Usage {
        Usage {
            connections: self.open.connections + self.closing.connections,
            bytes: self.open.bytes + self.closing.bytes,
        }
    }

    /// Takes the connections that must be closed for others.
    pub fn take_evicted(&mut self) -> Vec<(Handle, Cause)> {
        std::mem::take(&mut self.evicted)
    }

    /// Admits a connection, if there is room or can be made, for which others may have to be closed.
    pub fn admit(&mut self, handle: Handle, now: Time) -> Admission {
        if !self.make_room(None, Need::Connection, now) {
            return Admission::Full(Cause::Connections);
        }
        if !self.make_room(None, Need::Bytes(CONNECTION_BYTES), now) {
            return Admission::Full(Cause::Memory);
        }
        let standing = Standing {
            activity: Activity::Idle,
            since: now,
            moved_at: now,
            progressed_at: now,
            is_proven: false,
            held: CONNECTION_BYTES,
        };
        let seat = Some(Seat {
            handle,
            standing,
            head: 0,
            is_closing: false,
        });
        let index = match self.vacant.pop() {
            Some(index) => {
                self.seats[index] = seat;
                index
            }
            None => {
                self.seats.push(seat);
                self.seats.len() - 1
            }
        };
        self.open.connections += 1;
        self.open.bytes += CONNECTION_BYTES;
        self.unproven += 1;
        Admission::Admitted(Id(index))
    }

    /// Removes a connection that was closed, with all that it holds.
    pub fn leave(&mut self, id: Id) {
        let Some(seat) = self.seats.get_mut(id.0).and_then(Option::take) else {
            return;
        };
        let usage = match seat.is_closing {
            true => &mut self.closing,
            false => &mut self.open,
        };
        usage.connections -= 1;
        usage.bytes = usage.bytes.saturating_sub(seat.standing.held);
        if !seat.is_closing && !seat.standing.is_proven {
            self.unproven -= 1;
        }
        self.vacant.push(id.0);
    }

    /// Records what a connection does from now on.
    pub fn begin(&mut self, id: Id, activity: Activity, now: Time) {
        let Some(Some(seat)) = self.seats.get_mut(id.0) else {
            return;
        };
        let head = std::mem::take(&mut seat.head);
        seat.standing.begin(activity, now);
        self.shrink(id, head.saturating_sub(READ_BUFFER_BYTES));
    }

    /// Returns what a connection does.
    #[must_use]
    pub fn activity(&self, id: Id) -> Option<Activity> {
        let seat = self.seats.get(id.0)?.as_ref()?;
        Some(seat.standing.activity)
    }

    /// Records that a target has answered a request on the connection.
    pub fn on_served(&mut self, id: Id) {
        if let Some(Some(seat)) = self.seats.get_mut(id.0)
            && !std::mem::replace(&mut seat.standing.is_proven, true)
            && !seat.is_closing
        {
            self.unproven -= 1;
        }
    }

    /// Records that bytes were read from a caller. Refused if a head takes more memory than there
    /// is; the connection must be closed then.
    pub fn on_read(&mut self, id: Id, bytes: usize, now: Time) -> Growth {
        let Some(Some(seat)) = self.seats.get_mut(id.0) else {
            return Growth::Refused;
        };
        seat.standing.progress(bytes, now);
        if seat.standing.activity != Activity::Head {
            return Growth::Granted;
        }
        let before = seat.head.saturating_sub(READ_BUFFER_BYTES);
        let head = seat.head + bytes;
        let more = head.saturating_sub(READ_BUFFER_BYTES) - before;
        let growth = self.grow(id, more, now);
        if growth == Growth::Granted
            && let Some(Some(seat)) = self.seats.get_mut(id.0)
        {
            seat.head = head;
        }
        growth
    }

    /// Records that a caller has taken bytes of a response.
    pub fn on_written(&mut self, id: Id, bytes: usize, now: Time) {
        if let Some(Some(seat)) = self.seats.get_mut(id.0) {
            seat.standing.progress(bytes, now);
        }
    }

    /// Requests memory for a caller, for which connections of others may have to be closed.
    pub fn grow(&mut self, id: Id, bytes: usize, now: Time) -> Growth {
        let Some(Some(seat)) = self.seats.get(id.0) else {
            return Growth::Refused;
        };
        if bytes == 0 {
            return Growth::Granted;
        }
        if seat.is_closing || !self.make_room(Some(id), Need::Bytes(bytes), now) {
            return Growth::Refused;
        }
        if let Some(Some(seat)) = self.seats.get_mut(id.0) {
            seat.standing.held += bytes;
        }
        self.open.bytes += bytes;
        Growth::Granted
    }

    /// Makes room for a message when another limit than that of the callers is reached: closes
    /// connections that hold most without progress.
    pub fn reclaim(&mut self, id: Id, bytes: usize, now: Time) {
        let mut freed = self.closing.bytes;
        for (Rank(class, _), index) in self.candidates(Some(id), false, now) {
            if freed >= bytes || class < Class::Stalled {
                return;
            }
            freed += self.evict(index, Cause::Memory);
        }
    }

    /// Releases memory of a caller.
    pub fn shrink(&mut self, id: Id, bytes: usize) {
        let Some(Some(seat)) = self.seats.get_mut(id.0) else {
            return;
        };
        let bytes = bytes.min(seat.standing.held);
        seat.standing.held -= bytes;
        let usage = match seat.is_closing {
            true => &mut self.closing,
            false => &mut self.open,
        };
        usage.bytes -= bytes;
    }

    /// Returns whether a connection must be closed because its caller makes no progress.
    #[must_use]
    pub fn check(&self, id: Id, now: Time) -> Check {
        let Some(Some(seat)) = self.seats.get(id.0) else {
            return Check::After(BODY_STALL_TIMEOUT);
        };
        let standing = &seat.standing;
        let (limit, since, cause) = match standing.activity {
            Activity::Body => (BODY_STALL_TIMEOUT, standing.progressed_at, Cause::SlowBody),
            Activity::Sending => (UNREAD_TIMEOUT, standing.moved_at, Cause::Unread),
            Activity::Idle | Activity::Head | Activity::Serving => {
                return Check::After(BODY_STALL_TIMEOUT);
            }
        };
        match limit.saturating_sub(now.since(since)) {
            Duration::ZERO => Check::Close(cause),
            remaining => Check::After(remaining),
        }
    }

    /// Returns whether there is room for what a caller needs.
    fn has_room(&self, need: Need, is_small: bool) -> bool {
        // Closing takes a moment, so what is being closed is bounded as well.
        let all = self.usage();
        match need {
            Need::Connection => {
                let limit = self.capacity.connections;
                self.open.connections < limit
                    && all.connections < limit + limit / CLOSING_SHARE_DIVISOR
            }
            Need::Bytes(bytes) => {
                let limit = self.capacity.bytes;
                let reserved = match is_small {
                    true => 0,
                    false => limit / SMALL_SHARE_DIVISOR,
                };
                self.open.bytes + bytes + reserved <= limit
                    && all.bytes + bytes <= limit + limit / CLOSING_SHARE_DIVISOR
            }
        }
    }

    /// Chooses connections to close until there is room; returns whether there is enough.
    fn make_room(&mut self, requester: Option<Id>, need: Need, now: Time) -> bool {
        let seat = requester.and_then(|id| self.seats.get(id.0)?.as_ref());
        let held = seat.map_or(0, |seat| seat.standing.held);
        let is_small = match need {
            Need::Connection => true,
            Need::Bytes(bytes) => held + bytes <= SMALL_BYTES,
        };
        if self.has_room(need, is_small) {
            return true;
        }
        if now < self.exhausted_until[usize::from(is_small)] {
            return false;
        }
        let cause = match need {
            Need::Connection => Cause::Connections,
            Need::Bytes(_) => Cause::Memory,
        };
        let batch = Usage {
            connections: self.capacity.connections / BATCH_DIVISOR,
            bytes: self.capacity.bytes / BATCH_DIVISOR,
        };
        let mut freed = Usage::default();
        for (Rank(class, _), index) in self.candidates(requester, is_small, now) {
            // Those that make no progress are closed several at a time.
            let is_in_batch = match need {
                Need::Connection => freed.connections < batch.connections,
                Need::Bytes(_) => freed.bytes < batch.bytes,
            };
            let is_enough = self.has_room(need, is_small) || self.is_closing_enough(need);
            if is_enough && !(class >= Class::Unproven && is_in_batch) {
                break;
            }
            freed.connections += 1;
            freed.bytes += self.evict(index, cause);
        }
        let has_room = self.has_room(need, is_small);
        if !has_room {
            self.exhausted_until[usize::from(is_small)] = now + EXHAUSTED_INTERVAL;
        }
        has_room
    }

    /// Returns whether so much is being closed that closing more would not help.
    fn is_closing_enough(&self, need: Need) -> bool {
        match need {
            Need::Connection => {
                self.closing.connections >= self.capacity.connections / CLOSING_SHARE_DIVISOR
            }
            Need::Bytes(_) => self.closing.bytes >= self.capacity.bytes / CLOSING_SHARE_DIVISOR,
        }
    }

    /// Returns the connections that may be closed for a requester, those that lose first in front.
    /// Callers with long messages cost only those connections that make no progress.
    fn candidates(&self, requester: Option<Id>, is_small: bool, now: Time) -> Vec<(Rank, usize)> {
        let unproven = self.seats.iter().flatten();
        let unproven = unproven.filter(|seat| !seat.standing.is_proven && !seat.is_closing);
        let unproven: usize = unproven.map(|seat| seat.standing.held).sum();
        let is_crowded =
            self.unproven > self.capacity.connections / 2 || unproven > self.capacity.bytes / 2;
        let least = match is_small {
            true => Class::Slow,
            false => Class::Unproven,
        };
        let seats = self.seats.iter().enumerate();
        let seats = seats.filter_map(|(index, seat)| Some((index, seat.as_ref()?)));
        let others =
            seats.filter(|(index, seat)| !seat.is_closing && requester != Some(Id(*index)));
        let ranked = others.filter_map(|(index, seat)| {
            let rank = seat.standing.rank(is_crowded, now)?;
            (rank.0 >= least).then_some((rank, index))
        });
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked
    }

    /// Marks a connection as closing; returns the memory that it holds.
    fn evict(&mut self, index: usize, cause: Cause) -> usize {
        let Some(Some(seat)) = self.seats.get_mut(index) else {
            return 0;
        };
        seat.is_closing = true;
        let held = seat.standing.held;
        self.evicted.push((seat.handle.clone(), cause));
        self.unproven -= usize::from(!seat.standing.is_proven);
        self.open.connections -= 1;
        self.open.bytes -= held;
        self.closing.connections += 1;
        self.closing.bytes += held;
        held
    }
}
