//! Admission control for a target (state, cold-start ramp, drain, fair queue) and per-team rate
//! limiting.
//!
//! The agent is the only process that communicates with its target, so the counts kept here are
//! exact. The crate performs no I/O and does not depend on sockets or engines. See
//! `docs/design.md`, section 5.4.

mod estimator;
mod gate;
mod limiter;
mod queue;

pub use estimator::Estimator;
pub use gate::{Decision, Gate, Limits, Outcome, Refusal};
pub use limiter::{Coordinator, Limiter, Rate, Throttle};
pub use queue::Job;
