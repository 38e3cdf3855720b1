//! Streams between the project's own processes: frames in bincode over h2.
//!
//! Each connection is authenticated in both directions with a cluster key before h2 starts. The
//! crate carries frames and knows nothing of the decisions behind them. See `docs/design.md`,
//! section 4.

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

/// The number of the frame format; a peer with another number is refused.
pub const FORMAT_VERSION: u16 = 1;

/// Why a stream to another process failed.
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
    /// Says whether a request sent on the stream may have run.
    ///
    /// Only failures before the first frame was handed to the transport are certain.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect(..) | Self::Handshake(..) | Self::Open(_) => Verdict::NotRun,
            Self::Broken(_) | Self::Closed | Self::Frame(_) => Verdict::MayHaveRun,
        }
    }
}
