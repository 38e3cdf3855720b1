//! I1, I2, I3 and I4: cached blocks, teams apart, and cold targets.

use std::collections::HashSet;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::bench::{Bench, LONG, ensure, prompt};
use crate::Result;

/// Words of a prompt of two whole blocks and a little more.
const WORDS: usize = 2100;

/// Guards against blocks that are changed, cut, of another conversation (I1), of another team (I2)
/// or of other weights (I3) and are used all the same.
pub(super) async fn foreign_blocks(bench: &mut Bench) -> Result<()> {
    for fault in ["corrupt_blocks", "truncate_blocks", "swap_blocks"] {
        let text = prompt(fault, WORDS);
        bench.ask_whole(0, &text).await?;
        wait_stored(bench).await?;
        drop_caches(bench).await?;
        let before = not_verified(bench).await?;
        for store in &bench.cluster.stores {
            bench
                .cluster
                .set_faults(store, &json!({ fault: 100 }))
                .await?;
        }
        let seen = bench.ask_whole(0, &format!("{text} again")).await?;
        for store in &bench.cluster.stores {
            bench.cluster.set_faults(store, &json!({})).await?;
        }
        let refused = not_verified(bench).await? - before;
        let cached = seen.cached_tokens;
        ensure(cached == 0, || {
            format!("{fault}: {cached} tokens were reused")
        })?;
        ensure(refused > 0, || format!("{fault}: no block was looked at"))?;
        println!("  {fault}: {refused} blocks not used, the answer is whole");
    }
    let text = prompt("shared", WORDS);
    bench.ask_whole(0, &text).await?;
    wait_stored(bench).await?;
    let own = bench.ask_whole(0, &text).await?;
    ensure(own.cached_tokens > 0, || {
        "nothing is reused at all".to_owned()
    })?;
    let foreign = bench.ask_whole(1, &text).await?;
    let cached = foreign.cached_tokens;
    ensure(cached == 0, || {
        format!("team 1 reused {cached} tokens of team 0")
    })?;
    println!("  the same prompt of another team reuses nothing");
    let imports = bench.engines("bad_imports").await?;
    ensure(imports == 0, || format!("{imports} bad imports"))?;
    new_weights(bench, &text).await
}

/// The engines change weights behind the agents' backs; nothing that was computed before is used.
async fn new_weights(bench: &Bench, text: &str) -> Result<()> {
    for engine in &bench.cluster.engines {
        let url = format!("http://{}/v1/orders", engine.address("")?);
        let order = json!({ "fence": 1, "weights": "v2" });
        let response = bench.cluster.http.post(url).json(&order).send().await?;
        response.error_for_status()?;
    }
    // Right after the swap agents still believe in the old weights.
    let seen = bench.ask_whole(0, text).await?;
    let cached = seen.cached_tokens;
    ensure(cached == 0, || {
        format!("{cached} tokens of old weights were reused")
    })?;
    let imports = bench.engines("bad_imports").await?;
    ensure(imports == 0, || format!("{imports} bad imports"))?;
    println!("  after new weights nothing of the old ones is reused");
    Ok(())
}

/// Guards against more load on a cold target than it bears (I4): a burst at the start, targets
/// that turn cold without warning under load, and agents that are killed and know nothing.
pub(super) async fn cold(bench: &mut Bench) -> Result<()> {
    for phase in ["cold start", "cold without warning", "agents killed"] {
        let texts: Vec<_> = (0..40).map(|_| prompt("cold", 50)).collect();
        let mut asks: FuturesUnordered<_> = texts
            .iter()
            .enumerate()
            .map(|(index, text)| bench.ask(index, index % 10, text))
            .collect();
        let mut done = 0;
        while let Some(seen) = asks.next().await {
            seen?;
            done += 1;
            if done == 10 && phase == "cold without warning" {
                for engine in &bench.cluster.engines {
                    let url = format!("http://{}/cold", engine.address("")?);
                    bench.cluster.http.post(url).send().await?;
                }
            }
        }
        drop(asks);
        let overloads = bench.engines("overloads").await?;
        let logs = overload_details(bench).await?;
        ensure(overloads == 0, || {
            format!("{phase}: {overloads} overloads: {logs}")
        })?;
        println!("  {phase}: 40 prompts at once, 0 overloads");
        if phase == "cold without warning" {
            let engines = bench.cluster.engines.len();
            for agent in &mut bench.cluster.agents[..engines] {
                agent.process.kill().await?;
                agent.restart().await?;
            }
            bench.cluster.wait_ready().await?;
        }
    }
    Ok(())
}

async fn overload_details(bench: &Bench) -> Result<String> {
    let mut details = String::new();
    for engine in &bench.cluster.engines {
        details.push_str(&bench.cluster.log_of(engine).await?["overloads"].to_string());
    }
    Ok(details)
}

async fn drop_caches(bench: &Bench) -> Result<()> {
    for engine in &bench.cluster.engines {
        let url = format!("http://{}/drop-cache", engine.address("")?);
        bench
            .cluster
            .http
            .post(url)
            .send()
            .await?
            .error_for_status()?;
    }
    Ok(())
}

/// Waits until each of the last prompt's blocks is on both stores: their numbers are equal, even
/// and no longer grow.
async fn wait_stored(bench: &Bench) -> Result<()> {
    let deadline = Instant::now() + LONG;
    let mut steady = 0;
    let mut last = HashSet::new();
    while steady < 10 {
        let mut counts = HashSet::new();
        for store in &bench.cluster.stores {
            let log: Value = bench.cluster.log_of(store).await?;
            counts.insert(log["blocks"].as_u64().unwrap_or(0));
        }
        let is_whole = counts.len() == 1 && !counts.contains(&0);
        steady = if is_whole && counts == last {
            steady + 1
        } else {
            0
        };
        last = counts;
        ensure(Instant::now() < deadline, || {
            format!("the stores hold {last:?} blocks")
        })?;
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Returns how many blocks failed verification on all agents.
async fn not_verified(bench: &Bench) -> Result<u64> {
    let mut sum = 0;
    for agent in &bench.cluster.agents {
        let url = format!("http://{}/metrics", agent.address("admin")?);
        let text = bench.cluster.http.get(url).send().await?.text().await?;
        sum += text
            .lines()
            .filter(|line| line.contains("not_verified"))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
            .sum::<u64>();
    }
    Ok(sum)
}
