//! Reads messages into memory, with a bound for each of them and one for all together.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use fleet::buffers::{Buffers, Reservation as Outcome};
use http_body_util::BodyExt;

/// Counts the bytes that a request holds in memory, and gives them back when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    buffers: Rc<RefCell<Buffers>>,
    bytes: usize,
}

/// Why a message is not read to its end.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Problem {
    /// it broke off: {0}
    Broken(String),
    /// it is longer than {0} bytes
    TooLong(usize),
    /// there is no memory for it, as other messages hold too much
    NoMemory,
}

impl Reservation {
    /// Starts with nothing held.
    #[must_use]
    pub fn new(buffers: &Rc<RefCell<Buffers>>) -> Self {
        Self {
            buffers: Rc::clone(buffers),
            bytes: 0,
        }
    }

    /// Counts bytes that have arrived.
    ///
    /// # Errors
    /// Fails when the requests hold too much together; the bytes are not counted then.
    pub fn grow(&mut self, more: usize) -> Result<(), Problem> {
        match self.buffers.borrow_mut().reserve(self.bytes, more) {
            Outcome::Granted => {
                self.bytes += more;
                Ok(())
            }
            Outcome::Exhausted => Err(Problem::NoMemory),
        }
    }

    /// Splits off the bytes of a part of the message.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self {
            buffers: Rc::clone(&self.buffers),
            bytes,
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.buffers.borrow_mut().release(self.bytes);
    }
}

/// Reads a whole message of at most `limit` bytes; what is read counts in `hold`.
///
/// # Errors
/// Fails when the message breaks off, and when it is longer than there is room for.
pub async fn collect<Source>(
    body: &mut Source,
    limit: usize,
    reservation: &mut Reservation,
) -> Result<Bytes, Problem>
where
    Source: http_body::Body<Data = Bytes> + Unpin,
    Source::Error: std::fmt::Display,
{
    if body.size_hint().lower() > limit as u64 {
        return Err(Problem::TooLong(limit));
    }
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // Bytes that are always there must not keep the timers from running.
        tokio::task::coop::consume_budget().await;
        let frame = frame.map_err(|error| Problem::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return Err(Problem::TooLong(limit));
        }
        reservation.grow(data.len())?;
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
