//! The datagrams between entries.

mod layout;

use displaydoc::Display;
use fleet::builds::Stream;
use fleet::discovery::{Notice, Page};
use fleet::dispatcher::{Id, Reply, Request};
use fleet::gossip::{State, Update};
use fleet::quarantine::{Evidence, requests};
use types::{Build, Target};

use layout::Packet;

/// The maximum size of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Length of the message authentication code at the start of a datagram.
const MAC_BYTES: usize = 32;
/// Version of the layout of [`Packet`]. Entries of two versions communicate during an upgrade, and
/// bytes of another layout may decode to anything.
pub const FORMAT: u8 = 16;

/// A message from one entry to another.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// The sender's state, sent to all other entries in turn.
    State(Box<State>),
    /// Load changes, sent immediately to the dispatchers of the targets.
    Update(Update),
    /// A placement request.
    Request(Request),
    /// The reply to the placement request with this id, and whether it grants a cold target within
    /// its budget.
    Reply(Id, Reply, bool),
    /// Cancels the placement request with this id.
    Cancel(Id),
    /// An update of the list of targets, for the neighbours.
    Notice(Notice),
    /// A request for the part of the list after a target; the number identifies the request.
    Fetch(u64, Option<Target>),
    /// The reply to [`Message::Fetch`].
    Page(Page),
    /// New evidence about segments that crash targets, sent to all other entries at once.
    Crashes(Vec<Evidence>),
    /// New evidence about a request that crashes targets, sent to all other entries at once.
    CrashingRequest(requests::Evidence),
    /// The builds that began streams, for the entries that keep them.
    Began(Vec<(Stream, Build)>),
    /// A question for the build that began a stream; the number identifies the question.
    AskOrigin(u64, Stream),
    /// The reply to [`Message::AskOrigin`] of an entry that knows the build.
    Origin(u64, Build),
}

/// Why a datagram cannot be encoded or is discarded.
#[derive(Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// too short for an authentication code
    TooShort,
    /// authentication failed
    Unauthenticated,
    /// unsupported format {0}
    UnsupportedFormat(u8),
    /// malformed: {0}
    Malformed(String),
}

/// Encodes and authenticates a message.
///
/// # Errors
/// Fails if the message cannot be encoded or is too long.
pub fn seal(secret: &[u8; 32], message: &Message) -> Result<Vec<u8>, Problem> {
    let packet = Packet::from(message);
    let encoded = bincode::serde::encode_to_vec(&packet, config());
    let encoded = encoded.map_err(|error| Problem::Malformed(error.to_string()))?;
    let mut bytes = vec![FORMAT];
    bytes.extend_from_slice(&encoded);
    let mut datagram = blake3::keyed_hash(secret, &bytes).as_bytes().to_vec();
    datagram.extend_from_slice(&bytes);
    if datagram.len() > MAX_DATAGRAM_BYTES {
        let length = datagram.len();
        return Err(Problem::Malformed(format!(
            "{length} bytes, at most {MAX_DATAGRAM_BYTES}"
        )));
    }
    Ok(datagram)
}

/// Verifies and decodes a datagram.
///
/// # Errors
/// Fails if the sender does not know the secret, or the datagram has another layout.
pub fn open(secret: &[u8; 32], datagram: &[u8]) -> Result<Message, Problem> {
    let (mac, bytes) = datagram
        .split_at_checked(MAC_BYTES)
        .ok_or(Problem::TooShort)?;
    let mac = <[u8; MAC_BYTES]>::try_from(mac).map_err(|_error| Problem::TooShort)?;
    // blake3 compares hashes in constant time.
    if blake3::Hash::from(mac) != blake3::keyed_hash(secret, bytes) {
        return Err(Problem::Unauthenticated);
    }
    let (format, encoded) = bytes.split_first().ok_or(Problem::TooShort)?;
    if *format != FORMAT {
        return Err(Problem::UnsupportedFormat(*format));
    }
    let decoded: Result<(Packet, usize), _> = bincode::serde::decode_from_slice(encoded, config());
    match decoded {
        Ok((packet, _)) => Ok(packet.into()),
        Err(error) => Err(Problem::Malformed(error.to_string())),
    }
}

/// Returns the encoding; its limit prevents large allocations for wrong lengths.
fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>()
}
