//! Names, identifiers and execution verdicts that the other crates share.
//!
//! This crate depends on none of them. See `docs/glossary.md` for the terms.

mod id;
mod name;
mod revision;
mod time;
mod verdict;

pub use id::{Attempt, Boot, Fence, Incarnation, Request, Version};
pub use name::{
    Build, Call, Domain, Host, Model, Name, Region, Service, Store, Target, Team, Weights,
};
pub use revision::Revision;
pub use time::Time;
pub use verdict::Verdict;
