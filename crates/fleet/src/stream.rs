//! How long a stream may become.

/// What is left of the events and bytes that a stream may have.
///
/// Load pattern: a faulty target sends events, or bytes that look like them, without end. They
/// would go on to the caller until the route's time is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    events: Option<u64>,
    bytes: u64,
}

/// What becomes of events that have arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// They belong to the answer.
    Within,
    /// There are more events than the caller asked for tokens.
    TooManyEvents,
    /// The answer is longer than any with that number of tokens.
    TooManyBytes,
}

/// Numbered events beyond the tokens that were asked for, such as one at the end.
const MORE_EVENTS: u64 = 16;
/// Bytes of a token with its event: a few dozen on the operators' sheets, some hundred with the
/// probabilities of other tokens.
const TOKEN_BYTES: u64 = 4 << 10;
/// Bytes of events that carry no token.
const MORE_BYTES: u64 = 64 << 10;
/// Bytes of a stream of which nobody said how long it may become.
const UNKNOWN_BYTES: u64 = 64 << 20;

impl Limit {
    /// Returns the bounds of an answer of at most `output` tokens, or of one that names no number.
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

    /// Takes off numbered events and bytes that have arrived.
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
