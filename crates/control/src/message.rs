use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rules::Digest;
use serde::{Deserialize, Serialize};
use types::{Host, Version};

use crate::delta::Edit;
use crate::member::Record;

/// A control message between two processes.
///
/// Each request has one response on the same stream; see `docs/control.md` for the size of each.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Exchanges state summaries; serves as both request and response.
    Gossip(Gossip),
    /// Requests state that is newer than the sender's.
    Fetch(Fetch),
    /// The response to [`Message::Fetch`].
    Update(Update),
    /// Digests of the sender's member records, one per group; requests the records of the groups
    /// that differ.
    Compare(Vec<u32>),
    /// The response to [`Message::Compare`].
    Records(Vec<Arc<Record>>),
    /// Asks the receiver to check whether it can reach the process at this address.
    Probe(SocketAddr),
    /// The response to [`Message::Probe`].
    Probed(bool),
}

/// A summary of the sender's state, together with recently changed member records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// The address from which the receiver can fetch newer state.
    pub from: SocketAddr,
    /// Whether the sender has received a configuration since it started. A starting process ignores
    /// the version of an unready seed when it decides about its own readiness.
    pub ready: bool,
    /// The configuration version in force at the sender.
    pub version: Version,
    /// The timestamp of the sender's list of leaving hosts.
    pub hosts: Stamp,
    /// The number of members known to the sender.
    pub size: u32,
    /// The digest of the sender's member records.
    pub members: u64,
    /// Member records that are still being disseminated.
    pub records: Vec<Arc<Record>>,
}

/// A logical timestamp that orders lists of leaving hosts; the greater one wins.
///
/// Two processes that read the list concurrently may assign the same count, so the reader breaks
/// the tie.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// One more than the greatest count known to the reader when it read the list.
    pub count: u64,
    /// A random tie-breaker drawn by the reader.
    pub reader: u16,
}

/// The state that the sender of a [`Message::Fetch`] already has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// The configuration version in force at the sender.
    pub version: Version,
    /// Whether the sender failed to apply a delta and needs the full text.
    pub full: bool,
    /// The timestamp of the sender's list of leaving hosts.
    pub hosts: Stamp,
}

/// The newer state of the receiver of a [`Message::Fetch`]; `config` is empty when its budget for
/// full texts is exhausted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// A newer configuration.
    pub config: Option<Change>,
    /// A newer list of leaving hosts.
    pub hosts: Option<(Stamp, Vec<Host>)>,
}

/// A configuration update.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version after the update.
    pub version: Version,
    /// The digest of the text after the update.
    pub digest: Digest,
    /// The new text, in full or as a delta.
    pub body: Body,
}

/// The text of a configuration, in full or as a delta.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// The changed lines relative to the requester's configuration.
    Delta(Vec<Edit>),
    /// The full text.
    Full(Arc<str>),
}

impl Message {
    /// Returns how long to wait for the response. The receiver of a probe itself waits for the
    /// probed process, so [`Message::Probe`] has a longer timeout.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        match self {
            Self::Probe(_) => Duration::from_millis(2500),
            _ => Duration::from_millis(1000),
        }
    }
}
