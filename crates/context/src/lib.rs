//! Kept context: how blocks are named, sealed and verified.
//!
//! A block that is foreign, stale, freed or half written never matches its name or its checksum,
//! so it is a cache miss. The crate does no I/O and knows nothing of sockets or store protocols.
//! See `docs/design.md`, section 5.3.

mod block;
mod envelope;
mod scheduler;
mod secret;

pub use block::{BLOCK_TOKENS, Block, Id, MAX_BLOCK_BYTES, chain, root_digest, tokenize};
pub use envelope::{Envelope, Miss};
pub use scheduler::{Capacity, Class, Scheduler};
pub use secret::Secret;
