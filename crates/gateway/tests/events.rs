//! Splitting and buffering of bodies that are always ready, as from a target that sends without
//! pause.

use std::cell::RefCell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use fleet::buffers::Buffers;
use fleet::stream::Limit;
use gateway::buffer::{Problem, Reservation, collect};
use gateway::sse::{Splitter, Step};
use http_body::Frame;

/// A body that never ends.
struct Flood(Bytes);

impl http_body::Body for Flood {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(Some(Ok(Frame::data(self.0.clone()))))
    }
}

fn buffers() -> Rc<RefCell<Buffers>> {
    Rc::new(RefCell::new(Buffers::new(1 << 20)))
}

fn block<Output>(test: impl Future<Output = Output>) -> Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(test)
}

async fn read(events: &mut Splitter, body: &mut Flood) -> String {
    loop {
        match events.read(body).await {
            Ok(Step::Events(_) | Step::Partial) => {}
            Ok(Step::End) => return "the end".to_owned(),
            Err(error) => return error,
        }
    }
}

/// Guards against unbounded buffering of a stream in which no event ends.
#[test]
fn bytes_without_an_event_are_given_up() {
    let buffers = buffers();
    let mut events = Splitter::new(Limit::new(None), Reservation::new(&buffers));
    let mut body = Flood(Bytes::from_static(b"data: x\n"));
    let error = block(read(&mut events, &mut body));
    assert!(error.starts_with("an event is longer than"), "{error}");
    drop(events);
    assert_eq!(buffers.borrow().used(), 0);
}

/// Guards against more events than requested, with and without ids.
#[test]
fn events_without_end_are_given_up() {
    for (event, reason) in [("id: 1\n\n", "more events"), (": x\n\n", "more bytes")] {
        let mut events = Splitter::new(Limit::new(Some(100)), Reservation::new(&buffers()));
        let mut body = Flood(Bytes::from_static(event.as_bytes()));
        let error = block(read(&mut events, &mut body));
        assert!(error.starts_with(reason), "{error}");
    }
}

/// Guards against a body that is always ready and starves the timers: the route's timeout would not
/// end the attempt.
#[test]
fn timers_run_beside_a_body_that_is_always_ready() {
    block(async {
        let mut body = Flood(Bytes::new());
        let mut reservation = Reservation::new(&buffers());
        let limit = Duration::from_millis(50);
        let whole = collect(&mut body, 1 << 20, &mut reservation);
        assert!(tokio::time::timeout(limit, whole).await.is_err());
        let mut events = Splitter::new(Limit::new(None), Reservation::new(&buffers()));
        let reading = read(&mut events, &mut body);
        assert!(tokio::time::timeout(limit, reading).await.is_err());
    });
}

/// Guards against buffering a message beyond its limit, and against memory that is not released.
#[test]
fn a_message_beyond_its_limit_is_given_up() {
    let buffers = buffers();
    let mut body = Flood(Bytes::from_static(&[0; 1000]));
    let mut reservation = Reservation::new(&buffers);
    let long = block(collect(&mut body, 10_000, &mut reservation));
    assert_eq!(long, Err(Problem::TooLong(10_000)));
    let mut other = Reservation::new(&buffers);
    let full = block(collect(&mut body, 4 << 20, &mut other));
    assert_eq!(full, Err(Problem::NoMemory));
    drop((reservation, other));
    assert_eq!(buffers.borrow().used(), 0);
}

/// Guards against an event that is returned twice or not at all because its separator arrives in
/// two frames.
#[test]
fn an_end_of_an_event_may_come_in_pieces() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for size in 1..text.len() {
        let pieces = text
            .chunks(size)
            .map(|piece| Ok::<_, Infallible>(Frame::data(Bytes::copy_from_slice(piece))));
        let stream = futures_util::stream::iter(pieces);
        let mut body = http_body_util::StreamBody::new(stream);
        let mut events = Splitter::new(Limit::new(Some(3)), Reservation::new(&buffers()));
        let mut whole = Vec::new();
        block(async {
            loop {
                match events.read(&mut body).await.expect("a sound stream") {
                    Step::Events(chunk) => whole.extend_from_slice(&chunk.bytes),
                    Step::Partial => {}
                    Step::End => return,
                }
            }
        });
        assert_eq!(whole, text, "pieces of {size}");
        assert_eq!(events.last_id(), Some(3));
    }
}
