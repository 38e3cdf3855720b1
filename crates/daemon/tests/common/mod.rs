//! A deployment in one process: real entries and agents, with fakes of the platform, services and
//! engines.

#![allow(dead_code, reason = "each test file uses a part of this")]

pub mod fake;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use daemon::agent::{self, Agent};
use daemon::control;
use daemon::entry::{self, Entry};
use daemon::metrics::Metrics;
use daemon::settings::Settings;
use platform::config::{Record, propose};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};
use types::Version;
use wire::{Frame, Listener};

use fake::Platform;

/// How long [`until`] waits for its condition.
const TIMEOUT: Duration = Duration::from_secs(20);

pub struct Cluster {
    pub platform: Platform,
    pub http: reqwest::Client,
    pub entries: Vec<Entry>,
}

/// An agent in a runtime of its own, so that a test can kill it.
pub struct Process {
    pub agent: Option<Agent>,
    runtime: Option<tokio::runtime::Runtime>,
}

impl Process {
    pub async fn start(settings: Settings) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let agent = runtime
            .spawn(async move { agent::spawn(&settings).await.unwrap() })
            .await
            .unwrap();
        Self {
            agent: Some(agent),
            runtime: Some(runtime),
        }
    }

    pub fn kill(&mut self) {
        self.runtime.take().unwrap().shutdown_background();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Cluster {
    /// Starts the platform with rules for the teams `a` and `b`, and two entries.
    pub async fn start() -> Self {
        let platform = Platform::start().await;
        let text = format!(
            "team a key={} rate=1000 # test: a\nteam b key={} rate=1000 # test: b\nmodel m weights=v1 # test: m\nservice s repeatable=look # test: s\n",
            hex(&rules::key_digest("key-a")),
            hex(&rules::key_digest("key-b")),
        );
        let record = Record {
            version: Version(0),
            change: "1".into(),
            who: "test".into(),
            why: "test".into(),
            when: 0,
            digest: String::new(),
        };
        // A proposal that timed out may be repeated: the change id tells whether it took effect.
        let client = platform.client();
        until("the rules are accepted", async || {
            let proposed = propose(&client, Version(0), &text, record.clone());
            proposed.await.is_ok()
        })
        .await;
        let mut entries = Vec::new();
        for name in ["entry-0", "entry-1"] {
            let role = json!({ "entry": { "http_address": "127.0.0.1:0" } });
            entries.push(
                entry::spawn(&settings(&platform, name, &role))
                    .await
                    .unwrap(),
            );
        }
        Self {
            platform,
            http: reqwest::Client::new(),
            entries,
        }
    }

    pub async fn service(&self, name: &str, address: SocketAddr) -> Process {
        let role = json!({ "service": { "target": name, "service": "s", "address": format!("http://{address}"), "limit": 64 } });
        Process::start(settings(&self.platform, name, &role)).await
    }

    pub async fn engine(&self, name: &str, address: SocketAddr) -> Process {
        let role = json!({ "engine": { "target": name, "model": "m", "address": format!("http://{address}"),
            "cold_limit": 8, "warm_limit": 64 } });
        Process::start(settings(&self.platform, name, &role)).await
    }

    /// Starts a member that responds to the first frame of each stream with the frames of the script
    /// and then ends the stream; returns the frames that it receives.
    ///
    /// It runs a real control part: a member that does not gossip is soon suspected, and no request
    /// is sent to it.
    pub async fn scripted<Script>(&self, mut script: Script) -> Arc<Mutex<Vec<Frame>>>
    where
        Script: FnMut(Frame) -> Vec<Frame> + Send + 'static,
    {
        let role = json!({ "engine": { "target": "x", "model": "m", "address": "http://127.0.0.1:1",
            "cold_limit": 1, "warm_limit": 1 } });
        let settings = settings(&self.platform, "scripted", &role);
        let mut listener = Listener::bind(settings.peer_address, settings.keys())
            .await
            .unwrap();
        let view = control::spawn(&settings, listener.address(), Metrics::new()).unwrap();
        let received: Arc<Mutex<Vec<Frame>>> = Arc::default();
        let frames = Arc::clone(&received);
        tokio::spawn(async move {
            while let Some(mut stream) = listener.accept().await {
                let Ok(Some(frame)) = stream.receiver.recv().await else {
                    continue;
                };
                if let Frame::Control(message) = frame {
                    view.serve(message, &mut stream).await;
                    continue;
                }
                frames.lock().unwrap().push(frame.clone());
                stream.sender.send_all(&script(frame)).await.unwrap();
                stream.sender.finish();
            }
        });
        self.ready(&["scripted"], &[]).await;
        received
    }

    /// Waits until both entries know these members and the agents accept work.
    pub async fn ready(&self, members: &[&str], agents: &[&Process]) {
        for entry in &self.entries {
            let url = format!("http://{}/status", entry.admin());
            until("the entries know the members", async || {
                let status: Value = self
                    .http
                    .get(&url)
                    .send()
                    .await
                    .unwrap()
                    .json()
                    .await
                    .unwrap();
                let known = status["members"].to_string();
                members
                    .iter()
                    .all(|name| known.contains(&format!("\"{name}\"")))
            })
            .await;
            let url = format!("http://{}/ready", entry.admin());
            until("the entry is ready", async || {
                self.http
                    .get(&url)
                    .send()
                    .await
                    .unwrap()
                    .status()
                    .is_success()
            })
            .await;
        }
        for process in agents {
            let url = format!("http://{}/ready", process.agent.as_ref().unwrap().admin());
            until("the agent is ready", async || {
                self.http
                    .get(&url)
                    .send()
                    .await
                    .unwrap()
                    .status()
                    .is_success()
            })
            .await;
        }
    }

    pub async fn call(
        &self,
        entry: usize,
        call: &str,
        key: Option<&str>,
        body: &str,
    ) -> (u16, Value) {
        let url = format!("http://{}/v1/services/s/{call}", self.entries[entry].http());
        let mut request = self
            .http
            .post(url)
            .bearer_auth("key-a")
            .header("x-deadline-ms", "8000")
            .body(body.to_owned());
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let response = request.send().await.unwrap();
        (response.status().as_u16(), response.json().await.unwrap())
    }

    pub fn prompt(&self, entry: usize, tokens: u32) -> reqwest::RequestBuilder {
        let body = json!({ "model": "m", "messages": [{ "role": "user", "content": "hello" }],
            "max_tokens": tokens, "stream": true });
        let url = format!("http://{}/v1/chat/completions", self.entries[entry].http());
        self.http
            .post(url)
            .bearer_auth("key-a")
            .header("x-deadline-ms", "15000")
            .json(&body)
    }

    /// Sends a prompt and returns the whole body of the response.
    pub async fn complete(&self, entry: usize, tokens: u32) -> String {
        let response = self.prompt(entry, tokens).send().await.unwrap();
        response.text().await.unwrap()
    }

    pub fn resume(&self, entry: usize, token: &str, key: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}/v1/answers/{token}", self.entries[entry].http());
        self.http.get(url).bearer_auth(key)
    }
}

pub fn settings(platform: &Platform, name: &str, role: &Value) -> Settings {
    let http = format!("http://{}", platform.address);
    let text = json!({
        "name": name, "host": format!("host-{name}"), "domain": "d", "region": "r",
        "peer_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
        "cluster_keys": [KEY], "context_secret": "0123456789abcdef", "abandon_ms": 300,
        "platform": { "table": http, "objects": http, "hosts": http },
        "role": role,
    });
    Settings::parse(name, &text.to_string()).unwrap()
}

pub const KEY: &str = "cluster-key-0123456789";

/// Waits for a condition.
pub async fn until<Condition>(what: &str, mut condition: Condition)
where
    Condition: AsyncFnMut() -> bool,
{
    let deadline = Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "not within 20 s: {what}");
        sleep(Duration::from_millis(5)).await;
    }
}

/// Returns the text of a completion's events, in order, and whether the completion ended.
pub fn parse_events(body: &str) -> (Vec<String>, bool) {
    let texts = body
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<Value>(data).ok())
        .filter_map(|data| Some(data["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect();
    (texts, body.contains("data: [DONE]"))
}

pub fn expected_events(tokens: u32) -> Vec<String> {
    (0..tokens).map(|seq| format!("t{seq} ")).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
