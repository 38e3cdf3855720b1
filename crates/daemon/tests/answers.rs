//! Guards against completions that are truncated, repeated or mixed up after a fault on their way,
//! and against tokens that are generated for nobody.

mod common;

use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::fake::Engine;
use common::{Cluster, Process, expected_events, parse_events, until};
use futures_util::StreamExt;
use serde_json::{Value, json};
use types::{Request, Verdict, Version};
use wire::{Admitted, Digest, End, Event, Frame, Load, Reason, Refused, Usage};

const TOKENS: u32 = 40;

async fn start(engines: &[&Engine]) -> (Cluster, Vec<Process>) {
    let cluster = Cluster::start().await;
    let mut agents = Vec::new();
    let names: Vec<String> = (0..engines.len())
        .map(|index| format!("engine-{index}"))
        .collect();
    for (name, engine) in names.iter().zip(engines) {
        agents.push(cluster.engine(name, engine.address).await);
    }
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    cluster
        .ready(&names, &agents.iter().collect::<Vec<_>>())
        .await;
    (cluster, agents)
}

async fn assert_complete(cluster: &Cluster) {
    let response = cluster.prompt(0, TOKENS).send().await.unwrap();
    assert_eq!(response.status(), 200);
    let body = response.text().await.unwrap();
    assert_eq!(
        parse_events(&body),
        (expected_events(TOKENS), true),
        "{body}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_engine_stream_is_resumed_at_the_same_engine() {
    let engine = Engine::start().await;
    let (cluster, _agents) = start(&[&engine]).await;
    engine.state.truncate_after.store(7, SeqCst);
    engine.state.truncations.store(2, SeqCst);
    assert_complete(&cluster).await;
    assert_eq!(engine.state.started.load(SeqCst), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_lost_by_the_engine_is_continued_at_another() {
    let (one, two) = (Engine::start().await, Engine::start().await);
    let (cluster, _agents) = start(&[&one, &two]).await;
    for engine in [&one, &two] {
        engine.state.is_resumable.store(false, SeqCst);
        engine.state.truncate_after.store(7, SeqCst);
        engine.state.truncations.store(1, SeqCst);
    }
    assert_complete(&cluster).await;
    let started = [&one, &two].map(|engine| engine.state.started.load(SeqCst));
    assert!(started.iter().sum::<u32>() >= 2, "{started:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_agent_does_not_truncate_the_completion() {
    let (one, two) = (Engine::start().await, Engine::start().await);
    let (cluster, mut agents) = start(&[&one, &two]).await;
    for engine in [&one, &two] {
        engine.state.token_limit.send_replace(5);
    }
    let mut events = cluster
        .prompt(0, TOKENS)
        .send()
        .await
        .unwrap()
        .bytes_stream();
    let mut body = events.next().await.unwrap().unwrap().to_vec();
    let running = usize::from(one.state.started.load(SeqCst) == 0);
    agents[running].kill();
    for engine in [&one, &two] {
        engine.state.token_limit.send_replace(u32::MAX);
    }
    while let Some(chunk) = events.next().await {
        body.extend_from_slice(&chunk.unwrap());
    }
    let body = String::from_utf8(body).unwrap();
    assert_eq!(
        parse_events(&body),
        (expected_events(TOKENS), true),
        "{body}"
    );
}

/// Starts a cluster with a member that responds as the script says and then ends the stream.
async fn scripted(script: fn(Frame) -> Vec<Frame>) -> (Cluster, Arc<Mutex<Vec<Frame>>>) {
    let cluster = Cluster::start().await;
    let received = cluster.scripted(script).await;
    (cluster, received)
}

fn admitted() -> Frame {
    Frame::Admitted(Admitted {
        load: Load::default(),
        version: Version(1),
    })
}

fn events(request: Request, seqs: std::ops::Range<u32>) -> Vec<Frame> {
    seqs.map(|seq| {
        Frame::Event(Event {
            request,
            seq,
            text: format!("t{seq} ").into(),
        })
    })
    .collect()
}

fn end(request: Request, tokens: u32) -> Frame {
    let mut digest = Digest::default();
    expected_events(tokens)
        .iter()
        .for_each(|text| digest.update(text));
    Frame::End(End {
        request,
        events: tokens,
        digest: digest.finalize(),
        finish_reason: "stop".into(),
        usage: Usage::default(),
        load: Load::default(),
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_between_entry_and_agent_is_resumed_after_the_last_event() {
    let (cluster, received) = scripted(|frame| match frame {
        Frame::Dispatch(dispatch) => {
            let mut frames = vec![admitted()];
            frames.extend(events(dispatch.request, 0..3));
            frames
        }
        Frame::Resume(resume) => {
            // Repeats an event that the entry already has.
            let mut frames = events(resume.request, resume.from - 1..6);
            frames.push(end(resume.request, 6));
            frames
        }
        _ => Vec::new(),
    })
    .await;
    let body = cluster.complete(0, 6).await;
    assert_eq!(parse_events(&body), (expected_events(6), true), "{body}");
    let is_resumed = matches!(&received.lock().unwrap()[..], [Frame::Dispatch(_), Frame::Resume(resume)] if resume.from == 3);
    assert!(is_resumed);
}

#[tokio::test(flavor = "multi_thread")]
async fn frames_of_another_request_never_reach_a_caller() {
    let (cluster, _received) = scripted(|frame| match frame {
        Frame::Dispatch(dispatch) => {
            let mut frames = vec![admitted()];
            frames.extend(events(dispatch.request, 0..2));
            frames.extend(events(Request(dispatch.request.0 ^ 1), 2..6));
            frames.push(end(dispatch.request, 6));
            frames
        }
        Frame::Resume(resume) => {
            let mut frames = events(resume.request, resume.from..6);
            frames.push(end(resume.request, 6));
            frames
                .into_iter()
                .map(|frame| match frame {
                    Frame::Event(event) => Frame::Event(Event {
                        text: format!("t{} ", event.seq).into(),
                        ..event
                    }),
                    other => other,
                })
                .collect()
        }
        _ => Vec::new(),
    })
    .await;
    let body = cluster.complete(0, 6).await;
    assert_eq!(parse_events(&body), (expected_events(6), true), "{body}");
    let url = format!("http://{}/metrics", cluster.entries[0].admin());
    let metrics = cluster
        .http
        .get(url)
        .send()
        .await
        .unwrap()
        .text()
        .await
        .unwrap();
    let is_counted = metrics.contains("boragereel_refusals_total{reason=\"crossed\"} 1");
    assert!(is_counted, "{metrics}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_with_a_wrong_digest_is_not_reported_as_complete() {
    let (cluster, _received) = scripted(|frame| match frame {
        Frame::Dispatch(dispatch) => {
            let mut frames = vec![admitted()];
            frames.extend(events(dispatch.request, 0..2));
            let Frame::End(end) = end(dispatch.request, 2) else {
                return frames;
            };
            frames.push(Frame::End(End {
                digest: [0; 32],
                ..end
            }));
            frames
        }
        _ => Vec::new(),
    })
    .await;
    let body = cluster.complete(0, 2).await;
    assert!(
        !parse_events(&body).1 && body.contains("\"ran\":\"yes\""),
        "{body}"
    );
}

/// Guards against a "not run" of the last try that hides that an earlier try may have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_after_a_broken_try_does_not_report_not_run() {
    let (cluster, _received) = scripted(|frame| match frame {
        // The prompt gets no response, then it is refused as not run.
        Frame::Resume(resume) => vec![Frame::Refused(Refused {
            request: resume.request,
            verdict: Verdict::NotRun,
            reason: Reason::Full,
            retry_after_ms: 10,
            load: Load::default(),
        })],
        _ => Vec::new(),
    })
    .await;
    let response = cluster.prompt(0, 2).send().await.unwrap();
    let body: Value = response.json().await.unwrap();
    assert_eq!(body["error"]["ran"], "maybe", "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_is_resumed_at_another_entry_only_by_its_team() {
    let engine = Engine::start().await;
    let (cluster, mut agents) = start(&[&engine]).await;
    engine.state.token_limit.send_replace(10);
    let response = cluster.prompt(0, TOKENS).send().await.unwrap();
    let token = response.headers()["x-resume-token"]
        .to_str()
        .unwrap()
        .to_owned();
    let mut chunks = response.bytes_stream();
    let mut body = String::new();
    while parse_events(&body).0.len() < 4 {
        body.push_str(std::str::from_utf8(&chunks.next().await.unwrap().unwrap()).unwrap());
    }
    drop(chunks);
    let event_count = parse_events(&body).0.len();
    let resumed = cluster
        .resume(1, &token, "key-a")
        .header("last-event-id", (event_count - 1).to_string());
    let response = resumed.send().await.unwrap();
    engine.state.token_limit.send_replace(u32::MAX);
    let rest = parse_events(&response.text().await.unwrap());
    assert_eq!(
        rest,
        (expected_events(TOKENS)[event_count..].to_vec(), true)
    );
    // A token used by another team and a token whose agent is gone get the same status.
    let other_team = cluster.resume(1, &token, "key-b").send().await.unwrap();
    assert_eq!(other_team.status(), 404);
    agents[0].kill();
    let after_kill = cluster.resume(1, &token, "key-a").send().await.unwrap();
    let (status, body): (_, Value) = (after_kill.status(), after_kill.json().await.unwrap());
    assert_eq!(
        (status.as_u16(), &body["error"]["ran"]),
        (404, &json!("maybe")),
        "{body}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_under_load_truncates_no_completion() {
    let (one, two) = (Engine::start().await, Engine::start().await);
    let (mut cluster, mut agents) = start(&[&one, &two]).await;
    for engine in [&one, &two] {
        engine.state.token_limit.send_replace(3);
    }
    let completions: Vec<_> = (0..6)
        .map(|_| tokio::spawn(cluster.prompt(0, TOKENS).send()))
        .collect();
    let started = || one.state.started.load(SeqCst) + two.state.started.load(SeqCst);
    until("the prompts run", async || started() == 6).await;
    // Idle connections of callers must not delay the drain of the entry.
    let idle = tokio::net::TcpStream::connect(cluster.entries[0].http())
        .await
        .unwrap();
    let running = usize::from(one.state.started.load(SeqCst) == 0);
    let stopping = agents[running].agent.take().unwrap();
    let drained = tokio::spawn(async move { stopping.drain().await });
    let mut entry = tokio::spawn(cluster.entries.remove(0).drain());
    // Neither may end while completions run.
    assert!(
        tokio::time::timeout(Duration::from_millis(100), &mut entry)
            .await
            .is_err()
    );
    assert!(!drained.is_finished());
    for engine in [&one, &two] {
        engine.state.token_limit.send_replace(u32::MAX);
    }
    for completion in completions {
        let body = completion.await.unwrap().unwrap().text().await.unwrap();
        assert_eq!(
            parse_events(&body),
            (expected_events(TOKENS), true),
            "{body}"
        );
    }
    until("the entry is drained", async || entry.is_finished()).await;
    until("the agent is drained", async || drained.is_finished()).await;
    drop(idle);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_without_readers_is_cancelled_at_the_engine() {
    let engine = Engine::start().await;
    let (cluster, _agents) = start(&[&engine]).await;
    engine.state.token_limit.send_replace(3);
    let mut chunks = cluster
        .prompt(0, TOKENS)
        .send()
        .await
        .unwrap()
        .bytes_stream();
    chunks.next().await.unwrap().unwrap();
    assert_eq!(engine.state.cancelled.load(SeqCst), 0);
    drop(chunks);
    until("the completion is cancelled", async || {
        engine.state.cancelled.load(SeqCst) == 1
    })
    .await;
}
