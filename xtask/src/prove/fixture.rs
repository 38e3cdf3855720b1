use std::time::Duration;

use futures_util::StreamExt;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

use crate::Result;
use crate::caller::{Answer, expected_text, send_prompt};
use crate::cluster::{Cluster, Options};
use crate::deployment::Deployment;

/// A small cluster with a relay in every link, and a client that never reuses connections.
pub(super) struct Fixture {
    pub(super) cluster: Cluster,
    http: reqwest::Client,
}

/// The reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Reply {
    pub(super) status: u16,
    pub(super) body: String,
    /// The `ran` field of a refusal, else empty.
    pub(super) ran: String,
}

/// A streamed answer that is read incrementally.
pub(super) struct Stream {
    response: reqwest::Response,
    pub(super) token: String,
    pub(super) text: String,
    pub(super) events: u32,
    pub(super) end: Option<End>,
    buffer: String,
}

/// How a stream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum End {
    Done,
    Refused(String),
    Broken,
}

/// Timeout of each condition that a test waits for.
pub(super) const TIMEOUT: Duration = Duration::from_secs(30);

impl Fixture {
    pub(super) async fn start(name: &str, folder: &std::path::Path) -> Result<Self> {
        let mut deployment = Deployment::open(name)?;
        (deployment.entries, deployment.engines) = (2, 3);
        (deployment.services, deployment.stores) = (2, 2);
        let options = Options {
            with_links: true,
            service: vec!["--call-ms".to_owned(), "150".to_owned()],
            ..Options::default()
        };
        Ok(Self {
            cluster: Cluster::start_with(deployment, folder, options).await?,
            http: reqwest::Client::builder()
                .no_proxy()
                .pool_max_idle_per_host(0)
                .retry(reqwest::retry::never())
                .build()?,
        })
    }

    /// Sends a prompt through an entry and reads the stream to its end.
    pub(super) async fn send_prompt(
        &self,
        entry: usize,
        team: usize,
        prompt: &str,
    ) -> Result<Answer> {
        let (entry, model) = (self.cluster.entry(entry)?, &self.cluster.deployment.model);
        send_prompt(&self.http, entry, &Cluster::key(team), model, prompt, 20).await
    }

    /// Sends a prompt, retrying until it is answered; fails unless the answer is complete.
    pub(super) async fn prompt_until_complete(&self, team: usize, prompt: &str) -> Result<Answer> {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let answer = self.send_prompt(0, team, prompt).await?;
            if answer.is_complete(prompt, 20) {
                return Ok(answer);
            }
            if answer.is_done || Instant::now() > deadline {
                return Err(format!("the answer is incomplete or wrong: {answer:?}").into());
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a call with the caller's deadline.
    pub(super) async fn call(
        &self,
        entry: usize,
        key: Option<&str>,
        body: &str,
        deadline_ms: u64,
    ) -> Result<Reply> {
        let service = &self.cluster.deployment.service;
        let entry = self.cluster.entry(entry)?;
        let url = format!("http://{entry}/v1/services/{service}/place");
        let mut request = self.http.post(url).bearer_auth(Cluster::key(0));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request.header("x-deadline-ms", deadline_ms.to_string());
        let response = request.body(body.to_owned()).send().await?;
        let status = response.status().as_u16();
        let body = response.text().await?;
        let value: Value = serde_json::from_str(&body).unwrap_or_default();
        let ran = value["error"]["ran"].as_str().unwrap_or("").to_owned();
        Ok(Reply { status, body, ran })
    }

    /// Returns how many times a call with this body was executed.
    pub(super) async fn executions(&self, body: &str) -> Result<usize> {
        let mut executions = 0;
        for service in &self.cluster.services {
            let log = self.cluster.log_of(service).await?;
            let list = log.as_array().ok_or("the log is not a list")?;
            executions += list.iter().filter(|run| run["body"] == body).count();
        }
        Ok(executions)
    }

    /// Returns the sum over all engine logs of a counter or of the length of a list.
    pub(super) async fn engine_log_sum(&self, name: &str) -> Result<u64> {
        let mut sum = 0;
        for engine in &self.cluster.engines {
            let value = &self.cluster.log_of(engine).await?[name];
            sum += value
                .as_u64()
                .or(value.as_array().map(|list| list.len() as u64))
                .ok_or("the log lacks a count")?;
        }
        Ok(sum)
    }

    /// Waits until no agent has requests in flight.
    pub(super) async fn wait_idle(&self) -> Result<()> {
        let deadline = Instant::now() + TIMEOUT;
        for agent in &self.cluster.agents {
            while self.cluster.status_of(agent).await?["in_flight"] != 0 {
                if Instant::now() > deadline {
                    return Err(format!("{} is not idle after 30 s", agent.name).into());
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Waits until a call with this body was executed this many times.
    pub(super) async fn wait_executions(&self, body: &str, executions: usize) -> Result<()> {
        let deadline = Instant::now() + TIMEOUT;
        while self.executions(body).await? != executions {
            if Instant::now() > deadline {
                let count = self.executions(body).await?;
                return Err(format!("{body} ran {count} times, not {executions}").into());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Opens a streamed answer, retrying while targets are at their limits.
    pub(super) async fn open(
        &self,
        entry: usize,
        team: usize,
        prompt: &str,
        tokens: u32,
    ) -> Result<Stream> {
        let body = json!({
            "model": self.cluster.deployment.model,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": tokens,
            "stream": true,
        });
        let url = format!("http://{}/v1/chat/completions", self.cluster.entry(entry)?);
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let request = self.http.post(&url).bearer_auth(Cluster::key(team));
            let response = request.json(&body).send().await?;
            if response.status().is_success() {
                return Stream::new(response);
            }
            if Instant::now() > deadline {
                return Err(format!(
                    "the prompt was refused for 30 s: {}",
                    response.text().await?
                )
                .into());
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Resumes a streamed answer through an entry; returns the HTTP status.
    pub(super) async fn resume(
        &self,
        entry: usize,
        team: usize,
        stream: &mut Stream,
    ) -> Result<u16> {
        let token = &stream.token;
        let url = format!("http://{}/v1/answers/{token}", self.cluster.entry(entry)?);
        let mut request = self.http.get(url).bearer_auth(Cluster::key(team));
        if let Some(last) = stream.events.checked_sub(1) {
            request = request.header("last-event-id", last.to_string());
        }
        let response = request.send().await?;
        let status = response.status().as_u16();
        if status == 200 {
            stream.response = response;
            stream.buffer.clear();
            stream.end = None;
        }
        Ok(status)
    }
}

impl Stream {
    fn new(response: reqwest::Response) -> Result<Self> {
        let token = response.headers().get("x-resume-token");
        let token = token.ok_or("no resume token")?.to_str()?.to_owned();
        Ok(Self {
            response,
            token,
            text: String::new(),
            events: 0,
            end: None,
            buffer: String::new(),
        })
    }

    /// Reads until this many tokens have been received or the stream has ended.
    pub(super) async fn read_until(&mut self, events: u32) -> Result<()> {
        while self.events < events && self.end.is_none() {
            let chunk = timeout(TIMEOUT, self.response.chunk()).await;
            let chunk = chunk.map_err(|_elapsed| "the stream sent nothing for 30 s")?;
            let Ok(Some(chunk)) = chunk else {
                self.end = Some(End::Broken);
                return Ok(());
            };
            self.buffer.push_str(std::str::from_utf8(&chunk)?);
            while let Some(end) = self.buffer.find("\n\n") {
                let event: String = self.buffer.drain(..end + 2).collect();
                self.parse_event(&event);
            }
        }
        Ok(())
    }

    fn parse_event(&mut self, event: &str) {
        if event.contains("data: [DONE]") {
            self.end = Some(End::Done);
        }
        let data = event.lines().find_map(|line| line.strip_prefix("data: "));
        let value: Value = serde_json::from_str(data.unwrap_or("")).unwrap_or_default();
        if let Some(ran) = value["error"]["ran"].as_str() {
            self.end = Some(End::Refused(ran.to_owned()));
        }
        if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
            self.text.push_str(text);
            self.events += 1;
        }
    }

    /// Returns the index of the engine whose agent holds the answer, from the resume token.
    pub(super) fn engine_index(&self) -> Result<usize> {
        // The token is authenticated, not encrypted: it ends with the agent's name in hex digits.
        let bytes: Vec<u8> = (0..self.token.len() / 2)
            .map(|at| u8::from_str_radix(&self.token[at * 2..at * 2 + 2], 16))
            .collect::<std::result::Result<_, _>>()?;
        let last = bytes.last().ok_or("the token is empty")?;
        Ok(usize::from(last - b'0'))
    }

    /// Fails unless the answer is complete and correct.
    pub(super) fn check_complete(&self, prompt: &str, tokens: u32) -> Result<()> {
        if self.end == Some(End::Done) && self.text == expected_text(prompt, tokens) {
            return Ok(());
        }
        let (events, end) = (self.events, &self.end);
        let is_prefix = expected_text(prompt, tokens).starts_with(&self.text);
        Err(format!(
            "the answer is incomplete or wrong: {events} of {tokens} tokens, end {end:?}, \
             a prefix of the expected answer: {is_prefix}"
        )
        .into())
    }
}

/// Reads all streams to their end.
pub(super) async fn read_all(streams: &mut [Stream]) -> Result<()> {
    let reads = streams.iter_mut().map(|stream| stream.read_until(u32::MAX));
    let mut reads: futures_util::stream::FuturesUnordered<_> = reads.collect();
    while let Some(read) = reads.next().await {
        read?;
    }
    Ok(())
}

/// Returns a unique prompt of this many words.
pub(super) fn prompt(name: &str, words: usize) -> String {
    let nonce: u32 = rand::random();
    (0..words)
        .map(|word| format!("{name}-{nonce:08x}-{word}"))
        .collect::<Vec<_>>()
        .join(" ")
}

/// Fails with the message unless the condition holds.
pub(super) fn ensure(holds: bool, message: impl FnOnce() -> String) -> Result<()> {
    if holds { Ok(()) } else { Err(message().into()) }
}
