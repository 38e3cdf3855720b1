//! An entry that talks to its targets directly: callers' connections, attempts, streams, the
//! platform's lists, and orders for new weights.
//!
//! Decisions are those of `fleet` and `control`; this crate carries them out. What the platform
//! says on the wire is behind [`Platform`]. See `docs/platform.md`.

mod adapter;
mod answer;
mod attempt;
pub mod buffer;
mod cache;
mod choose;
mod clock;
mod connection;
mod discovery;
mod dispatch;
mod feed;
mod gossip;
mod leader;
mod logging;
mod metrics;
mod orders;
pub mod packet;
mod reachability;
mod relay;
mod retry;
mod serve;
mod server;
mod settings;
mod shared;
pub mod sse;
mod supervisor;

pub use adapter::{
    Batch, Cache, Change, Codec, Envelope, Fetch, Head, List, Orders, Platform, Prompt, Rejection,
    Response, Segment, Source, Status, Updates,
};
pub use clock::now;
pub use logging::{Event, open as open_log};
pub use server::{Entry, Error, spawn};
pub use settings::{Bounds, Limits, Problem, Settings};
