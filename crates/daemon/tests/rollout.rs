//! Weight rollouts by agents in one process, against a platform and engines of the test.

mod support;

use std::time::Duration;

use serde_json::json;
use support::{World, is_ready, status};
use tokio::time::{Instant, sleep};

/// Guards against a rollout that takes all targets of a model out at the same time, that loads on
/// two of them at once, or that leaves one behind; and against fencing numbers that do not grow.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_of_a_model_change_one_at_a_time() {
    let world = World::start(3).await;
    world.accept("model m weights=v1 # test: first\n").await;
    let agents = [
        world.agent(0).await,
        world.agent(1).await,
        world.agent(2).await,
    ];
    for agent in &agents {
        while !is_ready(agent).await {
            sleep(Duration::from_millis(20)).await;
        }
    }
    sleep(Duration::from_secs(2)).await;
    world
        .accept("model m weights=v2 # test: second\ntarget t0 checks=fencing # test: engine\n")
        .await;
    let deadline = Instant::now() + Duration::from_secs(60);
    while (0..3).any(|index| world.engine(index).weights != "v2") {
        let mut ready = 0;
        for agent in &agents {
            ready += u32::from(is_ready(agent).await);
        }
        assert!(
            ready >= 2,
            "{ready} of 3 targets took new work during the rollout"
        );
        assert!(
            Instant::now() < deadline,
            "the rollout took longer than 60 s"
        );
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(world.most_loads(), 1);
    let mut fences: Vec<u64> = Vec::new();
    for index in 0..3 {
        let engine = world.engine(index);
        assert_eq!(engine.orders.len(), 1, "{:?}", engine.orders);
        fences.extend(engine.orders.iter().map(|(fence, _)| fence));
    }
    fences.sort_unstable();
    assert_eq!(fences, [1, 2, 3]);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(status(&agents[0]).await["weights"], "v2");
}

/// Guards against a model that nobody serves while its only target loads weights; a target that
/// operators have drained serves nobody, so it may load.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_last_ready_target_is_not_taken_out() {
    let world = World::start(1).await;
    world.accept("model m weights=v2 # test: x\n").await;
    let agent = world.agent(0).await;
    sleep(Duration::from_secs(4)).await;
    assert_eq!(world.engine(0).orders, []);
    assert!(is_ready(&agent).await);
    world
        .accept("model m weights=v2 # test: x\ndrain host h0 # test: load weights\n")
        .await;
    world
        .wait("the load", || world.engine(0).weights == "v2")
        .await;
    assert_eq!(status(&agent).await["state"], "drained");
}

/// Guards against an order that is repeated because its answer was lost after it took effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_is_not_ordered_again() {
    let world = World::start(2).await;
    world.engine(0).lose = true;
    world.accept("model m weights=v1 # test: x\n").await;
    let _agents = [world.agent(0).await, world.agent(1).await];
    sleep(Duration::from_secs(2)).await;
    world.accept("model m weights=v2 # test: x\n").await;
    world
        .wait("the load", || {
            (0..2).all(|index| world.engine(index).weights == "v2")
        })
        .await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(world.engine(0).orders.len(), 1);
}

/// Guards against two orders under way at a target that checks nothing: the agent's predecessor
/// has sent one whose outcome nobody knows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_of_a_predecessor_is_settled_first() {
    let world = World::start(1).await;
    let order = json!({ "fence": 7, "weights": "v2", "done": false });
    world.put("order/t0", order).await;
    world
        .accept("model m weights=v3 # test: x\ndrain host h0 # test: x\n")
        .await;
    let agent = world.agent(0).await;
    let deadline = Instant::now() + Duration::from_secs(10);
    while status(&agent).await["rollout"] != "waits out an earlier order" {
        assert!(Instant::now() < deadline, "the agent does not wait");
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_secs(2)).await;
    assert_eq!(world.engine(0).orders, []);
    // The predecessor's order takes effect late.
    world.engine(0).weights = "v2".to_owned();
    world
        .wait("the load", || world.engine(0).weights == "v3")
        .await;
    assert_eq!(world.engine(0).orders.len(), 1);
}
