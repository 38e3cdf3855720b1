//! An entry that talks to its targets directly: callers' connections, attempts, streams, the
//! platform's lists, and orders for new weights.
//!
//! Decisions are those of `fleet` and `control`; this crate carries them out. What the platform
//! says on the wire is behind [`Platform`]. See `docs/platform.md`.

mod answer;
mod attempt;
mod border;
mod choose;
mod clock;
mod connection;
pub mod events;
mod follow;
mod guard;
pub mod intake;
mod journal;
mod lead;
mod listing;
mod metrics;
mod orders;
pub mod packet;
mod placing;
mod reach;
mod relay;
mod serve;
mod server;
mod settings;
mod shared;
mod shelf;
mod talk;
mod tries;

pub use border::{
    Answer, Ask, Batch, Change, Dialect, Fault, Fetch, List, News, Orders, Part, Platform, Prompt,
    Send, Shelves, Source, State,
};
pub use clock::now;
pub use journal::{Event, open as open_journal};
pub use server::{Entry, Error, spawn};
pub use settings::{Bounds, Limits, Problem, Settings};
