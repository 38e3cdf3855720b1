//! Guards against input that makes a process panic, hang, respond without a JSON error or disturb
//! other requests.

mod common;

use std::time::Duration;

use common::fake::Engine;
use common::{Cluster, KEY, expected_events, parse_events, until};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wire::{Client, Frame, Key, Keys};

/// Sends raw bytes and returns the status and the body of the response.
async fn send_raw(cluster: &Cluster, request: &str, headers: &str, body: &[u8]) -> (u16, String) {
    let mut socket = TcpStream::connect(cluster.entries[0].http()).await.unwrap();
    let length = body.len();
    let head = format!(
        "{request} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n"
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    // The entry may refuse before it has read the whole body.
    let _ = socket.write_all(body).await;
    let mut response = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(10), socket.read_to_end(&mut response))
        .await
        .unwrap();
    let response = String::from_utf8_lossy(&response).into_owned();
    let status = response
        .get(9..12)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    (
        status,
        response
            .split_once("\r\n\r\n")
            .map_or(String::new(), |(_, body)| body.to_owned()),
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_get_a_json_error_and_affect_no_others() {
    let cluster = Cluster::start().await;
    let engine = Engine::start().await;
    let agent = cluster.engine("engine-0", engine.address).await;
    cluster.ready(&["engine-0"], &[&agent]).await;
    let chat = "POST /v1/chat/completions";
    let auth = "authorization: Bearer key-a\r\n";
    let good = r#"{"model":"m","messages":[{"role":"user","content":"x"}]}"#;
    let big = vec![b' '; (8 << 20) + 1];
    let deadline = |text: &str| format!("{auth}x-deadline-ms: {text}\r\n");
    let key = |text: &str| format!("{auth}idempotency-key: {text}\r\n");
    let cases: Vec<(&str, String, &[u8], u16)> = vec![
        (chat, auth.into(), b"{", 400),
        (chat, auth.into(), b"\xff\xfe", 400),
        (chat, auth.into(), br#"{"model":"m","messages":[]}"#, 400),
        (
            chat,
            auth.into(),
            br#"{"model":"m","messages":[{"role":"u","content":"x"}],"max_tokens":0}"#,
            400,
        ),
        (
            chat,
            auth.into(),
            br#"{"model":"m","messages":[{"role":"u","content":"x"}],"max_tokens":-1}"#,
            400,
        ),
        (
            chat,
            auth.into(),
            br#"{"model":"no","messages":[{"role":"u","content":"x"}]}"#,
            404,
        ),
        (chat, auth.into(), &big, 413),
        (
            chat,
            "authorization: Bearer no\r\n".into(),
            good.as_bytes(),
            401,
        ),
        (chat, String::new(), good.as_bytes(), 401),
        (chat, deadline("-1"), good.as_bytes(), 400),
        (chat, deadline("0"), good.as_bytes(), 400),
        (chat, deadline("99999999999999999999"), good.as_bytes(), 400),
        (chat, deadline("soon"), good.as_bytes(), 400),
        ("GET /v1/chat/completions", auth.into(), b"", 405),
        ("GET /v2", auth.into(), b"", 404),
        ("POST /v1/services/no/pay", auth.into(), b"1", 404),
        ("POST /v1/services/s/%2e%2e", auth.into(), b"1", 400),
        ("POST /v1/services/s/pay", auth.into(), b"\xff", 400),
        ("POST /v1/services/s/pay", key(&"k".repeat(257)), b"1", 400),
        ("POST /v1/services/s/pay", key(""), b"1", 400),
        ("POST /v1/services/s/pay", key("\u{e9}"), b"1", 400),
        ("GET /v1/answers/00", auth.into(), b"", 404),
        ("GET /v1/answers/zz", auth.into(), b"", 404),
    ];
    for (request, headers, body, expected_status) in cases {
        let (status, response) = send_raw(&cluster, request, &headers, body).await;
        assert_eq!(status, expected_status, "{request} {headers}: {response}");
        let error: Value = serde_json::from_str(&response).unwrap_or_default();
        assert!(
            error["error"]["ran"].is_string(),
            "{request} {headers}: {response}"
        );
    }
    let long = format!("{auth}x-long: {}\r\n", "x".repeat(64 << 10));
    assert_eq!(
        send_raw(&cluster, chat, &long, good.as_bytes()).await.0,
        431
    );
    let body = cluster.complete(0, 3).await;
    assert_eq!(parse_events(&body), (expected_events(3), true));
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_on_the_peer_port_is_counted_and_affects_no_others() {
    let cluster = Cluster::start().await;
    let engine = Engine::start().await;
    let agent = cluster.engine("engine-0", engine.address).await;
    cluster.ready(&["engine-0"], &[&agent]).await;
    let (peer, admin) = {
        let agent = agent.agent.as_ref().unwrap();
        (agent.address(), agent.admin())
    };
    let newer_version = [b"BRGL".as_slice(), &u16::MAX.to_le_bytes(), &[0; 40]].concat();
    for bytes in [
        b"GET / HTTP/1.1\r\n\r\n".repeat(8),
        vec![0; 200],
        newer_version,
    ] {
        let mut socket = TcpStream::connect(peer).await.unwrap();
        socket.write_all(&bytes).await.unwrap();
        let mut response = Vec::new();
        let read = tokio::time::timeout(Duration::from_secs(5), socket.read_to_end(&mut response));
        let _ = read.await.expect("the connection is closed");
        assert!(response.is_empty(), "{response:?}");
    }
    // A peer without the cluster key is refused as well.
    let unauthorized = Client::new(Keys::new(vec![Key::new("another-cluster-key-1")]).unwrap());
    assert!(unauthorized.open(peer).await.is_err());
    let refused = async || {
        let url = format!("http://{admin}/status");
        let status: Value = cluster
            .http
            .get(url)
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap();
        status["refused_connections"].as_u64().unwrap()
    };
    until("four connections are counted", async || {
        refused().await == 4
    })
    .await;
    // A peer with the key starts a stream with a frame that does not start a request.
    let client = Client::new(Keys::new(vec![Key::new(KEY)]).unwrap());
    let mut stream = client.open(peer).await.unwrap();
    stream.sender.send(&Frame::Cancel).await.unwrap();
    assert!(matches!(stream.receiver.recv().await, Ok(None) | Err(_)));
    let body = cluster.complete(0, 3).await;
    assert_eq!(parse_events(&body), (expected_events(3), true));
}
