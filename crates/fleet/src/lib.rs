//! Decision logic of an entry: request placement, queueing, cache bookkeeping, weight rollout,
//! membership and gossip.
//!
//! The crate tracks the routes and keys in force, the known targets, the age of that knowledge and
//! the entry's share of the quotas common to all entries. It does no I/O, knows neither HTTP header
//! names nor the protocol of the platform's table store, and takes the time as an argument. See
//! `docs/platform.md`.

pub mod backfill;
pub mod backoff;
pub mod buffers;
pub mod builds;
pub mod cache;
pub mod callers;
pub mod catalog;
pub mod cell;
pub mod cold;
pub mod contact;
pub mod discovery;
pub mod dispatcher;
pub mod expiry;
pub mod freshness;
pub mod gossip;
pub mod lateness;
pub mod namespace;
pub mod placement;
pub mod prefill;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod reachability;
pub mod recording;
pub mod reserve;
pub mod restoration;
pub mod rollout;
pub mod roster;
pub mod shutdown;
pub mod stream;
