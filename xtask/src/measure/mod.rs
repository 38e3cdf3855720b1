//! Measures a deployment at about 80% load while a failure domain is drained and returns cold, and
//! while an agent is killed.

mod plot;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use crate::caller::send_prompt;
use crate::cluster::{Cluster, Options};
use crate::deployment::{Deployment, root};
use crate::{Result, process};

/// Tokens of an answer; at 5 ms per token an answer takes 0.2 s.
const TOKENS: u32 = 40;
const TOKEN_US: u64 = 5000;
/// Words of a first prompt: slightly more than two blocks, which take 0.21 s to prefill.
const WORDS: usize = 2100;
/// Maximum concurrent requests of an engine.
const WARM_LIMIT: u32 = 8;
/// The share of requests that continue an earlier conversation.
const RETURNING_SHARE: f64 = 0.7;
/// The offered load as a share of the engines' capacity.
const LOAD: f64 = 0.8;
/// Duration of each phase.
const PHASE_DURATION: Duration = Duration::from_secs(15);
/// Duration of the warm-up phase before the measured phases.
const WARM_UP_DURATION: Duration = Duration::from_secs(15);
/// Seed of the arrival times and of the choice of conversations.
const SEED: u64 = 7;

/// The phases, in order.
const PHASES: [&str; 5] = ["warm-up", "before", "during", "after", "agent killed"];

/// The outcome of a request for its caller.
#[derive(Debug, Clone)]
struct Sample {
    /// Seconds from the start.
    at: f64,
    phase: usize,
    is_returning: bool,
    first_token: Option<Duration>,
    prompt_tokens: u64,
    cached_tokens: u64,
    end: String,
}

type Samples = Arc<Mutex<Vec<Sample>>>;
/// Team and text of the conversations that may be continued.
type Conversations = Arc<Mutex<Vec<(usize, String)>>>;

/// Runs one deployment or both and writes `docs/measurements.md` and the plots.
pub(crate) async fn run(mut arguments: pico_args::Arguments) -> Result<()> {
    let name: Option<String> = arguments.opt_value_from_str("--deployment")?;
    process::build()?;
    let names = name.map_or(vec!["lakeshore".to_owned(), "herrera".to_owned()], |name| {
        vec![name]
    });
    for name in names {
        let folder =
            std::env::temp_dir().join(format!("boragereel-measure-{}", std::process::id()));
        let options = Options {
            engine: ["--token-us", &TOKEN_US.to_string()]
                .map(str::to_owned)
                .to_vec(),
            warm_limit: Some(WARM_LIMIT),
            ..Options::default()
        };
        let deployment = Deployment::open(&name)?;
        let mut cluster = Cluster::start_with(deployment, &folder, options).await?;
        let report = measure(&mut cluster).await?;
        println!("{report}");
        write_section(&name, &report)?;
        drop(cluster);
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(())
}

/// Returns the prompts per second that result in the wanted load.
fn prompt_rate(engines: usize) -> f64 {
    // A first prompt prefills all its words at 100 us each, a returning one less than a block.
    let first = WORDS as f64 * 100e-6;
    let returning = 600.0 * 100e-6;
    let answer = f64::from(TOKENS) * TOKEN_US as f64 * 1e-6;
    let service = answer + RETURNING_SHARE * returning + (1.0 - RETURNING_SHARE) * first;
    LOAD * (engines as f64) * f64::from(WARM_LIMIT) / service
}

async fn measure(cluster: &mut Cluster) -> Result<String> {
    let (samples, conversations) = (Samples::default(), Conversations::default());
    let rate = prompt_rate(cluster.deployment.engines);
    let domain = cluster.deployment.domain(0).to_owned();
    let started = Instant::now();
    let mut bytes = Vec::new();
    let mut killed_at = None;
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut tasks = JoinSet::new();
    for (phase, name) in PHASES.iter().enumerate() {
        bytes.push(link_bytes(cluster).await?);
        match *name {
            "during" => {
                cluster
                    .apply_rules(&format!("drain domain {domain} # measure\n"))
                    .await?;
            }
            "after" => {
                // The engines of the domain return cold.
                let engines = cluster.engines.iter().enumerate();
                for (_, engine) in
                    engines.filter(|(at, _)| cluster.deployment.domain(*at) == domain)
                {
                    let url = format!("http://{}/cold", engine.address("")?);
                    cluster.http.post(url).send().await?;
                }
                cluster.apply_rules("").await?;
            }
            "agent killed" => {
                cluster.agents[0].process.kill().await?;
                killed_at = Some(started.elapsed().as_secs_f64());
            }
            _ => {}
        }
        let duration = if phase == 0 {
            WARM_UP_DURATION
        } else {
            PHASE_DURATION
        };
        let end = Instant::now() + duration;
        let mut next = Instant::now();
        while next < end {
            // The rate grows from a tenth during the warm-up, as do the agents' limits.
            let part = match phase {
                0 => 0.1 + 0.9 * (1.0 - (end - next).as_secs_f64() / duration.as_secs_f64()),
                _ => 1.0,
            };
            let wait = -rng.random::<f64>().max(1e-9).ln() / (rate * part);
            next += Duration::from_secs_f64(wait);
            sleep_until(next).await;
            let request = draw_request(&mut rng, &conversations);
            let (samples, conversations) = (Arc::clone(&samples), Arc::clone(&conversations));
            let at = started.elapsed().as_secs_f64();
            let entry = cluster.entry(rng.random_range(0..cluster.entries.len()))?;
            let (http, model) = (cluster.http.clone(), cluster.deployment.model.clone());
            tasks.spawn(async move {
                let (team, is_returning, prompt) = request;
                let key = Cluster::key(team);
                let answer = send_prompt(&http, entry, &key, &model, &prompt, TOKENS).await;
                let mut sample = Sample {
                    at,
                    phase,
                    is_returning,
                    first_token: None,
                    prompt_tokens: 0,
                    cached_tokens: 0,
                    end: "lost".to_owned(),
                };
                if let Ok(answer) = answer {
                    sample.first_token = answer.first_token;
                    sample.prompt_tokens = answer.prompt_tokens;
                    sample.cached_tokens = answer.cached_tokens;
                    sample.end = match &answer.refusal {
                        Some(refusal) => format!("refused: {}", refusal["error"]["message"]),
                        None if answer.is_complete(&prompt, TOKENS) => "whole".to_owned(),
                        None if answer.is_done => "truncated".to_owned(),
                        None => "lost".to_owned(),
                    };
                    if sample.end == "whole" {
                        let mut ended = conversations.lock().expect("no holder panics");
                        ended.push((team, format!("{prompt} {}", answer.text)));
                    }
                }
                samples.lock().expect("no holder panics").push(sample);
            });
        }
    }
    while let Some(task) = tasks.join_next().await {
        task?;
    }
    cluster.agents[0].restart().await?;
    bytes.push(link_bytes(cluster).await?);
    let samples = std::mem::take(&mut *samples.lock().expect("no holder panics"));
    let name = cluster.deployment.name.clone();
    plot::write(&name, &samples)?;
    Ok(report(
        &name,
        rate,
        &samples,
        &bytes,
        killed_at.unwrap_or_default(),
    ))
}

/// Draws the team and the prompt of the next request.
fn draw_request(rng: &mut ChaCha8Rng, conversations: &Conversations) -> (usize, bool, String) {
    let mut ended = conversations.lock().expect("no holder panics");
    if !ended.is_empty() && rng.random_bool(RETURNING_SHARE) {
        let at = rng.random_range(0..ended.len());
        let (team, text) = ended.swap_remove(at);
        return (team, true, format!("{text} and then"));
    }
    let nonce: u32 = rng.random();
    let words: Vec<_> = (0..WORDS)
        .map(|word| format!("w{nonce:08x}{word}"))
        .collect();
    (rng.random_range(0..10), false, words.join(" "))
}

/// Returns the bytes transferred between engines and store hosts so far.
async fn link_bytes(cluster: &Cluster) -> Result<u64> {
    let mut sum = 0;
    for store in &cluster.stores {
        let log: Value = cluster.log_of(store).await?;
        sum += log["read_bytes"].as_u64().unwrap_or(0) + log["written_bytes"].as_u64().unwrap_or(0);
    }
    Ok(sum)
}

fn report(name: &str, rate: f64, samples: &[Sample], bytes: &[u64], killed_at: f64) -> String {
    let mut text = format!(
        "## {name}\n\nCommand: `cargo run --release --package xtask -- measure --deployment {name}`, \
         seed {SEED}, {rate:.0} prompts/s offered, {:.0}% of them returning.\n\n\
         | phase | prompts | first p50/p95/p99 ms | returning p50/p95/p99 ms | recomputed | \
         link KB/s | refused | lost | truncated |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        RETURNING_SHARE * 100.0
    );
    for (phase, label) in PHASES.iter().enumerate().skip(1) {
        let in_phase: Vec<_> = samples
            .iter()
            .filter(|sample| sample.phase == phase)
            .collect();
        let count = |end: &str| {
            in_phase
                .iter()
                .filter(|sample| sample.end.starts_with(end))
                .count()
        };
        let prompt: u64 = in_phase.iter().map(|sample| sample.prompt_tokens).sum();
        let cached: u64 = in_phase.iter().map(|sample| sample.cached_tokens).sum();
        let recomputed = 100.0 * (prompt - cached) as f64 / prompt.max(1) as f64;
        let link = (bytes[phase + 1] - bytes[phase]) as f64 / 1000.0 / PHASE_DURATION.as_secs_f64();
        text.push_str(&format!(
            "| {label} | {} | {} | {} | {recomputed:.1}% | {link:.0} | {} | {} | {} |\n",
            in_phase.len(),
            quantiles(&in_phase, false),
            quantiles(&in_phase, true),
            count("refused"),
            count("lost"),
            count("truncated"),
        ));
    }
    let mut refusals: BTreeMap<(usize, &str), usize> = BTreeMap::new();
    for sample in samples
        .iter()
        .filter(|sample| sample.end.starts_with("refused"))
    {
        *refusals.entry((sample.phase, &sample.end)).or_default() += 1;
    }
    for ((phase, end), count) in refusals {
        text.push_str(&format!("\n{}: {count} x {end}\n", PHASES[phase]));
    }
    text.push_str(&format!(
        "\nAfter an agent is killed, the share of prompts whose first token comes within 1 s is back \
         at 95% of its value in `before`, over windows of 1 s by arrival, after {} (goal: 2 s).\n\n\
         ![time to first token]({name}.svg)\n",
        recovery_time(samples, killed_at)
            .map_or("more than 14 s".to_owned(), |time| format!("{time:.1} s"))
    ));
    text
}

/// Returns the seconds from the kill until the share of prompts that get their first token within
/// 1 s, over windows of 1 s by arrival, is back at 95% of its earlier value.
fn recovery_time(samples: &[Sample], killed_at: f64) -> Option<f64> {
    let share = |from: f64, until: f64| {
        let in_window = samples
            .iter()
            .filter(|sample| sample.at >= from && sample.at < until);
        let (mut all, mut good) = (0.0, 0.0);
        for sample in in_window {
            all += 1.0;
            let is_good = sample.end == "whole"
                && sample
                    .first_token
                    .is_some_and(|time| time < Duration::from_millis(1000));
            good += f64::from(u8::from(is_good));
        }
        good / f64::max(all, 1.0)
    };
    let before = share(
        WARM_UP_DURATION.as_secs_f64(),
        (WARM_UP_DURATION + PHASE_DURATION).as_secs_f64(),
    );
    (0..140)
        .map(|step| f64::from(step) / 10.0)
        .find(|&after| share(killed_at + after, killed_at + after + 1.0) >= 0.95 * before)
}

fn quantiles(samples: &[&Sample], is_returning: bool) -> String {
    let mut histogram = Histogram::<u64>::new(3).expect("3 digits are accepted");
    for sample in samples
        .iter()
        .filter(|sample| sample.is_returning == is_returning)
    {
        if let Some(time) = sample.first_token {
            histogram.saturating_record(time.as_millis() as u64);
        }
    }
    let quantile = |share| histogram.value_at_quantile(share);
    format!(
        "{} / {} / {}",
        quantile(0.5),
        quantile(0.95),
        quantile(0.99)
    )
}

/// Replaces the section of a deployment in `docs/measurements.md`.
fn write_section(name: &str, section: &str) -> Result<()> {
    let path = root().join("docs").join("measurements.md");
    let old = std::fs::read_to_string(&path).unwrap_or_else(|_| "# Measurements\n\n".to_owned());
    let head = format!("## {name}\n");
    let mut parts: Vec<String> = Vec::new();
    for line in old.lines() {
        if line.starts_with("## ") || parts.is_empty() {
            parts.push(String::new());
        }
        if let Some(part) = parts.last_mut() {
            part.push_str(line);
            part.push('\n');
        }
    }
    parts.retain(|part| !part.starts_with(&head));
    let mut text: String = parts.concat();
    text.truncate(text.trim_end().len());
    text.push_str("\n\n");
    text.push_str(section);
    Ok(std::fs::write(&path, text)?)
}
