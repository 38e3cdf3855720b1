//! The operators' rules: a text file with one rule per line, each with a comment that names who
//! requested it.
//!
//! The crate parses and validates the text into a [`Snapshot`]; storing and distributing snapshots
//! is left to other crates. The format is described in `docs/OPERATIONS.md`.

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
