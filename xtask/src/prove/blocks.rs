//! I1, I2, I3 and I4: integrity and isolation of cached blocks, and cold targets.

use std::collections::HashSet;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::fixture::{Fixture, TIMEOUT, ensure, prompt};
use crate::Result;

/// Words of a prompt; slightly more than two blocks.
const PROMPT_WORDS: usize = 2100;

/// Guards against using blocks that are corrupt, truncated or of another conversation (I1), of
/// another team (I2) or of other weights (I3).
pub(super) async fn foreign_blocks(fixture: &mut Fixture) -> Result<()> {
    for fault in ["corrupt_blocks", "truncate_blocks", "swap_blocks"] {
        let text = prompt(fault, PROMPT_WORDS);
        fixture.prompt_until_complete(0, &text).await?;
        wait_until_stored(fixture).await?;
        drop_caches(fixture).await?;
        let before = rejected_blocks(fixture).await?;
        for store in &fixture.cluster.stores {
            fixture
                .cluster
                .set_faults(store, &json!({ fault: 100 }))
                .await?;
        }
        let answer = fixture
            .prompt_until_complete(0, &format!("{text} again"))
            .await?;
        for store in &fixture.cluster.stores {
            fixture.cluster.set_faults(store, &json!({})).await?;
        }
        let rejected = rejected_blocks(fixture).await? - before;
        let cached = answer.cached_tokens;
        ensure(cached == 0, || {
            format!("{fault}: {cached} tokens were reused")
        })?;
        ensure(rejected > 0, || {
            format!("{fault}: no block failed verification")
        })?;
        println!("  {fault}: {rejected} blocks rejected, the answer is complete");
    }
    let text = prompt("shared", PROMPT_WORDS);
    fixture.prompt_until_complete(0, &text).await?;
    wait_until_stored(fixture).await?;
    let same_team = fixture.prompt_until_complete(0, &text).await?;
    ensure(same_team.cached_tokens > 0, || {
        "the same prompt of the same team reused nothing".to_owned()
    })?;
    let other_team = fixture.prompt_until_complete(1, &text).await?;
    let cached = other_team.cached_tokens;
    ensure(cached == 0, || {
        format!("team 1 reused {cached} tokens of team 0")
    })?;
    println!("  the same prompt of another team reuses nothing");
    let imports = fixture.engine_log_sum("bad_imports").await?;
    ensure(imports == 0, || format!("{imports} bad imports"))?;
    weights_switched(fixture, &text).await
}

/// The engines switch weights without the agents' knowledge: blocks computed before must not be
/// used.
async fn weights_switched(fixture: &Fixture, text: &str) -> Result<()> {
    for engine in &fixture.cluster.engines {
        let url = format!("http://{}/v1/orders", engine.address("")?);
        let order = json!({ "fence": 1, "weights": "v2" });
        let response = fixture.cluster.http.post(url).json(&order).send().await?;
        response.error_for_status()?;
    }
    // Right after the switch the agents still assume the old weights.
    let answer = fixture.prompt_until_complete(0, text).await?;
    let cached = answer.cached_tokens;
    ensure(cached == 0, || {
        format!("{cached} tokens of old weights were reused")
    })?;
    let imports = fixture.engine_log_sum("bad_imports").await?;
    ensure(imports == 0, || format!("{imports} bad imports"))?;
    println!("  after a switch of weights no block of the old ones is reused");
    Ok(())
}

/// Guards against overloading a cold target (I4): by a burst after the start, when targets turn
/// cold without warning under load, and when killed agents have lost their state.
pub(super) async fn cold(fixture: &mut Fixture) -> Result<()> {
    for phase in ["cold start", "cold without warning", "agents killed"] {
        let texts: Vec<_> = (0..40).map(|_| prompt("cold", 50)).collect();
        let mut prompts: FuturesUnordered<_> = texts
            .iter()
            .enumerate()
            .map(|(index, text)| fixture.send_prompt(index, index % 10, text))
            .collect();
        let mut done = 0;
        while let Some(answer) = prompts.next().await {
            answer?;
            done += 1;
            if done == 10 && phase == "cold without warning" {
                for engine in &fixture.cluster.engines {
                    let url = format!("http://{}/cold", engine.address("")?);
                    fixture.cluster.http.post(url).send().await?;
                }
            }
        }
        drop(prompts);
        let overloads = fixture.engine_log_sum("overloads").await?;
        let logs = overload_logs(fixture).await?;
        ensure(overloads == 0, || {
            format!("{phase}: {overloads} overloads: {logs}")
        })?;
        println!("  {phase}: 40 prompts at once, 0 overloads");
        if phase == "cold without warning" {
            let engines = fixture.cluster.engines.len();
            for agent in &mut fixture.cluster.agents[..engines] {
                agent.process.kill().await?;
                agent.restart().await?;
            }
            fixture.cluster.wait_ready().await?;
        }
    }
    Ok(())
}

async fn overload_logs(fixture: &Fixture) -> Result<String> {
    let mut details = String::new();
    for engine in &fixture.cluster.engines {
        details.push_str(&fixture.cluster.log_of(engine).await?["overloads"].to_string());
    }
    Ok(details)
}

async fn drop_caches(fixture: &Fixture) -> Result<()> {
    for engine in &fixture.cluster.engines {
        let url = format!("http://{}/drop-cache", engine.address("")?);
        fixture
            .cluster
            .http
            .post(url)
            .send()
            .await?
            .error_for_status()?;
    }
    Ok(())
}

/// Waits until both store hosts hold all blocks of the last prompt, that is until their block
/// counts are equal and no longer change.
async fn wait_until_stored(fixture: &Fixture) -> Result<()> {
    let deadline = Instant::now() + TIMEOUT;
    let mut unchanged = 0;
    let mut last = HashSet::new();
    while unchanged < 10 {
        let mut counts = HashSet::new();
        for store in &fixture.cluster.stores {
            let log: Value = fixture.cluster.log_of(store).await?;
            counts.insert(log["blocks"].as_u64().unwrap_or(0));
        }
        let is_equal = counts.len() == 1 && !counts.contains(&0);
        unchanged = if is_equal && counts == last {
            unchanged + 1
        } else {
            0
        };
        last = counts;
        ensure(Instant::now() < deadline, || {
            format!("the store hosts hold {last:?} blocks after 30 s")
        })?;
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Returns how many blocks failed verification at all agents.
async fn rejected_blocks(fixture: &Fixture) -> Result<u64> {
    let mut sum = 0;
    for agent in &fixture.cluster.agents {
        let url = format!("http://{}/metrics", agent.address("admin")?);
        let text = fixture.cluster.http.get(url).send().await?.text().await?;
        sum += text
            .lines()
            .filter(|line| line.contains("not_verified"))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
            .sum::<u64>();
    }
    Ok(sum)
}
