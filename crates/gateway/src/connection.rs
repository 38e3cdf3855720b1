use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use types::{Target, Time};

use crate::clock::now;

/// The connections to all targets.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    targets: HashMap<Target, TargetPool>,
}

/// The connections to one target.
#[derive(Debug, Default)]
struct TargetPool {
    idle: Vec<Idle>,
    open: Rc<Cell<u32>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Time,
    keep_alive: Duration,
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub(crate) reused: bool,
    /// The bytes that have arrived.
    received: Rc<Cell<u64>>,
    /// How many bytes may arrive at most.
    read_limit: Rc<Cell<u64>>,
    _socket: Socket,
    _open: OpenCount,
}

/// Another handle to the socket of a connection. When it is dropped, what has not reached the
/// target yet is given up soon.
#[derive(Debug)]
struct Socket(socket2::Socket);

/// The I/O of a connection for hyper; counts the bytes that arrive.
#[derive(Debug)]
struct Io {
    stream: TcpStream,
    received: Rc<Cell<u64>>,
    /// The value of `received` up to which bytes are read.
    read_limit: Rc<Cell<u64>>,
}

/// Counts a connection towards the target's limit while it is open.
#[derive(Debug)]
struct OpenCount(Rc<Cell<u32>>);

/// How a request gets a connection.
#[derive(Debug)]
pub(crate) enum Checkout {
    /// Reuse this connection.
    Reuse(Connection),
    /// Open another connection.
    Open(Permit),
    /// The limit of open connections to the target is reached.
    Exhausted,
}

/// The permit to open a connection.
#[derive(Debug)]
pub(crate) struct Permit(OpenCount);

/// How long an idle connection is kept if the target does not say; some targets close theirs after
/// a few seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a connection may have been idle for a request that is delivered at most once: if the
/// target closes it at the same moment, it is unknown whether the request ran.
const IDLE_TIMEOUT_AT_MOST_ONCE: Duration = Duration::from_millis(1500);
/// How long opening a connection may take; a round trip to a target takes a few milliseconds.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// How long a peer may be unreachable, or keep its window closed, before its connection is closed.
const USER_TIMEOUT: Duration = Duration::from_secs(15);
/// The same after an entry has closed a connection to a target: a request that it no longer waits
/// for must not reach the target long after a network partition.
const CLOSED_USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// The interval of the probes on a connection of a caller without data in flight.
const CALLER_KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// The maximum size of a response head; a larger one ends the connection.
const MAX_HEAD_BYTES: usize = 32 << 10;
/// The maximum number of bytes before a response head, in informational responses.
pub(crate) const MAX_INTERIM_BYTES: u64 = 4 * MAX_HEAD_BYTES as u64;
/// How long a connection may take to become ready again after a response.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

impl Pool {
    /// Returns a connection or a permit to open one; `limit` is the maximum number of open
    /// connections.
    pub(crate) fn checkout(
        &mut self,
        target: &Target,
        limit: u32,
        at_most_once: bool,
        now: Time,
    ) -> Checkout {
        let pool = self.targets.entry(target.clone()).or_default();
        pool.idle.retain(|idle| {
            now.since(idle.since) < idle.keep_alive && !idle.connection.sender.is_closed()
        });
        // The most recently used connection is the least likely to be closed by the target.
        while let Some(idle) = pool.idle.pop() {
            if at_most_once && now.since(idle.since) >= IDLE_TIMEOUT_AT_MOST_ONCE {
                pool.idle.push(idle);
                break;
            }
            if idle.connection.sender.is_ready() {
                return Checkout::Reuse(idle.connection);
            }
        }
        if pool.open.get() >= limit && pool.idle.pop().is_none() {
            return Checkout::Exhausted;
        }
        pool.open.set(pool.open.get() + 1);
        Checkout::Open(Permit(OpenCount(Rc::clone(&pool.open))))
    }

    /// Returns whether a request would get a connection, of which `limit` may be open.
    pub(crate) fn has_room(&self, target: &Target, limit: u32) -> bool {
        let pool = self.targets.get(target);
        pool.is_none_or(|pool| !pool.idle.is_empty() || pool.open.get() < limit)
    }

    fn check_in(
        &mut self,
        target: &Target,
        connection: Connection,
        keep_alive: Duration,
        now: Time,
    ) {
        let pool = self.targets.entry(target.clone()).or_default();
        pool.idle.push(Idle {
            connection,
            since: now,
            keep_alive,
        });
    }

    /// Drops expired idle connections, and targets that are gone and have no open connections.
    pub(crate) fn retain<Known>(&mut self, known: Known, now: Time)
    where
        Known: Fn(&Target) -> bool,
    {
        self.targets.retain(|target, pool| {
            pool.idle.retain(|idle| {
                now.since(idle.since) < idle.keep_alive && !idle.connection.sender.is_closed()
            });
            known(target) || pool.open.get() > 0
        });
    }
}

impl Connection {
    /// Returns the number of bytes that have arrived.
    pub(crate) fn received(&self) -> u64 {
        self.received.get()
    }

    /// Limits the bytes that may arrive before a response head. Informational responses without end
    /// would occupy the process until the deadline of their request.
    pub(crate) fn limit_interim_bytes(&self) {
        let limit = self.received.get().saturating_add(MAX_INTERIM_BYTES);
        self.read_limit.set(limit);
    }

    /// Lifts the limit, as a response head has arrived.
    pub(crate) fn lift_limit(&self) {
        self.read_limit.set(u64::MAX);
    }
}

impl AsyncRead for Io {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.received.get() > self.read_limit.get() {
            let error = format!("no response head within {MAX_INTERIM_BYTES} bytes");
            return Poll::Ready(Err(std::io::Error::other(error)));
        }
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = (buffer.filled().len() - filled) as u64;
        self.received.set(self.received.get() + count);
        read
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        log_socket_error(self.0.set_tcp_user_timeout(Some(CLOSED_USER_TIMEOUT)));
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Why there is no connection. No byte of the request was sent, so it has not run.
#[derive(Debug, Display, PartialEq, Eq)]
pub(crate) enum Error {
    /// no connection within {0:?}
    Timeout(Duration),
    /// {0}
    Failed(String),
    /// all {0} connections are in use
    Exhausted(u32),
}

impl std::error::Error for Error {}

/// Opens a connection.
pub(crate) async fn open(address: SocketAddr, permit: Permit) -> Result<Connection, Error> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = match connected {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(Error::Failed(error.to_string())),
        Err(_) => return Err(Error::Timeout(CONNECT_TIMEOUT)),
    };
    set_socket_options(&stream);
    let socket = SockRef::from(&stream)
        .try_clone()
        .map_err(|error| Error::Failed(error.to_string()))?;
    let received = Rc::new(Cell::new(0));
    let read_limit = Rc::new(Cell::new(u64::MAX));
    let io = Io {
        stream,
        received: Rc::clone(&received),
        read_limit: Rc::clone(&read_limit),
    };
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(io))
        .await
        .map_err(|error| Error::Failed(error.to_string()))?;
    tokio::task::spawn_local(async move {
        // The request on the connection reports its own failure.
        if let Err(error) = driver.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok(Connection {
        sender,
        reused: false,
        received,
        read_limit,
        _socket: Socket(socket),
        _open: permit.0,
    })
}

/// Disables Nagle's algorithm and sets the timeout after which an unresponsive connection is
/// closed.
///
/// On Linux the timeout also ends a connection whose peer acknowledges probes but keeps its window
/// closed, so it must exceed any pause of a peer that reads slowly.
fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let nodelay = stream.set_nodelay(true);
    let user_timeout = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
    log_socket_error(nodelay.and(user_timeout));
}

/// Sets the options of a connection of a caller. Keep-alive probes find callers that are
/// unreachable while no data is in flight.
pub(crate) fn set_caller_socket_options(stream: &TcpStream) {
    set_socket_options(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(CALLER_KEEP_ALIVE_INTERVAL)
        .with_interval(CALLER_KEEP_ALIVE_INTERVAL);
    log_socket_error(SockRef::from(stream).set_tcp_keepalive(&keep_alive));
}

fn log_socket_error(result: std::io::Result<()>) {
    if let Err(error) = result {
        log::warn!("cannot set socket options: {error}");
    }
}

/// Returns a connection to the pool once it is ready for the next request.
pub(crate) fn release<Adapter>(
    shared: &Rc<crate::shared::Shared<Adapter>>,
    target: &Target,
    mut connection: Connection,
    keep_alive: Option<Duration>,
) where
    Adapter: 'static,
{
    let (shared, target) = (Rc::clone(shared), target.clone());
    tokio::task::spawn_local(async move {
        let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        connection.reused = true;
        // The target counts from the end of its response, which is earlier than this.
        let keep_alive = keep_alive.map_or(IDLE_TIMEOUT, |keep_alive| keep_alive.mul_f64(0.7));
        shared
            .connections
            .borrow_mut()
            .check_in(&target, connection, keep_alive, now());
        shared.capacity_freed.notify_waiters();
    });
}
