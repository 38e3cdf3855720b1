//! The datagrams in which entries talk to each other.

mod layout;

use displaydoc::Display;
use fleet::discovery::{Notice, Page};
use fleet::dispatcher::{Id, Reply, Request};
use fleet::gossip::{State, Update};
use types::Target;

use layout::Packet;

/// The largest datagram that is sent or read, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 16 << 10;
/// Bytes of the authentication code before each message.
const MAC_BYTES: usize = 32;
/// Changes with the layout of [`Packet`]: during an upgrade, entries of two versions talk to each
/// other, and bytes of another layout may decode to anything.
pub const FORMAT: u8 = 8;

/// What one entry sends to another.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// What it tells all others in turn.
    State(State),
    /// What it tells the dispatchers of its targets at once.
    Update(Update),
    /// A request for a place.
    Request(Request),
    /// The answer to the request for a place with this name.
    Reply(Id, Reply),
    /// The request for a place with this name is given up.
    Cancel(Id),
    /// What it tells its neighbours of the list of targets.
    Notice(Notice),
    /// A request, by its number, for the part of the list after a target.
    Fetch(u64, Option<Target>),
    /// The answer to it.
    Page(Page),
}

/// Why a datagram is not used.
#[derive(Debug, Display, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// it has no authentication code
    Short,
    /// it is not authentic
    Forged,
    /// its format {0} is not understood
    Format(u8),
    /// it cannot be decoded: {0}
    Malformed(String),
}

/// Encodes and authenticates a message.
///
/// # Errors
/// Fails when the message cannot be encoded or is too long.
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

/// Checks and decodes a datagram.
///
/// # Errors
/// Fails when the datagram does not come from an entry that knows the secret, or has another layout.
pub fn open(secret: &[u8; 32], datagram: &[u8]) -> Result<Message, Problem> {
    let (mac, bytes) = datagram.split_at_checked(MAC_BYTES).ok_or(Problem::Short)?;
    let mac = <[u8; MAC_BYTES]>::try_from(mac).map_err(|_error| Problem::Short)?;
    // blake3 compares its hashes in constant time.
    if blake3::Hash::from(mac) != blake3::keyed_hash(secret, bytes) {
        return Err(Problem::Forged);
    }
    let (format, encoded) = bytes.split_first().ok_or(Problem::Short)?;
    if *format != FORMAT {
        return Err(Problem::Format(*format));
    }
    let decoded: Result<(Packet, usize), _> = bincode::serde::decode_from_slice(encoded, config());
    match decoded {
        Ok((packet, _)) => Ok(packet.into()),
        Err(error) => Err(Problem::Malformed(error.to_string())),
    }
}

/// The limit keeps a wrong length from being allocated.
fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>()
}
