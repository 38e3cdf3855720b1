//! Guards against an explanation that lists other targets than the one a prompt is sent to.

#[expect(dead_code, reason = "shared with the tests of rollouts and weights")]
mod support;

use std::time::Duration;

use rules::key_digest;
use serde_json::{Value, json};
use support::{Deployment, is_ready};
use tokio::time::sleep;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_prompt_is_sent_to_the_first_explained_candidate() {
    let deployment = Deployment::start(3).await;
    let digest = key_digest("a key")
        .map(|byte| format!("{byte:02x}"))
        .concat();
    let rules = format!("team t key={digest} # test: x\nmodel m weights=v1 # test: x\n");
    deployment.accept_rules(&rules).await;
    let agents = [
        deployment.agent(0).await,
        deployment.agent(1).await,
        deployment.agent(2).await,
    ];
    let entry = deployment.entry().await;
    for agent in &agents {
        while !is_ready(agent).await {
            sleep(Duration::from_millis(20)).await;
        }
    }
    sleep(Duration::from_secs(3)).await;
    let http = reqwest::Client::new();
    let query = json!({ "team": "t", "model": "m", "prompt": "which way" });
    let url = format!("http://{}/explain", entry.admin());
    let explanation = http.post(url).json(&query).send().await.unwrap();
    let explanation: Value = explanation.json().await.unwrap();
    let names = explanation["candidates"].as_array().unwrap();
    assert_eq!(names.len(), 3, "{explanation}");
    let chat = json!({ "model": "m", "max_tokens": 1,
        "messages": [{ "role": "user", "content": "which way" }] });
    let url = format!("http://{}/v1/chat/completions", entry.http());
    let request = http.post(url).bearer_auth("a key").json(&chat);
    assert_eq!(request.send().await.unwrap().status(), 200);
    let receiver = (0..3)
        .find(|&index| deployment.engine(index).accepted == 1)
        .unwrap();
    assert_eq!(names[0], format!("a{receiver}"), "{explanation}");
}
