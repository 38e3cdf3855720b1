//! Weight rollouts by agents in one process, against fakes of the platform and the engines.

#[expect(
    dead_code,
    reason = "shared with the test of weights, which uses the rest"
)]
mod support;

use std::time::Duration;

use serde_json::json;
use support::{Deployment, is_ready, status};
use tokio::time::{Instant, sleep};

/// Guards against a rollout that drains all targets of a model at the same time, that loads weights
/// on two of them at once, or that skips one; and against fencing tokens that do not grow.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn targets_of_a_model_are_updated_one_at_a_time() {
    let deployment = Deployment::start(3).await;
    deployment
        .accept_rules("model m weights=v1 # test: first\n")
        .await;
    let agents = [
        deployment.agent(0).await,
        deployment.agent(1).await,
        deployment.agent(2).await,
    ];
    for agent in &agents {
        while !is_ready(agent).await {
            sleep(Duration::from_millis(20)).await;
        }
    }
    sleep(Duration::from_secs(2)).await;
    deployment
        .accept_rules(
            "model m weights=v2 # test: second\ntarget t0 checks=fencing # test: engine\n",
        )
        .await;
    let deadline = Instant::now() + Duration::from_secs(60);
    while (0..3).any(|index| deployment.engine(index).weights != "v2") {
        let mut ready = 0;
        for agent in &agents {
            ready += u32::from(is_ready(agent).await);
        }
        assert!(
            ready >= 2,
            "{ready} of 3 targets accepted new work during the rollout"
        );
        assert!(
            Instant::now() < deadline,
            "the rollout took longer than 60 s"
        );
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(deployment.max_concurrent_loads(), 1);
    let mut fences: Vec<u64> = Vec::new();
    for index in 0..3 {
        let engine = deployment.engine(index);
        assert_eq!(engine.orders.len(), 1, "{:?}", engine.orders);
        fences.extend(engine.orders.iter().map(|(fence, _)| fence));
    }
    fences.sort_unstable();
    assert_eq!(fences, [1, 2, 3]);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(status(&agents[0]).await["weights"], "v2");
}

/// Guards against a model that no target serves while its only one loads weights. A target that
/// operators have drained receives no requests, so it may load weights.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_last_ready_target_is_not_drained_for_a_rollout() {
    let deployment = Deployment::start(1).await;
    deployment
        .accept_rules("model m weights=v2 # test: x\n")
        .await;
    let agent = deployment.agent(0).await;
    sleep(Duration::from_secs(4)).await;
    assert_eq!(deployment.engine(0).orders, []);
    assert!(is_ready(&agent).await);
    deployment
        .accept_rules("model m weights=v2 # test: x\ndrain host h0 # test: load weights\n")
        .await;
    deployment
        .wait("the load", || deployment.engine(0).weights == "v2")
        .await;
    assert_eq!(status(&agent).await["state"], "drained");
}

/// Guards against an order that is repeated because its reply was lost while it is executed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_with_a_lost_reply_is_not_repeated() {
    let deployment = Deployment::start(1).await;
    deployment.engine(0).lose_replies = true;
    deployment
        .accept_rules("model m weights=v2 # test: x\ndrain host h0 # test: x\n")
        .await;
    let _agent = deployment.agent(0).await;
    deployment
        .wait("the load", || deployment.engine(0).weights == "v2")
        .await;
    sleep(Duration::from_secs(2)).await;
    assert_eq!(deployment.engine(0).orders.len(), 1);
}

/// Guards against an order of weights that the rules specified only while the agent waited for the
/// lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outdated_rollout_is_dropped() {
    let deployment = Deployment::start(1).await;
    let lease = json!({ "holder": "other", "incarnation": 1, "write": 1, "fence": 4,
        "duration_ms": 3000, "released": false });
    deployment.put("lease/rollout/m", lease).await;
    deployment
        .accept_rules("model m weights=v2 # test: x\ndrain host h0 # test: x\n")
        .await;
    let agent = deployment.agent(0).await;
    let deadline = Instant::now() + Duration::from_secs(10);
    while status(&agent).await["rollout"] != "waits for the model's turn" {
        assert!(Instant::now() < deadline, "the agent does not wait");
        sleep(Duration::from_millis(20)).await;
    }
    deployment
        .accept_rules("model m weights=v3 # test: x\ndrain host h0 # test: x\n")
        .await;
    deployment
        .wait("the load", || deployment.engine(0).weights == "v3")
        .await;
    let orders = deployment.engine(0).orders.clone();
    assert!(
        matches!(&orders[..], [(fence, weights)] if *fence > 4 && weights == "v3"),
        "{orders:?}"
    );
}

/// Guards against two orders in flight at a target that does not check them: an earlier incarnation
/// of the agent has sent one whose outcome is unknown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_order_of_an_earlier_incarnation_is_awaited_first() {
    let deployment = Deployment::start(1).await;
    let order = json!({ "fence": 7, "weights": "v2", "done": false });
    deployment.put("order/t0", order).await;
    deployment
        .accept_rules("model m weights=v3 # test: x\ndrain host h0 # test: x\n")
        .await;
    let agent = deployment.agent(0).await;
    let deadline = Instant::now() + Duration::from_secs(10);
    while status(&agent).await["rollout"] != "waits out an earlier order" {
        assert!(Instant::now() < deadline, "the agent does not wait");
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_secs(2)).await;
    assert_eq!(deployment.engine(0).orders, []);
    // The order of the earlier incarnation takes effect late.
    deployment.engine(0).weights = "v2".to_owned();
    deployment
        .wait("the load", || deployment.engine(0).weights == "v3")
        .await;
    assert_eq!(deployment.engine(0).orders.len(), 1);
}
