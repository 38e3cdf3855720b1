//! The size of a single exchange with a random peer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use control::{Gossip, Message, Stamp};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use types::Version;
use wire::{Client, Frame, Key, Keys, Listener};

async fn forward_counting<Reader, Writer>(
    mut reader: Reader,
    mut writer: Writer,
    bytes: Arc<AtomicU64>,
) where
    Reader: AsyncReadExt + Unpin,
    Writer: AsyncWriteExt + Unpin,
{
    let mut buffer = [0; 4096];
    while let Ok(read @ 1..) = reader.read(&mut buffer).await {
        bytes.fetch_add(read as u64, Ordering::Relaxed);
        if writer.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

/// Guards against a handshake so large that the gossip of a node exceeds 4 KB/s: a node takes part
/// in about two exchanges per second and carries both directions of each.
#[tokio::test]
async fn an_exchange_takes_less_than_a_kilobyte() {
    let keys = Keys::new(vec![Key::new("a key of the test")]).expect("one key");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut listener = Listener::bind(any_port, keys.clone())
        .await
        .expect("a port");
    let server = listener.address();
    let proxy = TcpListener::bind(any_port).await.expect("a port");
    let address = proxy.local_addr().expect("bound");
    let bytes = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&bytes);
    tokio::spawn(async move {
        let (client, _) = proxy.accept().await.expect("a client");
        let upstream = TcpStream::connect(server).await.expect("the listener");
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = upstream.into_split();
        tokio::spawn(forward_counting(
            from_client,
            to_server,
            Arc::clone(&counter),
        ));
        forward_counting(from_server, to_client, counter).await;
    });
    let gossip = Frame::Control(Message::Gossip(Gossip {
        from: address,
        ready: true,
        version: Version(2_300),
        hosts: Stamp::default(),
        size: 3_330,
        members: u64::MAX,
        records: Vec::new(),
    }));
    let reply = gossip.clone();
    tokio::spawn(async move {
        let mut stream = listener.accept().await.expect("a stream");
        assert!(matches!(stream.receiver.recv().await, Ok(Some(_))));
        stream.sender.send(&reply).await.expect("the client waits");
        stream.sender.finish();
        // The listener must exist until the client is done.
        let _ = stream.receiver.recv().await;
        let _ = listener.accept().await;
    });
    let mut stream = Client::new(keys)
        .open_dedicated(address)
        .await
        .expect("a stream");
    stream.sender.send(&gossip).await.expect("it is sent");
    stream.sender.finish();
    assert_eq!(
        stream.receiver.recv().await.expect("an answer"),
        Some(gossip)
    );
    drop(stream);
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    let bytes = bytes.load(Ordering::Relaxed);
    println!("{bytes} bytes on the connection, both directions together");
    assert!(bytes < 1024, "{bytes} bytes");
}
