//! Limits on the length of a stream.

/// The events and bytes that a stream may still produce.
///
/// Load pattern: a faulty target sends an endless stream of events, or of bytes that resemble them.
/// They would be relayed to the caller until the route's timeout expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    events: Option<u64>,
    bytes: u64,
}

/// The result of checking events against the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The events are within the limit.
    Within,
    /// There are more events than the tokens that the caller requested.
    TooManyEvents,
    /// The stream has more bytes than any response with that number of tokens.
    TooManyBytes,
}

/// Numbered events allowed beyond the requested tokens, such as a final event.
const MORE_EVENTS: u64 = 16;
/// Bytes allowed per token with its event. Events have a few dozen bytes on the operators' data
/// sheets, and several hundred with the probabilities of alternative tokens.
const TOKEN_BYTES: u64 = 4 << 10;
/// Bytes allowed for events that carry no token.
const MORE_BYTES: u64 = 64 << 10;
/// Byte limit of a stream whose length the caller has not limited.
const UNKNOWN_BYTES: u64 = 64 << 20;

impl Limit {
    /// Returns the limits of a response of at most `output` tokens, or of one without a token
    /// limit.
    #[must_use]
    pub fn new(output: Option<u64>) -> Self {
        let Some(output) = output else {
            return Self {
                events: None,
                bytes: UNKNOWN_BYTES,
            };
        };
        let bytes = output.saturating_mul(TOKEN_BYTES).max(MORE_BYTES);
        Self {
            events: Some(output.saturating_add(MORE_EVENTS)),
            bytes: bytes.saturating_add(MORE_BYTES),
        }
    }

    /// Deducts numbered events and bytes that have arrived.
    pub fn consume(&mut self, events: u64, bytes: u64) -> Verdict {
        if let Some(left) = &mut self.events {
            match left.checked_sub(events) {
                Some(rest) => *left = rest,
                None => return Verdict::TooManyEvents,
            }
        }
        match self.bytes.checked_sub(bytes) {
            Some(rest) => {
                self.bytes = rest;
                Verdict::Within
            }
            None => Verdict::TooManyBytes,
        }
    }
}
