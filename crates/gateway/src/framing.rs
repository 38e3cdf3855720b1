//! How the end of a response's body is found.

use http::HeaderMap;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};

/// How the end of a response's body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By its length or its chunks.
    Delimited,
    /// By the end of its connection. A target that crashed may seem to have ended its response.
    Connection,
    /// It has a transfer coding that the entry does not decode. hyper reads until the connection
    /// ends, and removes the length, so that a body that is too short is not noticed.
    Unsupported,
}

impl Framing {
    /// Returns the framing of a response with these headers that has a body.
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
        match (codings.next(), codings.next()) {
            (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
                Self::Delimited
            }
            (Some(_), _) => Self::Unsupported,
            (None, _) if headers.contains_key(CONTENT_LENGTH) => Self::Delimited,
            (None, _) => Self::Connection,
        }
    }
}
