//! I7 and I8: calls run at most once, and "not run" is only reported if it is true.

use rustix::process::Signal;
use serde_json::json;

use super::fixture::{Fixture, ensure, prompt};
use crate::Result;
use crate::relay::State;

/// Guards against a call that runs twice (I8) when it is sent through two entries concurrently,
/// when responses of the service or the platform are lost, and when its agent is killed.
pub(super) async fn at_most_once(fixture: &mut Fixture) -> Result<()> {
    for round in 0..20 {
        let (key, body) = (format!("twice-{round}"), format!("body-twice-{round}"));
        let (first, second) = tokio::join!(
            fixture.call(0, Some(&key), &body, 10_000),
            fixture.call(1, Some(&key), &body, 10_000),
        );
        let repeated = fixture.call(round, Some(&key), &body, 10_000).await?;
        for reply in [first?, second?] {
            let agrees = reply.status != 200 || reply.body == repeated.body;
            ensure(agrees, || format!("{reply:?} and then {repeated:?}"))?;
        }
        ensure(repeated.status == 200, || {
            format!("no outcome: {repeated:?}")
        })?;
        fixture.wait_executions(&body, 1).await?;
    }
    println!("  20 keys through two entries at once: each ran once");

    let cluster = &fixture.cluster;
    for service in &cluster.services {
        cluster
            .set_faults(service, &json!({ "lose_answers": 1 }))
            .await?;
    }
    for round in 0..4 {
        let (key, body) = (format!("lost-{round}"), format!("body-lost-{round}"));
        let mut replies = Vec::new();
        for entry in 0..4 {
            replies.push(fixture.call(entry, Some(&key), &body, 10_000).await?);
        }
        let executions = fixture.executions(&body).await?;
        let all_not_run = replies.iter().all(|reply| reply.ran == "no");
        let is_consistent = executions == 0 && all_not_run || executions == 1 && !all_not_run;
        ensure(is_consistent, || {
            format!("{executions} runs, told {replies:?}")
        })?;
        let keyless = format!("body-keyless-{round}");
        fixture.call(round, None, &keyless, 10_000).await?;
        let executions = fixture.executions(&keyless).await?;
        ensure(executions <= 1, || {
            format!("{keyless} ran {executions} times")
        })?;
    }
    println!("  answers of the service lost: no call ran twice");

    for round in 0..8 {
        let (key, body) = (format!("claim-{round}"), format!("body-claim-{round}"));
        let lost = json!({ "lose_answers": round % 3 + 1 });
        fixture
            .cluster
            .set_faults(&fixture.cluster.platform, &lost)
            .await?;
        let mut reply = fixture.call(0, Some(&key), &body, 10_000).await?;
        for entry in 0..6 {
            reply = fixture.call(entry, Some(&key), &body, 10_000).await?;
        }
        let executions = fixture.executions(&body).await?;
        ensure(executions <= 1, || format!("{body} ran {executions} times"))?;
        let is_consistent = reply.status != 200 || executions == 1;
        ensure(is_consistent, || {
            format!("{reply:?} but {executions} executions")
        })?;
    }
    fixture
        .cluster
        .set_faults(&fixture.cluster.platform, &json!({}))
        .await?;
    println!("  answers of the platform lost: no call ran twice");
    agent_killed(fixture).await
}

async fn agent_killed(fixture: &mut Fixture) -> Result<()> {
    let body = "body-killed";
    let engines = fixture.cluster.engines.len();
    // The service executes the call immediately and responds later; the agents are killed in
    // between.
    let kill = async {
        fixture.wait_executions(body, 1).await?;
        for agent in &fixture.cluster.agents[engines..] {
            agent.process.signal(Signal::KILL)?;
        }
        Result::Ok(())
    };
    let (first, killed) = tokio::join!(fixture.call(0, Some("killed"), body, 10_000), kill);
    killed?;
    let first = first?;
    ensure(first.ran == "maybe", || format!("told {first:?}"))?;
    for agent in &mut fixture.cluster.agents[engines..] {
        agent.process.kill().await?;
        agent.restart().await?;
    }
    fixture.cluster.wait_ready().await?;
    for entry in 0..4 {
        let reply = fixture.call(entry, Some("killed"), body, 10_000).await?;
        ensure(reply.ran == "maybe", || format!("told {reply:?}"))?;
    }
    fixture.wait_executions(body, 1).await?;
    println!("  agents killed while a call ran: it ran once, later callers are told maybe");
    Ok(())
}

/// Guards against a refusal that reports "not run" although the call ran or runs later (I7).
pub(super) async fn not_run(fixture: &mut Fixture) -> Result<()> {
    let cluster = &fixture.cluster;
    cluster
        .set_faults(&cluster.platform, &json!({ "down": true }))
        .await?;
    let reply = fixture.call(0, Some("down"), "body-down", 10_000).await?;
    ensure(reply.ran == "no", || format!("told {reply:?}"))?;
    let answer = fixture
        .prompt_until_complete(0, &prompt("down", 20))
        .await?;
    ensure(answer.is_done, || {
        "a prompt was not answered while the platform was down".to_owned()
    })?;
    cluster.set_faults(&cluster.platform, &json!({})).await?;
    println!("  platform down: a call with a key is told no, prompts are answered");

    // The frozen service has already received the call, so "no" would be wrong.
    for service in &cluster.services {
        service.process.signal(Signal::STOP)?;
    }
    let frozen = fixture.call(0, None, "body-frozen", 1000).await?;
    for service in &cluster.services {
        service.process.signal(Signal::CONT)?;
    }
    ensure(frozen.ran == "maybe", || format!("told {frozen:?}"))?;
    fixture.wait_executions("body-frozen", 1).await?;
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
    let mut replies = Vec::new();
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
        let reply = fixture.call(0, None, &body, 1500).await?;
        for link in &links {
            link.set(State::default());
        }
        // A successful call means that the fault had no effect, and the test would check nothing.
        ensure(reply.status != 200, || {
            format!("link {name}: the fault was bypassed")
        })?;
        replies.push((name, body, reply));
    }
    // Successful calls through the same entry show that the links work again and that data held
    // back by them has arrived.
    let mut successes = 0;
    for attempt in 0..200 {
        let reply = fixture
            .call(0, None, &format!("body-later-{attempt}"), 2000)
            .await?;
        successes += u32::from(reply.status == 200);
        if successes == 6 {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    ensure(successes == 6, || "the links do not work again".to_owned())?;
    fixture.wait_idle().await?;
    for (name, body, reply) in replies {
        let executions = fixture.executions(&body).await?;
        let is_consistent = reply.ran != "no" || executions == 0;
        ensure(is_consistent, || {
            format!("{name}: told no but ran {executions} times")
        })?;
        println!(
            "  link {name}: told {:?} {}, ran {executions} times",
            reply.ran, reply.status
        );
    }
    let executions = fixture.executions("body-down").await?;
    ensure(executions == 0, || {
        format!("told no but ran {executions} times")
    })
}
