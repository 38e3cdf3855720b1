//! Memory limit for the partially received messages of an entry.

/// The bytes that all requests of an entry buffer together.
///
/// Load pattern: several targets send endless responses at the same time. Each stays below the
/// limit of a single response for a while, but together they would exceed the memory of the
/// process, which would abort all requests. Therefore the requests that buffer the most fail first.
#[derive(Debug)]
pub struct Buffers {
    limit: usize,
    used: usize,
}

/// The result of a request for buffer memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// The bytes are counted and may be buffered.
    Granted,
    /// The limit is reached: the bytes must be dropped and their request fails.
    Exhausted,
}

/// Bytes that a request may buffer even when the limit is reached; nearly all messages are shorter.
const GUARANTEED_BYTES: usize = 64 << 10;

impl Buffers {
    /// Creates an empty account with a limit of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, used: 0 }
    }

    /// Requests `more` bytes for a request that already buffers `held` bytes.
    pub fn reserve(&mut self, held: usize, more: usize) -> Reservation {
        let guaranteed = held.saturating_add(more) <= GUARANTEED_BYTES;
        if !guaranteed && self.used.saturating_add(more) > self.limit {
            return Reservation::Exhausted;
        }
        self.used = self.used.saturating_add(more);
        Reservation::Granted
    }

    /// Returns bytes that were granted earlier.
    pub fn release(&mut self, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
    }

    /// Returns the number of buffered bytes.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used
    }
}
