use std::pin::pin;
use std::time::Duration;

use bytes::Buf;
use futures_util::{Stream, StreamExt};
use tokio::time::timeout;
use warp::http::HeaderMap;

use super::api::Refusal;

/// The largest body that is read, in bytes.
const MAX_BYTES: usize = 8 << 20;
/// How long a caller may take to send a body; without a bound, slow senders hold memory for ever.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Reads a caller's body within the bounds of size and time.
pub(super) async fn read<Body, Piece>(headers: &HeaderMap, body: Body) -> Result<Vec<u8>, Refusal>
where
    Body: Stream<Item = Result<Piece, warp::Error>>,
    Piece: Buf,
{
    let stated = headers
        .get("content-length")
        .and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if stated.is_some_and(|length| length > MAX_BYTES) {
        return Err(too_large());
    }
    match timeout(TIMEOUT, gather(body)).await {
        Ok(read) => read,
        Err(_) => {
            let message = "the body did not arrive within 15 s";
            Err(Refusal::caller(408, "timeout", message))
        }
    }
}

async fn gather<Body, Piece>(body: Body) -> Result<Vec<u8>, Refusal>
where
    Body: Stream<Item = Result<Piece, warp::Error>>,
    Piece: Buf,
{
    let (mut body, mut bytes) = (pin!(body), Vec::new());
    while let Some(piece) = body.next().await {
        let mut piece =
            piece.map_err(|_error| Refusal::caller(400, "invalid", "the body cannot be read"))?;
        if bytes.len() + piece.remaining() > MAX_BYTES {
            return Err(too_large());
        }
        while piece.has_remaining() {
            bytes.extend_from_slice(piece.chunk());
            piece.advance(piece.chunk().len());
        }
    }
    Ok(bytes)
}

fn too_large() -> Refusal {
    Refusal::caller(413, "too_large", "the body is larger than 8 MiB")
}
