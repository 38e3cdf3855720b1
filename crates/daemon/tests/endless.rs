//! Tests the clients of the daemon against servers that send bytes without end or only occasionally.

use std::net::SocketAddr;
use std::time::Duration;

use context::{Id, Secret};
use engine::{Completion, Engine as _, Service as _, Stream as _};
use platform::{Objects as _, Table as _};
use store::Blocks as _;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};
use types::{Attempt, Call, Model, Team, Weights};

/// A server that answers each connection with a response head and then repeats the same bytes for
/// ever.
struct Flood {
    address: String,
    sent_bytes: tokio::sync::mpsc::UnboundedReceiver<usize>,
}

const HEAD: &str = "HTTP/1.1 200 X\r\nx-boot: 7\r\n\r\n";
const HALF_HEAD: &str = "HTTP/1.1 200 X\r\nx-boot: 7\r\n";
/// The longest response that any client accepts, plus what the socket buffers of both ends may hold.
const MAX_SENT_BYTES: usize = context::MAX_BLOCK_BYTES + (16 << 20);
/// Longer than any client waits for a response that arrives at full speed.
const TIMEOUT: Duration = Duration::from_secs(60);

impl Flood {
    async fn bind(head: &'static str, filler: &'static [u8], pause: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let (sender, sent_bytes) = tokio::sync::mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let sender = sender.clone();
                tokio::spawn(async move {
                    let mut request = [0; 4096];
                    let _ = stream.read(&mut request).await;
                    let mut sent = 0;
                    let mut chunk = head.as_bytes();
                    while stream.write_all(chunk).await.is_ok() {
                        sent += chunk.len();
                        chunk = filler;
                        if !pause.is_zero() {
                            sleep(pause).await;
                        }
                    }
                    let _ = sender.send(sent);
                });
            }
        });
        Self {
            address: format!("http://{address}"),
            sent_bytes,
        }
    }

    /// Returns how many bytes were sent before the client closed its connection.
    async fn sent_bytes(&mut self) -> usize {
        timeout(TIMEOUT, self.sent_bytes.recv())
            .await
            .unwrap()
            .unwrap()
    }
}

fn completion() -> Completion {
    Completion {
        request_id: Attempt(1),
        model: Model::from("m"),
        prompt: "a".into(),
        max_tokens: 4,
        priority: 1,
        cache_salt: Secret::derive(b"secret", &Team::from("t")).salt(),
        blocks: Vec::new(),
        delivered: Vec::new(),
        stream: true,
    }
}

fn block() -> Id {
    let secret = Secret::derive(b"secret", &Team::from("t"));
    let prompt = "a ".repeat(context::BLOCK_TOKENS);
    context::chain(&secret, &Model::from("m"), &Weights::from("1"), &prompt)[0].id
}

/// Guards against an unbounded status or block, which would exhaust the memory of the process.
#[tokio::test]
async fn an_unbounded_response_to_a_daemon_client_fails() {
    for (head, filler) in [(HEAD, "x"), (HALF_HEAD, "x: y\r\n")] {
        let mut flood = Flood::bind(head, filler.as_bytes(), Duration::ZERO).await;
        let address = flood.address.clone();
        let client = engine::Client::new(&address).unwrap();
        assert!(client.status().await.is_err());
        assert!(flood.sent_bytes().await < MAX_SENT_BYTES);
        assert!(client.export(&block()).await.is_err());
        assert!(flood.sent_bytes().await < MAX_SENT_BYTES);
        let plain = engine::Plain::new(&address).unwrap();
        let call = Call::from("c");
        assert!(plain.call(&call, Attempt(1), "{}").await.is_err());
        assert!(flood.sent_bytes().await < MAX_SENT_BYTES);
        let host = store::Client::new(&address).unwrap();
        assert!(host.get(&block()).await.is_err());
        assert!(flood.sent_bytes().await < MAX_SENT_BYTES);
        assert!(host.prefix_len(&[block()]).await.is_err());
        assert!(flood.sent_bytes().await < MAX_SENT_BYTES);
        let platform = platform::Client::new(&address, &address, &address).unwrap();
        assert!(platform.get("a").await.is_err());
        assert!(flood.sent_bytes().await < MAX_SENT_BYTES);
        assert!(platform.scan("a").await.is_err());
        assert!(flood.sent_bytes().await < MAX_SENT_BYTES);
        assert!(platform.get_object("a").await.is_err());
        assert!(flood.sent_bytes().await < MAX_SENT_BYTES);
    }
}

/// Guards against an endless stream of comments, of events without tokens, or of a single event.
#[tokio::test]
async fn a_stream_without_tokens_fails_and_is_closed() {
    for filler in [": x\n\n", "data: [DONE]\n\n", "data: x\n", "x"] {
        let mut flood = Flood::bind(HEAD, filler.as_bytes(), Duration::ZERO).await;
        let client = engine::Client::new(&flood.address).unwrap();
        let mut running = client.complete(&completion()).await.unwrap();
        let next = timeout(TIMEOUT, running.next()).await;
        assert!(next.expect(filler).is_err(), "{filler}");
        drop(running);
        assert!(flood.sent_bytes().await < MAX_SENT_BYTES);
    }
}

/// Guards against an engine that occasionally sends a few bytes for ever, in the head or the body.
#[tokio::test(start_paused = true)]
async fn a_stream_of_occasional_bytes_times_out() {
    let pause = Duration::from_secs(3);
    for (head, filler) in [(HEAD, ":\n"), (HALF_HEAD, "x: y\r\n")] {
        let flood = Flood::bind(head, filler.as_bytes(), pause).await;
        let client = engine::Client::new(&flood.address).unwrap();
        let begun = Instant::now();
        let result = async {
            let completion = completion();
            client.complete(&completion).await?.next().await
        };
        assert!(timeout(10 * TIMEOUT, result).await.expect(filler).is_err());
        assert!(begun.elapsed() < 2 * TIMEOUT);
    }
}
