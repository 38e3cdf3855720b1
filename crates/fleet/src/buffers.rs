//! How much of unfinished messages an entry holds in memory.

/// The bytes that all requests of an entry hold together.
///
/// Load pattern: several targets send answers without end at the same time. Each one stays under
/// the limit of a single answer for a while, and together they would exceed the memory of the
/// process, which ends all requests. So the requests that hold most fail first.
#[derive(Debug)]
pub struct Buffers {
    total: usize,
    used: usize,
}

/// What becomes of bytes that have arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// They are counted and may be kept.
    Granted,
    /// They are to be dropped, and their request fails.
    Exhausted,
}

/// Bytes that a request may hold also when the total is reached; nearly all messages are shorter.
const ASSURED: usize = 64 << 10;

impl Buffers {
    /// Starts with nothing held; `total` is in bytes.
    #[must_use]
    pub fn new(total: usize) -> Self {
        Self { total, used: 0 }
    }

    /// Asks for `more` bytes for a request that holds `held` bytes.
    pub fn reserve(&mut self, held: usize, more: usize) -> Reservation {
        let short = held.saturating_add(more) <= ASSURED;
        if !short && self.used.saturating_add(more) > self.total {
            return Reservation::Exhausted;
        }
        self.used = self.used.saturating_add(more);
        Reservation::Granted
    }

    /// Gives bytes back that were granted.
    pub fn release(&mut self, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used
    }
}
