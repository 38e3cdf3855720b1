//! Splits a stream into whole events.

use bytes::{Bytes, BytesMut};
use fleet::stream::{Limit, Verdict};
use http_body_util::BodyExt;

use crate::buffer::{Hold, Problem};

/// Splits a stream into whole events.
///
/// A target may stop in the middle of an event; a caller gets whole events only, so that a stream
/// can be continued behind the last one.
#[derive(Debug)]
pub struct Events {
    buffer: BytesMut,
    /// Bytes at the start of the buffer in which no event ends.
    searched: usize,
    last: Option<u64>,
    extent: Limit,
    hold: Hold,
}

/// Whole events, which count in the memory of their request until they are written.
#[derive(Debug)]
pub struct Chunk {
    /// The events as they came.
    pub bytes: Bytes,
    _hold: Hold,
}

/// What came of a stream.
#[derive(Debug)]
pub enum Step {
    /// Whole events.
    Events(Chunk),
    /// Bytes in which no event ends.
    Part,
    /// The regular end.
    End,
}

/// Bytes of one event. A larger one cannot be told from bytes that never become an event.
pub const MOST_BYTES: usize = 256 << 10;
/// The longest mark between two events, less one byte, which may have been read already.
const MARK: usize = 3;

impl Events {
    /// Starts at the head of a stream.
    pub fn new(extent: Limit, hold: Hold) -> Self {
        Self {
            buffer: BytesMut::new(),
            searched: 0,
            last: None,
            extent,
            hold,
        }
    }

    /// Waits for the next bytes, and returns the events that are whole by then.
    ///
    /// # Errors
    /// Fails when the stream breaks off, when an event is too large, and when there are more events
    /// or bytes than the caller asked for.
    pub async fn read<Source>(&mut self, body: &mut Source) -> Result<Step, String>
    where
        Source: http_body::Body<Data = Bytes> + Unpin,
        Source::Error: std::fmt::Display,
    {
        // Bytes that are always there must not keep the timers from running.
        tokio::task::coop::consume_budget().await;
        match body.frame().await {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    return Ok(Step::Part);
                };
                self.push(&data).map_err(|problem| problem.to_string())?;
                self.take()
            }
            Some(Err(error)) => Err(format!("the stream broke off: {error}")),
            None if self.buffer.is_empty() => Ok(Step::End),
            // Without a length, a target that stops early may still close in good order.
            None => Err("the stream ended within an event".to_owned()),
        }
    }

    /// Returns the number of the last event that was taken.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    fn push(&mut self, data: &[u8]) -> Result<(), Problem> {
        self.hold.grow(data.len())?;
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    fn take(&mut self) -> Result<Step, String> {
        let from = self.searched.saturating_sub(MARK);
        let end = match end_of_events(&self.buffer[from..]) {
            0 => 0,
            end => from + end,
        };
        if self.buffer.len() - end > MOST_BYTES {
            return Err(format!("an event is longer than {MOST_BYTES} bytes"));
        }
        if end == 0 {
            self.searched = self.buffer.len();
            return Ok(Step::Part);
        }
        self.searched = 0;
        let whole = self.buffer.split_to(end).freeze();
        let (count, last) = numbers(&whole);
        match self.extent.consume(count, whole.len() as u64) {
            Verdict::Within => {}
            Verdict::TooManyEvents => return Err("more events came than were asked for".to_owned()),
            Verdict::TooManyBytes => return Err("more bytes came than were asked for".to_owned()),
        }
        self.last = last.or(self.last);
        Ok(Step::Events(Chunk {
            _hold: self.hold.split(whole.len()),
            bytes: whole,
        }))
    }
}

/// Returns the length of the whole events at the start.
fn end_of_events(bytes: &[u8]) -> usize {
    let newline = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let carriage = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    let newline = newline.map_or(0, |at| at + 2);
    newline.max(carriage.map_or(0, |at| at + 4))
}

/// Returns how many events have a number, and that of the last one.
fn numbers(bytes: &[u8]) -> (u64, Option<u64>) {
    let lines = bytes.split(|&byte| byte == b'\n');
    let numbers = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let numbers =
        numbers.filter_map(|number| std::str::from_utf8(number).ok()?.trim().parse().ok());
    numbers.fold((0, None), |(count, _), number| (count + 1, Some(number)))
}
