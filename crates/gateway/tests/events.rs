//! Splitting and buffering of bodies that are always ready, as from a target that sends without
//! pause.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use fleet::buffers::Buffers;
use fleet::stream::Limit;
use gateway::buffer::{Problem, Reservation, collect};
use gateway::sse::{Splitter, Step};
use http_body::Frame;

/// A body that never ends.
struct Endless(Bytes);

impl http_body::Body for Endless {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(Some(Ok(Frame::data(self.0.clone()))))
    }
}

/// A body whose connection is reset.
struct Reset;

impl http_body::Body for Reset {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        let cause = ErrorKind::ConnectionReset.into();
        Poll::Ready(Some(Err(Interrupted(cause))))
    }
}

/// The body failed
#[derive(Debug, Display, thiserror::Error)]
struct Interrupted(#[source] std::io::Error);

fn buffers() -> Rc<RefCell<Buffers>> {
    Rc::new(RefCell::new(Buffers::new(1 << 20)))
}

fn block_on<Output>(test: impl Future<Output = Output>) -> Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(test)
}

async fn read_to_error(splitter: &mut Splitter, body: &mut Endless) -> String {
    loop {
        match splitter.read(body).await {
            Ok(Step::Events(_) | Step::Partial) => {}
            Ok(Step::End) => return "the end".to_owned(),
            Err(error) => return error,
        }
    }
}

/// Guards against unbounded buffering of a stream in which no event ends.
#[test]
fn an_event_that_never_ends_is_rejected() {
    let buffers = buffers();
    let mut splitter = Splitter::new(Limit::new(None), Reservation::new(&buffers));
    let mut body = Endless(Bytes::from_static(b"data: x\n"));
    let error = block_on(read_to_error(&mut splitter, &mut body));
    assert!(error.starts_with("an event is longer than"), "{error}");
    drop(splitter);
    assert_eq!(buffers.borrow().used(), 0);
}

/// Guards against more events than requested, with and without ids.
#[test]
fn more_events_or_bytes_than_requested_are_rejected() {
    for (event, reason) in [("id: 1\n\n", "more events"), (": x\n\n", "more bytes")] {
        let mut splitter = Splitter::new(Limit::new(Some(100)), Reservation::new(&buffers()));
        let mut body = Endless(Bytes::from_static(event.as_bytes()));
        let error = block_on(read_to_error(&mut splitter, &mut body));
        assert!(error.starts_with(reason), "{error}");
    }
}

/// Guards against a body that is always ready and starves the timers: the route's timeout would not
/// end the attempt.
#[test]
fn a_body_that_is_always_ready_does_not_starve_timers() {
    block_on(async {
        let mut body = Endless(Bytes::new());
        let mut reservation = Reservation::new(&buffers());
        let limit = Duration::from_millis(50);
        let collected = collect(&mut body, 1 << 20, &mut reservation);
        assert!(tokio::time::timeout(limit, collected).await.is_err());
        let mut splitter = Splitter::new(Limit::new(None), Reservation::new(&buffers()));
        let read_to_end = read_to_error(&mut splitter, &mut body);
        assert!(tokio::time::timeout(limit, read_to_end).await.is_err());
    });
}

/// Guards against buffering a message beyond its limit, and against memory that is not released.
#[test]
fn a_message_beyond_its_limit_or_the_budget_is_rejected() {
    let buffers = buffers();
    let mut body = Endless(Bytes::from_static(&[0; 1000]));
    let mut reservation = Reservation::new(&buffers);
    let too_long = block_on(collect(&mut body, 10_000, &mut reservation));
    assert_eq!(too_long, Err(Problem::TooLong(10_000)));
    let mut other = Reservation::new(&buffers);
    let no_memory = block_on(collect(&mut body, 4 << 20, &mut other));
    assert_eq!(no_memory, Err(Problem::NoMemory));
    drop((reservation, other));
    assert_eq!(buffers.borrow().used(), 0);
}

/// Guards against an event that is returned twice or not at all because its separator arrives in
/// two frames.
#[test]
fn an_event_separator_may_be_split_across_frames() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for size in 1..text.len() {
        let frames = text
            .chunks(size)
            .map(|frame| Ok::<_, Infallible>(Frame::data(Bytes::copy_from_slice(frame))));
        let stream = futures_util::stream::iter(frames);
        let mut body = http_body_util::StreamBody::new(stream);
        let mut splitter = Splitter::new(Limit::new(Some(3)), Reservation::new(&buffers()));
        let mut collected = Vec::new();
        block_on(async {
            loop {
                match splitter.read(&mut body).await.expect("a valid stream") {
                    Step::Events(chunk) => collected.extend_from_slice(&chunk.bytes),
                    Step::Partial => {}
                    Step::End => return,
                }
            }
        });
        assert_eq!(collected, text, "frames of {size} bytes");
        assert_eq!(splitter.last_id(), Some(3));
    }
}

/// Guards against logs that do not say why a transfer was interrupted.
#[test]
fn an_interruption_names_its_cause() {
    let cause = "The body failed: connection reset";
    let buffers = buffers();
    let mut splitter = Splitter::new(Limit::new(None), Reservation::new(&buffers));
    let error = block_on(splitter.read(&mut Reset)).expect_err("an interruption");
    assert!(error.ends_with(cause), "{error}");
    let mut reservation = Reservation::new(&buffers);
    let collected = block_on(collect(&mut Reset, 1, &mut reservation));
    assert_eq!(collected, Err(Problem::Interrupted(cause.to_owned())));
}
