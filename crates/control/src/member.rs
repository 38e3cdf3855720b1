use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::{Domain, Host, Incarnation, Model, Region, Service, Target};

/// What the others need to know of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the process, unique in the deployment.
    pub name: String,
    /// Grows with every start of the process.
    pub incarnation: Incarnation,
    /// The address for streams between processes.
    pub address: SocketAddr,
    /// The host it runs on.
    pub host: Host,
    /// The failure domain of the host.
    pub domain: Domain,
    /// The region of the failure domain.
    pub region: Region,
    /// What the process does.
    pub role: Role,
}

/// What a process does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes requests from callers.
    Entry,
    /// Stands beside a model engine.
    Engine {
        /// The engine's name.
        target: Target,
        /// The model that it serves.
        model: Model,
    },
    /// Stands beside an instance of a plain service.
    Service {
        /// The instance's name.
        target: Target,
        /// The service that it belongs to.
        service: Service,
    },
}

impl Role {
    /// Returns the target that the process stands beside, if any.
    #[must_use]
    pub fn target(&self) -> Option<&Target> {
        match self {
            Self::Entry => None,
            Self::Engine { target, .. } | Self::Service { target, .. } => Some(target),
        }
    }
}

/// What is spread of a member.
///
/// An incarnation stands for one start of the process, on which claims rely; a member that is
/// suspected wrongly therefore counts its refutations apart from it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The member.
    pub member: Member,
    /// How often this incarnation has refuted a suspicion.
    pub refutations: u32,
    /// Whether several processes found no way to the member.
    pub suspect: bool,
}

impl Record {
    /// Returns what orders the records of one member; the greater one is newer.
    #[must_use]
    pub fn order(&self) -> (Incarnation, u32, bool) {
        (self.member.incarnation, self.refutations, self.suspect)
    }
}

/// Makes the record of a member that nobody has suspected.
impl From<Member> for Arc<Record> {
    fn from(member: Member) -> Self {
        Self::new(Record {
            member,
            refutations: 0,
            suspect: false,
        })
    }
}

/// The known members, ordered by name, and those of them that work is kept from.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    members: BTreeMap<String, Arc<Record>>,
    avoided: BTreeSet<String>,
}

impl Directory {
    /// Takes a record in unless a record at least as new is known; returns whether it did.
    pub fn insert(&mut self, record: impl Into<Arc<Record>>) -> bool {
        let record = record.into();
        match self.members.get(&record.member.name) {
            Some(known) if known.order() >= record.order() => false,
            _ => {
                self.members.insert(record.member.name.clone(), record);
                true
            }
        }
    }

    /// Keeps work from the member with this name.
    pub fn avoid(&mut self, name: &str) {
        self.avoided.insert(name.to_owned());
    }

    /// Iterates over the members that work may be sent to: neither suspected by several processes
    /// nor just now unreachable from here.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|record| !record.suspect && !self.avoided.contains(&record.member.name))
            .map(|record| &record.member)
    }

    /// Returns the member with this name, even when it is suspected: an answer that it keeps can be
    /// had from nobody else.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name).map(|record| &record.member)
    }
}
