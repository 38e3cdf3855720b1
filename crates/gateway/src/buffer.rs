//! Buffers messages in memory, with a limit for each message and a budget for all of them.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use fleet::buffers::{Buffers, Reservation as Outcome};
use fleet::callers::Growth;
use http_body_util::BodyExt;

use crate::callers::Seat;
use crate::logging::describe;

/// The size of the first buffer for a message of unknown length.
const MIN_BUFFER_BYTES: usize = 1 << 10;
/// The maximum size of the first buffer for a message of known length. Growing by steps would leave
/// gaps in the memory, each as large as the previous buffers.
const MAX_FIRST_BYTES: usize = 64 << 10;

/// Memory that a request has reserved from the budget; released on drop.
#[derive(Debug)]
pub struct Reservation {
    buffers: Rc<RefCell<Buffers>>,
    /// The caller on whose behalf the memory is held, which counts it as well.
    seat: Option<Rc<Seat>>,
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
            seat: None,
            bytes: 0,
        }
    }

    /// Creates an empty reservation on behalf of a caller.
    pub(crate) fn of(buffers: &Rc<RefCell<Buffers>>, seat: &Rc<Seat>) -> Self {
        Self {
            buffers: Rc::clone(buffers),
            seat: Some(Rc::clone(seat)),
            bytes: 0,
        }
    }

    /// Creates an empty reservation on behalf of the same caller.
    pub(crate) fn sibling(&self) -> Self {
        Self {
            buffers: Rc::clone(&self.buffers),
            seat: self.seat.clone(),
            bytes: 0,
        }
    }

    /// Reserves memory for bytes that have arrived.
    ///
    /// # Errors
    /// Fails if the budget is exhausted; the reservation does not grow then.
    pub fn grow(&mut self, additional: usize) -> Result<(), Problem> {
        let outcome = self.buffers.borrow_mut().reserve(self.bytes, additional);
        let seat = self.seat.as_ref();
        match outcome {
            Outcome::Granted => {
                if seat.is_some_and(|seat| seat.grow(additional) == Growth::Refused) {
                    self.buffers.borrow_mut().release(additional);
                    return Err(Problem::NoMemory);
                }
                self.bytes += additional;
                Ok(())
            }
            Outcome::Exhausted => {
                if let Some(seat) = seat {
                    seat.reclaim(additional);
                }
                Err(Problem::NoMemory)
            }
        }
    }

    /// Records that a target has answered the caller.
    pub(crate) fn on_served(&self) {
        if let Some(seat) = &self.seat {
            seat.on_served();
        }
    }

    /// Splits off the reservation for a part of the message.
    #[must_use]
    pub fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self {
            buffers: Rc::clone(&self.buffers),
            seat: self.seat.clone(),
            bytes,
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.buffers.borrow_mut().release(self.bytes);
        if let Some(seat) = &self.seat {
            seat.shrink(self.bytes);
        }
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
    let expected = body.size_hint().exact().unwrap_or(u64::MAX);
    let expected = usize::try_from(expected).unwrap_or(usize::MAX);
    let mut complete = BytesMut::new();
    let mut capacity = 0;
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
        let needed = complete.len() + data.len();
        if needed > capacity {
            // No longer than the message, and doubled like the buffer itself would be.
            let least = match expected {
                usize::MAX => MIN_BUFFER_BYTES,
                _ => MAX_FIRST_BYTES,
            };
            let larger = (capacity * 2).max(least).min(expected).max(needed);
            let additional = larger - capacity;
            if reservation.grow(additional).is_err() {
                // Connections that were closed for this message release their memory meanwhile.
                tokio::task::yield_now().await;
                reservation.grow(additional)?;
            }
            complete.reserve(larger - complete.len());
            capacity = larger;
        }
        complete.extend_from_slice(&data);
    }
    Ok(complete.freeze())
}
