//! Splits a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};
use fleet::stream::{Limit, Verdict};
use http_body_util::BodyExt;

use crate::buffer::{Problem, Reservation};
use crate::logging::describe;

/// Splits a stream into complete events.
///
/// A target may stop in the middle of an event. Callers get complete events only, so that a stream
/// can be resumed after the last one.
#[derive(Debug)]
pub struct Splitter {
    buffer: BytesMut,
    /// Length of the buffer's prefix that was searched and contains no end of an event.
    searched: usize,
    first_id: Option<u64>,
    last_id: Option<u64>,
    limit: Limit,
    reservation: Reservation,
}

/// Complete events, with the memory reserved for them until they are written.
#[derive(Debug)]
pub struct Chunk {
    /// The events as they were received.
    pub bytes: Bytes,
    _reservation: Reservation,
}

/// The result of reading from a stream.
#[derive(Debug)]
pub enum Step {
    /// Complete events.
    Events(Chunk),
    /// Bytes that complete no event.
    Partial,
    /// The regular end of the stream.
    End,
}

/// The maximum size of an event. It bounds the buffer if an event never ends.
pub const MAX_EVENT_BYTES: usize = 256 << 10;
/// The length of the longest event separator minus one: so many of its bytes may have been searched
/// already.
const SEPARATOR_OVERLAP: usize = 3;

impl Splitter {
    /// Creates a splitter at the start of a stream.
    pub fn new(limit: Limit, reservation: Reservation) -> Self {
        Self {
            buffer: BytesMut::new(),
            searched: 0,
            first_id: None,
            last_id: None,
            limit,
            reservation,
        }
    }

    /// Waits for the next bytes, and returns the events that are complete by then.
    ///
    /// # Errors
    /// Fails if the stream is interrupted, an event is too large, or there are more events or bytes
    /// than the caller requested.
    pub async fn read<Source>(&mut self, body: &mut Source) -> Result<Step, String>
    where
        Source: http_body::Body<Data = Bytes> + Unpin,
        Source::Error: std::error::Error,
    {
        // A body that is always ready must not starve the timers.
        tokio::task::coop::consume_budget().await;
        match body.frame().await {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    return Ok(Step::Partial);
                };
                self.push(&data).map_err(|problem| problem.to_string())?;
                self.take_events()
            }
            Some(Err(error)) => {
                let cause = describe(&error);
                Err(format!("the stream was interrupted: {cause}"))
            }
            None if self.buffer.is_empty() => Ok(Step::End),
            // Without a content length, a target that stops early may still close the connection
            // regularly.
            None => Err("the stream ended within an event".to_owned()),
        }
    }

    /// Returns the id of the first event that was returned and has one.
    pub fn first_id(&self) -> Option<u64> {
        self.first_id
    }

    /// Returns the id of the last event that was returned.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    fn push(&mut self, data: &[u8]) -> Result<(), Problem> {
        self.reservation.grow(data.len())?;
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    fn take_events(&mut self) -> Result<Step, String> {
        let search_start = self.searched.saturating_sub(SEPARATOR_OVERLAP);
        let end = match end_of_events(&self.buffer[search_start..]) {
            0 => 0,
            end => search_start + end,
        };
        if self.buffer.len() - end > MAX_EVENT_BYTES {
            return Err(format!("an event is longer than {MAX_EVENT_BYTES} bytes"));
        }
        if end == 0 {
            self.searched = self.buffer.len();
            return Ok(Step::Partial);
        }
        self.searched = 0;
        let complete = self.buffer.split_to(end).freeze();
        let (count, ids) = event_ids(&complete);
        match self.limit.consume(count, complete.len() as u64) {
            Verdict::Within => {}
            Verdict::TooManyEvents => return Err("more events than requested".to_owned()),
            Verdict::TooManyBytes => return Err("more bytes than requested".to_owned()),
        }
        if let Some((first, last)) = ids {
            self.first_id = self.first_id.or(Some(first));
            self.last_id = Some(last);
        }
        Ok(Step::Events(Chunk {
            _reservation: self.reservation.split(complete.len()),
            bytes: complete,
        }))
    }
}

/// Returns the length of the complete events at the start.
fn end_of_events(bytes: &[u8]) -> usize {
    let lf = bytes.windows(2).rposition(|window| window == b"\n\n");
    let crlf = bytes.windows(4).rposition(|window| window == b"\r\n\r\n");
    let lf = lf.map_or(0, |at| at + 2);
    lf.max(crlf.map_or(0, |at| at + 4))
}

/// Returns the number of events with an id, and the first and the last id.
fn event_ids(bytes: &[u8]) -> (u64, Option<(u64, u64)>) {
    let lines = bytes.split(|&byte| byte == b'\n');
    let event_ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let event_ids = event_ids.filter_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok());
    event_ids.fold((0, None), |(count, ids), id| {
        let first = ids.map_or(id, |(first, _)| first);
        (count + 1, Some((first, id)))
    })
}
