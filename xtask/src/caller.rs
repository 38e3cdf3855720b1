use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use serde_json::{Value, json};

use crate::Result;

/// What a caller saw of the answer to a prompt.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    pub(crate) text: String,
    pub(crate) first_token: Option<Duration>,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) is_done: bool,
    pub(crate) refusal: Option<Value>,
}

impl Seen {
    /// Says whether this is the whole answer that the stand-in gives to this prompt.
    pub(crate) fn is_whole(&self, prompt: &str, tokens: u32) -> bool {
        self.is_done && self.text == expected(prompt, tokens)
    }
}

/// Returns the answer of the stand-in, which depends only on the prompt.
pub(crate) fn expected(prompt: &str, tokens: u32) -> String {
    let hash = blake3::hash(format!("user: {prompt}\n").as_bytes());
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&hash.as_bytes()[..4]);
    let seed = u32::from_le_bytes(bytes);
    (0..tokens)
        .map(|seq| format!("w{seq}-{:08x} ", seed ^ seq))
        .collect()
}

/// Sends a prompt and reads the streamed answer.
pub(crate) async fn ask(
    http: &reqwest::Client,
    entry: SocketAddr,
    key: &str,
    model: &str,
    prompt: &str,
    tokens: u32,
) -> Result<Seen> {
    let body = json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": true,
    });
    let started = Instant::now();
    let url = format!("http://{entry}/v1/chat/completions");
    let response = http.post(url).bearer_auth(key).json(&body).send().await?;
    let mut seen = Seen::default();
    if !response.status().is_success() {
        seen.refusal = Some(response.json().await?);
        return Ok(seen);
    }
    let mut bytes = response.bytes_stream();
    let mut buffer = String::new();
    // A broken connection leaves the answer as it is: not done.
    while let Some(Ok(piece)) = bytes.next().await {
        buffer.push_str(std::str::from_utf8(&piece)?);
        while let Some(end) = buffer.find("\n\n") {
            let event: String = buffer.drain(..end + 2).collect();
            read_event(&event, started, &mut seen)?;
        }
    }
    Ok(seen)
}

fn read_event(event: &str, started: Instant, seen: &mut Seen) -> Result<()> {
    for line in event.lines() {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            seen.is_done = true;
            continue;
        }
        let value: Value = serde_json::from_str(data)?;
        if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
            seen.first_token.get_or_insert_with(|| started.elapsed());
            seen.text.push_str(text);
        }
        if let Some(prompt) = value["usage"]["prompt_tokens"].as_u64() {
            seen.prompt_tokens = prompt;
            seen.cached_tokens = value["usage"]["prompt_tokens_details"]["cached_tokens"]
                .as_u64()
                .unwrap_or(0);
        }
        if value.get("error").is_some() {
            seen.refusal = Some(value);
        }
    }
    Ok(())
}

/// Sends a call to a plain service.
pub(crate) async fn call(
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
