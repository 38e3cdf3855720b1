//! Guards against an explanation that names other targets than a prompt goes to.

#[expect(dead_code, reason = "shared with the tests of rollouts and weights")]
mod support;

use std::time::Duration;

use rules::key_digest;
use serde_json::{Value, json};
use support::{World, is_ready};
use tokio::time::sleep;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_prompt_goes_where_the_entry_says() {
    let world = World::start(3).await;
    let digest = key_digest("a key")
        .map(|byte| format!("{byte:02x}"))
        .concat();
    let rules = format!("team t key={digest} # test: x\nmodel m weights=v1 # test: x\n");
    world.accept(&rules).await;
    let agents = [
        world.agent(0).await,
        world.agent(1).await,
        world.agent(2).await,
    ];
    let entry = world.entry().await;
    for agent in &agents {
        while !is_ready(agent).await {
            sleep(Duration::from_millis(20)).await;
        }
    }
    sleep(Duration::from_secs(3)).await;
    let http = reqwest::Client::new();
    let question = json!({ "team": "t", "model": "m", "prompt": "which way" });
    let url = format!("http://{}/explain", entry.admin());
    let answer = http.post(url).json(&question).send().await.unwrap();
    let answer: Value = answer.json().await.unwrap();
    let names = answer["candidates"].as_array().unwrap();
    assert_eq!(names.len(), 3, "{answer}");
    let chat = json!({ "model": "m", "max_tokens": 1,
        "messages": [{ "role": "user", "content": "which way" }] });
    let url = format!("http://{}/v1/chat/completions", entry.http());
    let request = http.post(url).bearer_auth("a key").json(&chat);
    assert_eq!(request.send().await.unwrap().status(), 200);
    let took = (0..3)
        .find(|&index| world.engine(index).taken == 1)
        .unwrap();
    assert_eq!(names[0], format!("a{took}"), "{answer}");
}
