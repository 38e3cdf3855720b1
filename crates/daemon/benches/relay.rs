//! Measures how many tokens per second an entry with one thread relays, from agents that always have
//! the next token ready, to callers that read immediately.
//!
//! `cargo bench --package boragereel-daemon --bench relay`. The agents and the callers run on
//! threads of their own, so the entry's thread is the bottleneck.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Instant;

use common::fake::Platform;
use common::{KEY, settings};
use daemon::entry;
use futures_util::StreamExt;
use platform::config::{Record, propose};
use serde_json::json;
use tokio::runtime::Builder;
use types::Version;
use wire::{Admitted, Digest, End, Event, Frame, Key, Keys, Listener, Load, Stream, Usage};

/// Tokens of each completion.
const TOKENS: u32 = 20_000;
/// Concurrent completions.
const STREAMS: u32 = 50;
#[tokio::main(flavor = "multi_thread", worker_threads = 6)]
async fn main() {
    let platform = Platform::start().await;
    let key: String = rules::key_digest("key-a")
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let text = format!("team a key={key} # bench: a\nmodel m weights=v1 # bench: m\n");
    let record = Record {
        version: Version(0),
        change: "1".into(),
        who: "bench".into(),
        why: "bench".into(),
        when: 0,
        digest: String::new(),
    };
    propose(&platform.client(), Version(0), &text, record)
        .await
        .unwrap();
    spawn_agent(&platform).await;
    let role = json!({ "entry": { "http_address": "127.0.0.1:0" } });
    let settings = settings(&platform, "entry-0", &role);
    let runtime = Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let entry = runtime
        .spawn(async move { entry::spawn(&settings).await.unwrap() })
        .await
        .unwrap();
    let url = format!("http://{}/v1/chat/completions", entry.http());
    let http = reqwest::Client::new();
    let send_prompt = |tokens: u32| {
        let body = json!({ "model": "m", "messages": [{ "role": "user", "content": "x" }],
            "max_tokens": tokens, "stream": true });
        http.post(&url).bearer_auth("key-a").json(&body).send()
    };
    // The first successful response shows that the entry knows the agent.
    while !send_prompt(1)
        .await
        .is_ok_and(|response| response.status().is_success())
    {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let started = Instant::now();
    let readers: Vec<_> = (0..STREAMS)
        .map(|_| tokio::spawn(read(send_prompt(TOKENS))))
        .collect();
    for reader in readers {
        reader.await.unwrap();
    }
    let (tokens, seconds) = (TOKENS * STREAMS, started.elapsed().as_secs_f64());
    println!(
        "{tokens} tokens in {seconds:.2} s: {:.0} tokens/s on one thread",
        f64::from(tokens) / seconds
    );
    let mut delays: Vec<f64> = Vec::new();
    for _ in 0..2000 {
        let started = Instant::now();
        let mut chunks = send_prompt(1).await.unwrap().bytes_stream();
        chunks.next().await.unwrap().unwrap();
        delays.push(started.elapsed().as_secs_f64() * 1000.0);
        while chunks.next().await.is_some() {}
    }
    delays.sort_by(f64::total_cmp);
    println!(
        "time to first token without load: p50 {:.3} ms, p99 {:.3} ms",
        delays[1000], delays[1980]
    );
    runtime.shutdown_background();
}

async fn read(response: impl Future<Output = reqwest::Result<reqwest::Response>>) {
    let mut chunks = response.await.unwrap().bytes_stream();
    let mut tail = Vec::new();
    while let Some(chunk) = chunks.next().await {
        tail = chunk.unwrap().to_vec();
    }
    assert!(tail.ends_with(b"data: [DONE]\n\n"));
}

async fn spawn_agent(platform: &Platform) {
    let keys = Keys::new(vec![Key::new(KEY)]).unwrap();
    let mut listener = Listener::bind("127.0.0.1:0".parse().unwrap(), keys)
        .await
        .unwrap();
    let member = json!({ "name": "agent", "incarnation": 1, "address": listener.address(),
        "host": "h", "domain": "d", "region": "r", "role": { "engine": { "target": "x", "model": "m" } } });
    platform
        .state
        .rows
        .lock()
        .unwrap()
        .insert("member/agent".into(), (1 << 40, member));
    tokio::spawn(async move {
        while let Some(stream) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
}

async fn serve(mut stream: Stream) {
    let Ok(Some(Frame::Dispatch(dispatch))) = stream.receiver.recv().await else {
        return;
    };
    let wire::Work::Prompt(prompt) = dispatch.work else {
        return;
    };
    let admitted = Admitted {
        load: Load::default(),
        version: Version(1),
    };
    // A send fails only if the entry is gone, which ends the benchmark.
    let _ = stream.sender.send(&Frame::Admitted(admitted)).await;
    let (mut digest, tokens, request) = (Digest::default(), prompt.max_tokens, dispatch.request);
    for seq in 0..tokens {
        let text = format!("w{seq} ");
        digest.update(&text);
        let event = Event {
            request,
            seq,
            text: text.into(),
        };
        if stream.sender.send(&Frame::Event(event)).await.is_err() {
            return;
        }
        // Each step of an engine's batch gives each stream one token.
        tokio::task::yield_now().await;
    }
    let end = End {
        request,
        events: tokens,
        digest: digest.finalize(),
        finish_reason: "stop".into(),
        usage: Usage::default(),
        load: Load::default(),
    };
    let _ = stream.sender.send(&Frame::End(end)).await;
    stream.sender.finish();
}
