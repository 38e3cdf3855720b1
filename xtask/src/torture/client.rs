//! Simulated callers. As real callers do, they retry through other entries what may be retried.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

use crate::caller::expected_text;
use crate::cluster::Cluster;

/// The final outcome of a request for its caller.
#[derive(Debug, Clone)]
pub(crate) struct Outcome {
    pub(crate) round: u32,
    pub(crate) team: usize,
    pub(crate) payload: Payload,
    /// The `ran` field of each refusal, in order.
    pub(crate) refusals: Vec<String>,
    /// Attempts that ended without an answer or a refusal: index of the entry, and error.
    pub(crate) failed_attempts: Vec<(usize, String)>,
    pub(crate) end: End,
    /// Whether another team was able to fetch this caller's answer.
    pub(crate) is_leaked: bool,
}

/// The payload of a request.
#[derive(Debug, Clone)]
pub(crate) enum Payload {
    /// A prompt with the requested number of tokens, and the text received so far.
    Prompt {
        prompt: String,
        tokens: u32,
        text: String,
    },
    /// The unique body of a call.
    Call { body: String, has_key: bool },
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum End {
    /// An answer that was marked as complete; for a call its body.
    Answered(String),
    /// A refusal.
    Refused,
    /// Neither an answer nor a refusal.
    Nothing,
}

/// A client that knows the addresses of all entries.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    pub(crate) http: reqwest::Client,
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) model: String,
    pub(crate) service: String,
}

/// Timeout for a response and for the next event of a stream.
const EVENT_TIMEOUT: Duration = Duration::from_secs(12);
/// Total time during which a caller makes attempts.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(25);
/// Maximum attempts for a prompt, for resuming its stream, and for a call.
const MAX_ATTEMPTS: usize = 8;

enum Response {
    /// A complete answer that was not streamed.
    Whole(String),
    /// A stream, with its resume token.
    Stream(reqwest::Response, String),
    Refused(String),
    Broken(String),
    /// The connection failed, so the request was not sent.
    Unconnected,
}

impl Client {
    /// Sends a prompt, retrying until it is answered or the attempts or the time are used up.
    pub(crate) async fn prompt(
        &self,
        mut outcome: Outcome,
        entry: usize,
        is_streamed: bool,
        is_probed: bool,
    ) -> Outcome {
        let Payload::Prompt { prompt, tokens, .. } = outcome.payload.clone() else {
            return outcome;
        };
        let body = json!({
            "model": self.model,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": tokens,
            "stream": is_streamed,
        });
        let deadline = Instant::now() + TOTAL_TIMEOUT;
        let mut text = String::new();
        'attempts: for index in 0..MAX_ATTEMPTS {
            let entry = (entry + index) % self.entries.len();
            match self
                .post(
                    outcome.team,
                    entry,
                    "chat/completions",
                    None,
                    &body.to_string(),
                )
                .await
            {
                Response::Whole(body) => {
                    let body: Value = serde_json::from_str(&body).unwrap_or_default();
                    let content = body["choices"][0]["message"]["content"].as_str();
                    text = content.unwrap_or_default().to_owned();
                    outcome.end = End::Answered(String::new());
                    break;
                }
                Response::Stream(response, token) => {
                    text.clear();
                    let mut next = 0;
                    let mut current_entry = entry;
                    let mut stream = Some(response);
                    // After a break the stream is resumed through the next entry.
                    for _ in 0..MAX_ATTEMPTS {
                        let read = match stream.take() {
                            Some(response) => self.read(response, &mut text, &mut next).await,
                            None => Err("the answer could not be resumed".to_owned()),
                        };
                        match read {
                            Ok(None) => {
                                outcome.end = End::Answered(String::new());
                                outcome.is_leaked = is_probed
                                    && self.is_leaked(outcome.team, &token, current_entry).await;
                                break 'attempts;
                            }
                            Ok(Some(ran)) => {
                                outcome.refusals.push(ran);
                                outcome.end = End::Refused;
                            }
                            Err(problem) => {
                                outcome.failed_attempts.push((current_entry, problem));
                                outcome.end = End::Nothing;
                            }
                        }
                        if Instant::now() > deadline {
                            break 'attempts;
                        }
                        sleep(Duration::from_millis(200)).await;
                        current_entry = (current_entry + 1) % self.entries.len();
                        match self.resume(outcome.team, current_entry, &token, next).await {
                            Response::Stream(response, _) => stream = Some(response),
                            Response::Refused(ran) => {
                                outcome.refusals.push(ran);
                                outcome.end = End::Refused;
                            }
                            _ => {}
                        }
                    }
                    break;
                }
                Response::Refused(ran) => {
                    outcome.refusals.push(ran);
                    outcome.end = End::Refused;
                }
                Response::Broken(problem) => {
                    outcome.failed_attempts.push((entry, problem));
                    outcome.end = End::Nothing;
                }
                Response::Unconnected => {}
            }
            if Instant::now() > deadline {
                break;
            }
            sleep(Duration::from_millis(200)).await;
        }
        outcome.payload = Payload::Prompt {
            prompt,
            tokens,
            text,
        };
        outcome
    }

    /// Sends a call. After a failure that may have executed it, only a call with a key is retried.
    pub(crate) async fn call(
        &self,
        mut outcome: Outcome,
        entry: usize,
        key: Option<String>,
    ) -> Outcome {
        let Payload::Call { body, .. } = outcome.payload.clone() else {
            return outcome;
        };
        let path = format!("services/{}/place", self.service);
        for index in 0..MAX_ATTEMPTS {
            let entry = (entry + index) % self.entries.len();
            match self
                .post(outcome.team, entry, &path, key.as_deref(), &body)
                .await
            {
                Response::Whole(body) => {
                    outcome.end = End::Answered(body);
                    break;
                }
                Response::Refused(ran) => {
                    let is_final = key.is_none() || ran != "no";
                    outcome.refusals.push(ran);
                    outcome.end = End::Refused;
                    if is_final {
                        break;
                    }
                }
                Response::Stream(..) => {}
                Response::Broken(problem) => {
                    outcome.failed_attempts.push((entry, problem));
                    outcome.end = End::Nothing;
                    if key.is_none() {
                        break;
                    }
                }
                Response::Unconnected => {}
            }
            sleep(Duration::from_millis(150)).await;
        }
        outcome
    }

    async fn post(
        &self,
        team: usize,
        entry: usize,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Response {
        let url = format!("http://{}/v1/{path}", self.entries[entry]);
        let mut request = self.http.post(url).bearer_auth(Cluster::key(team));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request.header("x-deadline-ms", "10000");
        classify(timeout(EVENT_TIMEOUT, request.body(body.to_owned()).send()).await).await
    }

    async fn resume(&self, team: usize, entry: usize, token: &str, next: u32) -> Response {
        let url = format!("http://{}/v1/answers/{token}", self.entries[entry]);
        let mut request = self.http.get(url).bearer_auth(Cluster::key(team));
        if let Some(last) = next.checked_sub(1) {
            request = request.header("last-event-id", last.to_string());
        }
        classify(timeout(EVENT_TIMEOUT, request.send()).await).await
    }

    /// Reads a stream to its end; returns the `ran` field of a refusal.
    async fn read(
        &self,
        response: reqwest::Response,
        text: &mut String,
        next: &mut u32,
    ) -> Result<Option<String>, String> {
        let mut bytes = response.bytes_stream();
        let mut buffer = String::new();
        loop {
            let chunk = match timeout(EVENT_TIMEOUT, bytes.next()).await {
                Ok(Some(Ok(chunk))) => chunk,
                Ok(Some(Err(error))) => return Err(format!("stream: {error:?}")),
                Ok(None) => return Err("the stream ended without its last event".to_owned()),
                Err(_) => return Err("the stream sent nothing for 12 s".to_owned()),
            };
            buffer.push_str(&String::from_utf8_lossy(&chunk));
            while let Some(end) = buffer.find("\n\n") {
                let event: String = buffer.drain(..end + 2).collect();
                if event.contains("data: [DONE]") {
                    return Ok(None);
                }
                let data = event.lines().find_map(|line| line.strip_prefix("data: "));
                let value: Value = serde_json::from_str(data.unwrap_or("")).unwrap_or_default();
                if let Some(ran) = value["error"]["ran"].as_str() {
                    return Ok(Some(ran.to_owned()));
                }
                if let Some(content) = value["choices"][0]["delta"]["content"].as_str() {
                    text.push_str(content);
                    *next += 1;
                }
            }
        }
    }

    /// Returns whether another team can fetch the answer.
    async fn is_leaked(&self, team: usize, token: &str, entry: usize) -> bool {
        matches!(
            self.resume(team + 1, entry, token, 0).await,
            Response::Stream(..) | Response::Whole(_)
        )
    }
}

async fn classify(
    result: Result<Result<reqwest::Response, reqwest::Error>, tokio::time::error::Elapsed>,
) -> Response {
    let response = match result {
        Ok(Ok(response)) => response,
        Ok(Err(error)) if error.is_connect() => return Response::Unconnected,
        Ok(Err(error)) => return Response::Broken(format!("{error:?}")),
        Err(_) => return Response::Broken("no response within 12 s".to_owned()),
    };
    if response.status().is_success() {
        let token = response.headers().get("x-resume-token");
        if let Some(token) = token.and_then(|token| token.to_str().ok()) {
            let token = token.to_owned();
            return Response::Stream(response, token);
        }
        return match timeout(EVENT_TIMEOUT, response.text()).await {
            Ok(Ok(body)) => Response::Whole(body),
            Ok(Err(error)) => Response::Broken(format!("body: {error:?}")),
            Err(_) => Response::Broken("no body within 12 s".to_owned()),
        };
    }
    let status = response.status();
    let body = timeout(EVENT_TIMEOUT, response.json::<Value>()).await;
    match body.ok().and_then(Result::ok) {
        Some(body) if body["error"]["ran"].is_string() => {
            Response::Refused(body["error"]["ran"].as_str().unwrap_or("").to_owned())
        }
        _ => Response::Broken(format!("status {status} without a `ran` field")),
    }
}

/// Returns whether the text that a caller received is a prefix of the expected answer.
pub(crate) fn is_prefix(prompt: &str, tokens: u32, text: &str) -> bool {
    expected_text(prompt, tokens).starts_with(text)
}
