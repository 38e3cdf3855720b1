//! The control protocols: what processes tell each other and keep through the platform.
//!
//! The crate does no I/O and knows nothing of sockets or of the platform's protocol. See
//! `docs/design.md`, sections 5.6 to 5.9.

mod claim;
mod lease;
mod member;

pub use claim::{Claim, Outcome, State};
pub use lease::{Grant, Lease, Step, Write, Written};
pub use member::{Directory, Member, Role};
