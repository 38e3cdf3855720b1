//! How the list of targets reaches an entry: from the platform's store, or from a neighbour that
//! follows the store.
//!
//! Each entry on its own would read the whole list at its start and each change, which costs the
//! store as much as there are entries. A few entries of each failure domain do that, and tell the
//! others of it; whoever hears of no fresh neighbour asks the store itself. See `docs/platform.md`.

use std::collections::HashMap;
use std::time::Duration;

use types::{Domain, Target, Time};

use crate::cell::{Node, rendezvous};
use crate::roster::Member;

/// What a neighbour tells of the list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Notice {
    /// The neighbour.
    pub from: String,
    /// The version of the store's rows that it has.
    pub cursor: u64,
    /// How long ago the store answered it.
    pub staleness: Duration,
    /// The digest of its list, once the changes below are made.
    pub digest: u64,
    /// Whether the store could not be used lately, so that targets may have left the list by fault.
    pub store_outage: bool,
    /// Targets that changed.
    pub updated: Vec<Member>,
    /// Targets that left, with the versions of their rows.
    pub removed: Vec<(Target, u64)>,
}

/// A part of a neighbour's list.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Page {
    /// The neighbour.
    pub from: String,
    /// The request that it answers.
    pub request: u64,
    /// The version of the store's rows that the neighbour has.
    pub cursor: u64,
    /// Targets in the order of their names.
    pub members: Vec<Member>,
    /// Whether more follow.
    pub has_more: bool,
}

/// What an entry does next for its list of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Ask the store; for changes after this version if there is one, or for the whole list.
    PollStore(Option<u64>),
    /// Read the whole list from this neighbour.
    Fetch(String),
    /// A neighbour tells of changes.
    Idle,
}

/// What an entry knows of its neighbours' lists.
#[derive(Debug, Default)]
pub struct Neighbours {
    heard: HashMap<String, Heard>,
    /// Since when the own list has differed from those of all fresh neighbours.
    differs: Option<Time>,
    /// The version at which it was last the same as that of one.
    same: u64,
    /// The neighbour whose list could not be read, and until when it is not asked for it.
    refused: Option<(String, Time)>,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Time,
    /// When the store answered it.
    answered: Time,
    cursor: u64,
    digest: u64,
}

/// Entries of a failure domain that follow the store; the second one in case the first is away.
pub const MAX_LEADERS: usize = 2;
/// How often an entry that follows the store tells its neighbours so, also without changes.
pub const HEARTBEAT: Duration = Duration::from_millis(500);
/// How long a neighbour counts that is not heard: two of its heartbeats may be lost.
const QUIET: Duration = Duration::from_millis(1600);
/// How old the store's last answer to a neighbour may be: it holds a call for two seconds while
/// nothing changes, and changes are gathered for a part of a second.
const STALE: Duration = Duration::from_millis(3600);
/// How long two lists may differ: notices arrive at different times.
const DIFFERS: Duration = Duration::from_millis(800);
/// How long a neighbour whose list could not be read is not asked for it.
const REFUSED: Duration = Duration::from_secs(2);

/// Returns the entries of a failure domain that follow the store for it.
#[must_use]
pub fn leaders(domain: &Domain, hosts: &[Node], alive: impl Fn(&str) -> bool) -> Vec<String> {
    let neighbours: Vec<Node> = hosts
        .iter()
        .filter(|host| host.domain == *domain)
        .cloned()
        .collect();
    let mut names = rendezvous(&[b"list", domain.as_bytes()], Some(domain), &neighbours);
    names.retain(|name| alive(name));
    names.truncate(MAX_LEADERS);
    names
}

impl Neighbours {
    /// Records that a neighbour has told of its list; `digest` is that of the own list with the
    /// notice's changes.
    pub fn on_notice(&mut self, notice: &Notice, digest: u64, now: Time) {
        let heard = Heard {
            at: now,
            answered: now - notice.staleness,
            cursor: notice.cursor,
            digest: notice.digest,
        };
        self.heard.insert(notice.from.clone(), heard);
        let same = self.fresh(now).filter(|(_, heard)| heard.digest == digest);
        let same = same.map(|(_, heard)| heard.cursor).max();
        self.same = self.same.max(same.unwrap_or(0));
        self.differs = match same {
            Some(_) => None,
            None => self.differs.or(Some(now)),
        };
    }

    /// Records that a neighbour's list was read.
    pub fn on_fetched(&mut self) {
        self.differs = None;
    }

    /// Records that a neighbour's list could not be read.
    pub fn on_fetch_failed(&mut self, name: String, now: Time) {
        self.refused = Some((name, now + REFUSED));
    }

    /// Returns what to do next; `leads` says whether this entry follows the store for its
    /// neighbours, `cursor` what it has read of the list, and `new` whether it has just started and
    /// may not have heard of its neighbours yet.
    pub fn next_action(
        &mut self,
        leads: bool,
        new: bool,
        cursor: Option<u64>,
        now: Time,
    ) -> Action {
        self.heard.retain(|_, heard| now.since(heard.at) < QUIET);
        // What is missing comes with the changes since the last version that is known for sure.
        let known = cursor.map(|cursor| cursor.max(self.same));
        if leads {
            return Action::PollStore(known);
        }
        let refused = self.refused.as_ref().filter(|(_, until)| now < *until);
        let refused = refused.map(|(name, _)| name.as_str());
        let fresh: Vec<&str> = self.fresh(now).map(|(name, _)| name).collect();
        let Some(any) = fresh.iter().find(|name| Some(**name) != refused) else {
            let rests = new || !fresh.is_empty();
            return match rests && cursor.is_some() {
                true => Action::Idle,
                false => Action::PollStore(known),
            };
        };
        let differs = self
            .differs
            .is_some_and(|since| now.since(since) >= DIFFERS);
        match cursor.is_none() || differs {
            true => Action::Fetch((*any).to_owned()),
            false => Action::Idle,
        }
    }

    fn fresh(&self, now: Time) -> impl Iterator<Item = (&str, &Heard)> {
        let fresh = self.heard.iter().filter(move |(_, heard)| {
            now.since(heard.at) < QUIET && now.since(heard.answered) < STALE
        });
        fresh.map(|(name, heard)| (name.as_str(), heard))
    }
}
