//! Measures the overhead of an entry compared with direct connections to the same stand-ins.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::caller::send_prompt;
use crate::cluster::{Cluster, Options};
use crate::deployment::Deployment;
use crate::{Result, process};

/// Engines behind the entry.
const ENGINES: usize = 4;
/// Prompts of which the time to first token is measured, through the entry and directly each.
const SAMPLES: usize = 4000;
/// Concurrent prompts while the time to first token is measured.
const WORKERS: usize = 4;
/// For throughput: number of streams, tokens of each, and microseconds between tokens.
const THROUGHPUT_STREAMS: (usize, u32, u64) = (200, 3000, 3000);
/// For memory: number of streams, tokens of each, and microseconds between tokens.
const MEMORY_STREAMS: (usize, u32, u64) = (2000, 400, 100_000);
/// Timeout for all streams to be running.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Clock ticks per second in `/proc/PID/stat`; fixed by the Linux user-space interface.
const TICKS_PER_S: f64 = 100.0;

/// Runs the three measurements and prints their results.
pub(crate) async fn run(mut arguments: pico_args::Arguments) -> Result<()> {
    let is_json = arguments.contains("--json");
    if cfg!(debug_assertions) {
        println!("note: a debug build; use `cargo run --release --package xtask -- load`");
    }
    process::build()?;
    let folder = std::env::temp_dir().join(format!("boragereel-load-{}", std::process::id()));
    let added = first_token(&folder).await?;
    let relayed = throughput(&folder).await?;
    let memory = memory(&folder).await?;
    std::fs::remove_dir_all(&folder)?;
    let result = json!({ "first_token": added, "throughput": relayed, "memory": memory });
    if is_json {
        println!("{result}");
    }
    Ok(())
}

async fn start(folder: &Path, token_us: u64) -> Result<Cluster> {
    let mut deployment = Deployment::open("lakeshore")?;
    (deployment.entries, deployment.engines) = (1, ENGINES);
    (deployment.services, deployment.stores) = (1, 1);
    let token_us = token_us.to_string();
    let engine = ["--prefill-us", "0", "--token-us", &token_us].map(str::to_owned);
    let options = Options {
        engine: engine.to_vec(),
        warm_limit: Some(1024),
        ..Options::default()
    };
    let cluster = Cluster::start_with(deployment, folder, options).await?;
    // Completed requests warm the engines up, which raises the agents' limits.
    for round in 0..60 {
        let mut prompts = JoinSet::new();
        for index in 0..40 {
            let (entry, http) = (cluster.entry(0)?, cluster.http.clone());
            let prompt = format!("warm {round} {index}");
            prompts.spawn(async move {
                let key = Cluster::key(index % 10);
                let _ = send_prompt(&http, entry, &key, "assistant", &prompt, 1).await;
            });
        }
        while prompts.join_next().await.is_some() {}
    }
    Ok(cluster)
}

/// Measures the time to first token through the entry and directly, alternating between the two.
async fn first_token(folder: &Path) -> Result<Value> {
    let cluster = start(folder, 1000).await?;
    let mut tasks = JoinSet::new();
    for worker in 0..WORKERS {
        let entry = cluster.entry(0)?;
        let engine = cluster.engines[worker % ENGINES].address("")?;
        let http = cluster.http.clone();
        tasks.spawn(async move {
            let mut pairs = Vec::new();
            for sample in 0..SAMPLES / WORKERS {
                let prompt = format!("first {worker} {sample} and some more words of a question");
                let direct = direct(&http, engine, &prompt).await?;
                let key = Cluster::key(worker);
                let answer = send_prompt(&http, entry, &key, "assistant", &prompt, 4).await?;
                let relayed = answer
                    .first_token
                    .ok_or("the stream ended without a token")?;
                pairs.push((direct, relayed));
            }
            Result::Ok(pairs)
        });
    }
    let mut direct = Histogram::<u64>::new(3)?;
    let mut relayed = Histogram::<u64>::new(3)?;
    while let Some(pairs) = tasks.join_next().await {
        for (without, with) in pairs?? {
            direct.record(without.as_micros() as u64)?;
            relayed.record(with.as_micros() as u64)?;
        }
    }
    let quantile_ms = |histogram: &Histogram<u64>, quantile| {
        histogram.value_at_quantile(quantile) as f64 / 1000.0
    };
    println!("time to first token, {SAMPLES} prompts each, {WORKERS} at a time, in ms");
    println!("            p50      p99      max");
    for (name, histogram) in [("direct", &direct), ("relayed", &relayed)] {
        let max = histogram.max() as f64 / 1000.0;
        let (p50, p99) = (quantile_ms(histogram, 0.5), quantile_ms(histogram, 0.99));
        println!("  {name:<8} {p50:>7.3}  {p99:>7.3}  {max:>7.3}");
    }
    let p50 = quantile_ms(&relayed, 0.5) - quantile_ms(&direct, 0.5);
    let p99 = quantile_ms(&relayed, 0.99) - quantile_ms(&direct, 0.99);
    println!("  added    {p50:>7.3}  {p99:>7.3}  (goal: p99 < 1 ms)");
    Ok(json!({ "added_p50_ms": p50, "added_p99_ms": p99 }))
}

async fn direct(http: &reqwest::Client, engine: SocketAddr, prompt: &str) -> Result<Duration> {
    let body = json!({
        "request_id": format!("{:032x}", rand::random::<u128>()),
        "model": "assistant",
        "prompt": prompt,
        "max_tokens": 4,
        "stream": true,
    });
    let started = Instant::now();
    let url = format!("http://{engine}/v1/completions");
    let response = http.post(url).json(&body).send().await?;
    let mut response = response.error_for_status()?;
    response
        .chunk()
        .await?
        .ok_or("the stream ended without a token")?;
    let elapsed = started.elapsed();
    while response.chunk().await?.is_some() {}
    Ok(elapsed)
}

/// Starts streams, each of which counts its tokens until it ends.
async fn streams(cluster: &Cluster, (count, tokens, _): (usize, u32, u64)) -> Streams {
    let (started, watch) = tokio::sync::watch::channel(0);
    let mut tasks = JoinSet::new();
    for index in 0..count {
        let entry = cluster.entry(0);
        let (http, started) = (cluster.http.clone(), started.clone());
        tasks.spawn(async move {
            // Start the streams one after another, as independent callers would.
            sleep(Duration::from_millis(index as u64 * 2)).await;
            let url = format!("http://{}/v1/chat/completions", entry?);
            let content = format!("stream {index} {:08x}", rand::random::<u32>());
            let body = json!({
                "model": "assistant",
                "messages": [{ "role": "user", "content": content }],
                "max_tokens": tokens,
                "stream": true,
            });
            let mut response = loop {
                let request = http.post(&url).bearer_auth(Cluster::key(index % 10));
                let response = request.json(&body).send().await?;
                if response.status().is_success() {
                    break response;
                }
                sleep(Duration::from_millis(100)).await;
            };
            started.send_modify(|count| *count += 1);
            // Each event ends with an empty line; the last event and `[DONE]` carry no token.
            let (mut ends, mut last) = (0, 0);
            while let Some(chunk) = response.chunk().await? {
                for &byte in &chunk {
                    ends += u64::from(byte == b'\n' && last == b'\n');
                    last = byte;
                }
            }
            Result::Ok(ends.saturating_sub(2))
        });
    }
    Streams { tasks, watch }
}

struct Streams {
    tasks: JoinSet<Result<u64>>,
    watch: tokio::sync::watch::Receiver<usize>,
}

impl Streams {
    async fn wait_started(&mut self, count: usize) -> Result<()> {
        let started = self.watch.wait_for(|&started| started >= count);
        if timeout(START_TIMEOUT, started).await.is_err() {
            return Err(format!("{} of {count} streams run", *self.watch.borrow()).into());
        }
        Ok(())
    }

    async fn wait_ended(&mut self) -> Result<u64> {
        let mut tokens = 0;
        while let Some(task) = self.tasks.join_next().await {
            tokens += task??;
        }
        Ok(tokens)
    }
}

/// Measures the CPU time that the entry needs to relay the tokens of fast streams.
async fn throughput(folder: &Path) -> Result<Value> {
    let cluster = start(folder, THROUGHPUT_STREAMS.2).await?;
    let id = cluster.entries[0].process.id().ok_or("the entry ended")?;
    let (before, start_time) = (cpu_seconds(id)?, Instant::now());
    let mut streams = streams(&cluster, THROUGHPUT_STREAMS).await;
    let tokens = streams.wait_ended().await?;
    let (cpu, wall) = (
        cpu_seconds(id)? - before,
        start_time.elapsed().as_secs_f64(),
    );
    let rate = tokens as f64 / wall;
    let per_core = tokens as f64 / cpu;
    let expected = THROUGHPUT_STREAMS.0 as u64 * u64::from(THROUGHPUT_STREAMS.1);
    println!("throughput of the entry, {} streams", THROUGHPUT_STREAMS.0);
    println!("  {tokens} of {expected} tokens in {wall:.1} s, {rate:.0} tokens/s, CPU {cpu:.2} s");
    println!("  {per_core:.0} tokens/s per core (goal: >= 60000)");
    Ok(json!({ "tokens": tokens, "tokens_per_s": rate, "tokens_per_s_per_core": per_core }))
}

/// Measures the resident memory of the entry while many streams are running.
async fn memory(folder: &Path) -> Result<Value> {
    let cluster = start(folder, MEMORY_STREAMS.2).await?;
    let id = cluster.entries[0].process.id().ok_or("the entry ended")?;
    let idle = resident_mb(id)?;
    let mut streams = streams(&cluster, MEMORY_STREAMS).await;
    streams.wait_started(MEMORY_STREAMS.0).await?;
    let mut max: f64 = 0.0;
    for _ in 0..20 {
        max = max.max(resident_mb(id)?);
        sleep(Duration::from_millis(100)).await;
    }
    let running = MEMORY_STREAMS.0 - *streams.watch.borrow() + streams.tasks.len();
    let tokens = streams.wait_ended().await?;
    let expected = MEMORY_STREAMS.0 as u64 * u64::from(MEMORY_STREAMS.1);
    println!("memory of the entry, {running} streams at once");
    println!("  idle {idle:.1} MB, most {max:.1} MB (goal: < 128 MB)");
    println!("  {tokens} of {expected} tokens received");
    Ok(json!({ "streams": running, "idle_mb": idle, "most_mb": max }))
}

/// Returns the CPU time of a process in seconds, user and system, of all its threads.
pub(crate) fn cpu_seconds(id: u32) -> Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The program name in parentheses may contain spaces; the fields after it are numbered from 3.
    let (_, rest) = stat.rsplit_once(')').ok_or("the process has no name")?;
    let mut fields = rest.split_whitespace().skip(11);
    let mut ticks = || -> Result<f64> { Ok(fields.next().ok_or("no CPU time")?.parse()?) };
    Ok((ticks()? + ticks()?) / TICKS_PER_S)
}

fn resident_mb(id: u32) -> Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next());
    Ok(kb.ok_or("no resident memory")?.parse::<f64>()? / 1024.0)
}
