//! Control-plane protocols: configuration distribution, membership, leases and idempotency claims.
//!
//! The crate performs no I/O and does not depend on sockets or on the platform's protocol. [`Node`]
//! is the control state machine of one process; [`simulation::Network`] runs many of them in
//! virtual time. See `docs/control.md`.

mod attempts;
pub mod claim;
mod config;
mod delta;
mod exchange;
mod lease;
mod member;
mod membership;
mod message;
mod node;
mod readiness;
mod schedule;
pub mod simulation;
mod suspicion;

pub use attempts::Attempts;
pub use claim::{Acquisition, Claim, Denial, Lookup, Outcome, State, Status};
pub use delta::{Edit, apply, diff};
pub use lease::{Grant, Lease, Step, Timing, Write, Written};
pub use member::{Directory, Member, Record, Role};
pub use message::{Body, Change, Fetch, Gossip, Message, Stamp, Update};
pub use node::{Action, Event, Node};
pub use readiness::ISOLATION_TIMEOUT;
