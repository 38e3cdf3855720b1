//! The entry process: accepts requests from callers, forwards them to targets over its own
//! connections, watches the platform's lists, and orders targets to update their weights.
//!
//! The decisions are made in `fleet` and `control`; this crate does the I/O for them. The protocol
//! of the platform is implemented behind [`Platform`]. See `docs/platform.md`.

mod adapter;
mod answer;
mod attempt;
pub mod buffer;
mod builds;
mod cache;
mod caller;
mod callers;
mod choose;
mod clock;
mod cold;
mod connection;
mod discovery;
mod dispatch;
mod feed;
mod fingerprint;
mod framing;
mod gossip;
mod in_flight;
mod lag;
mod leader;
mod logging;
mod metrics;
mod orders;
pub mod packet;
mod quarantine;
mod reachability;
mod relay;
mod restoration;
mod retry;
mod serve;
mod server;
mod settings;
mod shared;
mod shutdown;
mod signal;
pub mod sse;
mod supervisor;
mod wait;
mod weights;

pub use adapter::{
    Batch, Cache, Change, Codec, Envelope, Fetch, Head, List, Orders, Platform, Prompt, Rejection,
    Response, Segment, Source, Status, Updates,
};
pub use clock::now;
pub use logging::{Event, open as open_log};
pub use server::{Entry, Error, spawn};
pub use settings::{Bounds, Limits, Problem, Scheduling, Settings};
