use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::auth::HANDSHAKE_TIMEOUT;
use crate::client::{CONNECTION_WINDOW_BYTES, STREAM_WINDOW_BYTES, wait_until_unresponsive};
use crate::stream::{Receiver, Sender};
use crate::{Keys, Stream};

/// Accepts streams from other processes until it is dropped.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    streams: mpsc::Receiver<Stream>,
    task: JoinHandle<()>,
    handle: Handle,
}

/// Monitors and closes a [`Listener`] while another task accepts its streams.
#[derive(Debug, Clone)]
pub struct Handle {
    stop: watch::Sender<bool>,
    failed_handshakes: Arc<AtomicU64>,
}

/// The state of the listener that a connection needs.
struct Context {
    keys: Keys,
    streams: mpsc::Sender<Stream>,
    // Each connection holds a receiver, so that `Handle::close` can wait until all have ended.
    stop: watch::Receiver<bool>,
    failed_handshakes: Arc<AtomicU64>,
}

/// Streams that may wait to be accepted; further ones are dropped.
const BACKLOG: usize = 1024;
/// Connections that may be in their handshake at the same time. Each holds a file descriptor, and
/// its peer has not shown a key yet.
const MAX_HANDSHAKES: usize = 64;
/// Concurrent streams on one connection.
const MAX_STREAMS: u32 = 10_000;

impl Listener {
    /// Starts to listen; port 0 selects any free port.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn bind(address: SocketAddr, keys: Keys) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (sender, streams) = mpsc::channel(BACKLOG);
        let handle = Handle {
            stop: watch::channel(false).0,
            failed_handshakes: Arc::default(),
        };
        let (stop, failed_handshakes) = (
            handle.stop.subscribe(),
            Arc::clone(&handle.failed_handshakes),
        );
        let task = tokio::spawn(async move {
            let mut stopped = stop.clone();
            let mut handshakes = Handshakes::default();
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = stopped.wait_for(|&stop| stop) => return,
                };
                let Ok((socket, peer)) = accepted else {
                    // The process may be out of file descriptors for a while; avoid a busy loop.
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                    continue;
                };
                let context = Context {
                    keys: keys.clone(),
                    streams: sender.clone(),
                    stop: stop.clone(),
                    failed_handshakes: Arc::clone(&failed_handshakes),
                };
                tokio::spawn(serve(socket, peer, handshakes.start(), context));
            }
        });
        Ok(Self {
            address,
            streams,
            task,
            handle,
        })
    }

    /// Returns the address that the listener is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a handle that monitors and closes this listener.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.handle.clone()
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
        self.failed_handshakes.load(Ordering::Relaxed)
    }

    /// Stops accepting connections and streams, and returns once all streams have ended and all
    /// data sent on them has left this process.
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

/// The connections in their handshake, the oldest first.
///
/// A peer with a key completes it within milliseconds, so the connection that has been in it for
/// longest makes room for a new one.
#[derive(Debug, Default)]
struct Handshakes(VecDeque<oneshot::Sender<()>>);

impl Handshakes {
    /// Starts a handshake; the result completes when it must end. Dropping it ends the handshake.
    fn start(&mut self) -> oneshot::Receiver<()> {
        self.0.retain(|handshake| !handshake.is_closed());
        if self.0.len() >= MAX_HANDSHAKES {
            self.0.pop_front();
        }
        let (sender, receiver) = oneshot::channel();
        self.0.push_back(sender);
        receiver
    }
}

async fn serve(
    mut socket: TcpStream,
    peer: SocketAddr,
    evicted: oneshot::Receiver<()>,
    mut context: Context,
) {
    let _ = socket.set_nodelay(true);
    let reject = |reason: &str| {
        // Logged at debug level, since a port scan would flood the log.
        log::debug!("rejected a connection from {peer}: {reason}");
        context.failed_handshakes.fetch_add(1, Ordering::Relaxed);
    };
    tokio::select! {
        accepted = timeout(HANDSHAKE_TIMEOUT, context.keys.accept(&mut socket)) => match accepted {
            Ok(Ok(())) => {}
            Ok(Err(reason)) => return reject(reason),
            Err(_) => return reject("handshake took longer than 2 s"),
        },
        // The sender is dropped to make room.
        _ = evicted => return reject("too many connections in their handshake"),
    }
    let handshake = h2::server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .handshake(socket);
    let Ok(Ok(mut connection)) = timeout(HANDSHAKE_TIMEOUT, handshake).await else {
        return reject("HTTP/2 handshake failed");
    };
    let mut unresponsive = std::pin::pin!(wait_until_unresponsive(connection.ping_pong()));
    let mut is_stopping = false;
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = &mut unresponsive => return,
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
        // A full backlog drops the stream, which reports the overload to the peer immediately.
        let _ = context.streams.try_send(stream);
    }
}
