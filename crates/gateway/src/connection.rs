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
    lines: HashMap<Target, Line>,
}

/// The connections to one target.
#[derive(Debug, Default)]
struct Line {
    idle: Vec<Idle>,
    open: Rc<Cell<u32>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Time,
    keep: Duration,
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub(crate) used: bool,
    /// Counts it for as long as it lives.
    _open: Open,
}

/// Counts a connection while it is open.
#[derive(Debug)]
struct Open(Rc<Cell<u32>>);

/// What to do for a request that needs a connection.
#[derive(Debug)]
pub(crate) enum Next {
    /// Use this one.
    Use(Connection),
    /// Open another one and count it.
    Open(Permit),
    /// The target accepts no more from this entry.
    Full,
}

/// The permission to open a connection.
#[derive(Debug)]
pub(crate) struct Permit(Open);

/// How long an idle connection is kept where the target does not say; some close after few seconds.
const KEEP: Duration = Duration::from_secs(4);
/// How long a connection may have been idle for a request that cannot be repeated: a target that
/// closes it meanwhile leaves open whether the request ran.
const KEEP_ONCE: Duration = Duration::from_millis(1500);
/// How long it may take to open a connection; the way to a target takes a few milliseconds.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// How long sent bytes may stay unconfirmed; a target that is cut off does not answer.
const UNCONFIRMED: Duration = Duration::from_millis(2500);
/// Bytes of the head of an answer; a longer one ends the connection.
const HEAD_BYTES: usize = 64 << 10;
/// How long a connection may take to become free after an answer.
const SETTLE: Duration = Duration::from_millis(100);

impl Pool {
    /// Returns the connection for a request; `limit` is the most that may be open.
    pub(crate) fn next(&mut self, target: &Target, limit: u32, once: bool, now: Time) -> Next {
        let line = self.lines.entry(target.clone()).or_default();
        line.idle.retain(|idle| {
            now.since(idle.since) < idle.keep && !idle.connection.sender.is_closed()
        });
        // The one that was used last is the least likely to be closed by the target.
        while let Some(idle) = line.idle.pop() {
            if once && now.since(idle.since) >= KEEP_ONCE {
                line.idle.push(idle);
                break;
            }
            if idle.connection.sender.is_ready() {
                return Next::Use(idle.connection);
            }
        }
        if line.open.get() >= limit && line.idle.pop().is_none() {
            return Next::Full;
        }
        line.open.set(line.open.get() + 1);
        Next::Open(Permit(Open(Rc::clone(&line.open))))
    }

    fn put(&mut self, target: &Target, connection: Connection, keep: Duration, now: Time) {
        let line = self.lines.entry(target.clone()).or_default();
        line.idle.push(Idle {
            connection,
            since: now,
            keep,
        });
    }

    /// Closes connections to targets that are gone, and those that were idle for long.
    pub(crate) fn retain<Known>(&mut self, known: Known, now: Time)
    where
        Known: Fn(&Target) -> bool,
    {
        self.lines.retain(|target, line| {
            line.idle.retain(|idle| {
                now.since(idle.since) < idle.keep && !idle.connection.sender.is_closed()
            });
            known(target) || line.open.get() > 0
        });
    }
}

impl Drop for Open {
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
pub(crate) async fn open(address: SocketAddr, slot: Permit) -> Result<Connection, Error> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = match connecting {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return Err(Error::Failed(error.to_string())),
        Err(_) => return Err(Error::Timeout(CONNECT_TIMEOUT)),
    };
    prepare(&stream);
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(HEAD_BYTES)
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
        used: false,
        _open: slot.0,
    })
}

/// Sets the options of a socket: no delay, and an end to connections that fell silent.
pub(crate) fn prepare(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let nodelay = stream.set_nodelay(true);
    let silent = socket.set_tcp_user_timeout(Some(UNCONFIRMED));
    if let Err(error) = nodelay.and(silent) {
        log::warn!("options of a socket cannot be set: {error}");
    }
}

/// Keeps a connection for the next request, once the last answer has ended.
pub(crate) fn keep<Adapter>(
    shared: &Rc<crate::shared::Shared<Adapter>>,
    target: &Target,
    mut connection: Connection,
    keep: Option<Duration>,
) where
    Adapter: 'static,
{
    let (shared, target) = (Rc::clone(shared), target.clone());
    tokio::task::spawn_local(async move {
        let settled = tokio::time::timeout(SETTLE, connection.sender.ready()).await;
        if !matches!(settled, Ok(Ok(()))) {
            return;
        }
        connection.used = true;
        // A target counts from the end of its answer, which is earlier than this.
        let keep = keep.map_or(KEEP, |keep| keep.mul_f64(0.7));
        shared
            .connections
            .borrow_mut()
            .put(&target, connection, keep, now());
    });
}
