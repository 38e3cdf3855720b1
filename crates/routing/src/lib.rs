//! Target selection for a prompt.
//!
//! Rendezvous hashing selects the candidates, so that a prompt returns to the targets that cache
//! its context; the candidate with the lowest estimated time to first token is preferred. The crate
//! performs no I/O and does not depend on sockets or engines. See `docs/design.md`, section 5.2.

mod budget;
mod loads;
mod rank;
mod rendezvous;
mod table;

pub use budget::Budget;
pub use loads::Loads;
pub use rank::{Estimate, Load, MAX_REDIRECTS, REDIRECT_MARGIN, Ranked, prefill_time, rank};
pub use rendezvous::{Key, top};
pub use table::Table;
