//! Chooses a target for a prompt.
//!
//! Candidates come from rendezvous hashing, so that a prompt returns to the targets that hold its
//! context; among them the least estimated time to first token decides. The crate does no I/O and
//! knows nothing of sockets or engines. See `docs/design.md`, section 5.2.

mod budget;
mod choice;
mod loads;
mod rendezvous;
mod table;

pub use budget::Budget;
pub use choice::{Estimate, Load, MAX_REDIRECTS, REDIRECT_MARGIN, Ranked, prefill_time, rank};
pub use loads::Loads;
pub use rendezvous::{Key, top};
pub use table::Table;
