//! Changes of the weights while a prompt is on its way to the engine: block ids derived from the old
//! weights must not be bound to blocks of the new ones.

#[expect(
    dead_code,
    reason = "shared with the test of rollouts, which uses the rest"
)]
mod support;

use std::time::Duration;

use daemon::agent::Agent;
use rules::Priority;
use support::{Deployment, is_ready};
use tokio::time::sleep;
use types::{Attempt, Model, Request, Team, Verdict, Version};
use wire::{Client, Dispatch, Frame, Key, Keys, Prompt, Work};

async fn start() -> (Deployment, Agent) {
    let deployment = Deployment::start(1).await;
    deployment
        .accept_rules("model m weights=v1 # test: x\n")
        .await;
    let agent = deployment.agent(0).await;
    while !is_ready(&agent).await {
        sleep(Duration::from_millis(20)).await;
    }
    // The agent learns the weights with its first probe.
    sleep(Duration::from_secs(1)).await;
    (deployment, agent)
}

/// Sends a prompt of two blocks and returns all frames of the response.
async fn send_prompt(agent: &Agent) -> Vec<Frame> {
    let text: Vec<String> = (0..2100).map(|word| format!("w{word}")).collect();
    let dispatch = Dispatch {
        request: Request(1),
        attempt: Attempt(2),
        team: Team::from("a"),
        priority: Priority::Normal,
        deadline_ms: 5000,
        version: Version(1),
        uncached_tokens: 2100,
        max_wait_ms: u32::MAX,
        work: Work::Prompt(Prompt {
            model: Model::from("m"),
            text: text.join(" ").into(),
            max_tokens: 1,
            delivered: Vec::new(),
        }),
    };
    let keys = Keys::new(vec![Key::new("a cluster key of a test")]).unwrap();
    let mut stream = Client::new(keys).open(agent.address()).await.unwrap();
    stream
        .sender
        .send(&Frame::Dispatch(dispatch))
        .await
        .unwrap();
    let mut frames = Vec::new();
    while let Ok(Some(frame)) = stream.receiver.recv().await {
        let last = matches!(frame, Frame::End(_) | Frame::Refused(_));
        frames.push(frame);
        if last {
            break;
        }
    }
    frames
}

/// Guards against a completion that is computed with other weights than its block ids are derived
/// from.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_completion_under_other_weights_is_cancelled() {
    let (deployment, agent) = start().await;
    deployment.engine(0).swap_weights = true;
    let frames = send_prompt(&agent).await;
    let refused =
        matches!(&frames[..], [Frame::Refused(refused)] if refused.verdict != Verdict::Ran);
    assert!(refused, "{frames:?}");
    sleep(Duration::from_millis(500)).await;
    let engine = deployment.engine(0);
    assert_eq!(
        (
            engine.cancelled,
            engine.exported,
            deployment.stored_blocks()
        ),
        (1, 0, 0)
    );
}

/// Guards against storing a block that was read from an engine after it had loaded other weights.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_block_is_not_stored_after_the_engine_restarted() {
    let (deployment, agent) = start().await;
    let frames = send_prompt(&agent).await;
    assert!(matches!(frames.last(), Some(Frame::End(_))), "{frames:?}");
    deployment
        .wait("the export", || deployment.engine(0).exported > 0)
        .await;
    sleep(Duration::from_millis(500)).await;
    assert_eq!(
        (deployment.engine(0).exported, deployment.stored_blocks()),
        (1, 0)
    );
}
