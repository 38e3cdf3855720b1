use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::{Attempt, Boot, Fence, Model, Weights};

/// A prompt for an engine.
#[derive(Debug, Clone, Serialize)]
pub struct Completion {
    /// Identifies the completion to resume or cancel it.
    #[serde(serialize_with = "as_text")]
    pub request_id: Attempt,
    /// The model.
    pub model: Model,
    /// The whole conversation.
    pub prompt: Arc<str>,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// The greater, the earlier.
    pub priority: i32,
    /// Separates the teams in the engine's own prefix cache.
    pub cache_salt: String,
    /// The names of the prompt's full blocks.
    pub blocks: Vec<String>,
    /// Tokens of the answer that exist already; the engine continues behind them.
    pub delivered: Vec<Arc<str>>,
    /// Always true: answers are streamed.
    pub stream: bool,
}

/// A piece of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Chunk {
    /// The next token.
    Token {
        /// Its position in the answer, from 0.
        seq: u32,
        /// Its text.
        text: Arc<str>,
    },
    /// The end of the answer.
    End(Finish),
}

/// How an answer ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finish {
    /// Why the engine stopped.
    pub reason: String,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the prompt that the engine did not have to compute.
    pub cached: u32,
    /// Tokens of the answer.
    pub completion: u32,
}

/// What an engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Changes with every start and whenever the engine lost its warm-up.
    pub boot: Boot,
    /// The model that it serves.
    pub model: Model,
    /// The weight version that it serves.
    pub weights: Weights,
    /// Completions that run.
    pub running: u32,
    /// Completions that wait.
    pub waiting: u32,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// An engine that checks refuses a smaller number than it has seen.
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
