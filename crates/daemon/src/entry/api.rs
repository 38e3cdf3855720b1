use std::io::Write;

use serde::{Deserialize, Serialize};
use serde_json::json;
use types::{Model, Request, Verdict};
use wire::{Reason, Usage};

/// A request of the chat completions API; unknown fields are ignored, as its clients expect.
#[derive(Debug, Deserialize)]
pub(super) struct Chat {
    pub(super) model: Model,
    pub(super) messages: Vec<Message>,
    #[serde(default = "default_max_tokens")]
    pub(super) max_tokens: u32,
    #[serde(default)]
    pub(super) stream: bool,
}

/// A message of a conversation.
#[derive(Debug, Deserialize)]
pub(super) struct Message {
    pub(super) role: String,
    pub(super) content: String,
}

/// A refusal as it is returned to a caller.
#[derive(Debug, Clone)]
pub(super) struct Refusal {
    pub(super) status: u16,
    pub(super) kind: &'static str,
    pub(super) message: String,
    pub(super) verdict: Verdict,
    pub(super) retry_after_ms: Option<u32>,
}

#[derive(Serialize)]
struct Detail<'text> {
    #[serde(rename = "type")]
    kind: &'static str,
    message: &'text str,
    ran: &'static str,
}

#[derive(Serialize)]
struct Body<'text> {
    error: Detail<'text>,
}

/// The maximum number of tokens of a completion if the caller does not set one.
fn default_max_tokens() -> u32 {
    256
}

/// The greatest `max_tokens` that a caller can set.
const MAX_TOKENS: u32 = 131_072;

impl Chat {
    /// Checks what the types do not; returns what is wrong.
    pub(super) fn find_problem(&self) -> Option<&'static str> {
        if self.messages.is_empty() {
            return Some("messages: at least one message is needed");
        }
        if self.max_tokens == 0 || self.max_tokens > MAX_TOKENS {
            return Some("max_tokens: accepted is a whole number from 1 to 131072");
        }
        None
    }

    /// Returns the number of tokens that no earlier request computed: those of the messages after the
    /// last completion, and those before them that fill no whole block, on average half a block.
    pub(super) fn uncached_tokens(&self) -> u32 {
        let last_completion = self
            .messages
            .iter()
            .rposition(|message| message.role == "assistant");
        let uncached = &self.messages[last_completion.map_or(0, |index| index + 1)..];
        let tokens: usize = uncached
            .iter()
            .map(|message| context::tokenize(&message.content).count())
            .sum();
        let partial_block = last_completion.map_or(0, |_| context::BLOCK_TOKENS / 2);
        u32::try_from(tokens + partial_block).unwrap_or(u32::MAX)
    }

    /// Joins the messages into the text that the model continues.
    pub(super) fn prompt(&self) -> String {
        let mut text = String::new();
        for message in &self.messages {
            text.push_str(&message.role);
            text.push_str(": ");
            text.push_str(&message.content);
            text.push('\n');
        }
        text
    }
}

impl Refusal {
    /// An error of the caller; nothing was run.
    pub(super) fn caller(status: u16, kind: &'static str, message: &str) -> Self {
        Self {
            status,
            kind,
            message: message.to_owned(),
            verdict: Verdict::NotRun,
            retry_after_ms: None,
        }
    }

    /// A refusal for a reason inside the system.
    pub(super) fn system(reason: Reason, verdict: Verdict, retry_after_ms: u32) -> Self {
        let (status, kind, message) = match reason {
            Reason::Full | Reason::Slow => {
                (503, "overloaded", "all targets have as much as they bear")
            }
            Reason::Leaving => (503, "unavailable", "the targets are leaving"),
            Reason::Unavailable => (503, "unavailable", "no target answers"),
            Reason::WrongTarget => (503, "unavailable", "no target serves this at the moment"),
            Reason::Deadline => (504, "deadline", "the deadline passed"),
            Reason::Platform => (
                503,
                "unavailable",
                "the idempotency key cannot be claimed now",
            ),
            Reason::InDoubt => (
                409,
                "in_doubt",
                "an earlier request with this key may have run",
            ),
            Reason::Unknown => (404, "unknown", "there is no such answer"),
            Reason::Isolated => (503, "unavailable", "this process is cut off"),
            Reason::Mismatch => (
                422,
                "key_reused",
                "the idempotency key was used for another call or body",
            ),
            Reason::Invalid => (422, "invalid", "the request cannot be accepted"),
        };
        let retry_after_ms = (status == 503).then_some(retry_after_ms);
        Self {
            status,
            kind,
            message: message.to_owned(),
            verdict,
            retry_after_ms,
        }
    }

    /// Returns the JSON body of the response.
    pub(super) fn body(&self) -> String {
        let detail = Detail {
            kind: self.kind,
            message: &self.message,
            ran: self.verdict.as_ran(),
        };
        serde_json::to_string(&Body { error: detail }).unwrap_or_default()
    }
}

/// Encodes the events of a streamed completion.
///
/// Only the text differs between the events of a completion, so the rest is formatted once.
#[derive(Debug)]
pub(super) struct Encoder {
    prefix: String,
}

const CHUNK_TAIL: &[u8] = b"},\"finish_reason\":null}]}\n\n";

impl Encoder {
    pub(super) fn new(request: Request, model: &Model) -> Self {
        let model = serde_json::Value::from(&**model);
        Self {
            prefix: format!(
                "{{\"id\":\"chatcmpl-{request}\",\"object\":\"chat.completion.chunk\",\
                 \"model\":{model},\"choices\":[{{\"index\":0,\"delta\":{{\"content\":"
            ),
        }
    }

    /// Appends the event with this number.
    pub(super) fn write(&self, seq: u32, text: &str, out: &mut Vec<u8>) {
        // Writing to a `Vec` does not fail.
        let _ = write!(out, "id: {seq}\ndata: {}", self.prefix);
        let _ = serde_json::to_writer(&mut *out, text);
        out.extend_from_slice(CHUNK_TAIL);
    }
}

/// Returns the last event of a streamed completion.
pub(super) fn last_chunk(request: Request, model: &Model, finish: &str, usage: Usage) -> String {
    json!({
        "id": format!("chatcmpl-{request}"),
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{ "index": 0, "delta": {}, "finish_reason": finish }],
        "usage": usage_json(usage),
    })
    .to_string()
}

/// Returns the body of a completion that is not streamed.
pub(super) fn completion(
    request: Request,
    model: &Model,
    text: &str,
    finish: &str,
    usage: Usage,
) -> String {
    json!({
        "id": format!("chatcmpl-{request}"),
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": finish,
        }],
        "usage": usage_json(usage),
    })
    .to_string()
}

fn usage_json(usage: Usage) -> serde_json::Value {
    json!({
        "prompt_tokens": usage.prompt,
        "completion_tokens": usage.completion,
        "total_tokens": usage.prompt + usage.completion,
        "prompt_tokens_details": { "cached_tokens": usage.reused },
    })
}
