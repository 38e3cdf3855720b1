//! Buffers messages in memory, with a limit for each message and a budget for all of them.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use fleet::buffers::{Buffers, Reservation as Outcome};
use http_body_util::BodyExt;

use crate::logging::describe;

/// Memory that a request has reserved from the budget; released on drop.
#[derive(Debug)]
pub struct Reservation {
    buffers: Rc<RefCell<Buffers>>,
    bytes: usize,
}

/// Why a message could not be buffered.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Problem {
    /// the transfer was interrupted: {0}
    Interrupted(String),
    /// the message is longer than {0} bytes
    TooLong(usize),
    /// the memory budget for buffered messages is exhausted
    NoMemory,
}

impl Reservation {
    /// Creates an empty reservation.
    #[must_use]
    pub fn new(buffers: &Rc<RefCell<Buffers>>) -> Self {
        Self {
            buffers: Rc::clone(buffers),
            bytes: 0,
        }
    }

    /// Reserves memory for bytes that have arrived.
    ///
    /// # Errors
    /// Fails if the budget is exhausted; the reservation does not grow then.
    pub fn grow(&mut self, additional: usize) -> Result<(), Problem> {
        match self.buffers.borrow_mut().reserve(self.bytes, additional) {
            Outcome::Granted => {
                self.bytes += additional;
                Ok(())
            }
            Outcome::Exhausted => Err(Problem::NoMemory),
        }
    }

    /// Splits off the reservation for a part of the message.
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

/// Buffers a message of at most `limit` bytes, for which `reservation` grows.
///
/// # Errors
/// Fails if the message is interrupted, exceeds the limit, or exceeds the memory budget.
pub async fn collect<Source>(
    body: &mut Source,
    limit: usize,
    reservation: &mut Reservation,
) -> Result<Bytes, Problem>
where
    Source: http_body::Body<Data = Bytes> + Unpin,
    Source::Error: std::error::Error,
{
    if body.size_hint().lower() > limit as u64 {
        return Err(Problem::TooLong(limit));
    }
    let mut complete = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // A body that is always ready must not starve the timers.
        tokio::task::coop::consume_budget().await;
        let frame = frame.map_err(|error| Problem::Interrupted(describe(&error)))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if complete.len() + data.len() > limit {
            return Err(Problem::TooLong(limit));
        }
        reservation.grow(data.len())?;
        complete.extend_from_slice(&data);
    }
    Ok(complete.freeze())
}
