//! Clients of the back ends: a trait and an HTTP client each for model engines and plain services.
//!
//! The protocols are described in `docs/interfaces.md`. The one of a model engine is the usual
//! completions API with a few additions. Only the agent beside a target uses this crate.

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
    /// The stream of a running completion.
    type Stream: Stream;

    /// Starts a completion; returns once the engine has accepted it.
    ///
    /// # Errors
    /// Fails when the engine refuses it or cannot be reached.
    fn complete(
        &self,
        completion: &Completion,
    ) -> impl Future<Output = Result<Self::Stream, Error>> + Send;

    /// Resumes the stream of a completion at the event `from`.
    ///
    /// # Errors
    /// Fails when the engine does not know the completion or cannot be reached.
    fn resume(
        &self,
        attempt: Attempt,
        from: u32,
    ) -> impl Future<Output = Result<Self::Stream, Error>> + Send;

    /// Cancels a completion.
    ///
    /// # Errors
    /// Fails when the engine cannot be reached.
    fn cancel(&self, attempt: Attempt) -> impl Future<Output = Result<(), Error>> + Send;

    /// Queries the status of the engine.
    ///
    /// # Errors
    /// Fails when the engine cannot be reached.
    fn status(&self) -> impl Future<Output = Result<Status, Error>> + Send;

    /// Exports a block from the engine's cache.
    ///
    /// # Errors
    /// Fails when the engine cannot be reached.
    fn export(&self, id: &Id) -> impl Future<Output = Result<Option<Vec<u8>>, Error>> + Send;

    /// Imports a block into the engine's cache.
    ///
    /// # Errors
    /// Fails when the engine cannot be reached or no longer serves this weight version.
    fn import(
        &self,
        id: &Id,
        weights: &types::Weights,
        bytes: Vec<u8>,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Sends an order to the engine; returns when it has been carried out.
    ///
    /// # Errors
    /// Fails when the engine refuses the order or cannot be reached.
    fn order(&self, order: &Order) -> impl Future<Output = Result<(), Error>> + Send;
}

/// The stream of a running completion.
pub trait Stream: Send {
    /// Returns the next chunk, or `None` after the last one and when the connection was closed
    /// before the end of the completion.
    ///
    /// # Errors
    /// Fails when the connection breaks or carries invalid data.
    fn next(&mut self) -> impl Future<Output = Result<Option<Chunk>, Error>> + Send;

    /// Returns the boot id of the engine that runs the completion.
    fn boot(&self) -> types::Boot;
}

/// An error of a call to a back end.
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
    /// Returns whether the request may have run.
    ///
    /// It certainly has not run only if no connection was made or if the engine responded with the
    /// status by which it refuses a completion before starting it. A 503 may come from an engine
    /// that failed while it ran the request.
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
            fetch::Error::TooLong(_) => Self::Data("the response is too long"),
            fetch::Error::Data(_) => Self::Data("the response is not the expected JSON"),
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
