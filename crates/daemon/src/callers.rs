//! Carries out what `fleet::callers` decides about the connections of callers.

use std::io::{ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use fleet::callers::{self, Activity, Admission, Capacity, Cause, Check, Growth, Id};
use http_body::{Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::now;

/// The account of the callers of an address.
#[derive(Debug)]
pub(crate) struct Callers {
    account: Mutex<callers::Callers<Arc<Notice>>>,
    metrics: Metrics,
}

/// The place of a connection in the account; it leaves on drop.
#[derive(Debug)]
pub(crate) struct Seat {
    callers: Arc<Callers>,
    id: Id,
    notice: Arc<Notice>,
}

/// Tells the task of a connection that it must be closed.
#[derive(Debug, Default)]
struct Notice(Notify);

/// Memory that a request has reserved; released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    seat: Arc<Seat>,
    bytes: usize,
}

/// The connection of a caller; reports its progress.
#[derive(Debug)]
pub(crate) struct Io {
    socket: TcpStream,
    seat: Arc<Seat>,
    is_write_blocked: bool,
}

/// The body of a response; its request is in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct Body<Inner> {
    inner: Inner,
    _request: Option<Request>,
}

/// A request in progress.
#[derive(Debug)]
pub(crate) struct Request {
    reservation: Reservation,
}

/// How often a connection is checked for progress.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl Callers {
    /// Creates an account without connections.
    pub(crate) fn new(capacity: Capacity, metrics: Metrics) -> Arc<Self> {
        Arc::new(Self {
            account: Mutex::new(callers::Callers::new(capacity)),
            metrics,
        })
    }

    /// Admits a connection; `None` if it must be closed at once.
    pub(crate) fn admit(self: &Arc<Self>) -> Option<Arc<Seat>> {
        let notice = Arc::new(Notice::default());
        let mut account = self.account();
        let admission = account.admit(Arc::clone(&notice), now());
        self.close_evicted(account);
        match admission {
            Admission::Admitted(id) => Some(Arc::new(Seat {
                callers: Arc::clone(self),
                id,
                notice,
            })),
            Admission::Full(cause) => {
                self.count(cause);
                None
            }
        }
    }

    fn account(&self) -> MutexGuard<'_, callers::Callers<Arc<Notice>>> {
        self.account.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close_evicted(&self, mut account: MutexGuard<'_, callers::Callers<Arc<Notice>>>) {
        let evicted = account.take_evicted();
        drop(account);
        for (notice, cause) in evicted {
            self.count(cause);
            notice.0.notify_one();
        }
    }

    fn count(&self, cause: Cause) {
        let closed = &self.metrics.closed_callers;
        closed.with_label_values(&[cause.label()]).inc();
    }
}

impl Seat {
    /// Waits until the connection must be closed for want of room or progress.
    pub(crate) async fn closed(&self) {
        let evicted = self.notice.0.notified();
        tokio::pin!(evicted);
        while tokio::time::timeout(CHECK_INTERVAL, evicted.as_mut())
            .await
            .is_err()
        {
            let check = self.callers.account().check(self.id, now());
            if let Check::Close(cause) = check {
                self.callers.count(cause);
                return;
            }
        }
    }

    /// Records what the connection does from now on.
    pub(crate) fn begin(&self, activity: Activity) {
        self.callers.account().begin(self.id, activity, now());
    }

    /// Begins a request with so many fields; `None` if there is no room for it.
    pub(crate) fn request(self: &Arc<Self>, fields: usize) -> Option<Request> {
        let mut reservation = Reservation::new(self);
        if !reservation.grow(callers::request_bytes(fields)) {
            return None;
        }
        self.begin(Activity::Serving);
        Some(Request { reservation })
    }

    fn on_read(&self, bytes: usize) -> Result<()> {
        let mut account = self.callers.account();
        if account.activity(self.id) == Some(Activity::Idle) {
            account.begin(self.id, Activity::Head, now());
        }
        let growth = account.on_read(self.id, bytes, now());
        self.callers.close_evicted(account);
        match growth {
            Growth::Granted => Ok(()),
            Growth::Refused => Err(ErrorKind::OutOfMemory.into()),
        }
    }

    fn on_written(&self, bytes: usize) {
        self.callers.account().on_written(self.id, bytes, now());
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.callers.account().leave(self.id);
    }
}

impl Reservation {
    /// Creates an empty reservation.
    pub(crate) fn new(seat: &Arc<Seat>) -> Self {
        Self {
            seat: Arc::clone(seat),
            bytes: 0,
        }
    }

    /// Records that a body is awaited, or no longer.
    pub(crate) fn await_body(&self, is_awaited: bool) {
        self.seat.begin(match is_awaited {
            true => Activity::Body,
            false => Activity::Serving,
        });
    }

    /// Reserves more memory; returns whether there is room.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let callers = &self.seat.callers;
        let mut account = callers.account();
        let growth = account.grow(self.seat.id, bytes, now());
        callers.close_evicted(account);
        let is_granted = growth == Growth::Granted;
        if is_granted {
            self.bytes += bytes;
        }
        is_granted
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut account = self.seat.callers.account();
        account.shrink(self.seat.id, self.bytes);
    }
}

impl Request {
    /// Records that the request was answered.
    pub(crate) fn on_served(&self) {
        let seat = &self.reservation.seat;
        seat.callers.account().on_served(seat.id);
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.reservation.seat.begin(Activity::Idle);
    }
}

impl<Inner> Body<Inner> {
    /// Keeps the request in progress until the body is dropped.
    pub(crate) fn new(inner: Inner, request: Option<Request>) -> Self {
        Self {
            inner,
            _request: request,
        }
    }
}

impl<Inner> http_body::Body for Body<Inner>
where
    Inner: http_body::Body + Unpin,
{
    type Data = Inner::Data;
    type Error = Inner::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Io {
    pub(crate) fn new(socket: TcpStream, seat: Arc<Seat>) -> Self {
        Self {
            socket,
            seat,
            is_write_blocked: false,
        }
    }

    fn on_write(&mut self, written: Poll<Result<usize>>) -> Poll<Result<usize>> {
        match &written {
            Poll::Pending if !self.is_write_blocked => {
                self.is_write_blocked = true;
                self.seat.begin(Activity::Sending);
            }
            Poll::Ready(written) if self.is_write_blocked => {
                self.is_write_blocked = false;
                self.seat.on_written(*written.as_ref().unwrap_or(&0));
                self.seat.begin(Activity::Serving);
            }
            Poll::Pending | Poll::Ready(_) => {}
        }
        written
    }
}

impl AsyncRead for Io {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(context, buffer);
        if let Poll::Ready(Ok(())) = read {
            return Poll::Ready(self.seat.on_read(buffer.filled().len() - filled));
        }
        read
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.on_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, slices);
        self.on_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
