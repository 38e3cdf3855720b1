use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
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
    /// Counts it for as long as it lives.
    _open: OpenCount,
}

/// Counts a connection while it is open.
#[derive(Debug)]
struct OpenCount(Rc<Cell<u32>>);

/// What to do for a request that needs a connection.
#[derive(Debug)]
pub(crate) enum Checkout {
    /// Use this one.
    Reuse(Connection),
    /// Open another one and count it.
    Open(Permit),
    /// The target accepts no more from this entry.
    Exhausted,
}

/// The permission to open a connection.
#[derive(Debug)]
pub(crate) struct Permit(OpenCount);

/// How long an idle connection is kept where the target does not say; some close after few seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a connection may have been idle for a request that cannot be repeated: a target that
/// closes it meanwhile leaves open whether the request ran.
const IDLE_TIMEOUT_AT_MOST_ONCE: Duration = Duration::from_millis(1500);
/// How long it may take to open a connection; the way to a target takes a few milliseconds.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// How long sent bytes may stay unconfirmed; a target that is cut off does not answer.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2500);
/// Bytes of the head of an answer; a longer one ends the connection.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// How long a connection may take to become free after an answer.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

impl Pool {
    /// Returns the connection for a request; `limit` is the most that may be open.
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
        // The one that was used last is the least likely to be closed by the target.
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

    /// Closes connections to targets that are gone, and those that were idle for long.
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

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Why there is no connection. Nothing of the request was sent, so it has not run.
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
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = match connecting {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(Error::Failed(error.to_string())),
        Err(_) => return Err(Error::Timeout(CONNECT_TIMEOUT)),
    };
    set_socket_options(&stream);
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
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
        _open: permit.0,
    })
}

/// Sets the options of a socket: no delay, and an end to connections that fell silent.
pub(crate) fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let nodelay = stream.set_nodelay(true);
    let user_timeout = socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    if let Err(error) = nodelay.and(user_timeout) {
        log::warn!("options of a socket cannot be set: {error}");
    }
}

/// Keeps a connection for the next request, once the last answer has ended.
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
        // A target counts from the end of its answer, which is earlier than this.
        let keep_alive = keep_alive.map_or(IDLE_TIMEOUT, |keep_alive| keep_alive.mul_f64(0.7));
        shared
            .connections
            .borrow_mut()
            .check_in(&target, connection, keep_alive, now());
    });
}
