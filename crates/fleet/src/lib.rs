//! Decisions of an entry that talks to its targets directly.
//!
//! The crate knows which routes and keys are in force, which targets exist, how fresh that
//! knowledge is, how much of the shared allowances an entry may use, and where a prompt goes. It
//! does no I/O and knows neither header names nor the store's protocol; time is an argument. See
//! `docs/platform.md`.

pub mod allowance;
pub mod buffers;
pub mod catalog;
pub mod cell;
pub mod desk;
pub mod extent;
pub mod kept;
pub mod listing;
pub mod pace;
pub mod peers;
pub mod placement;
pub mod proof;
pub mod reach;
pub mod rollout;
pub mod roster;
pub mod stop;
pub mod waiting;
