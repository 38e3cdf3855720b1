//! Peers that connect and show no key.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use wire::{Client, Key, Keys, Listener};

/// Connections that send nothing; more than may be in their handshake at the same time.
const SILENT: usize = 200;
/// More connections in their handshake than this would exhaust the descriptors of a small process.
const MAX_OPEN: usize = 64;
/// Long enough for a connection to be closed on a busy host; less than the handshake's timeout.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Guards against peers without a key that occupy all file descriptors of a process: only few of
/// them may wait for the end of their handshake, and a peer with a key still gets in.
#[tokio::test]
async fn silent_peers_do_not_occupy_all_descriptors() {
    let keys = Keys::new(vec![Key::new("a key of the test")]).expect("one key");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut listener = Listener::bind(any_port, keys.clone())
        .await
        .expect("a port");
    let address = listener.address();
    let mut silent = Vec::new();
    for _ in 0..SILENT {
        silent.push(TcpStream::connect(address).await.expect("a connection"));
    }
    let stream = Client::new(keys).open(address).await;
    assert!(stream.is_ok(), "a peer with a key is shut out");
    assert!(listener.accept().await.is_some());
    // The oldest ones have been closed.
    let closing = silent.into_iter().map(|mut socket| async move {
        let mut buffer = [0; 1024];
        let closed = async {
            // The listener sends its part of the handshake first.
            while matches!(socket.read(&mut buffer).await, Ok(1..)) {}
        };
        tokio::time::timeout(CLOSE_TIMEOUT, closed).await.is_ok()
    });
    let mut open = 0;
    for task in closing.map(tokio::spawn).collect::<Vec<_>>() {
        open += usize::from(!task.await.expect("no panic"));
    }
    assert!(open <= MAX_OPEN, "{open} silent connections are open");
}
