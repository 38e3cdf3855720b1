use std::time::Duration;

use futures_util::StreamExt;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, timeout};

use crate::Result;
use crate::caller::{Seen, ask, expected};
use crate::cluster::{Cluster, Options};
use crate::deployment::Deployment;

/// A small cluster with a relay in every link.
pub(super) struct Bench {
    pub(super) cluster: Cluster,
    http: reqwest::Client,
}

/// The reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Reply {
    pub(super) status: u16,
    pub(super) body: String,
    /// The `ran` field of a refusal, or nothing.
    pub(super) ran: String,
}

/// A streamed answer that is read step by step.
pub(super) struct Reading {
    response: reqwest::Response,
    pub(super) token: String,
    pub(super) text: String,
    pub(super) events: u32,
    pub(super) end: Option<Ended>,
    buffer: String,
}

/// How a stream ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Ended {
    Done,
    Refused(String),
    Broken,
}

/// How long a condition may take before a proof fails.
pub(super) const LONG: Duration = Duration::from_secs(30);

impl Bench {
    pub(super) async fn start(name: &str, folder: &std::path::Path) -> Result<Self> {
        let mut deployment = Deployment::open(name)?;
        (deployment.entries, deployment.engines) = (2, 3);
        (deployment.services, deployment.stores) = (2, 2);
        let options = Options {
            with_links: true,
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

    /// Sends a prompt through an entry and reads the whole stream.
    pub(super) async fn ask(&self, entry: usize, team: usize, prompt: &str) -> Result<Seen> {
        let (entry, model) = (self.cluster.entry(entry)?, &self.cluster.deployment.model);
        ask(&self.http, entry, &Cluster::key(team), model, prompt, 20).await
    }

    /// Sends a prompt until it is answered; fails unless the answer is whole.
    pub(super) async fn ask_whole(&self, team: usize, prompt: &str) -> Result<Seen> {
        let deadline = Instant::now() + LONG;
        loop {
            let seen = self.ask(0, team, prompt).await?;
            if seen.is_whole(prompt, 20) {
                return Ok(seen);
            }
            if seen.is_done || Instant::now() > deadline {
                return Err(format!("the answer is not whole: {seen:?}").into());
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends a call; the time limit is that of the caller.
    pub(super) async fn call(
        &self,
        entry: usize,
        key: Option<&str>,
        body: &str,
        limit_ms: u64,
    ) -> Result<Reply> {
        let service = &self.cluster.deployment.service;
        let entry = self.cluster.entry(entry)?;
        let url = format!("http://{entry}/v1/services/{service}/place");
        let mut request = self.http.post(url).bearer_auth(Cluster::key(0));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request.header("x-deadline-ms", limit_ms.to_string());
        let response = request.body(body.to_owned()).send().await?;
        let status = response.status().as_u16();
        let body = response.text().await?;
        let value: Value = serde_json::from_str(&body).unwrap_or_default();
        let ran = value["error"]["ran"].as_str().unwrap_or("").to_owned();
        Ok(Reply { status, body, ran })
    }

    /// Returns how often a call with this body was executed.
    pub(super) async fn runs(&self, body: &str) -> Result<usize> {
        let mut runs = 0;
        for service in &self.cluster.services {
            let log = self.cluster.log_of(service).await?;
            let list = log.as_array().ok_or("the log is no list")?;
            runs += list.iter().filter(|run| run["body"] == body).count();
        }
        Ok(runs)
    }

    /// Returns the sum of a count or list length in the logs of all engines.
    pub(super) async fn engines(&self, name: &str) -> Result<u64> {
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

    /// Waits until no agent has work.
    pub(super) async fn wait_idle(&self) -> Result<()> {
        let deadline = Instant::now() + LONG;
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

    /// Waits until something was executed that often.
    pub(super) async fn wait_runs(&self, body: &str, runs: usize) -> Result<()> {
        let deadline = Instant::now() + LONG;
        while self.runs(body).await? != runs {
            if Instant::now() > deadline {
                let seen = self.runs(body).await?;
                return Err(format!("{body} ran {seen} times, not {runs}").into());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Opens a streamed answer; tries again while targets are full.
    pub(super) async fn open(
        &self,
        entry: usize,
        team: usize,
        prompt: &str,
        tokens: u32,
    ) -> Result<Reading> {
        let body = json!({
            "model": self.cluster.deployment.model,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": tokens,
            "stream": true,
        });
        let url = format!("http://{}/v1/chat/completions", self.cluster.entry(entry)?);
        let deadline = Instant::now() + LONG;
        loop {
            let request = self.http.post(&url).bearer_auth(Cluster::key(team));
            let response = request.json(&body).send().await?;
            if response.status().is_success() {
                return Reading::new(response);
            }
            if Instant::now() > deadline {
                return Err(format!("no stream: {}", response.text().await?).into());
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Continues a streamed answer through an entry; returns the status of a refusal.
    pub(super) async fn resume(
        &self,
        entry: usize,
        team: usize,
        reading: &mut Reading,
    ) -> Result<u16> {
        let token = &reading.token;
        let url = format!("http://{}/v1/answers/{token}", self.cluster.entry(entry)?);
        let mut request = self.http.get(url).bearer_auth(Cluster::key(team));
        if let Some(last) = reading.events.checked_sub(1) {
            request = request.header("last-event-id", last.to_string());
        }
        let response = request.send().await?;
        let status = response.status().as_u16();
        if status == 200 {
            reading.response = response;
            reading.buffer.clear();
            reading.end = None;
        }
        Ok(status)
    }
}

impl Reading {
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

    /// Reads until that many events have come or the stream has ended.
    pub(super) async fn until(&mut self, events: u32) -> Result<()> {
        while self.events < events && self.end.is_none() {
            let piece = timeout(LONG, self.response.chunk()).await;
            let piece = piece.map_err(|_elapsed| "the stream was silent for 30 s")?;
            let Ok(Some(piece)) = piece else {
                self.end = Some(Ended::Broken);
                return Ok(());
            };
            self.buffer.push_str(std::str::from_utf8(&piece)?);
            while let Some(end) = self.buffer.find("\n\n") {
                let event: String = self.buffer.drain(..end + 2).collect();
                self.take(&event);
            }
        }
        Ok(())
    }

    fn take(&mut self, event: &str) {
        if event.contains("data: [DONE]") {
            self.end = Some(Ended::Done);
        }
        let data = event.lines().find_map(|line| line.strip_prefix("data: "));
        let value: Value = serde_json::from_str(data.unwrap_or("")).unwrap_or_default();
        if let Some(ran) = value["error"]["ran"].as_str() {
            self.end = Some(Ended::Refused(ran.to_owned()));
        }
        if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
            self.text.push_str(text);
            self.events += 1;
        }
    }

    /// Returns the position of the engine whose agent keeps the answer, which the token names.
    pub(super) fn engine(&self) -> Result<usize> {
        // The token is authenticated, not encrypted: its end is the agent's name in hex digits.
        let bytes: Vec<u8> = (0..self.token.len() / 2)
            .map(|at| u8::from_str_radix(&self.token[at * 2..at * 2 + 2], 16))
            .collect::<std::result::Result<_, _>>()?;
        let last = bytes.last().ok_or("the token is empty")?;
        Ok(usize::from(last - b'0'))
    }

    /// Fails unless the answer is whole.
    pub(super) fn check_whole(&self, prompt: &str, tokens: u32) -> Result<()> {
        if self.end == Some(Ended::Done) && self.text == expected(prompt, tokens) {
            return Ok(());
        }
        let (events, end) = (self.events, &self.end);
        let is_beginning = expected(prompt, tokens).starts_with(&self.text);
        Err(format!(
            "the answer is not whole: {events} of {tokens} tokens, end {end:?}, \
             a beginning of the right one: {is_beginning}"
        )
        .into())
    }
}

/// Reads all streams to their end.
pub(super) async fn read_all(readings: &mut [Reading]) -> Result<()> {
    let reads = readings.iter_mut().map(|reading| reading.until(u32::MAX));
    let mut reads: futures_util::stream::FuturesUnordered<_> = reads.collect();
    while let Some(read) = reads.next().await {
        read?;
    }
    Ok(())
}

/// Returns a prompt of that many words that nobody else uses.
pub(super) fn prompt(name: &str, words: usize) -> String {
    let nonce: u32 = rand::random();
    (0..words)
        .map(|word| format!("{name}-{nonce:08x}-{word}"))
        .collect::<Vec<_>>()
        .join(" ")
}

/// Fails with a message unless a condition holds.
pub(super) fn ensure(holds: bool, message: impl FnOnce() -> String) -> Result<()> {
    if holds { Ok(()) } else { Err(message().into()) }
}
