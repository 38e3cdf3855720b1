//! Capacities and timings of the simulated engines, store hosts and links.

use std::time::Duration;

/// Tokens in a block.
pub(crate) const BLOCK_TOKENS: u32 = context::BLOCK_TOKENS as u32;
/// The bytes of a block: 1,024 tokens of 16 KiB.
pub(crate) const BLOCK_BYTES: u64 = 16 << 20;
/// Time to transfer a block over the link of a store host: 5 GB/s, shared by fetches and exports.
pub(crate) const BLOCK_TRANSFER: Duration = Duration::from_micros(3_355);
/// Capacity of a store host, in blocks.
pub(crate) const STORE_BLOCKS: usize = 200_000;
/// KV memory of an engine, in blocks.
pub(crate) const ENGINE_BLOCKS: usize = 256;
/// Tokens that an engine prefills for one prompt before it continues with the next prompt.
pub(crate) const CHUNK_TOKENS: u32 = 512;
/// Interval between two tokens of an answer.
pub(crate) const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum concurrent requests of a cold engine; one more makes it lose its runs and its cache.
pub(crate) const COLD_LIMIT: u32 = 2;
/// Maximum concurrent requests of a warm engine.
pub(crate) const WARM_LIMIT: u32 = 16;
/// Number of completed prompts after which an engine is warm.
pub(crate) const WARM_AFTER: u32 = 8;
/// Network delay between an agent and its engine on the same host.
pub(crate) const LOCAL_DELAY: Duration = Duration::from_micros(100);
/// Time that an engine takes to load weights.
pub(crate) const WEIGHT_LOAD_TIME: Duration = Duration::from_secs(2);

/// Returns the time that an engine takes to prefill tokens of a prompt.
pub(crate) fn prefill_time(tokens: u32) -> Duration {
    Duration::from_micros(100) * tokens
}
