use std::fmt;

use types::{Model, Weights};

use crate::Secret;

/// The number of tokens per block.
pub const BLOCK_TOKENS: usize = 1024;
/// The maximum size of a block read from an engine or a store host, in bytes; a block of the
/// largest models is assumed to have 16 MiB (`docs/CAPACITY.md`).
pub const MAX_BLOCK_BYTES: usize = 64 << 20;

/// The id of a block, which can only be computed with the team's [`Secret`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id([u8; 32]);

/// A complete block of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Block {
    /// The id of the block.
    pub id: Id,
    /// The number of prompt tokens up to the end of this block.
    pub end: usize,
}

impl fmt::Debug for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Id({self})")
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from(self.0).to_hex())
    }
}

impl Id {
    /// Returns the id as bytes.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

/// Splits a prompt into tokens for the purpose of computing block ids.
///
/// Words are used instead of the engine's tokens: block ids only require a deterministic division
/// of the prompt.
pub fn tokenize(prompt: &str) -> impl Iterator<Item = &str> {
    prompt.split_whitespace()
}

/// Returns the complete blocks of a prompt as a hash chain: each id depends on all preceding
/// blocks.
#[must_use]
pub fn chain(secret: &Secret, model: &Model, weights: &Weights, prompt: &str) -> Vec<Block> {
    let tokens: Vec<&str> = tokenize(prompt).collect();
    let mut blocks: Vec<Block> = Vec::with_capacity(tokens.len() / BLOCK_TOKENS);
    for chunk in tokens.chunks_exact(BLOCK_TOKENS) {
        let mut hasher = secret.hasher();
        let parent = blocks.last().map_or([0; 32], |block| block.id.0);
        hasher.update(&parent);
        for part in [model.as_bytes(), weights.as_bytes()]
            .into_iter()
            .chain(chunk.iter().map(|token| token.as_bytes()))
        {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let end = (blocks.len() + 1) * BLOCK_TOKENS;
        blocks.push(Block {
            id: Id(*hasher.finalize().as_bytes()),
            end,
        });
    }
    blocks
}

/// Returns a digest of the first block, or of the entire prompt if it is shorter.
///
/// It identifies a conversation, because it does not change when text is appended.
#[must_use]
pub fn root_digest(secret: &Secret, model: &Model, prompt: &str) -> [u8; 32] {
    let mut hasher = secret.hasher();
    hasher.update(b"root");
    hasher.update(model.as_bytes());
    for token in tokenize(prompt).take(BLOCK_TOKENS) {
        hasher.update(&(token.len() as u64).to_le_bytes());
        hasher.update(token.as_bytes());
    }
    *hasher.finalize().as_bytes()
}
