//! I6 and I10: answers are complete despite failures and graceful shutdowns.

use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;

use super::fixture::{End, Fixture, TIMEOUT, ensure, prompt, read_all};
use crate::Result;
use crate::relay::State;

/// Tokens of answers during which a fault is injected; generating them takes about 0.6 s.
const TOKENS: u32 = 300;

/// Guards against truncated, duplicated or mismatched answers (I6) when streams break at any point,
/// and against answers that another team can fetch (I2).
pub(super) async fn whole_answers(fixture: &mut Fixture) -> Result<()> {
    for after in [0, 1, 7, 19] {
        for engine in &fixture.cluster.engines {
            let cuts = json!({ "cut_streams": 1, "cut_after": after });
            fixture.cluster.set_faults(engine, &cuts).await?;
        }
        for _ in 0..3 {
            fixture.prompt_until_complete(0, &prompt("cut", 20)).await?;
        }
    }
    println!("  engine cuts streams: answers are complete");
    for kind in ["agent killed", "agent's link cut", "engine cold"] {
        let text = prompt("mid", 20);
        let mut stream = fixture.open(0, 1, &text, TOKENS).await?;
        stream.read_until(20).await?;
        let engine = stream.engine_index()?;
        match kind {
            "agent killed" => fixture.cluster.agents[engine].process.kill().await?,
            "engine cold" => {
                let address = fixture.cluster.engines[engine].address("")?;
                let url = format!("http://{address}/cold");
                fixture.cluster.http.post(url).send().await?;
            }
            _ => set_links(fixture, &format!("entry-0>agent-engine-{engine}"), true),
        }
        stream.read_until(u32::MAX).await?;
        stream
            .check_complete(&text, TOKENS)
            .map_err(|problem| format!("{kind}: {problem}"))?;
        if kind == "agent killed" {
            fixture.cluster.agents[engine].restart().await?;
            fixture.cluster.wait_ready().await?;
        }
        set_links(fixture, "entry-0>agent-engine", false);
        println!("  {kind} during the answer: it is complete");
    }
    entry_killed(fixture).await?;
    engines_fail_mid_stream(fixture).await
}

async fn entry_killed(fixture: &mut Fixture) -> Result<()> {
    let text = prompt("resume", 20);
    let mut stream = fixture.open(0, 1, &text, TOKENS).await?;
    stream.read_until(20).await?;
    fixture.cluster.entries[0].process.kill().await?;
    stream.read_until(u32::MAX).await?;
    ensure(stream.end == Some(End::Broken), || {
        format!("{:?}", stream.end)
    })?;
    let other_team = fixture.resume(1, 2, &mut stream).await?;
    ensure(other_team == 404, || {
        format!("another team got status {other_team}")
    })?;
    let same_team = fixture.resume(1, 1, &mut stream).await?;
    ensure(same_team == 200, || {
        format!("the resume got status {same_team}")
    })?;
    stream.read_until(u32::MAX).await?;
    stream.check_complete(&text, TOKENS)?;
    fixture.cluster.entries[0].restart().await?;
    fixture.cluster.wait_ready().await?;
    println!("  entry killed: resumed through the other one, complete; other teams get 404");
    Ok(())
}

/// All engines fail permanently during an answer: the caller must get an error event.
async fn engines_fail_mid_stream(fixture: &mut Fixture) -> Result<()> {
    let text = prompt("refused", 20);
    let mut stream = fixture.open(0, 1, &text, TOKENS).await?;
    stream.read_until(20).await?;
    for engine in &fixture.cluster.engines {
        let address = engine.address("")?;
        fixture
            .cluster
            .set_faults(engine, &json!({ "down": true }))
            .await?;
        let url = format!("http://{address}/cold");
        fixture.cluster.http.post(url).send().await?;
    }
    stream.read_until(u32::MAX).await?;
    for engine in &fixture.cluster.engines {
        fixture.cluster.set_faults(engine, &json!({})).await?;
    }
    let has_error = matches!(&stream.end, Some(End::Refused(ran)) if ran != "no");
    ensure(has_error, || {
        format!("the stream ended with {:?}", stream.end)
    })?;
    println!("  all engines fail during an answer: an error event says so");
    Ok(())
}

/// Guards against requests that are aborted by a graceful shutdown of entries or agents (I10).
pub(super) async fn shutdown(fixture: &mut Fixture) -> Result<()> {
    for round in 0..3 {
        let texts: Vec<_> = (0..4).map(|_| prompt("stop", 20)).collect();
        let mut streams = Vec::new();
        for text in &texts {
            let mut stream = fixture.open(0, 1, text, TOKENS).await?;
            stream.read_until(1).await?;
            streams.push(stream);
        }
        fixture.cluster.entries[0].process.signal(Signal::TERM)?;
        for agent in &fixture.cluster.agents {
            if round > 0 {
                agent.process.signal(Signal::TERM)?;
            }
        }
        read_all(&mut streams).await?;
        for (stream, text) in streams.iter().zip(&texts) {
            stream.check_complete(text, TOKENS)?;
        }
        // Open connections of callers must not delay the shutdown.
        drop(streams);
        let cluster = &mut fixture.cluster;
        let status = cluster.entries[0].process.wait(TIMEOUT).await?;
        ensure(status.success(), || {
            format!("the entry ended with {status}")
        })?;
        cluster.entries[0].restart().await?;
        if round > 0 {
            for agent in &mut cluster.agents {
                let status = agent.process.wait(TIMEOUT).await?;
                ensure(status.success(), || {
                    format!("{} ended with {status}", agent.name)
                })?;
                agent.restart().await?;
            }
        }
        cluster.wait_ready().await?;
    }
    println!("  SIGTERM during 12 answers: all complete, exit status 0");
    // A call in flight when its agent receives SIGTERM must be answered.
    let cluster = &fixture.cluster;
    for service in &cluster.services {
        cluster
            .set_faults(service, &json!({ "delay_ms": 500 }))
            .await?;
    }
    let stop = async {
        loop {
            for agent in &cluster.agents[cluster.engines.len()..] {
                if cluster.status_of(agent).await?["in_flight"] == 1 {
                    agent.process.signal(Signal::TERM)?;
                    return Result::Ok(());
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let stop = tokio::time::timeout(TIMEOUT, stop);
    let (reply, stopped) = tokio::join!(fixture.call(1, None, "body-stop", 10_000), stop);
    stopped??;
    let reply = reply?;
    ensure(reply.status == 200, || format!("the call got {reply:?}"))?;
    fixture.wait_executions("body-stop", 1).await?;
    println!("  SIGTERM during a call: it is answered");
    Ok(())
}

fn set_links(fixture: &Fixture, prefix: &str, is_cut: bool) {
    for link in &fixture.cluster.links {
        if link.name.starts_with(prefix) {
            link.set(State {
                is_cut,
                ..State::default()
            });
        }
    }
}
