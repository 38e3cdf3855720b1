use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
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
    control: Handle,
}

/// Observes and closes a [`Listener`] while another task accepts its streams.
#[derive(Debug, Clone)]
pub struct Handle {
    stop: watch::Sender<bool>,
    refused: Arc<AtomicU64>,
}

/// What a connection needs beside its socket.
struct Context {
    keys: Keys,
    streams: mpsc::Sender<Stream>,
    // Each connection holds a receiver, so that closing can wait for the last of them.
    stop: watch::Receiver<bool>,
    refused: Arc<AtomicU64>,
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
        let control = Handle {
            stop: watch::channel(false).0,
            refused: Arc::default(),
        };
        let (stop, refused) = (control.stop.subscribe(), Arc::clone(&control.refused));
        let task = tokio::spawn(async move {
            let mut stopped = stop.clone();
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = stopped.wait_for(|&stop| stop) => return,
                };
                let Ok((socket, peer)) = accepted else {
                    // Running out of file descriptors passes; a busy loop would not help.
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                    continue;
                };
                let context = Context {
                    keys: keys.clone(),
                    streams: sender.clone(),
                    stop: stop.clone(),
                    refused: Arc::clone(&refused),
                };
                tokio::spawn(serve(socket, peer, context));
            }
        });
        Ok(Self {
            address,
            streams,
            task,
            control,
        })
    }

    /// Returns the address that the listener is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the handle that observes and closes this listener.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.control.clone()
    }

    /// Waits for the next stream.
    pub async fn accept(&mut self) -> Option<Stream> {
        self.streams.recv().await
    }
}

impl Handle {
    /// Returns the number of connections that failed the handshake.
    #[must_use]
    pub fn failed_handshakes(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Accepts no more connections and streams, and returns once all streams are ended and
    /// everything sent on them has left this process.
    pub async fn close(&self) {
        self.stop.send_replace(true);
        self.stop.closed().await;
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut socket: TcpStream, peer: SocketAddr, mut context: Context) {
    let _ = socket.set_nodelay(true);
    let refuse = |problem: &str| {
        // Log lines of a port that is scanned would hide everything else.
        log::debug!("refused a connection from {peer}: {problem}");
        context.refused.fetch_add(1, Ordering::Relaxed);
    };
    match timeout(HANDSHAKE_TIMEOUT, context.keys.welcome(&mut socket)).await {
        Ok(Ok(())) => {}
        Ok(Err(problem)) => return refuse(problem),
        Err(_) => return refuse("handshake timeout of 2 s"),
    }
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(socket);
    let Ok(Ok(mut connection)) = timeout(HANDSHAKE_TIMEOUT, handshake).await else {
        return refuse("no h2 handshake");
    };
    let mut watching = std::pin::pin!(watch(connection.ping_pong()));
    let mut is_stopping = false;
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = &mut watching => return,
            _ = context.stop.wait_for(|&stop| stop), if !is_stopping => {
                is_stopping = true;
                connection.graceful_shutdown();
                continue;
            }
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
        let _ = context.streams.try_send(stream);
    }
}
