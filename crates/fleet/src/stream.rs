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

/// The first event of a response that should resume a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resumption {
    /// Whether the response is declared as a stream of events; `None` if it has no type.
    pub is_event_stream: Option<bool>,
    /// The id of its first numbered event.
    pub first_id: Option<u64>,
}

/// Numbered events allowed beyond the requested tokens, such as a final event.
const EXTRA_EVENTS: u64 = 16;
/// Bytes allowed per token with its event. Events have a few dozen bytes on the operators' data
/// sheets, and several hundred with the probabilities of alternative tokens.
const TOKEN_BYTES: u64 = 4 << 10;
/// Bytes allowed for events that carry no token.
const EXTRA_BYTES: u64 = 64 << 10;
/// Byte limit of a stream whose length the caller has not limited.
const DEFAULT_BYTES: u64 = 64 << 20;

impl Limit {
    /// Returns the limits of a response of at most `max_tokens` tokens, or of one without a token
    /// limit.
    #[must_use]
    pub fn new(max_tokens: Option<u64>) -> Self {
        let Some(max_tokens) = max_tokens else {
            return Self {
                events: None,
                bytes: DEFAULT_BYTES,
            };
        };
        let bytes = max_tokens.saturating_mul(TOKEN_BYTES).max(EXTRA_BYTES);
        Self {
            events: Some(max_tokens.saturating_add(EXTRA_EVENTS)),
            bytes: bytes.saturating_add(EXTRA_BYTES),
        }
    }

    /// Deducts numbered events and bytes that have arrived.
    pub fn consume(&mut self, events: u64, bytes: u64) -> Verdict {
        if let Some(events_left) = &mut self.events {
            match events_left.checked_sub(events) {
                Some(remaining) => *events_left = remaining,
                None => return Verdict::TooManyEvents,
            }
        }
        match self.bytes.checked_sub(bytes) {
            Some(remaining) => {
                self.bytes = remaining;
                Verdict::Within
            }
            None => Verdict::TooManyBytes,
        }
    }
}

impl Resumption {
    /// Returns whether the response may follow the event with the id `last` within one stream.
    ///
    /// Load pattern: a target responds to the attempt to resume with the text of an error, or
    /// starts the stream again. The caller would find both in the middle of its stream.
    #[must_use]
    pub fn continues(self, last: Option<u64>) -> bool {
        match (self.is_event_stream, self.first_id) {
            (Some(false), _) | (None, None) => false,
            (Some(true), None) => true,
            (Some(true) | None, Some(first)) => last.is_none_or(|last| first > last),
        }
    }
}
