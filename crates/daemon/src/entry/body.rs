use std::pin::pin;
use std::time::Duration;

use bytes::Buf;
use futures_util::{Stream, StreamExt};
use tokio::time::timeout;
use types::Verdict;
use warp::http::HeaderMap;
use wire::Reason;

use super::api::Refusal;
use crate::callers::Reservation;

/// The maximum size of a request body.
const MAX_BODY_BYTES: usize = 8 << 20;
/// When a caller may retry if there is no memory for its body, in milliseconds.
pub(super) const BUSY_RETRY_MS: u32 = 100;
/// How long a caller may take to send a body; without a limit, slow senders would hold memory for
/// ever.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// Reads the body of a request within the limits of size and time.
///
/// The memory of the body is counted in `reservation`, which must be kept as long as the body.
pub(super) async fn read<Body, Chunk>(
    headers: &HeaderMap,
    body: Body,
    reservation: &mut Reservation,
) -> Result<Vec<u8>, Refusal>
where
    Body: Stream<Item = Result<Chunk, warp::Error>>,
    Chunk: Buf,
{
    let content_length = headers
        .get("content-length")
        .and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if content_length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(too_large());
    }
    reservation.await_body(true);
    let read = timeout(READ_TIMEOUT, read_all(body, reservation)).await;
    reservation.await_body(false);
    match read {
        Ok(result) => result,
        Err(_) => {
            let message = "the body did not arrive within 15 s";
            Err(Refusal::caller(408, "timeout", message))
        }
    }
}

async fn read_all<Body, Chunk>(
    body: Body,
    reservation: &mut Reservation,
) -> Result<Vec<u8>, Refusal>
where
    Body: Stream<Item = Result<Chunk, warp::Error>>,
    Chunk: Buf,
{
    let (mut body, mut bytes) = (pin!(body), Vec::<u8>::new());
    while let Some(chunk) = body.next().await {
        let mut chunk =
            chunk.map_err(|_error| Refusal::caller(400, "invalid", "the body cannot be read"))?;
        if bytes.len() + chunk.remaining() > MAX_BODY_BYTES {
            return Err(too_large());
        }
        let needed = bytes.len() + chunk.remaining();
        if needed > bytes.capacity() {
            let larger = needed.max(2 * bytes.capacity());
            if !reservation.grow(larger - bytes.capacity()) {
                return Err(Refusal::system(
                    Reason::Full,
                    Verdict::NotRun,
                    BUSY_RETRY_MS,
                ));
            }
            bytes.reserve_exact(larger - bytes.len());
        }
        while chunk.has_remaining() {
            bytes.extend_from_slice(chunk.chunk());
            chunk.advance(chunk.chunk().len());
        }
    }
    Ok(bytes)
}

fn too_large() -> Refusal {
    Refusal::caller(413, "too_large", "the body is larger than 8 MiB")
}
