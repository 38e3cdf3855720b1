//! Streams between the processes of the system: bincode frames over HTTP/2.
//!
//! Each connection is mutually authenticated with a cluster key before HTTP/2 starts. The crate
//! transports frames and does not interpret them. See `docs/design.md`, section 4.

mod auth;
mod client;
mod codec;
mod frame;
mod server;
mod stream;
mod token;

pub use auth::{Key, Keys};
pub use client::Client;
pub use codec::{Decoder, MAX_FRAME_BYTES, encode};
pub use frame::{
    Admitted, Call, Digest, Dispatch, End, Event, Frame, Load, Prompt, Query, Reason, Refused,
    Reply, Resolution, Resume, Usage, Work,
};
pub use server::{Handle, Listener};
pub use stream::{Receiver, Sender, Stream};
pub use token::Token;

use displaydoc::Display;
use types::Verdict;

/// The version of the frame format; a peer with another version is refused.
pub const FORMAT_VERSION: u16 = 1;

/// An error of a stream to another process.
#[derive(Debug, Display, thiserror::Error)]
pub enum Error {
    /// no connection to {0}: {1}
    Connect(std::net::SocketAddr, std::io::Error),
    /// the peer at {0} failed the handshake: {1}
    Handshake(std::net::SocketAddr, &'static str),
    /// the stream could not be opened: {0}
    Open(h2::Error),
    /// the stream broke: {0}
    Broken(h2::Error),
    /// the peer closed the stream before the answer was complete
    Closed,
    /// a frame could not be read: {0}
    Frame(&'static str),
}

impl Error {
    /// Returns whether a request sent on the stream may have run.
    ///
    /// It certainly has not run only if the stream failed before the first frame was handed to the
    /// transport.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect(..) | Self::Handshake(..) | Self::Open(_) => Verdict::NotRun,
            Self::Broken(_) | Self::Closed | Self::Frame(_) => Verdict::MayHaveRun,
        }
    }
}
