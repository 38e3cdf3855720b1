//! The control protocols: what processes tell each other and keep through the platform.
//!
//! The crate does no I/O and knows nothing of sockets or of the platform's protocol. [`Node`] is
//! the control part of one process, [`network::Network`] runs many of them in virtual time. See
//! `docs/control.md`.

mod claim;
mod config;
mod delta;
mod exchange;
mod freshness;
mod lease;
mod member;
mod message;
pub mod network;
mod node;
mod pace;
mod roster;
mod suspicion;

pub use claim::{Claim, Outcome, State};
pub use delta::{Edit, apply, diff};
pub use freshness::ISOLATION;
pub use lease::{Grant, Lease, Step, Write, Written};
pub use member::{Directory, Member, Record, Role};
pub use message::{Body, Change, Fetch, Gossip, Message, Stamp, Update};
pub use node::{Action, Event, Node};
