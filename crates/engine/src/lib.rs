//! The back ends: model engines and plain services, one trait and one adapter each.
//!
//! The protocols are described in `docs/interfaces.md`: a model engine is reached through the
//! usual completions interface with a few additions. Only the agent beside a target uses this
//! crate.

mod completion;
mod http;
mod service;
mod sse;

pub use completion::{Chunk, Completion, Finish, Order, Status};
pub use http::{Client, Running};
pub use service::{Plain, Reply, Service};

use std::future::Future;

use context::Id;
use displaydoc::Display;
use types::{Attempt, Verdict};

/// A model engine.
pub trait Engine {
    /// The answer of a running completion.
    type Stream: Stream;

    /// Starts a completion; returns as soon as the engine has accepted it.
    ///
    /// # Errors
    /// Fails when the engine refuses it or cannot be reached.
    fn complete(
        &self,
        completion: &Completion,
    ) -> impl Future<Output = Result<Self::Stream, Error>> + Send;

    /// Reads the rest of a completion from the event `from` on.
    ///
    /// # Errors
    /// Fails when the engine does not know the completion or cannot be reached.
    fn resume(
        &self,
        attempt: Attempt,
        from: u32,
    ) -> impl Future<Output = Result<Self::Stream, Error>> + Send;

    /// Gives a completion up.
    ///
    /// # Errors
    /// Fails when the engine cannot be reached.
    fn cancel(&self, attempt: Attempt) -> impl Future<Output = Result<(), Error>> + Send;

    /// Asks the engine how it is.
    ///
    /// # Errors
    /// Fails when the engine cannot be reached.
    fn status(&self) -> impl Future<Output = Result<Status, Error>> + Send;

    /// Reads a block out of the engine's cache.
    ///
    /// # Errors
    /// Fails when the engine cannot be reached.
    fn export(&self, id: &Id) -> impl Future<Output = Result<Option<Vec<u8>>, Error>> + Send;

    /// Puts a block into the engine's cache.
    ///
    /// # Errors
    /// Fails when the engine cannot be reached or serves another weight version by now.
    fn import(
        &self,
        id: &Id,
        weights: &types::Weights,
        bytes: Vec<u8>,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Orders the engine to change; returns when the order is carried out.
    ///
    /// # Errors
    /// Fails when the engine refuses the order or cannot be reached.
    fn order(&self, order: &Order) -> impl Future<Output = Result<(), Error>> + Send;
}

/// The answer of a running completion, piece by piece.
pub trait Stream: Send {
    /// Returns the next piece, or `None` when the connection ended without the end of the answer.
    ///
    /// # Errors
    /// Fails when the connection breaks or carries something else.
    fn next(&mut self) -> impl Future<Output = Result<Option<Chunk>, Error>> + Send;

    /// Returns the boot id of the engine that answers.
    fn boot(&self) -> types::Boot;
}

/// Why a back end could not be used.
#[derive(Debug, Display, thiserror::Error)]
pub enum Error {
    /// the back end cannot be reached: {0}
    Unreachable(reqwest::Error),
    /// the connection to the back end broke: {0}
    Broken(reqwest::Error),
    /// the back end is overloaded and did not run the request
    Overloaded,
    /// the back end does not know the completion or block
    NotFound,
    /// the back end refused the order because its fencing number is old
    StaleFence,
    /// the back end answered with status {0}
    Status(u16),
    /// the back end sent something that cannot be read: {0}
    Data(&'static str),
}

impl Error {
    /// Says whether the request may have run.
    ///
    /// Only a connection that was never made and the status by which an engine's protocol refuses
    /// a completion before it starts are certain; a 503 may come from an engine that failed while
    /// it ran the request.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Unreachable(_) | Self::Overloaded => Verdict::NotRun,
            Self::Broken(_)
            | Self::NotFound
            | Self::StaleFence
            | Self::Status(_)
            | Self::Data(_) => Verdict::MayHaveRun,
        }
    }
}

impl From<fetch::Error> for Error {
    fn from(error: fetch::Error) -> Self {
        match error {
            fetch::Error::Http(error) => Self::Broken(error),
            fetch::Error::TooLong(_) => Self::Data("the answer is too long"),
            fetch::Error::Data(_) => Self::Data("the answer is not the JSON that is due"),
        }
    }
}

impl From<reqwest::Error> for Error {
    fn from(error: reqwest::Error) -> Self {
        if error.is_connect() {
            Self::Unreachable(error)
        } else {
            Self::Broken(error)
        }
    }
}
