//! Reads response bodies of external systems with a limit on their size.
//!
//! The crate is independent of the systems; each caller sets the limit for its own.

use displaydoc::Display;
use serde::de::DeserializeOwned;

/// Why a response cannot be used.
#[derive(Debug, Display, thiserror::Error)]
pub enum Error {
    /// {0}
    Http(#[from] reqwest::Error),
    /// the answer is longer than {0} bytes
    TooLong(usize),
    /// the answer cannot be decoded: {0}
    Data(#[from] serde_json::Error),
}

/// Reads a body of at most `limit` bytes; a longer one closes its connection.
///
/// # Errors
/// Fails when the connection breaks and when the body is longer.
pub async fn bytes(mut response: reqwest::Response, limit: usize) -> Result<Vec<u8>, Error> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await? {
        if body.len() + chunk.len() > limit {
            return Err(Error::TooLong(limit));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
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
