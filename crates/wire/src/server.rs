use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::auth::HANDSHAKE_TIMEOUT;
use crate::client::{CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES, watch};
use crate::stream::{Receiver, Sender};
use crate::{Keys, Stream};

/// Accepts streams from other processes; dropping it stops accepting.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    streams: mpsc::Receiver<Stream>,
    task: JoinHandle<()>,
}

/// Streams that may wait to be taken; more of them wait in the peers.
const BACKLOG: usize = 1024;
/// Streams at the same time on one connection.
const MAX_STREAMS: u32 = 10_000;

impl Listener {
    /// Starts to listen; port 0 takes any free port.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn bind(address: SocketAddr, keys: Keys) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (sender, streams) = mpsc::channel(BACKLOG);
        let task = tokio::spawn(async move {
            loop {
                let Ok((socket, peer)) = listener.accept().await else {
                    // Running out of file descriptors passes; a busy loop would not help.
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                    continue;
                };
                tokio::spawn(serve(socket, peer, keys.clone(), sender.clone()));
            }
        });
        Ok(Self {
            address,
            streams,
            task,
        })
    }

    /// Returns the address that the listener is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the next stream.
    pub async fn accept(&mut self) -> Option<Stream> {
        self.streams.recv().await
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut socket: TcpStream, peer: SocketAddr, keys: Keys, streams: mpsc::Sender<Stream>) {
    let _ = socket.set_nodelay(true);
    match timeout(HANDSHAKE_TIMEOUT, keys.welcome(&mut socket)).await {
        Ok(Ok(())) => {}
        Ok(Err(problem)) => return log::warn!("refused a connection from {peer}: {problem}"),
        Err(_) => return log::warn!("refused a connection from {peer}: handshake timeout of 2 s"),
    }
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(socket);
    let Ok(Ok(mut connection)) = timeout(HANDSHAKE_TIMEOUT, handshake).await else {
        return log::warn!("refused a connection from {peer}: no h2 handshake");
    };
    let mut watching = std::pin::pin!(watch(connection.ping_pong()));
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = &mut watching => return,
        };
        let Some(Ok((request, mut respond))) = accepted else {
            return;
        };
        let Ok(sender) = respond.send_response(http::Response::new(()), false) else {
            continue;
        };
        let stream = Stream {
            sender: Sender(sender),
            receiver: Receiver::open(request.into_body()),
        };
        // A full backlog drops the stream, so that the peer learns of the overload at once.
        let _ = streams.try_send(stream);
    }
}
