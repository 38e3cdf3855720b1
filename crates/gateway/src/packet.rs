//! The datagrams in which entries talk to each other.

use std::time::Duration;

use displaydoc::Display;
use fleet::kept::{Key, Late, Report};
use fleet::peers::Word;
use fleet::placement::Load;
use serde::{Deserialize, Serialize};
use types::{Model, Store, Target};

/// The largest datagram that is sent or read, in bytes.
pub const MOST_BYTES: usize = 16 << 10;
/// Bytes of the authentication code before each word.
const CODE_BYTES: usize = 32;
/// Changes with the layout of [`Packet`]: during an upgrade, entries of two versions talk to each
/// other, and bytes of another layout may decode to anything.
const FORMAT: u8 = 4;

/// Fetches of one host that count in one word; an entry starts fewer between two words.
const MOST_LATE: u32 = 1000;

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

/// A word as it is sent; the pure crate has no formats.
#[derive(Serialize, Deserialize)]
struct Packet {
    from: String,
    start: u64,
    number: u64,
    config: u64,
    proof: Option<u64>,
    loads: Vec<(Target, u32, u64, u64)>,
    /// Each with the milliseconds since it was heard.
    heard: Vec<(Target, u32)>,
    /// Each with the sum in ms and the number of fetches.
    late: Vec<(Store, i32, u32)>,
    changing: Vec<Target>,
    changed: Vec<(Target, Model, u64)>,
    used: Vec<Named>,
    retired: Vec<Named>,
    hosts: Vec<(Store, Option<u64>)>,
    /// Each with whether it is held, and its tokens.
    news: Vec<(Named, bool, u64)>,
}

#[derive(Serialize, Deserialize)]
struct Named {
    store: Store,
    space: String,
    id: String,
}

/// Encodes and authenticates a word.
///
/// # Errors
/// Fails when the word cannot be encoded or is too long.
pub fn seal(secret: &[u8; 32], word: &Word) -> Result<Vec<u8>, Problem> {
    let packet = Packet::from(word);
    let encoded = bincode::serde::encode_to_vec(&packet, layout());
    let encoded = encoded.map_err(|error| Problem::Malformed(error.to_string()))?;
    let mut bytes = vec![FORMAT];
    bytes.extend_from_slice(&encoded);
    let mut datagram = blake3::keyed_hash(secret, &bytes).as_bytes().to_vec();
    datagram.extend_from_slice(&bytes);
    if datagram.len() > MOST_BYTES {
        let length = datagram.len();
        return Err(Problem::Malformed(format!(
            "{length} bytes, at most {MOST_BYTES}"
        )));
    }
    Ok(datagram)
}

/// Checks and decodes a datagram.
///
/// # Errors
/// Fails when the datagram does not come from an entry that knows the secret, or has another layout.
pub fn open(secret: &[u8; 32], datagram: &[u8]) -> Result<Word, Problem> {
    let (code, bytes) = datagram
        .split_at_checked(CODE_BYTES)
        .ok_or(Problem::Short)?;
    let code = <[u8; CODE_BYTES]>::try_from(code).map_err(|_error| Problem::Short)?;
    // blake3 compares its hashes in constant time.
    if blake3::Hash::from(code) != blake3::keyed_hash(secret, bytes) {
        return Err(Problem::Forged);
    }
    let (format, encoded) = bytes.split_first().ok_or(Problem::Short)?;
    if *format != FORMAT {
        return Err(Problem::Format(*format));
    }
    let decoded: Result<(Packet, usize), _> = bincode::serde::decode_from_slice(encoded, layout());
    match decoded {
        Ok((packet, _)) => Ok(packet.into()),
        Err(error) => Err(Problem::Malformed(error.to_string())),
    }
}

/// The limit keeps a wrong length from being allocated.
fn layout() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MOST_BYTES>()
}

impl From<&Word> for Packet {
    fn from(word: &Word) -> Self {
        let name = |(store, key): &(Store, Key)| Named::new(store, key);
        let loads = word.loads.iter();
        let heard = word.heard.iter();
        let news = word.news.iter();
        Self {
            from: word.from.clone(),
            start: word.start,
            number: word.number,
            config: word.config,
            proof: word.proof,
            loads: loads
                .map(|(target, load)| (target.clone(), load.running, load.reading, load.memory))
                .collect(),
            heard: heard
                .map(|(target, ago)| {
                    let millis = u32::try_from(ago.as_millis()).unwrap_or(u32::MAX);
                    (target.clone(), millis)
                })
                .collect(),
            late: word
                .late
                .iter()
                .map(|(store, late)| (store.clone(), late.sum_ms.round() as i32, late.count))
                .collect(),
            changing: word.changing.clone(),
            changed: word.changed.clone(),
            used: word.used.iter().map(name).collect(),
            retired: word.retired.iter().map(name).collect(),
            hosts: word.hosts.clone(),
            news: news
                .map(|(store, report)| {
                    let named = Named::new(store, &report.key);
                    (named, report.held, report.tokens)
                })
                .collect(),
        }
    }
}

impl From<Packet> for Word {
    fn from(packet: Packet) -> Self {
        let loads = packet.loads.into_iter();
        let loads = loads.map(|(target, running, reading, memory)| {
            let load = Load {
                running,
                reading,
                memory,
            };
            (target, load)
        });
        let heard = packet.heard.into_iter();
        let heard = heard.map(|(target, ago)| (target, Duration::from_millis(u64::from(ago))));
        let late = packet.late.into_iter().map(|(store, sum, count)| {
            let late = Late {
                sum_ms: f64::from(sum),
                count: count.min(MOST_LATE),
            };
            (store, late)
        });
        let news = packet.news.into_iter().map(|(named, held, tokens)| {
            let (store, key) = named.key();
            (store, Report { held, key, tokens })
        });
        Self {
            from: packet.from,
            start: packet.start,
            number: packet.number,
            config: packet.config,
            proof: packet.proof,
            loads: loads.collect(),
            heard: heard.collect(),
            late: late.collect(),
            changing: packet.changing,
            changed: packet.changed,
            used: packet.used.into_iter().map(Named::key).collect(),
            retired: packet.retired.into_iter().map(Named::key).collect(),
            hosts: packet.hosts,
            news: news.collect(),
        }
    }
}

impl Named {
    fn new(store: &Store, key: &Key) -> Self {
        Self {
            store: store.clone(),
            space: key.space.to_string(),
            id: key.id.to_string(),
        }
    }

    fn key(self) -> (Store, Key) {
        let key = Key {
            space: self.space.into(),
            id: self.id.into(),
        };
        (self.store, key)
    }
}
