//! I7 and I8: what ran at most once and what was told not to have run.

use rustix::process::Signal;
use serde_json::json;

use super::bench::{Bench, ensure, prompt};
use crate::Result;
use crate::relay::State;

/// Guards against a call that runs twice (I8) when it is sent through two entries at once, when
/// answers of the service or of the platform are lost, and when its agent is killed.
pub(super) async fn at_most_once(bench: &mut Bench) -> Result<()> {
    for round in 0..20 {
        let (key, body) = (format!("twice-{round}"), format!("body-twice-{round}"));
        let (first, second) = tokio::join!(
            bench.call(0, Some(&key), &body, 10_000),
            bench.call(1, Some(&key), &body, 10_000),
        );
        let again = bench.call(round, Some(&key), &body, 10_000).await?;
        for reply in [first?, second?] {
            let agrees = reply.status != 200 || reply.body == again.body;
            ensure(agrees, || format!("{reply:?} and then {again:?}"))?;
        }
        ensure(again.status == 200, || format!("no outcome: {again:?}"))?;
        bench.wait_runs(&body, 1).await?;
    }
    println!("  20 keys through two entries at once: each ran once");

    let cluster = &bench.cluster;
    for service in &cluster.services {
        cluster
            .set_faults(service, &json!({ "lose_answers": 1 }))
            .await?;
    }
    for round in 0..4 {
        let (key, body) = (format!("lost-{round}"), format!("body-lost-{round}"));
        let mut told = Vec::new();
        for entry in 0..4 {
            told.push(bench.call(entry, Some(&key), &body, 10_000).await?);
        }
        let runs = bench.runs(&body).await?;
        let all_no = told.iter().all(|reply| reply.ran == "no");
        let fits = runs == 0 && all_no || runs == 1 && !all_no;
        ensure(fits, || format!("{runs} runs, told {told:?}"))?;
        let keyless = format!("body-keyless-{round}");
        bench.call(round, None, &keyless, 10_000).await?;
        let runs = bench.runs(&keyless).await?;
        ensure(runs <= 1, || format!("{keyless} ran {runs} times"))?;
    }
    println!("  answers of the service lost: no call ran twice");

    for round in 0..8 {
        let (key, body) = (format!("claim-{round}"), format!("body-claim-{round}"));
        let lost = json!({ "lose_answers": round % 3 + 1 });
        bench
            .cluster
            .set_faults(&bench.cluster.platform, &lost)
            .await?;
        let mut reply = bench.call(0, Some(&key), &body, 10_000).await?;
        for entry in 0..6 {
            reply = bench.call(entry, Some(&key), &body, 10_000).await?;
        }
        let runs = bench.runs(&body).await?;
        ensure(runs <= 1, || format!("{body} ran {runs} times"))?;
        let fits = reply.status != 200 || runs == 1;
        ensure(fits, || format!("{reply:?} but {runs} runs"))?;
    }
    bench
        .cluster
        .set_faults(&bench.cluster.platform, &json!({}))
        .await?;
    println!("  answers of the platform lost: no call ran twice");
    agent_killed(bench).await
}

async fn agent_killed(bench: &mut Bench) -> Result<()> {
    for service in &bench.cluster.services {
        service.process.signal(Signal::STOP)?;
    }
    let body = "body-killed";
    // The service is frozen, so the caller gives up while the call is under way.
    let first = bench.call(0, Some("killed"), body, 1000).await?;
    ensure(first.ran == "maybe", || format!("told {first:?}"))?;
    let engines = bench.cluster.engines.len();
    for agent in &mut bench.cluster.agents[engines..] {
        agent.process.kill().await?;
    }
    for service in &bench.cluster.services {
        service.process.signal(Signal::CONT)?;
    }
    bench.wait_runs(body, 1).await?;
    for agent in &mut bench.cluster.agents[engines..] {
        agent.restart().await?;
    }
    bench.cluster.wait_ready().await?;
    for entry in 0..4 {
        let reply = bench.call(entry, Some("killed"), body, 10_000).await?;
        ensure(reply.ran == "maybe", || format!("told {reply:?}"))?;
    }
    bench.wait_runs(body, 1).await?;
    println!("  agents killed while a call ran: it ran once, later callers are told maybe");
    Ok(())
}

/// Guards against a refusal that says "not run" although the call ran or runs later (I7).
pub(super) async fn not_run(bench: &mut Bench) -> Result<()> {
    let cluster = &bench.cluster;
    cluster
        .set_faults(&cluster.platform, &json!({ "down": true }))
        .await?;
    let reply = bench.call(0, Some("down"), "body-down", 10_000).await?;
    ensure(reply.ran == "no", || format!("told {reply:?}"))?;
    let seen = bench.ask_whole(0, &prompt("down", 20)).await?;
    ensure(seen.is_done, || "a prompt needs no platform".to_owned())?;
    cluster.set_faults(&cluster.platform, &json!({})).await?;
    println!("  platform down: a call with a key is told no, prompts are answered");

    // A frozen service has the call already: "no" would be a lie.
    for service in &cluster.services {
        service.process.signal(Signal::STOP)?;
    }
    let frozen = bench.call(0, None, "body-frozen", 1000).await?;
    for service in &cluster.services {
        service.process.signal(Signal::CONT)?;
    }
    ensure(frozen.ran == "maybe", || format!("told {frozen:?}"))?;
    bench.wait_runs("body-frozen", 1).await?;
    println!("  service frozen: told maybe, and it ran later");

    let links: Vec<_> = cluster
        .links
        .iter()
        .filter(|link| link.name.starts_with("entry-0>agent-service"))
        .collect();
    let hold = |requests, answers| State {
        holds_requests: requests,
        holds_answers: answers,
        ..State::default()
    };
    let mut told = Vec::new();
    for (name, state) in [
        ("requests", hold(true, false)),
        ("answers", hold(false, true)),
        (
            "cut",
            State {
                is_cut: true,
                ..State::default()
            },
        ),
    ] {
        for link in &links {
            link.set(state);
        }
        let body = format!("body-{name}");
        let reply = bench.call(0, None, &body, 1500).await?;
        for link in &links {
            link.set(State::default());
        }
        told.push((name, body, reply));
    }
    // Later calls through the same entry show that the links work again; what was held has
    // arrived by then.
    let mut works = 0;
    for attempt in 0..200 {
        let reply = bench
            .call(0, None, &format!("body-later-{attempt}"), 2000)
            .await?;
        works += u32::from(reply.status == 200);
        if works == 6 {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    ensure(works == 6, || "the links do not work again".to_owned())?;
    bench.wait_idle().await?;
    for (name, body, reply) in told {
        let runs = bench.runs(&body).await?;
        let is_true = reply.ran != "no" || runs == 0;
        ensure(is_true, || format!("{name}: told no but ran {runs} times"))?;
        println!(
            "  link {name}: told {:?} {}, ran {runs} times",
            reply.ran, reply.status
        );
    }
    let runs = bench.runs("body-down").await?;
    ensure(runs == 0, || format!("told no but ran {runs} times"))
}
