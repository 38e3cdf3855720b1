//! I6 and I10: whole answers through failures and graceful shutdowns.

use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;

use super::bench::{Bench, Ended, LONG, ensure, prompt, read_all};
use crate::Result;
use crate::relay::State;

/// Tokens of answers during which something fails; they take about 0.6 s.
const TOKENS: u32 = 300;

/// Guards against cut, doubled or crossed answers (I6) when streams break anywhere, and against
/// answers that another team can fetch (I2).
pub(super) async fn whole_answers(bench: &mut Bench) -> Result<()> {
    for after in [0, 1, 7, 19] {
        for engine in &bench.cluster.engines {
            let cuts = json!({ "cut_streams": 1, "cut_after": after });
            bench.cluster.set_faults(engine, &cuts).await?;
        }
        for _ in 0..3 {
            bench.ask_whole(0, &prompt("cut", 20)).await?;
        }
    }
    println!("  engine cuts streams: answers are whole");
    for kind in ["agent killed", "agent's link cut", "engine cold"] {
        let text = prompt("mid", 20);
        let mut reading = bench.open(0, 1, &text, TOKENS).await?;
        reading.until(20).await?;
        let engine = reading.engine()?;
        match kind {
            "agent killed" => bench.cluster.agents[engine].process.kill().await?,
            "engine cold" => {
                let address = bench.cluster.engines[engine].address("")?;
                let url = format!("http://{address}/cold");
                bench.cluster.http.post(url).send().await?;
            }
            _ => set_links(bench, &format!("entry-0>agent-engine-{engine}"), true),
        }
        reading.until(u32::MAX).await?;
        reading
            .check_whole(&text, TOKENS)
            .map_err(|problem| format!("{kind}: {problem}"))?;
        if kind == "agent killed" {
            bench.cluster.agents[engine].restart().await?;
            bench.cluster.wait_ready().await?;
        }
        set_links(bench, "entry-0>agent-engine", false);
        println!("  {kind} during the answer: it is whole");
    }
    entry_killed(bench).await?;
    refused_in_the_middle(bench).await
}

async fn entry_killed(bench: &mut Bench) -> Result<()> {
    let text = prompt("resume", 20);
    let mut reading = bench.open(0, 1, &text, TOKENS).await?;
    reading.until(20).await?;
    bench.cluster.entries[0].process.kill().await?;
    reading.until(u32::MAX).await?;
    ensure(reading.end == Some(Ended::Broken), || {
        format!("{:?}", reading.end)
    })?;
    let foreign = bench.resume(1, 2, &mut reading).await?;
    ensure(foreign == 404, || {
        format!("another team got status {foreign}")
    })?;
    let own = bench.resume(1, 1, &mut reading).await?;
    ensure(own == 200, || format!("the resume got status {own}"))?;
    reading.until(u32::MAX).await?;
    reading.check_whole(&text, TOKENS)?;
    bench.cluster.entries[0].restart().await?;
    bench.cluster.wait_ready().await?;
    println!("  entry killed: resumed through the other one, whole; other teams get 404");
    Ok(())
}

/// All engines fail for good during an answer: the caller has to be told so.
async fn refused_in_the_middle(bench: &mut Bench) -> Result<()> {
    let text = prompt("refused", 20);
    let mut reading = bench.open(0, 1, &text, TOKENS).await?;
    reading.until(20).await?;
    for engine in &bench.cluster.engines {
        let address = engine.address("")?;
        bench
            .cluster
            .set_faults(engine, &json!({ "down": true }))
            .await?;
        let url = format!("http://{address}/cold");
        bench.cluster.http.post(url).send().await?;
    }
    reading.until(u32::MAX).await?;
    for engine in &bench.cluster.engines {
        bench.cluster.set_faults(engine, &json!({})).await?;
    }
    let is_told = matches!(&reading.end, Some(Ended::Refused(ran)) if ran != "no");
    ensure(is_told, || {
        format!("the stream ended with {:?}", reading.end)
    })?;
    println!("  all engines fail during an answer: an error event says so");
    Ok(())
}

/// Guards against requests that a graceful shutdown cuts off (I10), of entries and of agents.
pub(super) async fn shutdown(bench: &mut Bench) -> Result<()> {
    for round in 0..3 {
        let texts: Vec<_> = (0..4).map(|_| prompt("stop", 20)).collect();
        let mut readings = Vec::new();
        for text in &texts {
            let mut reading = bench.open(0, 1, text, TOKENS).await?;
            reading.until(1).await?;
            readings.push(reading);
        }
        bench.cluster.entries[0].process.signal(Signal::TERM)?;
        for agent in &bench.cluster.agents {
            if round > 0 {
                agent.process.signal(Signal::TERM)?;
            }
        }
        read_all(&mut readings).await?;
        for (reading, text) in readings.iter().zip(&texts) {
            reading.check_whole(text, TOKENS)?;
        }
        // A caller that keeps its connection open must not hold up the shutdown.
        drop(readings);
        let cluster = &mut bench.cluster;
        let status = cluster.entries[0].process.wait(LONG).await?;
        ensure(status.success(), || {
            format!("the entry ended with {status}")
        })?;
        cluster.entries[0].restart().await?;
        if round > 0 {
            for agent in &mut cluster.agents {
                let status = agent.process.wait(LONG).await?;
                ensure(status.success(), || {
                    format!("{} ended with {status}", agent.name)
                })?;
                agent.restart().await?;
            }
        }
        cluster.wait_ready().await?;
    }
    println!("  SIGTERM during 12 answers: all whole, exit status 0");
    // A call under way when its agent is told to stop is answered.
    let cluster = &bench.cluster;
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
    let stop = tokio::time::timeout(LONG, stop);
    let (reply, stopped) = tokio::join!(bench.call(1, None, "body-stop", 10_000), stop);
    stopped??;
    let reply = reply?;
    ensure(reply.status == 200, || format!("the call got {reply:?}"))?;
    bench.wait_runs("body-stop", 1).await?;
    println!("  SIGTERM during a call: it is answered");
    Ok(())
}

fn set_links(bench: &Bench, prefix: &str, is_cut: bool) {
    for link in &bench.cluster.links {
        if link.name.starts_with(prefix) {
            link.set(State {
                is_cut,
                ..State::default()
            });
        }
    }
}
