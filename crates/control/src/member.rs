use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::{Domain, Host, Incarnation, Model, Region, Service, Target};

/// The properties of a process that other processes need to know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name of the process, unique in the deployment.
    pub name: String,
    /// A number that grows with every start of the process.
    pub incarnation: Incarnation,
    /// The address for streams between processes.
    pub address: SocketAddr,
    /// The host on which the process runs.
    pub host: Host,
    /// The failure domain of the host.
    pub domain: Domain,
    /// The region of the failure domain.
    pub region: Region,
    /// The role of the process.
    pub role: Role,
}

/// The role of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry, which accepts requests from callers.
    Entry,
    /// The agent of a model engine.
    Engine {
        /// The name of the engine.
        target: Target,
        /// The model that the engine serves.
        model: Model,
    },
    /// The agent of an instance of a plain service.
    Service {
        /// The name of the instance.
        target: Target,
        /// The service to which the instance belongs.
        service: Service,
    },
}

impl Role {
    /// Returns the target of an agent, or `None` for an entry.
    #[must_use]
    pub fn target(&self) -> Option<&Target> {
        match self {
            Self::Entry => None,
            Self::Engine { target, .. } | Self::Service { target, .. } => Some(target),
        }
    }
}

/// The state of a member as disseminated by gossip.
///
/// An incarnation identifies one start of the process, and claims rely on that. A wrongly suspected
/// member therefore counts refutations separately instead of raising its incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The member.
    pub member: Member,
    /// The number of suspicions that this incarnation has refuted.
    pub refutations: u32,
    /// Whether several processes failed to reach the member.
    pub suspect: bool,
}

impl Record {
    /// Returns the ordering key of the records of one member; the greater one is newer.
    #[must_use]
    pub fn order(&self) -> (Incarnation, u32, bool) {
        (self.member.incarnation, self.refutations, self.suspect)
    }
}

/// Creates the record of a member that is not suspected.
impl From<Member> for Arc<Record> {
    fn from(member: Member) -> Self {
        Self::new(Record {
            member,
            refutations: 0,
            suspect: false,
        })
    }
}

/// The known members ordered by name, and the set of those excluded from routing.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    members: BTreeMap<String, Arc<Record>>,
    avoided: BTreeSet<String>,
}

impl Directory {
    /// Inserts a record unless a record at least as new is present; returns whether it was
    /// inserted.
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

    /// Excludes the member with this name from routing.
    pub fn avoid(&mut self, name: &str) {
        self.avoided.insert(name.to_owned());
    }

    /// Iterates over the members eligible for work: neither suspected by several processes nor
    /// currently unreachable from this one.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|record| !record.suspect && !self.avoided.contains(&record.member.name))
            .map(|record| &record.member)
    }

    /// Returns the member with this name even if it is suspected: only that member can supply an
    /// answer that it stores.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name).map(|record| &record.member)
    }
}
