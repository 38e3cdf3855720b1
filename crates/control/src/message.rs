use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rules::Digest;
use serde::{Deserialize, Serialize};
use types::{Host, Version};

use crate::delta::Edit;
use crate::member::Record;

/// What the control parts of two processes say to each other.
///
/// Each request has one answer on the same stream; see `docs/control.md` for what each costs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Compares what two processes know; both the question and its answer.
    Gossip(Gossip),
    /// Asks for what the sender lacks.
    Fetch(Fetch),
    /// The answer to [`Message::Fetch`].
    Update(Update),
    /// Digests of the sender's member records, one for each group; asks for the groups that
    /// differ.
    Compare(Vec<u32>),
    /// The answer to [`Message::Compare`].
    Records(Vec<Arc<Record>>),
    /// Asks the receiver whether it reaches the process at this address.
    Probe(SocketAddr),
    /// The answer to [`Message::Probe`].
    Probed(bool),
}

/// A summary of what a process knows, with the member records that changed lately.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Where the sender can be asked for what the receiver lacks.
    pub from: SocketAddr,
    /// Whether the sender has learned the configuration; what an unready process knows does not
    /// count for the start of another one.
    pub ready: bool,
    /// The configuration in force at the sender.
    pub version: Version,
    /// Which list of leaving hosts the sender has.
    pub hosts: Stamp,
    /// How many members it knows.
    pub size: u32,
    /// The digest of all its member records.
    pub members: u64,
    /// Records that are still being spread.
    pub records: Vec<Arc<Record>>,
}

/// Orders the lists of leaving hosts; the greater one replaces the smaller one.
///
/// Two processes that read the list at the same time may count to the same number, so the reader
/// breaks the tie.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// One more than the greatest count known to the reader.
    pub count: u64,
    /// Differs between readers.
    pub reader: u16,
}

/// What the sender of a [`Message::Fetch`] has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// The configuration in force.
    pub version: Version,
    /// Whether the sender could not use a delta and needs the whole text.
    pub whole: bool,
    /// The list of leaving hosts.
    pub hosts: Stamp,
}

/// What the receiver of a [`Message::Fetch`] has beyond that; empty when it is too busy.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// A greater configuration.
    pub config: Option<Change>,
    /// A greater list of leaving hosts.
    pub hosts: Option<(Stamp, Vec<Host>)>,
}

/// How to reach a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version that results.
    pub version: Version,
    /// The digest of the text that results.
    pub digest: Digest,
    /// The way there.
    pub body: Body,
}

/// The text of a configuration, whole or as a difference.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// The changed lines, relative to the configuration that the asker has.
    Edits(Vec<Edit>),
    /// The whole text.
    Whole(Arc<str>),
}

impl Message {
    /// Returns how long the answer may take; a peer that is asked to probe waits itself.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        match self {
            Self::Probe(_) => Duration::from_millis(2500),
            _ => Duration::from_millis(1000),
        }
    }
}
