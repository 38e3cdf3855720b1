use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use serde_json::{Value, json};

use crate::Result;

/// The answer to a prompt as its caller received it.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    pub(crate) text: String,
    pub(crate) first_token: Option<Duration>,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) is_done: bool,
    pub(crate) refusal: Option<Value>,
}

impl Answer {
    /// Returns whether this is the complete answer that the stand-in generates for this prompt.
    pub(crate) fn is_complete(&self, prompt: &str, tokens: u32) -> bool {
        self.is_done && self.text == expected_text(prompt, tokens)
    }
}

/// Returns the text that the stand-in generates, which depends only on the prompt.
pub(crate) fn expected_text(prompt: &str, tokens: u32) -> String {
    let hash = blake3::hash(format!("user: {prompt}\n").as_bytes());
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&hash.as_bytes()[..4]);
    let seed = u32::from_le_bytes(bytes);
    (0..tokens)
        .map(|seq| format!("w{seq}-{:08x} ", seed ^ seq))
        .collect()
}

/// Sends a prompt and reads the streamed answer to its end.
pub(crate) async fn send_prompt(
    http: &reqwest::Client,
    entry: SocketAddr,
    key: &str,
    model: &str,
    prompt: &str,
    tokens: u32,
) -> Result<Answer> {
    let body = json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": true,
    });
    let start = Instant::now();
    let url = format!("http://{entry}/v1/chat/completions");
    let response = http.post(url).bearer_auth(key).json(&body).send().await?;
    let mut answer = Answer::default();
    if !response.status().is_success() {
        answer.refusal = Some(response.json().await?);
        return Ok(answer);
    }
    let mut bytes = response.bytes_stream();
    let mut buffer = String::new();
    // If the connection breaks, `is_done` remains false.
    while let Some(Ok(chunk)) = bytes.next().await {
        buffer.push_str(std::str::from_utf8(&chunk)?);
        while let Some(end) = buffer.find("\n\n") {
            let event: String = buffer.drain(..end + 2).collect();
            read_event(&event, start, &mut answer)?;
        }
    }
    Ok(answer)
}

fn read_event(event: &str, start: Instant, answer: &mut Answer) -> Result<()> {
    for line in event.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            answer.is_done = true;
            continue;
        }
        let value: Value = serde_json::from_str(data)?;
        if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
            answer.first_token.get_or_insert_with(|| start.elapsed());
            answer.text.push_str(text);
        }
        if let Some(prompt) = value["usage"]["prompt_tokens"].as_u64() {
            answer.prompt_tokens = prompt;
            answer.cached_tokens = value["usage"]["prompt_tokens_details"]["cached_tokens"]
                .as_u64()
                .unwrap_or(0);
        }
        if value.get("error").is_some() {
            answer.refusal = Some(value);
        }
    }
    Ok(())
}

/// Sends a call to a plain service.
pub(crate) async fn send_call(
    http: &reqwest::Client,
    entry: SocketAddr,
    key: &str,
    path: &str,
    idempotency_key: Option<&str>,
    body: &str,
) -> Result<(u16, String)> {
    let url = format!("http://{entry}/v1/services/{path}");
    let mut request = http.post(url).bearer_auth(key).body(body.to_owned());
    if let Some(idempotency_key) = idempotency_key {
        request = request.header("idempotency-key", idempotency_key);
    }
    let response = request.send().await?;
    Ok((response.status().as_u16(), response.text().await?))
}
