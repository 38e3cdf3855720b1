//! What the simulated engines, stores and links can do.

use std::time::Duration;

/// Tokens in a block.
pub(crate) const BLOCK_TOKENS: u32 = context::BLOCK_TOKENS as u32;
/// The bytes of a block: 1,024 tokens of 16 KiB.
pub(crate) const BLOCK_BYTES: u64 = 16 << 20;
/// The time that a store's link takes for a block; 5 GB/s, shared by fetches and exports.
pub(crate) const BLOCK_TRANSFER: Duration = Duration::from_micros(3_355);
/// Blocks that a store holds.
pub(crate) const STORE_BLOCKS: usize = 200_000;
/// Blocks that an engine holds in its own memory.
pub(crate) const ENGINE_BLOCKS: usize = 256;
/// Tokens of a prompt that an engine computes before it turns to the next prompt.
pub(crate) const CHUNK_TOKENS: u32 = 512;
/// The time between two tokens of an answer.
pub(crate) const TOKEN: Duration = Duration::from_millis(10);
/// Requests that a cold engine bears; one more and it loses everything.
pub(crate) const COLD_LIMIT: u32 = 2;
/// Requests that a warm engine runs at the same time.
pub(crate) const WARM_LIMIT: u32 = 16;
/// Prompts that warm an engine up.
pub(crate) const WARM_AFTER: u32 = 8;
/// The time from an agent to the engine beside it.
pub(crate) const LOCAL: Duration = Duration::from_micros(100);
/// The time that an engine takes to load weights.
pub(crate) const WEIGHT_LOAD: Duration = Duration::from_secs(2);

/// The time that an engine takes to compute tokens of a prompt.
pub(crate) fn compute(tokens: u32) -> Duration {
    Duration::from_micros(100) * tokens
}
