//! The control protocols: what processes tell each other and keep through the platform.
//!
//! The crate does no I/O and knows nothing of sockets or of the platform's protocol. [`Node`] is
//! the control part of one process, [`simulation::Network`] runs many of them in virtual time. See
//! `docs/control.md`.

mod attempts;
pub mod claim;
mod config;
mod delta;
mod exchange;
mod freshness;
mod lease;
mod member;
mod message;
mod node;
mod pace;
mod roster;
pub mod simulation;
mod suspicion;

pub use attempts::Attempts;
pub use claim::{Acquisition, Claim, Denial, Lookup, Outcome, State, Status};
pub use delta::{Edit, apply, diff};
pub use freshness::ISOLATION_TIMEOUT;
pub use lease::{Grant, Lease, Step, Timing, Write, Written};
pub use member::{Directory, Member, Record, Role};
pub use message::{Body, Change, Fetch, Gossip, Message, Stamp, Update};
pub use node::{Action, Event, Node};
