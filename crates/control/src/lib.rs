//! The control protocols: what processes tell each other and keep through the platform.
//!
//! The crate does no I/O and knows nothing of sockets or of the platform's protocol. See
//! `docs/design.md`, sections 5.6 to 5.9.

mod claim;
mod ledger;
mod member;

pub use claim::{Acquire, Claim, Fate, Found, Outcome, State, Step, Stop, Written};
pub use ledger::Ledger;
pub use member::{Directory, Member, Role};
