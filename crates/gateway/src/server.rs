use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use displaydoc::Display;
use fleet::callers::{self, Activity, Check};
use fleet::catalog::Limits;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use types::Time;

use crate::adapter::{List, Platform};
use crate::answer::Body;
use crate::builds;
use crate::caller::{Exchange, Io, Link, Phase};
use crate::callers::{Callers, Seat};
use crate::clock::now;
use crate::connection::set_caller_socket_options;
use crate::logging::{self, Event};
use crate::metrics::Metrics;
use crate::serve::{self, millis};
use crate::settings::{Problem, Settings};
use crate::shared::Shared;
use crate::signal::Signal;
use crate::{
    cache, discovery, dispatch, feed, gossip, lag, leader, reachability, shutdown, supervisor,
};

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
    /// metrics cannot be registered: {0}
    Metrics(#[from] prometheus::Error),
    /// signals cannot be received: {0}
    Signal(std::io::Error),
}

/// Length of the listen queue.
const BACKLOG: u32 = 1024;
/// The share of the grace period after which callers' connections are closed as soon as they are
/// idle. The load balancer has noticed the shutdown by then: it probes every second and removes a
/// process after two failed probes.
const DRAIN_DELAY_SHARE: f64 = 0.35;
/// The share of the usable grace period in which open connections may finish; the rest is for the
/// end of the process.
const REQUEST_DEADLINE_SHARE: f64 = 0.93;
/// The share of the usable grace period after which the last log lines are written even if requests
/// are in progress.
const FLUSH_DEADLINE_SHARE: f64 = 0.975;
/// The share of the usable grace period after which the process exits even if requests are in
/// progress.
const EXIT_DEADLINE_SHARE: f64 = 0.985;
/// Poll interval before exit, while waiting for a moment without a request in progress.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Poll interval of the shutdown.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Clones of the connection counter that are not connections: those of the accept task, its
/// supervisor, and the shutdown task.
const BASE_REFERENCES: usize = 3;
/// Consecutive polls without an open connection after which the process exits.
const IDLE_POLLS: u32 = 6;
/// How long accepting pauses after an error; a lack of file descriptors is temporary.
const ACCEPT_BACK_OFF: Duration = Duration::from_millis(50);
/// The minimum limit on request heads, also used before the configuration is known.
const MIN_HEAD_BYTES: usize = 8 << 10;
/// Extra time for which an idle connection is kept beyond the configured timeout, so that a caller
/// that uses the full timeout does not send a request on a connection that is being closed.
const IDLE_SLACK: Duration = Duration::from_secs(2);
/// How long a connection to an administration address may be idle or send the head of a request.
const ADMIN_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection to an administration address may last.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(60);
/// How often a connection looks for changes of its limits.
const LIMITS_INTERVAL: Duration = Duration::from_secs(1);

/// Starts an entry on the current thread's local set.
///
/// # Errors
/// Fails if an address cannot be bound or signals cannot be received. An unreachable table store is
/// not an error.
pub async fn spawn<Adapter>(
    settings: Settings,
    file: PathBuf,
    adapter: Adapter,
) -> Result<Entry, Error>
where
    Adapter: Platform,
{
    let http_listener = listen(settings.http_address)?;
    let ready = listen(settings.ready_address)?;
    let metrics = listen(SocketAddr::new(settings.ip, settings.metrics_port))?;
    let sighup = signal(SignalKind::hangup()).map_err(Error::Signal)?;
    let local_address = |listener: &TcpListener, address| {
        listener
            .local_addr()
            .map_err(|error| Error::Bind(address, error))
    };
    let http_address = local_address(&http_listener, settings.http_address)?;
    let ready_address = local_address(&ready, settings.ready_address)?;
    let name = settings.name.clone();
    let shared = Rc::new(Shared::new(settings, adapter, Metrics::open()?));
    let sigterm = Signal::listen(&shared.stopping.start).map_err(Error::Signal)?;
    let socket = SocketAddr::new(shared.settings.ip, shared.settings.peer_port);
    let socket = UdpSocket::bind(socket)
        .await
        .map_err(|error| Error::Bind(socket, error))?;
    spawn_tasks(&shared, Rc::new(socket));
    tokio::task::spawn_local(reload(Rc::clone(&shared), file, sighup));
    for listener in [ready, metrics].map(Rc::new) {
        let shared = Rc::clone(&shared);
        supervisor::spawn("administer", move || {
            serve_admin(Rc::clone(&shared), Rc::clone(&listener))
        });
    }
    let (close, closing) = watch::channel(false);
    let open = Rc::new(());
    let http_listener = Rc::new(http_listener);
    supervisor::spawn("accept", {
        let (shared, open) = (Rc::clone(&shared), Rc::clone(&open));
        move || {
            let (shared, open) = (Rc::clone(&shared), Rc::clone(&open));
            accept(shared, Rc::clone(&http_listener), closing.clone(), open)
        }
    });
    Event::new("start")
        .with("name", name)
        .with("http", http_address.to_string())
        .with("ready", ready_address.to_string())
        .with("version", env!("CARGO_PKG_VERSION"))
        .info();
    let task = tokio::task::spawn_local(shut_down(shared, sigterm, close, open));
    Ok(Entry {
        http: http_address,
        ready: ready_address,
        task,
    })
}

/// Spawns the tasks that run as long as the process.
fn spawn_tasks<Adapter>(shared: &Rc<Shared<Adapter>>, socket: Rc<UdpSocket>)
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
    let handle = Rc::clone(shared);
    supervisor::spawn("sweep", move || feed::sweep(Rc::clone(&handle)));
    let handle = Rc::clone(shared);
    supervisor::spawn("talk", move || {
        gossip::run(Rc::clone(&handle), Rc::clone(&socket))
    });
    let handle = Rc::clone(shared);
    supervisor::spawn("shelves", move || cache::watch_all(Rc::clone(&handle)));
    let handle = Rc::clone(shared);
    supervisor::spawn("free", move || cache::evict(Rc::clone(&handle)));
    let handle = Rc::clone(shared);
    supervisor::spawn("lead", move || leader::run_rollout(Rc::clone(&handle)));
    let handle = Rc::clone(shared);
    supervisor::spawn("dispatch", move || dispatch::poll(Rc::clone(&handle)));
    let handle = Rc::clone(shared);
    supervisor::spawn("probe", move || reachability::probe(Rc::clone(&handle)));
    let handle = Rc::clone(shared);
    supervisor::spawn("tell", move || dispatch::report_loads(Rc::clone(&handle)));
    let handle = Rc::clone(shared);
    supervisor::spawn("beacon", move || discovery::heartbeat(Rc::clone(&handle)));
    let handle = Rc::clone(shared);
    supervisor::spawn("follow_builds", move || builds::watch(Rc::clone(&handle)));
    let handle = Rc::clone(shared);
    supervisor::spawn("measure_lag", move || lag::measure(Rc::clone(&handle)));
    let handle = Rc::clone(shared);
    supervisor::spawn("count", move || leader::count_entries(Rc::clone(&handle)));
}

impl Entry {
    /// Returns the address for callers.
    #[must_use]
    pub fn http(&self) -> SocketAddr {
        self.http
    }

    /// Returns the address of the platform's readiness probe.
    #[must_use]
    pub fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// Waits for the graceful shutdown after SIGTERM.
    pub async fn wait(self) {
        if let Err(error) = self.task.await {
            log::error!("the entry's main task failed: {error}");
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

/// Accepts connections until the process ends, also during the shutdown: connections in the listen
/// queue would be reset if the listener were closed.
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
            tokio::time::sleep(ACCEPT_BACK_OFF).await;
            continue;
        };
        // Dropping the socket closes the connection.
        let Some(seat) = shared.callers.admit() else {
            continue;
        };
        set_caller_socket_options(&socket);
        let (shared, closing, open) = (Rc::clone(&shared), closing.clone(), Rc::clone(&open));
        tokio::task::spawn_local(async move {
            serve_connection(shared, socket, seat, closing).await;
            drop(open);
        });
    }
}

/// Serves the requests of one connection.
async fn serve_connection<Adapter>(
    shared: Rc<Shared<Adapter>>,
    socket: TcpStream,
    seat: Seat,
    mut closing: watch::Receiver<bool>,
) where
    Adapter: Platform,
{
    let accepted = now();
    let config = shared.config_version();
    let mut builder = http1::Builder::new();
    // `await_close` applies the timeouts in force, which may change while the connection is open.
    let head_bytes = limits(&shared).head_bytes.max(MIN_HEAD_BYTES);
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_headers(callers::max_fields(head_bytes))
        .max_buf_size(head_bytes);
    let link = Rc::new(Link::new(socket, Rc::new(seat)));
    let requests = Cell::new(0_u64);
    let service = service_fn(|request: Request<Incoming>| {
        requests.set(requests.get() + 1);
        let shared = Rc::clone(&shared);
        // hyper polls the future only after it has looked for the end of the caller's data.
        let (version, fields) = (request.version(), request.headers().len());
        let exchange = Exchange::open(Rc::clone(&link), version, fields).map(Rc::new);
        let request = exchange.map(|exchange| (exchange, request));
        async move {
            Ok::<_, Infallible>(match request {
                // Boxed, so that idle connections do not keep room for it.
                Some((exchange, request)) => {
                    Box::pin(serve::serve(shared, exchange, request)).await
                }
                None => serve::refuse_unread(&shared),
            })
        }
    });
    let connection = builder.serve_connection(TokioIo::new(Io::new(Rc::clone(&link))), service);
    tokio::pin!(connection);
    // A connection that is accepted after this point has a request on its way. It gets a response,
    // which asks for the connection to be closed.
    let accepted_after_close = *closing.borrow();
    let closing = (!accepted_after_close).then_some(&mut closing);
    let ended = tokio::select! {
        // The connection comes first, so that it takes notice of bytes that have arrived.
        biased;
        ended = connection.as_mut() => ended.map_err(Failure::from),
        cause = link.seat().evicted() => {
            // Many are closed at a time, and `Callers::report` counts them.
            log::debug!("closed for want of room: {}", cause.label());
            link.reset();
            return;
        }
        close = await_close(&shared, &link, closing) => match close {
            Close::Gracefully => {
                connection.as_mut().graceful_shutdown();
                tokio::select! {
                    biased;
                    ended = connection => ended.map_err(Failure::from),
                    _ = link.seat().evicted() => {
                        link.reset();
                        return;
                    }
                }
            }
            Close::Stalled => {
                link.reset();
                return;
            }
            Close::HeadTimedOut => Err(Failure {
                cause: "head_timeout",
                why: "the head of a request did not end in time".to_owned(),
            }),
        }
    };
    if let Err(Failure { cause, why }) = ended {
        let failures = &shared.metrics.failed_connections;
        failures.with_label_values(&[cause]).inc();
        Event::new("connection_failed")
            .with("cause", cause)
            .with("why", why)
            .with("requests", requests.get())
            .with("after_ms", millis(now().since(accepted)))
            .with("accepted_config", config)
            .with("config", shared.config_version())
            .info();
    }
}

/// How the entry closes a connection.
#[derive(Debug)]
enum Close {
    /// It is idle, or ends after the request in progress.
    Gracefully,
    /// A head began to arrive and did not end in time.
    HeadTimedOut,
    /// The caller sends a body or reads a response too slowly.
    Stalled,
}

/// Waits until a connection must be closed by the limits in force, which may change meanwhile, or
/// because of `closing`.
async fn await_close<Adapter>(
    shared: &Shared<Adapter>,
    link: &Link,
    mut closing: Option<&mut watch::Receiver<bool>>,
) -> Close {
    loop {
        let limits = limits(shared);
        let is_closing = closing.as_ref().is_some_and(|closing| *closing.borrow());
        let remaining = match link.phase() {
            Phase::Request if is_closing => return Close::Gracefully,
            Phase::Request => match link.seat().check() {
                Check::After(remaining) => remaining,
                Check::Close(_) if link.has_unread_bytes() && !link.is_write_blocked() => {
                    POLL_INTERVAL
                }
                Check::Close(cause) => {
                    link.seat().on_closed(cause);
                    return Close::Stalled;
                }
            },
            Phase::Head(since) => {
                let remaining = limits.head_timeout.saturating_sub(now().since(since));
                match (remaining.is_zero(), link.has_unread_bytes()) {
                    (false, _) => remaining,
                    // The process was suspended, and has yet to read what arrived meanwhile.
                    (true, true) => POLL_INTERVAL,
                    (true, false) => return Close::HeadTimedOut,
                }
            }
            Phase::Idle(_) if link.has_unread_bytes() => POLL_INTERVAL,
            Phase::Idle(since) => {
                let limit = limits.idle_timeout + IDLE_SLACK;
                let remaining = limit.saturating_sub(now().since(since));
                if is_closing || remaining.is_zero() {
                    return Close::Gracefully;
                }
                remaining
            }
        };
        let remaining = remaining.min(LIMITS_INTERVAL);
        match &mut closing {
            // The wait also ends if the sender is dropped, which ends the process.
            Some(closing) if !is_closing => {
                let _ = tokio::time::timeout(remaining, closing.changed()).await;
            }
            _ => tokio::time::sleep(remaining).await,
        }
    }
}

/// Returns the limits on callers in force.
fn limits<Adapter>(shared: &Shared<Adapter>) -> Limits {
    let limits = shared.catalog().map(|catalog| catalog.limits);
    limits.unwrap_or_default()
}

/// Why a caller's connection failed.
#[derive(Debug)]
struct Failure {
    /// The metric label.
    cause: &'static str,
    why: String,
}

impl From<hyper::Error> for Failure {
    fn from(error: hyper::Error) -> Self {
        let cause = if error.is_parse() {
            "malformed"
        } else if error.is_incomplete_message() {
            "closed_by_caller"
        } else if error.is_user() {
            "truncated_stream"
        } else {
            "io"
        };
        Self {
            cause,
            why: error.to_string(),
        }
    }
}

/// Serves the readiness probe and metrics.
async fn serve_admin<Adapter>(shared: Rc<Shared<Adapter>>, listener: Rc<TcpListener>)
where
    Adapter: Platform,
{
    let capacity = shared.settings.limits.machine().administration();
    let callers = Rc::new(Callers::new(capacity, shared.metrics.clone()));
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACK_OFF).await;
            continue;
        };
        callers.report(now());
        let Some(seat) = callers.admit() else {
            continue;
        };
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let response = admin_response(&shared, request.uri().path());
                seat.on_served();
                seat.begin(Activity::Idle);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(ADMIN_HEAD_TIMEOUT)
                .max_buf_size(MIN_HEAD_BYTES)
                .serve_connection(TokioIo::new(socket), service);
            tokio::select! {
                ended = tokio::time::timeout(ADMIN_TIMEOUT, connection) => {
                    if let Ok(Err(error)) = ended {
                        log::debug!("connection of an operator failed: {error}");
                    }
                }
                _ = seat.evicted() => {}
            }
        });
    }
}

fn admin_response<Adapter>(shared: &Shared<Adapter>, path: &str) -> Response<Body> {
    if path == "/metrics" {
        return Response::new(Body::buffered(shared.metrics.render()));
    }
    let ready = shared.is_ready(now());
    let mut response = Response::new(Body::buffered(if ready { "ready" } else { "not ready" }));
    if !ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Validates the settings again on SIGHUP and logs the result; changes take effect at the next
/// start.
async fn reload<Adapter>(
    shared: Rc<Shared<Adapter>>,
    file: PathBuf,
    mut sighup: tokio::signal::unix::Signal,
) {
    while sighup.recv().await.is_some() {
        match Settings::open(&file) {
            Ok(settings) => {
                let unchanged = settings == shared.settings;
                Event::new("reload").with("changed", !unchanged).info();
            }
            Err(problem @ (Problem::Read(..) | Problem::Parse(..) | Problem::Value { .. })) => {
                Event::new("reload_failed")
                    .with("why", problem.to_string())
                    .warn();
            }
        }
    }
}

/// Waits for SIGTERM, and ends the process when its requests have been answered.
async fn shut_down<Adapter>(
    shared: Rc<Shared<Adapter>>,
    mut sigterm: Signal,
    close: watch::Sender<bool>,
    open: Rc<()>,
) {
    let Some(started) = sigterm.wait().await else {
        return;
    };
    let grace = shared.settings.grace();
    shutdown::announce(&shared);
    shared.dispatch.capacity_freed.notify_one();
    Event::new("stopping")
        .with("grace_ms", millis(grace))
        .with("late_ms", millis(now().since(started)))
        .info();
    tokio::time::sleep((started + grace.mul_f64(DRAIN_DELAY_SHARE)).since(now())).await;
    close.send_replace(true);
    // Callers may still connect while their failure domain has no other entry, so the exit waits
    // until there have been no connections for a while.
    let mut idle_polls = 0;
    let open_connections = || Rc::strong_count(&open).saturating_sub(BASE_REFERENCES);
    let deadline = |share| started + shutdown::usable(&shared).mul_f64(share);
    while idle_polls < IDLE_POLLS && now() < deadline(REQUEST_DEADLINE_SHARE) {
        tokio::time::sleep(POLL_INTERVAL).await;
        idle_polls = if open_connections() == 0 {
            idle_polls + 1
        } else {
            0
        };
    }
    // New requests are refused immediately by now, so there are moments without a request in
    // progress.
    let unanswered = || Rc::strong_count(&shared.unanswered) - 1;
    wait_until_answered(unanswered, deadline(FLUSH_DEADLINE_SHARE)).await;
    gossip::send_leaving(&shared);
    Event::new("stop")
        .with("open", open_connections())
        .with("unanswered", unanswered())
        .with("after_ms", millis(now().since(started)))
        .info();
    // Callers are served while the lines are written, so the exit needs another such moment.
    logging::flush().await;
    wait_until_answered(unanswered, deadline(EXIT_DEADLINE_SHARE)).await;
}

/// Waits for a moment without a request in progress, or for the deadline.
async fn wait_until_answered<Unanswered>(unanswered: Unanswered, deadline: Time)
where
    Unanswered: Fn() -> usize,
{
    // The first poll comes after a wait as well: requests that have arrived are read meanwhile.
    loop {
        tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        if unanswered() == 0 || now() >= deadline {
            return;
        }
    }
}
