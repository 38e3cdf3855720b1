//! What entries ask a dispatcher, and what it answers.

use std::sync::Arc;
use std::time::Duration;

use types::{Build, Domain, Model, Target};

use crate::backfill::Shortage;
use crate::cell::Cell;
use crate::namespace::Scope;
use crate::placement::Candidate;

/// The identifier of a placement request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id {
    /// The entry that sent it.
    pub sender: Arc<str>,
    /// The incarnation of that entry: a random number that it draws at each process start.
    pub incarnation: u64,
    /// Sequence number within that incarnation.
    pub sequence: u64,
}

/// The properties of a prompt that decide about its placement.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Demand {
    /// The model, if the request names one.
    pub model: Option<Model>,
    /// Which other requests share its cached segments.
    pub scope: Scope,
    /// The segments that other requests may share, each with its number of tokens.
    pub segments: Vec<(Arc<str>, u64)>,
    /// Number of tokens that no other request shares.
    pub unique_tokens: u64,
    /// KV memory that the request takes at its target, in tokens.
    pub kv_tokens: u64,
    /// Targets that must not be chosen.
    pub excluded: Vec<Target>,
    /// Failure domains that the entry cannot reach.
    pub unreachable: Vec<Domain>,
    /// The only build whose targets may be chosen, since it began the stream.
    pub build: Option<Build>,
}

impl Request {
    /// Returns what a shortage that this request has met says about the others.
    pub(super) fn shortage(&self, shortage: Shortage) -> Shortage {
        match self.is_restricted() {
            true => Shortage::Targets,
            false => shortage,
        }
    }

    /// Whether the request may not use all targets of its cell, so that its shortage is no one
    /// else's.
    fn is_restricted(&self) -> bool {
        let is_unreachable = |domain: &Domain| self.demand.unreachable.contains(domain);
        self.demand.build.is_some()
            || !self.demand.excluded.is_empty()
            || match &self.cell.domain {
                Some(domain) => is_unreachable(domain),
                None => !self.demand.unreachable.is_empty(),
            }
    }
}

/// A request for placement on a target of a cell.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Identifies the request; a request with the same identifier is a retransmission.
    pub id: Id,
    /// The cell whose dispatcher is addressed.
    pub cell: Cell,
    /// Scheduling rank; 0 is the most urgent.
    pub rank: u8,
    /// Maximum time in the queue.
    pub max_wait: Duration,
    /// How long requests of its kind may wait in all; `max_wait` is what is left of it.
    pub patience: Duration,
    /// Whether to queue the request if no target is free; otherwise the entry tries another cell.
    pub queue: bool,
    /// The properties of the prompt.
    pub demand: Demand,
}

/// A target of the cell as an option for one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Offer {
    /// The target.
    pub target: Target,
    /// State of the target. The load is the one that entries have reported, without grants made
    /// since.
    pub candidate: Candidate,
    /// Which of the shared segments are resident in the target's own memory.
    pub resident: Vec<bool>,
}

/// The reply to a placement request.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// The request is granted this target, which has the flagged segments resident.
    Granted(Target, Vec<bool>),
    /// The request is queued; another reply follows.
    Queued,
    /// No target is free now; one is expected after this time.
    Busy(Duration),
    /// The request cannot be served in time. Its caller may retry after this time.
    Refused(Duration),
    /// This entry is not the dispatcher of the cell, or is about to shut down.
    NotDispatcher,
}
