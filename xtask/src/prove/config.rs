//! I5, I9 and I11: drains and the configuration in force.

use std::time::Duration;

use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::bench::{Bench, ensure, prompt};
use crate::Result;
use crate::cluster::Node;
use crate::relay::State;

/// How long after acceptance a drained target may still get work.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// How long after acceptance a configuration must be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// Guards against new work for a failure domain (I5) or a target (I9) that operators took out,
/// also when an entry was paused while they did, or cannot read the platform.
pub(super) async fn drained(bench: &mut Bench) -> Result<()> {
    let deployment = bench.cluster.deployment.clone();
    let domain = format!("domain {}", deployment.domain(0));
    let target = format!("target {}-0", deployment.model);
    for (kind, what) in [
        ("plain", &domain),
        ("entry paused", &target),
        ("entry cut from the platform", &domain),
        ("platform slow", &domain),
    ] {
        match kind {
            "entry paused" => bench.cluster.entries[0].process.signal(Signal::STOP)?,
            "entry cut from the platform" => set_platform_link(bench, "entry-0", true)?,
            "platform slow" => set_platform(bench, &json!({ "delay_ms": 300 })).await?,
            _ => {}
        }
        bench
            .cluster
            .apply_rules(&format!("drain {what} # desk: test\n"))
            .await?;
        let accepted = Instant::now();
        if kind == "entry paused" {
            sleep(Duration::from_millis(500)).await;
            bench.cluster.entries[0].process.signal(Signal::CONT)?;
        }
        let mut before = None;
        let mut sent = 0;
        while accepted.elapsed() < DRAIN_LIMIT * 2 {
            if before.is_none() && accepted.elapsed() >= DRAIN_LIMIT {
                before = Some(executed(bench).await?);
            }
            // Both entries, so that neither the entry nor the agent alone decides.
            let text = prompt("drain", 20);
            let _ = tokio::join!(bench.ask(0, 0, &text), bench.ask(1, 1, &text));
            let body = format!("body-drain-{sent}");
            let _ = bench.call(sent, None, &body, 2000).await;
            sent += 1;
        }
        let (engine, service) = executed(bench).await?;
        let before = before.ok_or("no requests were sent")?;
        let is_domain = what.starts_with("domain");
        let extra = engine - before.0 + if is_domain { service - before.1 } else { 0 };
        ensure(extra == 0, || {
            format!("{kind}: {extra} executions later than 3 s")
        })?;
        println!("  {what}, {kind}: 0 executions later than 3 s, {sent} x 3 requests");
        set_platform(bench, &json!({})).await?;
        set_platform_link(bench, "entry-0", false)?;
        bench.cluster.apply_rules("").await?;
        let undrained = Instant::now();
        while executed(bench).await?.0 == engine {
            ensure(undrained.elapsed() < Duration::from_secs(30), || {
                "the target gets no work again".to_owned()
            })?;
            let _ = bench.ask(0, 0, &prompt("undrain", 20)).await;
        }
    }
    Ok(())
}

/// Returns how often engine 0 and service 0 executed something.
async fn executed(bench: &Bench) -> Result<(usize, usize)> {
    let cluster = &bench.cluster;
    let engine = cluster.log_of(&cluster.engines[0]).await?;
    let service = cluster.log_of(&cluster.services[0]).await?;
    let count = |value: &Value| value.as_array().map_or(0, Vec::len);
    Ok((count(&engine["executed"]), count(&service)))
}

async fn set_platform(bench: &Bench, faults: &Value) -> Result<()> {
    bench
        .cluster
        .set_faults(&bench.cluster.platform, faults)
        .await
}

fn set_platform_link(bench: &Bench, from: &str, is_cut: bool) -> Result<()> {
    let name = format!("{from}>platform");
    let mut links = bench.cluster.links.iter();
    let link = links.find(|link| link.name == name);
    let state = State {
        is_cut,
        ..State::default()
    };
    link.ok_or("there is no such link")?.set(state);
    Ok(())
}

/// Guards against a configuration that is accepted and not in force everywhere within 4 s, that
/// two operators both believe to be theirs, or that a restart takes back (I11).
pub(super) async fn in_force(bench: &mut Bench) -> Result<()> {
    let mut slowest = Duration::ZERO;
    for round in 0..5 {
        let accepted = apply(bench, &format!("# round {round}\n")).await?;
        slowest = slowest.max(wait_in_force(bench, accepted).await?);
    }
    println!("  5 changes: in force everywhere within {slowest:?}");
    for round in 0..5 {
        let base = Some(head(bench).await?);
        let (first, second) = (format!("# {round} one\n"), format!("# {round} two\n"));
        let (first, second) = tokio::join!(
            bench.cluster.apply(&first, base),
            bench.cluster.apply(&second, base)
        );
        let codes = [first?.status.code(), second?.status.code()];
        let is_fair = codes.contains(&Some(0)) && codes.contains(&Some(3));
        ensure(is_fair, || {
            format!("two operators got exit codes {codes:?}")
        })?;
    }
    println!("  5 races of two operators: one accepted, the other told that it was too late");
    lost_answers(bench).await?;
    for entry in 0..2 {
        let accepted = head(bench).await?;
        wait_in_force(bench, accepted).await?;
        bench.cluster.entries[entry].process.kill().await?;
        bench.cluster.entries[entry].restart().await?;
        bench.cluster.wait_ready().await?;
        let version = version(bench, &bench.cluster.entries[entry]).await?;
        ensure(version >= accepted, || {
            format!("{version} after {accepted}")
        })?;
    }
    println!("  restarted processes are ready only with the accepted version");
    set_platform_link(bench, "entry-0", true)?;
    let accepted = apply(bench, "# cut\n").await?;
    let taken = wait_in_force(bench, accepted).await?;
    set_platform_link(bench, "entry-0", false)?;
    println!("  an entry cut from the platform: in force within {taken:?}");
    Ok(())
}

/// A change whose answer was lost is found by its id, not written again.
async fn lost_answers(bench: &Bench) -> Result<()> {
    for round in 0..6 {
        let before = head(bench).await?;
        let lost = json!({ "lose_answers": round % 3 + 1 });
        set_platform(bench, &lost).await?;
        let output = bench
            .cluster
            .apply(&format!("# lost {round}\n"), None)
            .await?;
        set_platform(bench, &json!({})).await?;
        let after = head(bench).await?;
        let fits = match output.status.code() {
            Some(0) => after == before + 1,
            Some(1) => after == before,
            Some(4) => after <= before + 1,
            _ => false,
        };
        ensure(fits, || {
            format!(
                "exit code {:?} but {before} became {after}",
                output.status.code()
            )
        })?;
    }
    println!("  6 changes whose answers were lost: the exit code is true");
    Ok(())
}

async fn apply(bench: &Bench, further: &str) -> Result<u64> {
    let output = bench.cluster.apply(further, None).await?;
    let text: Value = serde_json::from_slice(&output.stdout)?;
    Ok(text["accepted"]
        .as_u64()
        .ok_or("the change was not accepted")?)
}

async fn head(bench: &Bench) -> Result<u64> {
    let platform = bench.cluster.platform.address("")?;
    let url = format!("http://{platform}/v1/rows/config/head");
    let row: Value = bench.cluster.http.get(url).send().await?.json().await?;
    Ok(row["value"]["version"].as_u64().ok_or("no head")?)
}

async fn version(bench: &Bench, node: &Node) -> Result<u64> {
    let status = bench.cluster.status_of(node).await?;
    Ok(status["version"].as_u64().ok_or("no version")?)
}

/// Waits until all processes have a version; fails after 4 s.
async fn wait_in_force(bench: &Bench, accepted: u64) -> Result<Duration> {
    let started = Instant::now();
    for node in bench.cluster.agents.iter().chain(&bench.cluster.entries) {
        loop {
            let seen = version(bench, node).await?;
            if seen >= accepted {
                break;
            }
            ensure(started.elapsed() < IN_FORCE_LIMIT, || {
                format!("{} has {seen} 4 s after {accepted} was accepted", node.name)
            })?;
            sleep(Duration::from_millis(10)).await;
        }
    }
    Ok(started.elapsed())
}
