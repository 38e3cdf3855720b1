use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, Response, StatusCode};
use http_body::{Frame, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::time::Sleep;

use crate::buffer::Reservation;
use crate::caller::Exchange;
use crate::sse::Chunk;

/// How long hyper gets to write the events of a truncated stream before the connection is aborted;
/// it discards what it has not written when a body fails.
const FLUSH_TIME: Duration = Duration::from_millis(10);

/// The body of a response to a caller.
#[derive(Debug)]
pub(crate) struct Body {
    content: Content,
    /// Counts the request as unanswered, and its connection as in use, until hyper has taken the
    /// whole body.
    request: Option<(Rc<()>, Rc<Exchange>)>,
}

#[derive(Debug)]
enum Content {
    /// A complete body, with the memory reserved for it until it is written.
    Buffered {
        bytes: Option<Bytes>,
        _reservation: Option<Reservation>,
    },
    /// A stream. An error aborts the connection, so that the response does not look complete.
    Stream {
        parts: mpsc::Receiver<Part>,
        progress: Progress,
    },
}

/// How far a stream has come.
#[derive(Debug)]
enum Progress {
    Open,
    /// It is truncated, and aborts the connection after this.
    Truncated(Pin<Box<Sleep>>),
    Ended,
}

/// A part of a stream.
#[derive(Debug)]
pub(crate) enum Part {
    /// Events.
    Chunk {
        /// The events.
        chunk: Chunk,
        /// The room that they take up until hyper takes them.
        _room: Option<OwnedSemaphorePermit>,
    },
    /// The stream is complete. A stream whose sender is dropped without this is truncated.
    End,
}

/// A stream ended before its last event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, thiserror::Error)]
pub(crate) enum Truncated {
    /// the stream from the target was truncated
    Early,
}

/// The size of the pieces in which a complete body is passed to hyper.
const PIECE_BYTES: usize = 16 << 10;

/// Why an entry responds by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Reason {
    /// no configuration is known yet
    NoCatalog,
    /// the configuration may be out of date
    Stale,
    /// no route matches
    NoRoute,
    /// the key is unknown
    NoKey,
    /// the request is malformed
    Malformed,
    /// the body is too large
    TooLarge,
    /// no target is available
    NoTarget,
    /// no target has room for the request in time
    Busy,
    /// all targets refused the request
    Refused,
    /// no target has the software version that began the stream
    NoBuild,
    /// it is not known which software version began the stream
    UnknownBuild,
    /// the request or a segment of its prompt crashes targets
    Quarantined,
    /// the entry is stopping
    Stopping,
    /// the target failed after it may have run the request
    Failed,
    /// the entry failed, and a target may have run the request
    Panicked,
    /// the caller has closed its side of the connection, and a target may have run the request
    Abandoned,
    /// the time is over, and a target may have run the request
    TimedOut,
    /// the time is over before the request was sent
    TimedOutUnsent,
}

impl Body {
    /// Returns a body that is complete.
    pub(crate) fn buffered(bytes: impl Into<Bytes>) -> Self {
        Self::new(Content::Buffered {
            bytes: Some(bytes.into()),
            _reservation: None,
        })
    }

    /// Returns a body that is complete and keeps the memory reservation of its request.
    pub(crate) fn reserved(bytes: Bytes, reservation: Reservation) -> Self {
        Self::new(Content::Buffered {
            bytes: Some(bytes),
            _reservation: Some(reservation),
        })
    }

    /// Returns a body whose events are still to arrive.
    pub(crate) fn stream(parts: mpsc::Receiver<Part>) -> Self {
        Self::new(Content::Stream {
            parts,
            progress: Progress::Open,
        })
    }

    /// Counts a request as unanswered until the body has been taken.
    pub(crate) fn counted_as(mut self, request: Rc<()>, exchange: Rc<Exchange>) -> Self {
        self.request = Some((request, exchange));
        self
    }

    fn new(content: Content) -> Self {
        Self {
            content,
            request: None,
        }
    }
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut self.content {
            Content::Buffered { bytes, .. } => {
                Poll::Ready(next_piece(bytes).map(|piece| Ok(Frame::data(piece))))
            }
            Content::Stream { parts, progress } => {
                let part = ready!(progress.poll_part(parts, context));
                if let Some((_, exchange)) = &self.request
                    && !matches!(part, Some(Err(Truncated::Early)))
                {
                    exchange.set_streaming(part.is_some());
                }
                Poll::Ready(part)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Buffered { bytes: None, .. })
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Buffered { bytes, .. } => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Stream { .. } => SizeHint::default(),
        }
    }
}

impl Progress {
    fn poll_part(
        &mut self,
        parts: &mut mpsc::Receiver<Part>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        loop {
            match self {
                Self::Open => match ready!(parts.poll_recv(context)) {
                    Some(Part::Chunk { chunk, .. }) => {
                        return Poll::Ready(Some(Ok(Frame::data(chunk.bytes))));
                    }
                    Some(Part::End) => *self = Self::Ended,
                    None => *self = Self::Truncated(Box::pin(tokio::time::sleep(FLUSH_TIME))),
                },
                Self::Truncated(flushed) => {
                    ready!(flushed.as_mut().poll(context));
                    *self = Self::Ended;
                    return Poll::Ready(Some(Err(Truncated::Early)));
                }
                Self::Ended => return Poll::Ready(None),
            }
        }
    }
}

/// Takes the next piece of a complete body. hyper asks for it when it has written enough of the
/// previous ones. Pieces are copies, since a slice would keep the memory of the whole body after
/// its reservation is released.
fn next_piece(bytes: &mut Option<Bytes>) -> Option<Bytes> {
    let body = bytes.as_mut()?;
    let piece = body.split_to(body.len().min(PIECE_BYTES));
    if body.is_empty() {
        *bytes = None;
    }
    Some(Bytes::copy_from_slice(&piece))
}

impl Reason {
    /// Returns the status. 503 promises that the request has not run and will not; 502 and 504
    /// promise nothing.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NoCatalog
            | Self::Stale
            | Self::NoTarget
            | Self::Busy
            | Self::Refused
            | Self::NoBuild
            | Self::UnknownBuild
            | Self::Quarantined
            | Self::Stopping
            | Self::TimedOutUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Failed | Self::Panicked => StatusCode::BAD_GATEWAY,
            Self::Abandoned | Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns the label for logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::NoCatalog => "no_catalog",
            Self::Stale => "stale",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::NoTarget => "no_target",
            Self::Busy => "busy",
            Self::Refused => "refused",
            Self::NoBuild => "no_build",
            Self::UnknownBuild => "unknown_build",
            Self::Quarantined => "quarantined",
            Self::Stopping => "stopping",
            Self::Failed => "failed",
            Self::Panicked => "panicked",
            Self::Abandoned => "abandoned",
            Self::TimedOut => "late",
            Self::TimedOutUnsent => "too_late",
        }
    }

    /// Builds the response; `retry_after` is the delay after which the caller may retry.
    pub(crate) fn response(self, retry_after: Option<Duration>) -> Response<Body> {
        let text = serde_json::json!({ "error": self.label(), "message": self.to_string() });
        let mut response = Response::new(Body::buffered(text.to_string()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(retry_after) = retry_after
            && let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
        {
            headers.insert(RETRY_AFTER, seconds);
        }
        response
    }
}

/// Makes the caller open another connection for its next request.
pub(crate) fn close(headers: &mut HeaderMap) {
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
