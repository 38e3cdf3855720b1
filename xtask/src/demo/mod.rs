//! Sends a conversation through all processes of a deployment and continues it after the engines
//! have dropped their caches.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::caller::{Answer, send_call, send_prompt};
use crate::cluster::Cluster;
use crate::deployment::Deployment;
use crate::{Result, process};

/// Tokens of each answer.
const ANSWER_TOKENS: u32 = 20;
/// Tokens of the first prompt; slightly more than three blocks.
const PROMPT_TOKENS: usize = 3500;
/// How long the export of KV blocks to the store hosts may take.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs the demo.
pub(crate) async fn run(mut arguments: pico_args::Arguments) -> Result<()> {
    let name: Option<String> = arguments.opt_value_from_str("--deployment")?;
    process::build()?;
    for name in name.map_or(vec!["lakeshore".to_owned(), "herrera".to_owned()], |name| {
        vec![name]
    }) {
        let folder = std::env::temp_dir().join(format!("boragereel-demo-{}", std::process::id()));
        let cluster = Cluster::start(Deployment::open(&name)?, &folder).await?;
        run_conversations(&cluster).await?;
        send_order(&cluster).await?;
        std::fs::remove_dir_all(&folder)?;
    }
    Ok(())
}

async fn run_conversations(cluster: &Cluster) -> Result<()> {
    println!("{}", cluster.deployment.name);
    println!("team     prompt      tokens  reused  recomputed  first token  verdict");
    for team in 0..cluster.deployment.teams.min(3) {
        let mut prompt = (0..PROMPT_TOKENS)
            .map(|word| format!("t{team}w{word}"))
            .collect::<Vec<_>>()
            .join(" ");
        let first = send_and_print(cluster, team, "first", &prompt).await?;
        wait_until_exported(cluster).await?;
        drop_caches(cluster).await?;
        prompt.push_str(&first.text);
        prompt.push_str(" and what of the next day");
        let returned = send_and_print(cluster, team, "returning", &prompt).await?;
        if returned.cached_tokens < 3 * 1024 {
            return Err("the returning prompt did not reuse its cached blocks".into());
        }
    }
    Ok(())
}

async fn send_and_print(
    cluster: &Cluster,
    team: usize,
    kind: &str,
    prompt: &str,
) -> Result<Answer> {
    let entry = cluster.entry(team)?;
    let model = &cluster.deployment.model;
    let answer = send_prompt(
        &cluster.http,
        entry,
        &Cluster::key(team),
        model,
        prompt,
        ANSWER_TOKENS,
    )
    .await?;
    let is_complete = answer.is_complete(prompt, ANSWER_TOKENS);
    println!(
        "team-{team:<3} {kind:<10} {:>7} {:>7} {:>11} {:>9.1} ms  {}",
        answer.prompt_tokens,
        answer.cached_tokens,
        answer.prompt_tokens - answer.cached_tokens,
        answer.first_token.unwrap_or_default().as_secs_f64() * 1000.0,
        if is_complete { "whole" } else { "not whole" },
    );
    if is_complete {
        Ok(answer)
    } else {
        Err(format!("the answer is incomplete or wrong: {answer:?}").into())
    }
}

async fn send_order(cluster: &Cluster) -> Result<()> {
    let path = format!("{}/place", cluster.deployment.service);
    let key = Cluster::key(0);
    let mut answers = Vec::new();
    // A call that is sent through two entries with the same idempotency key must run once.
    for entry in [cluster.entry(0)?, cluster.entry(1)?] {
        answers.push(send_call(&cluster.http, entry, &key, &path, Some("order-1"), "{}").await?);
    }
    println!(
        "order    status {} and again {}",
        answers[0].0, answers[1].0
    );
    if answers[0].0 != 200 || answers[0] != answers[1] {
        return Err(format!(
            "two calls with the same idempotency key got different answers: {answers:?}"
        )
        .into());
    }
    Ok(())
}

/// Waits until the store hosts hold the blocks of the last prompt, that is until their number stops
/// growing.
async fn wait_until_exported(cluster: &Cluster) -> Result<()> {
    let deadline = Instant::now() + EXPORT_TIMEOUT;
    let mut last = 0;
    loop {
        let mut blocks = 0;
        for store in &cluster.stores {
            let log = cluster
                .http
                .get(format!("http://{}/log", store.address("")?))
                .send()
                .await?;
            let log: serde_json::Value = log.json().await?;
            blocks += log["blocks"].as_u64().unwrap_or(0);
        }
        if blocks > 0 && blocks == last && blocks.is_multiple_of(6) {
            return Ok(());
        }
        last = blocks;
        if Instant::now() > deadline {
            return Err(format!(
                "the export did not finish within 10 s: the store hosts hold {blocks} blocks"
            )
            .into());
        }
        sleep(Duration::from_millis(50)).await;
    }
}

async fn drop_caches(cluster: &Cluster) -> Result<()> {
    for engine in &cluster.engines {
        let url = format!("http://{}/drop-cache", engine.address("")?);
        cluster.http.post(url).send().await?.error_for_status()?;
    }
    Ok(())
}
