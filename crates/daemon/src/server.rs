use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::Request;
use hyper::body::Incoming;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use warp::Filter;
use warp::reply::Response;

use crate::callers::{self, Callers, Io};
use crate::metrics::Metrics;

/// How long a caller may take to send the head of a request; an idle connection is closed after the
/// same time.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// The maximum size of a request head.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// How long a draining entry accepts new connections at most.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(2);
/// The time without a new connection after which a draining entry closes its listening socket.
const QUIET_PERIOD: Duration = Duration::from_millis(200);

/// Serves callers until shutdown, then finishes the running requests; idle connections do not delay
/// it.
///
/// warp's own server has no timeout for the head of a request.
pub(crate) async fn run<Routes>(
    listener: TcpListener,
    routes: Routes,
    callers: Arc<Callers>,
    refusal: fn(&Metrics) -> Response,
    metrics: Metrics,
    mut stopped: watch::Receiver<bool>,
) where
    Routes: Filter<Extract = (Response,), Error = Infallible> + Clone + Send + Sync + 'static,
    Routes::Future: Send,
{
    let metrics = Arc::new(metrics);
    let connections = GracefulShutdown::new();
    let mut builder = Builder::new(TokioExecutor::new()).http1_only();
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(fleet::callers::max_fields(MAX_HEAD_BYTES))
        .max_buf_size(MAX_HEAD_BYTES);
    let serve = |socket: TcpStream| {
        // Dropping the socket closes the connection.
        let Some(seat) = callers.admit() else {
            return;
        };
        let _ = socket.set_nodelay(true);
        let routes = TowerToHyperService::new(warp::service(routes.clone()));
        let (builder, watcher) = (builder.clone(), connections.watcher());
        let metrics = Arc::clone(&metrics);
        tokio::spawn(async move {
            let service = service_fn(|mut request: Request<Incoming>| {
                let in_progress = seat.request(request.headers().len());
                request.extensions_mut().insert(Arc::clone(&seat));
                let response = in_progress.map(|in_progress| (in_progress, routes.call(request)));
                let metrics = Arc::clone(&metrics);
                async move {
                    let Some((in_progress, response)) = response else {
                        return Ok(refusal(&metrics).map(|body| callers::Body::new(body, None)));
                    };
                    let response = response.await?;
                    if response.status().is_success() {
                        in_progress.on_served();
                    }
                    let in_progress = Some(in_progress);
                    Ok::<_, Infallible>(response.map(|body| callers::Body::new(body, in_progress)))
                }
            });
            let io = TokioIo::new(Io::new(socket, Arc::clone(&seat)));
            let connection = watcher.watch(builder.serve_connection(io, service));
            tokio::select! {
                ended = connection => {
                    if let Err(error) = ended {
                        log::debug!("a caller's connection broke: {error}");
                    }
                }
                () = seat.closed() => {}
            }
        });
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|&stop| stop) => break,
        };
        let Ok((socket, _)) = accepted else {
            // Running out of file descriptors is temporary; a busy loop would not help.
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        serve(socket);
    }
    // Closing the listening socket resets the connections that wait to be accepted, so it is closed
    // once no new callers connect.
    let stopped = Instant::now();
    while stopped.elapsed() < MAX_DRAIN_DELAY {
        match tokio::time::timeout(QUIET_PERIOD, listener.accept()).await {
            Ok(Ok((socket, _))) => serve(socket),
            Ok(Err(error)) => {
                log::warn!("cannot accept a caller's connection: {error}");
                tokio::time::sleep(QUIET_PERIOD).await;
            }
            Err(_) => break,
        }
    }
    drop(listener);
    connections.shutdown().await;
}
