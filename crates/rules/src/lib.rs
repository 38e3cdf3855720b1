//! The operators' rules: a plain text file with one rule a line, each with a comment that names
//! who asked for it.
//!
//! The crate turns the text into a checked [`Snapshot`] and knows nothing of how snapshots are
//! stored or distributed. The format is described in `docs/OPERATIONS.md`.

mod diff;
mod edit;
mod line;
mod snapshot;

pub use diff::{Change, diff};
pub use edit::{drain, format, set_weights, undrain};
pub use line::{Error, Line, Problem};
pub use snapshot::{
    Account, Check, Digest, Drain, Policy, Priority, Release, Retention, Snapshot, key_digest,
};
