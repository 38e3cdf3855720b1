//! Reads whole answers of outside systems, none of which may grow without end.
//!
//! The crate knows no system; each caller names the longest answer that its own may give.

use displaydoc::Display;
use serde::de::DeserializeOwned;

/// Why an answer cannot be used.
#[derive(Debug, Display, thiserror::Error)]
pub enum Error {
    /// {0}
    Http(#[from] reqwest::Error),
    /// the answer is longer than {0} bytes
    TooLong(usize),
    /// the answer cannot be decoded: {0}
    Data(#[from] serde_json::Error),
}

/// Reads a body of at most `limit` bytes; the connection of a longer one is closed.
///
/// # Errors
/// Fails when the connection breaks and when the body is longer.
pub async fn bytes(mut response: reqwest::Response, limit: usize) -> Result<Vec<u8>, Error> {
    let mut whole = Vec::new();
    while let Some(piece) = response.chunk().await? {
        if whole.len() + piece.len() > limit {
            return Err(Error::TooLong(limit));
        }
        whole.extend_from_slice(&piece);
    }
    Ok(whole)
}

/// Reads a body of at most `limit` bytes and decodes it.
///
/// # Errors
/// Fails as [`bytes`] does, and when the body is not JSON of this shape.
pub async fn json<Decoded>(response: reqwest::Response, limit: usize) -> Result<Decoded, Error>
where
    Decoded: DeserializeOwned,
{
    Ok(serde_json::from_slice(&bytes(response, limit).await?)?)
}
