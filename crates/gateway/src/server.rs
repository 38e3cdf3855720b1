use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use displaydoc::Display;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::adapter::{List, Platform};
use crate::answer::Body;
use crate::clock::now;
use crate::connection::prepare;
use crate::logging::{self, Event};
use crate::metrics::Metrics;
use crate::serve::{self, millis};
use crate::settings::{Problem, Settings};
use crate::shared::Shared;
use crate::{cache, discovery, dispatch, feed, gossip, leader, reachability, supervisor};

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    http: SocketAddr,
    ready: SocketAddr,
    task: JoinHandle<()>,
}

/// Why an entry did not start.
#[derive(Debug, Display, thiserror::Error)]
pub enum Error {
    /// {0} cannot be bound: {1}
    Bind(SocketAddr, std::io::Error),
    /// the counters cannot be set up: {0}
    Metrics(#[from] prometheus::Error),
    /// signals cannot be received: {0}
    Signal(std::io::Error),
}

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// The part of the grace after which open connections of callers are closed once they are idle. The
/// balancer has noticed by then: it asks each second and takes a process out after two misses.
const LINGER: f64 = 0.35;
/// The part of the grace for running requests; the rest is left for the end of the process.
const WORK: f64 = 0.93;
/// The part of the grace after which the process ends whatever is under way; the rest is for the
/// last log lines.
const LAST: f64 = 0.97;
/// How often a process that is about to end looks for a moment without a request.
const SHORT_LOOK: Duration = Duration::from_millis(2);
/// How often a stopping process looks whether it is done.
const LOOK: Duration = Duration::from_millis(50);
/// References to the count of connections that are none: those of the task that accepts, of its
/// supervisor, and of the task that stops.
const BASE: usize = 3;
/// Looks without an open connection before the end.
const QUIET: u32 = 6;
/// How long a failing listener is left alone; running out of descriptors passes.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The largest head that is read, in bytes, where the configuration is not known yet.
const LEAST_HEAD: usize = 8 << 10;
/// How much longer than the configured time an idle connection is kept, so that a caller that uses
/// the whole time does not meet a closing connection.
const IDLE_SLACK: Duration = Duration::from_secs(2);

/// Starts an entry on the current thread's local set.
///
/// # Errors
/// Fails when an address cannot be bound or signals cannot be received; a store that does not
/// answer is no failure.
pub async fn spawn<Adapter>(
    settings: Settings,
    file: PathBuf,
    border: Adapter,
) -> Result<Entry, Error>
where
    Adapter: Platform,
{
    let callers = listen(settings.http_address)?;
    let ready = listen(settings.ready_address)?;
    let metrics = listen(SocketAddr::new(settings.ip, settings.metrics_port))?;
    let term = signal(SignalKind::terminate()).map_err(Error::Signal)?;
    let hup = signal(SignalKind::hangup()).map_err(Error::Signal)?;
    let bound = |listener: &TcpListener, address| {
        listener
            .local_addr()
            .map_err(|error| Error::Bind(address, error))
    };
    let http_address = bound(&callers, settings.http_address)?;
    let ready_address = bound(&ready, settings.ready_address)?;
    let name = settings.name.clone();
    let shared = Rc::new(Shared::new(settings, border, Metrics::open()?));
    let socket = SocketAddr::new(shared.settings.ip, shared.settings.peer_port);
    let socket = UdpSocket::bind(socket)
        .await
        .map_err(|error| Error::Bind(socket, error))?;
    keep(&shared, Rc::new(socket));
    tokio::task::spawn_local(reload(Rc::clone(&shared), file, hup));
    for listener in [ready, metrics].map(Rc::new) {
        let shared = Rc::clone(&shared);
        supervisor::spawn("administer", move || {
            administer(Rc::clone(&shared), Rc::clone(&listener))
        });
    }
    let (close, closing) = watch::channel(false);
    let open = Rc::new(());
    let callers = Rc::new(callers);
    supervisor::spawn("accept", {
        let (shared, open) = (Rc::clone(&shared), Rc::clone(&open));
        move || {
            let (shared, open) = (Rc::clone(&shared), Rc::clone(&open));
            accept(shared, Rc::clone(&callers), closing.clone(), open)
        }
    });
    Event::new("start")
        .with("name", name)
        .with("http", http_address.to_string())
        .with("ready", ready_address.to_string())
        .with("version", env!("CARGO_PKG_VERSION"))
        .info();
    let task = tokio::task::spawn_local(stop(shared, term, close, open));
    Ok(Entry {
        http: http_address,
        ready: ready_address,
        task,
    })
}

/// Starts the tasks that live as long as the process.
fn keep<Adapter>(shared: &Rc<Shared<Adapter>>, socket: Rc<UdpSocket>)
where
    Adapter: Platform,
{
    for (name, list) in [
        ("follow_operator", List::Operator),
        ("follow_targets", List::Targets),
    ] {
        let shared = Rc::clone(shared);
        supervisor::spawn(name, move || feed::watch(Rc::clone(&shared), list));
    }
    let own = Rc::clone(shared);
    supervisor::spawn("sweep", move || feed::sweep(Rc::clone(&own)));
    let own = Rc::clone(shared);
    supervisor::spawn("talk", move || {
        gossip::talk(Rc::clone(&own), Rc::clone(&socket))
    });
    let own = Rc::clone(shared);
    supervisor::spawn("shelves", move || cache::watch_all(Rc::clone(&own)));
    let own = Rc::clone(shared);
    supervisor::spawn("free", move || cache::evict(Rc::clone(&own)));
    let own = Rc::clone(shared);
    supervisor::spawn("lead", move || leader::lead(Rc::clone(&own)));
    let own = Rc::clone(shared);
    supervisor::spawn("dispatch", move || dispatch::dispatch(Rc::clone(&own)));
    let own = Rc::clone(shared);
    supervisor::spawn("probe", move || reachability::probe(Rc::clone(&own)));
    let own = Rc::clone(shared);
    supervisor::spawn("tell", move || dispatch::tell(Rc::clone(&own)));
    let own = Rc::clone(shared);
    supervisor::spawn("beacon", move || discovery::heartbeat(Rc::clone(&own)));
    let own = Rc::clone(shared);
    supervisor::spawn("count", move || leader::count_entries(Rc::clone(&own)));
}

impl Entry {
    /// Returns the address for callers.
    #[must_use]
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Returns the address at which the platform asks whether the entry takes new connections.
    #[must_use]
    pub fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// Waits for the graceful end after SIGTERM.
    pub async fn wait(self) {
        if let Err(error) = self.task.await {
            log::error!("the entry ended by a fault: {error}");
        }
    }
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    let bind = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().map_err(|error| Error::Bind(address, error))
}

/// Accepts callers until the process ends, also while it stops: a connection that waits in the
/// listening socket would be reset when that is closed.
async fn accept<Adapter>(
    shared: Rc<Shared<Adapter>>,
    listener: Rc<TcpListener>,
    closing: watch::Receiver<bool>,
    open: Rc<()>,
) where
    Adapter: Platform,
{
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        prepare(&socket);
        let (shared, closing, open) = (Rc::clone(&shared), closing.clone(), Rc::clone(&open));
        tokio::task::spawn_local(async move {
            converse(shared, socket, closing).await;
            drop(open);
        });
    }
}

/// Serves the requests of one connection.
async fn converse<Adapter>(
    shared: Rc<Shared<Adapter>>,
    socket: TcpStream,
    mut closing: watch::Receiver<bool>,
) where
    Adapter: Platform,
{
    let limits = shared.catalog().map(|catalog| catalog.limits);
    let limits = limits.unwrap_or_default();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_SLACK)
        .max_buf_size(limits.head_bytes.max(LEAST_HEAD));
    let service = service_fn(|request: Request<Incoming>| {
        let shared = Rc::clone(&shared);
        async move { Ok::<_, Infallible>(serve::serve(shared, request).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(socket), service);
    tokio::pin!(connection);
    // A connection that is accepted later has a request on its way. It is answered, and the answer
    // asks for the close.
    let late = *closing.borrow();
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = closing.wait_for(|&closing| closing), if !late => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("a caller's connection broke: {error}");
    }
}

/// Serves readiness and counters.
async fn administer<Adapter>(shared: Rc<Shared<Adapter>>, listener: Rc<TcpListener>)
where
    Adapter: Platform,
{
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = report(&shared, request.uri().path());
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(socket), service);
            if let Err(error) = connection.await {
                log::debug!("an operator's connection broke: {error}");
            }
        });
    }
}

fn report<Adapter>(shared: &Shared<Adapter>, path: &str) -> Response<Body> {
    if path == "/metrics" {
        return Response::new(Body::whole(shared.metrics.render()));
    }
    let ready = shared.is_ready(now());
    let mut response = Response::new(Body::whole(if ready { "ready" } else { "not ready" }));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Checks the settings again on SIGHUP and logs the outcome; changes take effect at the next start.
async fn reload<Adapter>(
    shared: Rc<Shared<Adapter>>,
    file: PathBuf,
    mut hup: tokio::signal::unix::Signal,
) {
    while hup.recv().await.is_some() {
        match Settings::open(&file) {
            Ok(settings) => {
                let same = settings == shared.settings;
                Event::new("reload").with("changed", !same).info();
            }
            Err(problem @ (Problem::Read(..) | Problem::Parse(..) | Problem::Value { .. })) => {
                Event::new("reload_failed")
                    .with("why", problem.to_string())
                    .warn();
            }
        }
    }
}

/// Waits for SIGTERM and ends the process when its requests are answered.
async fn stop<Adapter>(
    shared: Rc<Shared<Adapter>>,
    mut term: tokio::signal::unix::Signal,
    close: watch::Sender<bool>,
    open: Rc<()>,
) {
    if term.recv().await.is_none() {
        return;
    }
    let begun = now();
    let grace = shared.settings.grace();
    shared.stopping.set(Some(begun));
    shared.dispatch.freed.notify_one();
    Event::new("stopping")
        .with("grace_ms", millis(grace))
        .info();
    tokio::time::sleep(grace.mul_f64(LINGER)).await;
    close.send_replace(true);
    // Callers may still come while their failure domain has no other entry, so the end waits for a
    // quiet moment.
    let mut quiet = 0;
    let waiting = || Rc::strong_count(&open).saturating_sub(BASE);
    while quiet < QUIET && now().since(begun) < grace.mul_f64(WORK) {
        tokio::time::sleep(LOOK).await;
        quiet = if waiting() == 0 { quiet + 1 } else { 0 };
    }
    // Callers that keep coming are refused at once by now, so there are moments without a request.
    let unanswered = || Rc::strong_count(&shared.unanswered) - 1;
    while unanswered() > 0 && now().since(begun) < grace.mul_f64(LAST) {
        tokio::time::sleep(SHORT_LOOK).await;
    }
    gossip::leave(&shared);
    // From here on nothing else runs: a request that is read now would be cut off.
    Event::new("stop")
        .with("open", waiting())
        .with("unanswered", unanswered())
        .with("after_ms", millis(now().since(begun)))
        .info();
    logging::flush();
}
