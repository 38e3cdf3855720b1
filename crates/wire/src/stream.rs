use std::future::poll_fn;

use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::{RecvStream, SendStream};

use crate::codec::encode_into;
use crate::{Decoder, Error, Frame};

/// A stream of frames in both directions.
#[derive(Debug)]
pub struct Stream {
    /// The direction towards the peer.
    pub sender: Sender,
    /// The direction from the peer.
    pub receiver: Receiver,
}

/// The sending half of a stream.
#[derive(Debug)]
pub struct Sender(pub(crate) SendStream<Bytes>);

/// The receiving half of a stream.
#[derive(Debug)]
pub struct Receiver {
    source: Source,
    decoder: Decoder,
}

#[derive(Debug)]
enum Source {
    /// The peer has not yet sent the response head.
    Pending(ResponseFuture),
    Open(RecvStream),
}

impl Sender {
    /// Sends a frame; waits while the flow-control window is exhausted.
    ///
    /// # Errors
    /// Fails when the frame is too large or the stream is broken.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), Error> {
        self.send_all(std::slice::from_ref(frame)).await
    }

    /// Sends several frames at once, which costs much less than sending them one by one.
    ///
    /// # Errors
    /// Fails as [`Sender::send`] does; some of the frames may have been sent.
    pub async fn send_all(&mut self, frames: &[Frame]) -> Result<(), Error> {
        let mut bytes = Vec::new();
        for frame in frames {
            encode_into(frame, &mut bytes)?;
        }
        let mut bytes = Bytes::from(bytes);
        while !bytes.is_empty() {
            self.0.reserve_capacity(bytes.len());
            let capacity = match poll_fn(|context| self.0.poll_capacity(context)).await {
                Some(Ok(capacity)) => capacity,
                Some(Err(error)) => return Err(Error::Broken(error)),
                None => return Err(Error::Closed),
            };
            let chunk = bytes.split_to(capacity.min(bytes.len()));
            self.0.send_data(chunk, false).map_err(Error::Broken)?;
        }
        Ok(())
    }

    /// Closes this direction of the stream.
    pub fn finish(&mut self) {
        // A failure means that the connection is gone, which the receiver reports.
        let _ = self.0.send_data(Bytes::new(), true);
    }

    /// Waits until the peer resets the stream or the connection is gone.
    pub async fn closed(&mut self) {
        let _ = poll_fn(|context| self.0.poll_reset(context)).await;
    }
}

impl Receiver {
    pub(crate) fn pending(response: ResponseFuture) -> Self {
        Self {
            source: Source::Pending(response),
            decoder: Decoder::default(),
        }
    }

    pub(crate) fn open(stream: RecvStream) -> Self {
        Self {
            source: Source::Open(stream),
            decoder: Decoder::default(),
        }
    }

    /// Returns the next frame if it has already been received.
    ///
    /// # Errors
    /// Fails on an invalid frame.
    pub fn try_recv(&mut self) -> Result<Option<Frame>, Error> {
        self.decoder.decode()
    }

    /// Returns the next frame, or `None` once the peer has closed its direction.
    ///
    /// # Errors
    /// Fails when the stream breaks or ends within a frame, and on an invalid frame.
    pub async fn recv(&mut self) -> Result<Option<Frame>, Error> {
        loop {
            if let Some(frame) = self.decoder.decode()? {
                return Ok(Some(frame));
            }
            let stream = match &mut self.source {
                Source::Open(stream) => stream,
                Source::Pending(response) => {
                    let response = response.await.map_err(Error::Broken)?;
                    self.source = Source::Open(response.into_body());
                    continue;
                }
            };
            let Some(bytes) = stream.data().await else {
                if self.decoder.is_empty() {
                    return Ok(None);
                }
                return Err(Error::Closed);
            };
            let bytes = bytes.map_err(Error::Broken)?;
            let _ = stream.flow_control().release_capacity(bytes.len());
            self.decoder.push(&bytes);
        }
    }
}
