//! Decisions of an entry that talks to its targets directly.
//!
//! The crate knows which routes and keys are in force, which targets exist, how fresh that
//! knowledge is, how much of the shared allowances an entry may use, and where a prompt goes. It
//! does no I/O and knows neither header names nor the store's protocol; time is an argument. See
//! `docs/platform.md`.

pub mod buffers;
pub mod cache;
pub mod catalog;
pub mod cell;
pub mod discovery;
pub mod dispatcher;
pub mod freshness;
pub mod gossip;
pub mod placement;
pub mod prefill;
pub mod queue;
pub mod quota;
pub mod reachability;
pub mod rollout;
pub mod roster;
pub mod shutdown;
pub mod stream;
