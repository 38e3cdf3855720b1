//! I5, I9 and I11: drains, and propagation of the configuration.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::fixture::{Fixture, ensure, prompt};
use crate::Result;
use crate::cluster::Node;
use crate::relay::State;

/// How long after its acceptance a drain must have taken effect.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// How long after its acceptance a configuration must be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

/// Guards against new work for a drained failure domain (I5) or target (I9), also when an entry was
/// paused during the drain or cannot reach the platform.
pub(super) async fn drained(fixture: &mut Fixture) -> Result<()> {
    let deployment = fixture.cluster.deployment.clone();
    let domain = format!("domain {}", deployment.domain(0));
    let target = format!("target {}-0", deployment.model);
    for (kind, subject) in [
        ("plain", &domain),
        ("entry paused", &target),
        ("entry cut from the platform", &domain),
        ("platform slow", &domain),
    ] {
        match kind {
            "entry paused" => fixture.cluster.entries[0].process.signal(Signal::STOP)?,
            "entry cut from the platform" => set_platform_link(fixture, "entry-0", true)?,
            "platform slow" => set_platform(fixture, &json!({ "delay_ms": 300 })).await?,
            _ => {}
        }
        fixture
            .cluster
            .apply_rules(&format!("drain {subject} # desk: test\n"))
            .await?;
        let accepted = Instant::now();
        if kind == "entry paused" {
            sleep(Duration::from_millis(500)).await;
            fixture.cluster.entries[0].process.signal(Signal::CONT)?;
        }
        let mut before = None;
        let mut sent = 0;
        while accepted.elapsed() < DRAIN_LIMIT * 2 {
            if before.is_none() && accepted.elapsed() >= DRAIN_LIMIT {
                before = Some(executed(fixture).await?);
            }
            // Use both entries, so that entries and agents are both tested.
            let text = prompt("drain", 20);
            let _ = tokio::join!(
                fixture.send_prompt(0, 0, &text),
                fixture.send_prompt(1, 1, &text)
            );
            let body = format!("body-drain-{sent}");
            let _ = fixture.call(sent, None, &body, 2000).await;
            sent += 1;
        }
        let (engine, service) = executed(fixture).await?;
        let before = before.ok_or("no requests were sent")?;
        let is_domain = subject.starts_with("domain");
        let extra = engine - before.0 + if is_domain { service - before.1 } else { 0 };
        ensure(extra == 0, || {
            format!("{kind}: {extra} executions later than 3 s")
        })?;
        println!("  {subject}, {kind}: 0 executions later than 3 s, {sent} x 3 requests");
        set_platform(fixture, &json!({})).await?;
        set_platform_link(fixture, "entry-0", false)?;
        fixture.cluster.apply_rules("").await?;
        let undrained = Instant::now();
        while executed(fixture).await?.0 == engine {
            ensure(undrained.elapsed() < Duration::from_secs(30), || {
                "the target gets no work again".to_owned()
            })?;
            let _ = fixture.send_prompt(0, 0, &prompt("undrain", 20)).await;
        }
    }
    Ok(())
}

/// Returns the number of executions of engine 0 and service 0.
async fn executed(fixture: &Fixture) -> Result<(usize, usize)> {
    let cluster = &fixture.cluster;
    let engine = cluster.log_of(&cluster.engines[0]).await?;
    let service = cluster.log_of(&cluster.services[0]).await?;
    let count = |value: &Value| value.as_array().map_or(0, Vec::len);
    Ok((count(&engine["executed"]), count(&service)))
}

async fn set_platform(fixture: &Fixture, faults: &Value) -> Result<()> {
    fixture
        .cluster
        .set_faults(&fixture.cluster.platform, faults)
        .await
}

fn set_platform_link(fixture: &Fixture, from: &str, is_cut: bool) -> Result<()> {
    let name = format!("{from}>platform");
    let mut links = fixture.cluster.links.iter();
    let link = links.find(|link| link.name == name);
    let state = State {
        is_cut,
        ..State::default()
    };
    link.ok_or("there is no such link")?.set(state);
    Ok(())
}

/// Guards against a configuration that is not in force everywhere within 4 s of its acceptance,
/// that is reported as accepted to two operators, or that is reverted by a restart (I11).
pub(super) async fn in_force(fixture: &mut Fixture) -> Result<()> {
    let mut slowest = Duration::ZERO;
    for round in 0..5 {
        let accepted = apply(fixture, &format!("# round {round}\n")).await?;
        slowest = slowest.max(wait_in_force(fixture, accepted).await?);
    }
    println!("  5 changes: in force everywhere within {slowest:?}");
    for round in 0..5 {
        let base = Some(head(fixture).await?);
        let (first, second) = (format!("# {round} one\n"), format!("# {round} two\n"));
        let (first, second) = tokio::join!(
            fixture.cluster.apply(&first, base),
            fixture.cluster.apply(&second, base)
        );
        let codes = [first?.status.code(), second?.status.code()];
        let is_one_accepted = codes.contains(&Some(0)) && codes.contains(&Some(3));
        ensure(is_one_accepted, || {
            format!("two operators got exit codes {codes:?}")
        })?;
    }
    println!("  5 races of two operators: one accepted, the other told that it was too late");
    lost_answers(fixture).await?;
    for entry in 0..2 {
        let accepted = head(fixture).await?;
        wait_in_force(fixture, accepted).await?;
        fixture.cluster.entries[entry].process.kill().await?;
        fixture.cluster.entries[entry].restart().await?;
        fixture.cluster.wait_ready().await?;
        let version = version(fixture, &fixture.cluster.entries[entry]).await?;
        ensure(version >= accepted, || {
            format!("{version} after {accepted}")
        })?;
    }
    println!("  restarted processes are ready only with the accepted version");
    restart_all(fixture).await
}

/// All processes are killed and restarted at the same time while a drain is in force.
async fn restart_all(fixture: &mut Fixture) -> Result<()> {
    let domain = fixture.cluster.deployment.domain(0).to_owned();
    fixture.call(0, Some("all"), "body-all", 10_000).await?;
    let drain = format!("drain domain {domain} # desk: test\n");
    let accepted = apply(fixture, &drain).await?;
    wait_in_force(fixture, accepted).await?;
    let before = executed(fixture).await?;
    let cluster = &mut fixture.cluster;
    for node in cluster.agents.iter_mut().chain(&mut cluster.entries) {
        node.process.kill().await?;
    }
    let nodes = cluster.entries.iter_mut().chain(&mut cluster.agents);
    let mut starts: FuturesUnordered<_> = nodes.map(Node::restart).collect();
    while let Some(started) = starts.next().await {
        started?;
    }
    drop(starts);
    cluster.wait_ready().await?;
    for node in fixture
        .cluster
        .agents
        .iter()
        .chain(&fixture.cluster.entries)
    {
        let version = version(fixture, node).await?;
        ensure(version >= accepted, || {
            format!(
                "{} is ready with {version}, {accepted} was accepted",
                node.name
            )
        })?;
    }
    for entry in 0..10 {
        fixture.prompt_until_complete(0, &prompt("all", 20)).await?;
        let reply = fixture.call(entry, Some("all"), "body-all", 10_000).await?;
        ensure(reply.status == 200, || format!("the key got {reply:?}"))?;
    }
    fixture.wait_executions("body-all", 1).await?;
    let after = executed(fixture).await?;
    ensure(before == after, || {
        format!("drained targets went from {before:?} to {after:?}")
    })?;
    println!("  all processes killed at once: the drain and the outcome of a key are kept");
    Ok(())
}

/// Guards against a configuration that does not reach a process without a connection to the
/// platform, although other processes have it (I11).
pub(super) async fn in_force_cut(fixture: &mut Fixture) -> Result<()> {
    for name in ["entry-0", "agent-engine-0"] {
        set_platform_link(fixture, name, true)?;
        let accepted = apply(fixture, &format!("# {name} is cut\n")).await?;
        let elapsed = wait_in_force(fixture, accepted).await?;
        set_platform_link(fixture, name, false)?;
        println!("  {name} is cut from the platform: in force within {elapsed:?}");
    }
    Ok(())
}

/// A change whose response was lost is found by its id and not applied twice.
async fn lost_answers(fixture: &Fixture) -> Result<()> {
    for round in 0..6 {
        let before = head(fixture).await?;
        let lost = json!({ "lose_answers": round % 3 + 1 });
        set_platform(fixture, &lost).await?;
        let output = fixture
            .cluster
            .apply(&format!("# lost {round}\n"), None)
            .await?;
        set_platform(fixture, &json!({})).await?;
        let after = head(fixture).await?;
        let is_consistent = match output.status.code() {
            Some(0) => after == before + 1,
            Some(1) => after == before,
            Some(4) => after <= before + 1,
            _ => false,
        };
        ensure(is_consistent, || {
            format!(
                "exit code {:?} but {before} became {after}",
                output.status.code()
            )
        })?;
    }
    println!("  6 changes whose answers were lost: the exit code is true");
    Ok(())
}

async fn apply(fixture: &Fixture, further: &str) -> Result<u64> {
    let output = fixture.cluster.apply(further, None).await?;
    let text: Value = serde_json::from_slice(&output.stdout)?;
    Ok(text["accepted"]
        .as_u64()
        .ok_or("the change was not accepted")?)
}

async fn head(fixture: &Fixture) -> Result<u64> {
    let platform = fixture.cluster.platform.address("")?;
    let url = format!("http://{platform}/v1/rows/config/head");
    let row: Value = fixture.cluster.http.get(url).send().await?.json().await?;
    Ok(row["value"]["version"].as_u64().ok_or("no head")?)
}

async fn version(fixture: &Fixture, node: &Node) -> Result<u64> {
    let status = fixture.cluster.status_of(node).await?;
    Ok(status["version"].as_u64().ok_or("no version")?)
}

/// Waits until all processes have a version; fails after 4 s.
async fn wait_in_force(fixture: &Fixture, accepted: u64) -> Result<Duration> {
    let started = Instant::now();
    for node in fixture
        .cluster
        .agents
        .iter()
        .chain(&fixture.cluster.entries)
    {
        loop {
            let seen = version(fixture, node).await?;
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
