//! Names, identifiers and verdicts that every other crate shares.
//!
//! This crate knows nothing of any other one. See `docs/glossary.md` for the terms.

mod id;
mod name;
mod time;
mod verdict;

pub use id::{Attempt, Boot, Fence, Incarnation, Request, Version};
pub use name::{Call, Domain, Host, Model, Name, Region, Service, Store, Target, Team, Weights};
pub use time::Time;
pub use verdict::Verdict;
