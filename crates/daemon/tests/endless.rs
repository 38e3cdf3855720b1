//! Servers that send bytes without end, or one now and then, to the clients of the daemons.

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

/// A server that answers each connection with a head and then with the same bytes for ever.
struct Flood {
    address: String,
    taken: tokio::sync::mpsc::UnboundedReceiver<usize>,
}

const HEAD: &str = "HTTP/1.1 200 X\r\nx-boot: 7\r\n\r\n";
const HALF_HEAD: &str = "HTTP/1.1 200 X\r\nx-boot: 7\r\n";
/// The longest answer that any client takes, and what the sockets of both ends may hold.
const TAKEN: usize = context::MAX_BLOCK_BYTES + (16 << 20);
/// Longer than any client waits for an answer that comes at full speed.
const LONG: Duration = Duration::from_secs(60);

impl Flood {
    async fn bind(head: &'static str, filler: &'static [u8], pause: Duration) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let (ended, taken) = tokio::sync::mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let ended = ended.clone();
                tokio::spawn(async move {
                    let mut asked = [0; 4096];
                    let _ = stream.read(&mut asked).await;
                    let mut sent = 0;
                    let mut piece = head.as_bytes();
                    while stream.write_all(piece).await.is_ok() {
                        sent += piece.len();
                        piece = filler;
                        if !pause.is_zero() {
                            sleep(pause).await;
                        }
                    }
                    let _ = ended.send(sent);
                });
            }
        });
        Self {
            address: format!("http://{address}"),
            taken,
        }
    }

    /// Returns how many bytes the client took before it closed its connection.
    async fn taken(&mut self) -> usize {
        timeout(LONG, self.taken.recv()).await.unwrap().unwrap()
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

/// Guards against a report or a block without end, which would take the memory of the process.
#[tokio::test]
async fn a_whole_answer_without_end_is_left() {
    for (head, filler) in [(HEAD, "x"), (HALF_HEAD, "x: y\r\n")] {
        let mut flood = Flood::bind(head, filler.as_bytes(), Duration::ZERO).await;
        let address = flood.address.clone();
        let client = engine::Client::new(&address).unwrap();
        assert!(client.status().await.is_err());
        assert!(flood.taken().await < TAKEN);
        assert!(client.export(&block()).await.is_err());
        assert!(flood.taken().await < TAKEN);
        let plain = engine::Plain::new(&address).unwrap();
        let call = Call::from("c");
        assert!(plain.call(&call, Attempt(1), "{}").await.is_err());
        assert!(flood.taken().await < TAKEN);
        let host = store::Client::new(&address).unwrap();
        assert!(host.get(&block()).await.is_err());
        assert!(flood.taken().await < TAKEN);
        assert!(host.prefix_len(&[block()]).await.is_err());
        assert!(flood.taken().await < TAKEN);
        let platform = platform::Client::new(&address, &address, &address).unwrap();
        assert!(platform.get("a").await.is_err());
        assert!(flood.taken().await < TAKEN);
        assert!(platform.scan("a").await.is_err());
        assert!(flood.taken().await < TAKEN);
        assert!(platform.get_object("a").await.is_err());
        assert!(flood.taken().await < TAKEN);
    }
}

/// Guards against a stream of comments, of events that are no pieces, and of one endless event.
#[tokio::test]
async fn a_stream_without_a_piece_is_left() {
    for filler in [": x\n\n", "data: [DONE]\n\n", "data: x\n", "x"] {
        let mut flood = Flood::bind(HEAD, filler.as_bytes(), Duration::ZERO).await;
        let client = engine::Client::new(&flood.address).unwrap();
        let mut running = client.complete(&completion()).await.unwrap();
        let next = timeout(LONG, running.next()).await;
        assert!(next.expect(filler).is_err(), "{filler}");
        drop(running);
        assert!(flood.taken().await < TAKEN);
    }
}

/// Guards against an engine that sends a byte now and then for ever, in its head and behind it.
#[tokio::test(start_paused = true)]
async fn a_stream_that_only_trickles_ends() {
    let pause = Duration::from_secs(3);
    for (head, filler) in [(HEAD, ":\n"), (HALF_HEAD, "x: y\r\n")] {
        let flood = Flood::bind(head, filler.as_bytes(), pause).await;
        let client = engine::Client::new(&flood.address).unwrap();
        let begun = Instant::now();
        let ended = async {
            let completion = completion();
            client.complete(&completion).await?.next().await
        };
        assert!(timeout(10 * LONG, ended).await.expect(filler).is_err());
        assert!(begun.elapsed() < 2 * LONG);
    }
}
