//! Guards against calls that run twice, and against refusals that report "not run" for a call that
//! ran.

mod common;

use std::sync::atomic::Ordering::SeqCst;

use common::fake::Service;
use common::{Cluster, until};
use control::claim::{Claim, State, Status};
use futures_util::future::join_all;
use serde_json::Value;
use types::{Attempt, Incarnation};
use wire::{Frame, Resolution};

const AGENTS: &[&str] = &["service-0", "service-1"];

/// Starts two agents beside instances of a service that share their counters.
async fn start() -> (Cluster, Service, [common::Process; 2]) {
    let cluster = Cluster::start().await;
    let service = Service::start().await;
    let agents = [
        cluster.service(AGENTS[0], service.address).await,
        cluster.service(AGENTS[1], service.address).await,
    ];
    cluster.ready(AGENTS, &[&agents[0], &agents[1]]).await;
    (cluster, service, agents)
}

fn ran(body: &Value) -> &str {
    body["error"]["ran"].as_str().unwrap_or("reply")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_claim_response_neither_drops_nor_repeats_the_call() {
    let (cluster, service, _agents) = start().await;
    cluster.platform.state.lost_claim_responses.store(1, SeqCst);
    let first = cluster.call(0, "pay", Some("k"), "1").await;
    assert_eq!((first.0, service.executed()), (200, 1), "{first:?}");
    let again = cluster.call(1, "pay", Some("k"), "1").await;
    assert_eq!((again, service.executed()), (first, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn without_the_platform_a_call_with_a_key_is_not_run() {
    let (cluster, service, _agents) = start().await;
    cluster.platform.state.is_down.store(true, SeqCst);
    let (status, body) = cluster.call(0, "pay", Some("k"), "1").await;
    assert_eq!(
        (status, ran(&body), service.executed()),
        (503, "no", 0),
        "{body}"
    );
    assert_eq!(cluster.call(0, "look", None, "1").await.0, 200);
    cluster.platform.state.is_down.store(false, SeqCst);
    assert_eq!(cluster.call(0, "pay", Some("k"), "1").await.0, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_with_one_key_at_two_entries_run_once() {
    let (cluster, service, _agents) = start().await;
    for round in 0..10 {
        let key = format!("k{round}");
        let calls = (0..8).map(|index| cluster.call(index % 2, "pay", Some(&key), "1"));
        let responses = join_all(calls).await;
        assert_eq!(service.executed(), round + 1, "{responses:?}");
        for (status, body) in responses {
            let is_honest =
                status == 200 && body["receipt"] == round || status == 409 && ran(&body) == "maybe";
            assert!(is_honest, "{status} {body}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_service_response_is_reported_as_unknown_and_not_retried() {
    let (cluster, service, agents) = start().await;
    for key in [None, Some("k"), Some("k")] {
        // After a lost response the target is suspected until a probe succeeds.
        cluster.ready(AGENTS, &[&agents[0], &agents[1]]).await;
        service.state.lost_responses.store(1, SeqCst);
        let (status, body) = cluster.call(0, "pay", key, "1").await;
        assert!(status >= 400 && ran(&body) == "maybe", "{status} {body}");
    }
    assert_eq!(service.executed(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_not_answered_for_another_call_or_body() {
    let (cluster, service, _agents) = start().await;
    assert_eq!(cluster.call(0, "pay", Some("k"), "1").await.0, 200);
    for (call, body) in [("pay", "2"), ("refund", "1")] {
        let (status, response) = cluster.call(1, call, Some("k"), body).await;
        assert_eq!((status, ran(&response)), (422, "no"), "{response}");
    }
    assert_eq!(service.executed(), 1);
}

/// Guards against an HTTP client that follows a redirect that keeps the method, which would send the
/// call again.
#[tokio::test(flavor = "multi_thread")]
async fn a_redirect_does_not_resend_a_call() {
    let (cluster, service, _agents) = start().await;
    service.state.redirects.store(1, SeqCst);
    let url = format!("http://{}/v1/services/s/pay", cluster.entries[0].http());
    let http = reqwest::Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .build()
        .unwrap();
    let response = http
        .post(url)
        .bearer_auth("key-a")
        .body("1")
        .send()
        .await
        .unwrap();
    assert_eq!((response.status().as_u16(), service.executed()), (307, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_dies_after_the_dispatch_leaves_the_outcome_unknown() {
    let (cluster, service, mut agents) = start().await;
    service.state.permits.forget_permits(usize::MAX);
    let response = {
        let call = cluster.call(0, "pay", Some("k"), "1");
        let kill = async {
            until("the call reached the service", async || {
                service.executed() == 1
            })
            .await;
            agents.iter_mut().for_each(common::Process::kill);
        };
        tokio::join!(call, kill).0
    };
    assert_eq!(ran(&response.1), "maybe", "{response:?}");
    service.state.permits.add_permits(1 << 20);
    let agent = cluster.service("service-2", service.address).await;
    cluster.ready(&["service-2"], &[&agent]).await;
    until(
        "the new agent says that the call may have run",
        async || {
            let (_, body) = cluster.call(1, "pay", Some("k"), "1").await;
            assert_ne!(ran(&body), "reply", "{body}");
            ran(&body) == "maybe"
        },
    )
    .await;
    assert_eq!(service.executed(), 1);
}

/// Guards against a key that stays blocked: a claim takes effect, its response is lost and the row
/// cannot be read back. The call is then not run, and the key stays usable through any agent.
#[tokio::test(flavor = "multi_thread")]
async fn a_claim_of_an_attempt_that_was_never_sent_is_taken_over() {
    let (cluster, service, _agents) = start().await;
    let platform = &cluster.platform.state;
    platform.down_after_loss.store(true, SeqCst);
    for index in 0..4 {
        platform.lost_claim_responses.store(1, SeqCst);
        let key = format!("k{index}");
        let (status, body) = cluster.call(0, "pay", Some(&key), "1").await;
        assert_eq!(
            (status, ran(&body), service.executed()),
            (503, "no", index),
            "{body}"
        );
        platform.is_down.store(false, SeqCst);
        let (status, body) = cluster.call(1, "pay", Some(&key), "1").await;
        assert_eq!((status, service.executed()), (200, index + 1), "{body}");
    }
}

/// Guards against a key that an agent keeps although it cannot reach its service: the key has to be
/// released, so that the call can be retried at another agent.
#[tokio::test(flavor = "multi_thread")]
async fn an_undelivered_call_is_retried_at_another_agent() {
    let cluster = Cluster::start().await;
    let service = Service::start().await;
    // Bound and not listening: connections are refused, and no other process gets the port.
    let unreachable = tokio::net::TcpSocket::new_v4().unwrap();
    unreachable.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = unreachable.local_addr().unwrap();
    let agents = [
        cluster.service(AGENTS[0], address).await,
        cluster.service(AGENTS[1], service.address).await,
    ];
    cluster.ready(AGENTS, &[&agents[1]]).await;
    for index in 0..4 {
        let (status, body) = cluster
            .call(0, "pay", Some(&format!("k{index}")), "1")
            .await;
        assert_eq!((status, service.executed()), (200, index + 1), "{body}");
    }
}

/// Guards against a call that is refused as in doubt because one connection to the agent of the claim
/// broke, although that agent still runs and knows that the attempt was never sent.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_is_asked_again_when_its_answer_is_lost() {
    let cluster = Cluster::start().await;
    let service = Service::start().await;
    let agent = cluster.service(AGENTS[0], service.address).await;
    let mut queries = 0;
    let received = cluster
        .scripted(move |frame| match frame {
            Frame::Query(query) => {
                queries += 1;
                let resolution = Frame::Resolution(Resolution {
                    attempt: query.attempt,
                    status: Status::NeverSent,
                });
                if queries > 2 {
                    vec![resolution]
                } else {
                    Vec::new()
                }
            }
            _ => Vec::new(),
        })
        .await;
    cluster.ready(&["service-0", "scripted"], &[&agent]).await;
    let mut digest = blake3::Hasher::new();
    for part in ["s", "pay", "1"] {
        digest.update(&(part.len() as u64).to_le_bytes());
        digest.update(part.as_bytes());
    }
    let claim = Claim {
        attempt: Attempt(7),
        agent: "scripted".to_owned(),
        incarnation: Incarnation(1),
        digest: digest.finalize().to_hex().to_string(),
        state: State::Claimed,
    };
    let key = format!("claim/a/{}", blake3::hash(b"k").to_hex());
    let row = (1, serde_json::to_value(claim).unwrap());
    cluster.platform.state.rows.lock().unwrap().insert(key, row);
    let (status, body) = cluster.call(0, "pay", Some("k"), "1").await;
    assert_eq!((status, service.executed()), (200, 1), "{body}");
    assert_eq!(received.lock().unwrap().len(), 3);
}
