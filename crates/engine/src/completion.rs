use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::{Attempt, Boot, Fence, Model, Weights};

/// A completion request to an engine.
#[derive(Debug, Clone, Serialize)]
pub struct Completion {
    /// Identifies the completion, to resume or cancel it.
    #[serde(serialize_with = "as_text")]
    pub request_id: Attempt,
    /// The model.
    pub model: Model,
    /// The complete conversation.
    pub prompt: Arc<str>,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The scheduling priority; requests with a greater one run earlier.
    pub priority: i32,
    /// Isolates the teams from each other in the engine's own prefix cache.
    pub cache_salt: String,
    /// The ids of the prompt's complete blocks.
    pub blocks: Vec<String>,
    /// Tokens that were generated already; the engine continues after them.
    pub delivered: Vec<Arc<str>>,
    /// Always true, since completions are streamed.
    pub stream: bool,
}

/// A chunk of a completion.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Chunk {
    /// The next token.
    Token {
        /// Its position in the completion, counted from 0.
        seq: u32,
        /// Its text.
        text: Arc<str>,
    },
    /// The end of the completion.
    End(Finish),
}

/// The end of a completion, with its token counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finish {
    /// The finish reason of the engine.
    pub reason: String,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the prompt that the engine found in its cache.
    pub cached: u32,
    /// Tokens that the engine generated.
    pub completion: u32,
}

/// The status that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Changes with every start and whenever the engine becomes cold again.
    pub boot: Boot,
    /// The model that it serves.
    pub model: Model,
    /// The weight version that it serves.
    pub weights: Weights,
    /// Running completions.
    pub running: u32,
    /// Queued completions.
    pub waiting: u32,
}

/// An order to an engine to load a weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing token; an engine that checks it refuses a smaller one than it has seen.
    pub fence: Fence,
    /// The weight version to load.
    pub weights: Weights,
}

fn as_text<Output>(attempt: &Attempt, output: Output) -> Result<Output::Ok, Output::Error>
where
    Output: serde::Serializer,
{
    output.collect_str(attempt)
}
