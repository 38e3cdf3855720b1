//! Identification, sealing and verification of cached KV blocks.
//!
//! A block that is foreign, stale, freed or partially written never matches its id or its checksum,
//! so it is a cache miss. The crate performs no I/O and does not depend on sockets or store
//! protocols. See `docs/design.md`, section 5.3.

mod block;
mod envelope;
mod scheduler;
mod secret;

pub use block::{BLOCK_TOKENS, Block, Id, MAX_BLOCK_BYTES, chain, root_digest, tokenize};
pub use envelope::{Envelope, Error};
pub use scheduler::{Capacity, Class, Scheduler};
pub use secret::Secret;
