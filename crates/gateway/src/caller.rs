use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Result};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use bytes::Bytes;
use fleet::callers::{self, Activity, Growth};
use http::Version;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep};
use types::Time;

use crate::callers::Seat;
use crate::clock::now;

/// The connection of a caller, shared by hyper and the tasks that serve its requests.
#[derive(Debug)]
pub(crate) struct Link {
    socket: TcpStream,
    seat: Rc<Seat>,
    /// Whether a body was left unread, so that the caller may still be sending it.
    is_body_unread: Cell<bool>,
    /// The requests whose bodies are being read or whose responses are not complete.
    requests: Cell<usize>,
    /// Whether the socket's buffer had no room for the last bytes of a response.
    is_write_blocked: Cell<bool>,
    /// Whether bytes were read since the head of the last request was complete.
    has_read: Cell<bool>,
    /// Signals that the socket's buffer has room again.
    unblocked: Notify,
    /// When the last response was written, or the connection was accepted.
    idle_since: Cell<Time>,
    /// When the head of the next request began to arrive.
    head_since: Cell<Option<Time>>,
    /// Whether the response to the request in progress has been passed to hyper.
    is_responding: Cell<bool>,
    /// Whether the caller was taken for gone before there was a response.
    is_abandoned: Cell<bool>,
    /// Signals a change of `is_abandoned`.
    abandoned: Notify,
    /// The task that waits for the end of the requests of a caller that sends nothing else.
    half_closed: RefCell<Option<Waker>>,
}

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The end of a request that has been received.
    Request,
    /// The rest of a head that began to arrive at this time.
    Head(Time),
    /// The next request, since this time.
    Idle(Time),
}

/// A request in progress on a link.
#[derive(Debug)]
pub(crate) struct Exchange {
    link: Rc<Link>,
    version: Version,
    /// The memory that is counted for the request.
    held: usize,
    /// Whether the request arrived together with the previous one.
    is_pipelined: bool,
}

/// The I/O of a link for hyper.
#[derive(Debug)]
pub(crate) struct Io {
    link: Rc<Link>,
    /// Ends the wait for the caller's end of the connection.
    linger: Option<Pin<Box<Sleep>>>,
    /// Present once the caller has closed its sending side during a request.
    half_close: Option<HalfClose>,
}

/// The wait for signs that a caller which has closed its sending side still reads.
#[derive(Debug)]
struct HalfClose {
    timer: Pin<Box<Sleep>>,
    /// When the timer was started.
    since: Time,
}

/// The maximum number of bytes that are read and dropped after a refusal, to keep the connection.
pub(crate) const MAX_DRAIN_BYTES: u64 = 1 << 20;
/// How long the rest of a body is awaited after a refusal.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a connection is read after its last response if the caller may still be sending. Bytes
/// that arrive on a closed socket reset the connection, and some callers lose the response by that.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a request continues after its caller has closed its sending side. A caller that only
/// sends no further requests cannot be told from one that has left before something is written to
/// it, and the work for a caller that has left should end soon.
const HALF_CLOSE_GRACE: Duration = Duration::from_millis(300);
/// The size of the buffer for bytes that are dropped.
const DISCARD_BUFFER_BYTES: usize = 8 << 10;

impl Link {
    pub(crate) fn new(socket: TcpStream, seat: Rc<Seat>) -> Self {
        Self {
            socket,
            seat,
            is_body_unread: Cell::new(false),
            requests: Cell::new(0),
            is_write_blocked: Cell::new(false),
            has_read: Cell::new(false),
            unblocked: Notify::new(),
            idle_since: Cell::new(now()),
            head_since: Cell::new(None),
            is_responding: Cell::new(false),
            is_abandoned: Cell::new(false),
            abandoned: Notify::new(),
            half_closed: RefCell::default(),
        }
    }

    /// Returns what the connection waits for.
    pub(crate) fn phase(&self) -> Phase {
        if self.requests.get() > 0 || self.is_write_blocked.get() {
            return Phase::Request;
        }
        match self.head_since.get() {
            Some(since) => Phase::Head(since),
            None => Phase::Idle(self.idle_since.get()),
        }
    }

    /// Bytes between requests are the beginning of a head, except for the empty lines that some
    /// callers send after a body.
    fn on_read(&self, bytes: &[u8]) -> Result<()> {
        let is_between = self.requests.get() == 0 && self.head_since.get().is_none();
        if is_between && bytes.iter().any(|byte| !b"\r\n".contains(byte)) {
            self.head_since.set(Some(now()));
            if !self.is_write_blocked.get() {
                self.seat.begin(Activity::Head);
            }
        }
        self.has_read.set(true);
        match self.seat.on_read(bytes.len()) {
            Growth::Granted => Ok(()),
            Growth::Refused => Err(ErrorKind::OutOfMemory.into()),
        }
    }

    /// Returns the place of the connection in the account of the callers.
    pub(crate) fn seat(&self) -> &Rc<Seat> {
        &self.seat
    }

    /// Records that a body is awaited, or no longer.
    pub(crate) fn await_body(&self, is_awaited: bool) {
        if !self.is_write_blocked.get() {
            self.seat.begin(match is_awaited {
                true => Activity::Body,
                false => Activity::Serving,
            });
        }
    }

    /// Waits until the caller reads its responses. hyper limits the length of the bodies that wait
    /// for it, but not of the heads.
    async fn readable(&self) {
        while self.is_write_blocked.get() {
            self.unblocked.notified().await;
        }
    }

    /// Returns whether a response waits for the caller to read.
    pub(crate) fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.get()
    }

    fn on_blocked(&self) {
        if !self.is_write_blocked.replace(true) {
            self.seat.begin(Activity::Sending);
        }
    }

    fn on_written(&self, bytes: usize) {
        if !self.is_write_blocked.replace(false) {
            return;
        }
        self.seat.on_written(bytes);
        self.unblocked.notify_waiters();
        self.seat
            .begin(match (self.requests.get(), self.head_since.get()) {
                (0, None) => Activity::Idle,
                (0, Some(_)) => Activity::Head,
                _ => Activity::Serving,
            });
    }

    /// Makes the close of the connection discard what the caller has not read.
    pub(crate) fn reset(&self) {
        if let Err(error) = SockRef::from(&self.socket).set_linger(Some(Duration::ZERO)) {
            log::warn!("a connection cannot be reset: {error}");
        }
    }

    /// Records that a body is left unread.
    pub(crate) fn abandon_body(&self) {
        self.is_body_unread.set(true);
    }

    /// Reads and drops the rest of a body, so that the connection can carry the next request. A
    /// body that is too long or takes too long is left unread, and hyper closes the connection.
    pub(crate) async fn drain(&self, mut body: Incoming) {
        self.await_body(true);
        let reading = async {
            let mut dropped = 0;
            while let Some(Ok(frame)) = body.frame().await {
                tokio::task::coop::consume_budget().await;
                dropped += frame.data_ref().map_or(0, Bytes::len) as u64;
                if dropped > MAX_DRAIN_BYTES {
                    return false;
                }
            }
            true
        };
        let is_complete = tokio::time::timeout(DRAIN_TIMEOUT, reading).await;
        self.await_body(false);
        if is_complete != Ok(true) {
            self.abandon_body();
        }
    }

    /// Returns whether bytes have arrived that were not read yet.
    pub(crate) fn has_unread_bytes(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.socket).peek(&mut byte);
        peeked.is_ok_and(|count| count > 0)
    }

    /// Reads and drops bytes until the caller closes its end of the connection.
    fn poll_discard(&self, context: &mut Context<'_>) -> Poll<()> {
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        loop {
            if ready!(self.socket.poll_read_ready(context)).is_err() {
                return Poll::Ready(());
            }
            match self.socket.try_read(&mut buffer) {
                Ok(1..) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => return Poll::Ready(()),
            }
        }
    }
}

impl Exchange {
    /// Begins a request with so many fields; `None` if there is no room for it.
    pub(crate) fn open(link: Rc<Link>, version: Version, fields: usize) -> Option<Self> {
        let held = callers::request_bytes(fields);
        if link.seat.grow(held) == Growth::Refused {
            return None;
        }
        if !link.is_write_blocked.get() {
            link.seat.begin(Activity::Serving);
        }
        let is_pipelined = !link.has_read.replace(false);
        link.requests.set(link.requests.get() + 1);
        link.head_since.set(None);
        link.is_responding.set(false);
        link.is_abandoned.set(false);
        Some(Self {
            link,
            version,
            held,
            is_pipelined,
        })
    }

    /// Waits until the caller is taken for gone.
    pub(crate) async fn abandoned(&self) {
        while !self.link.is_abandoned.get() {
            self.link.abandoned.notified().await;
        }
    }

    /// Records that hyper gets the response next.
    pub(crate) fn start_response(&self) {
        self.link.is_responding.set(true);
    }

    /// Waits until the request may be served: when the caller reads its responses, and after other
    /// connections had a turn if the caller sends requests ahead.
    pub(crate) async fn turn(&self) {
        self.link.readable().await;
        if self.is_pipelined {
            self.link.seat.pipelined_turn().await;
        }
    }

    /// Returns the link of the request.
    pub(crate) fn link(&self) -> &Rc<Link> {
        &self.link
    }

    /// Records that a stream continues or is complete.
    ///
    /// HTTP/1.0 has no chunks, so the end of the connection is the end of a stream. Until the stream
    /// is complete, whatever ends the connection resets it, also the exit of the process.
    pub(crate) fn set_streaming(&self, is_streaming: bool) {
        if self.version >= Version::HTTP_11 {
            return;
        }
        let linger = is_streaming.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&self.link.socket).set_linger(linger) {
            log::warn!("a truncated stream may look complete: {error}");
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let link = &self.link;
        link.requests.set(link.requests.get().saturating_sub(1));
        link.head_since.set(None);
        link.idle_since.set(now());
        link.seat.shrink(self.held);
        if link.requests.get() == 0 && !link.is_write_blocked.get() {
            link.seat.begin(Activity::Idle);
        }
        if let Some(waker) = link.half_closed.take() {
            waker.wake();
        }
    }
}

impl Io {
    pub(crate) fn new(link: Rc<Link>) -> Self {
        Self {
            link,
            linger: None,
            half_close: None,
        }
    }
}

impl AsyncRead for Io {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let filled = buffer.filled().len();
        loop {
            ready!(self.link.socket.poll_read_ready(context))?;
            match self.link.socket.try_read_buf(buffer) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Ok(0) => return self.poll_half_closed(context).map(Ok),
                Ok(_) => {
                    return Poll::Ready(self.link.on_read(&buffer.filled()[filled..]));
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl Io {
    /// Delays the end of the caller's data for hyper, which would drop the requests in progress,
    /// until they have ended or the caller seems to have left.
    ///
    /// What is written to a caller that has left fails soon. One that does not read can only be
    /// recognised by a write, so a request without a response is ended with one.
    fn poll_half_closed(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let link = &self.link;
        if link.requests.get() == 0 {
            return Poll::Ready(());
        }
        link.half_closed.replace(Some(context.waker().clone()));
        let half_close = self.half_close.get_or_insert_with(|| HalfClose {
            timer: Box::pin(tokio::time::sleep(HALF_CLOSE_GRACE)),
            since: now(),
        });
        loop {
            ready!(half_close.timer.as_mut().poll(context));
            let has_failed = !matches!(link.socket.take_error(), Ok(None));
            let has_written = link.idle_since.get() > half_close.since;
            // What is written to a caller that has left resets the connection.
            let is_reading_slowly = link.is_write_blocked.get();
            match link.is_responding.get() {
                _ if has_failed => return Poll::Ready(()),
                _ if has_written || is_reading_slowly => {}
                true => return Poll::Ready(()),
                false => {
                    link.is_abandoned.set(true);
                    link.abandoned.notify_waiters();
                }
            }
            half_close.since = now();
            let deadline = Instant::now() + HALF_CLOSE_GRACE;
            half_close.timer.as_mut().reset(deadline);
        }
    }

    fn poll_write_with<Write>(&self, context: &mut Context<'_>, write: Write) -> Poll<Result<usize>>
    where
        Write: Fn(&TcpStream) -> Result<usize>,
    {
        let link = &self.link;
        loop {
            match link.socket.poll_write_ready(context) {
                Poll::Ready(ready) => ready?,
                Poll::Pending => {
                    link.on_blocked();
                    return Poll::Pending;
                }
            }
            match write(&link.socket) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                written => {
                    link.on_written(*written.as_ref().unwrap_or(&0));
                    link.idle_since.set(now());
                    return Poll::Ready(written);
                }
            }
        }
    }
}

impl AsyncWrite for Io {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        self.poll_write_with(context, |socket| socket.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.poll_write_with(context, |socket| socket.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let Self { link, linger, .. } = &mut *self;
        let linger = match linger {
            Some(linger) => linger,
            None => {
                match SockRef::from(&link.socket).shutdown(Shutdown::Write) {
                    Err(error) if error.kind() == ErrorKind::NotConnected => {}
                    shut_down => shut_down?,
                }
                if !link.is_body_unread.get() && !link.has_unread_bytes() {
                    return Poll::Ready(Ok(()));
                }
                linger.insert(Box::pin(tokio::time::sleep(LINGER_TIMEOUT)))
            }
        };
        if linger.as_mut().poll(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        link.poll_discard(context).map(Ok)
    }
}
