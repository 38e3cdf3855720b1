//! Decides what a target may receive: its state, its cold-start ramp and its drain.
//!
//! The agent beside a target is the only process that talks to it, so the counts kept here are
//! exact. The crate does no I/O and knows nothing of sockets or engines. See `docs/design.md`,
//! section 5.4.

mod estimator;
mod gate;
mod queue;
mod team;

pub use estimator::Estimator;
pub use gate::{Decision, Gate, Limits, Outcome, Refusal};
pub use queue::Job;
pub use team::{Coordinator, Limiter, Rate, Throttle};
