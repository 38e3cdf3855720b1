//! The platform's table service, object store and host list: one trait and one adapter each.
//!
//! The protocols are described in `docs/interfaces.md`. The crate carries out reads and
//! conditional writes and knows nothing of the decisions behind them, but for [`config`], the one
//! place that knows how a configuration is accepted.

mod client;
pub mod config;

pub use client::Client;

use std::future::Future;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use types::{Host, Verdict};

/// A transactional table service.
pub trait Table {
    /// Reads one row.
    ///
    /// # Errors
    /// Fails when the service is unavailable.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Row>, Error>> + Send;

    /// Reads the rows whose key starts with `prefix`, ordered by key.
    ///
    /// # Errors
    /// Fails when the service is unavailable.
    fn scan(&self, prefix: &str) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;

    /// Writes all rows if every condition holds, else none.
    ///
    /// # Errors
    /// Fails when the service is unavailable; [`Error::verdict`] says whether the write may have
    /// taken effect.
    fn commit(&self, writes: &[Write]) -> impl Future<Output = Result<Commit, Error>> + Send;
}

/// An object store.
pub trait Objects {
    /// Reads an object.
    ///
    /// # Errors
    /// Fails when the store is unavailable.
    fn get_object(&self, name: &str)
    -> impl Future<Output = Result<Option<Vec<u8>>, Error>> + Send;

    /// Writes an object whole.
    ///
    /// # Errors
    /// Fails when the store is unavailable; the write may have taken effect.
    fn put_object(
        &self,
        name: &str,
        bytes: Vec<u8>,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}

/// The platform's list of hosts, which lags behind the truth.
pub trait Hosts {
    /// Reads the list.
    ///
    /// # Errors
    /// Fails when the list is unavailable.
    fn hosts(&self) -> impl Future<Output = Result<Vec<Listed>, Error>> + Send;
}

/// A row of the table service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// Grows with each write of the row; never 0.
    pub version: u64,
    /// The value.
    pub value: serde_json::Value,
}

/// A conditional write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The version that the row must have now; 0 means that there must be no row.
    pub expect: u64,
    /// The new value; `None` deletes the row.
    pub value: Option<serde_json::Value>,
}

/// What came of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// All rows were written; these are their versions.
    Applied(Vec<u64>),
    /// The row with this key did not meet its condition, so nothing was written.
    Conflict(String),
}

/// A host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The host.
    pub host: Host,
    /// Whether the platform is about to take the host away.
    pub leaving: bool,
}

/// Why the platform could not be used.
#[derive(Debug, Display, thiserror::Error)]
pub enum Error {
    /// the platform cannot be reached: {0}
    Unreachable(reqwest::Error),
    /// the platform's answer was lost: {0}
    Lost(reqwest::Error),
    /// the platform answered with status {0}
    Status(u16),
    /// the platform answered with data that cannot be read: {0}
    Data(String),
}

impl Error {
    /// Says whether a write may have taken effect.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Unreachable(_) => Verdict::NotRun,
            Self::Lost(_) | Self::Status(_) | Self::Data(_) => Verdict::MayHaveRun,
        }
    }
}

impl From<fetch::Error> for Error {
    fn from(error: fetch::Error) -> Self {
        match error {
            fetch::Error::Http(error) => error.into(),
            fetch::Error::TooLong(_) | fetch::Error::Data(_) => Self::Data(error.to_string()),
        }
    }
}

impl From<reqwest::Error> for Error {
    fn from(error: reqwest::Error) -> Self {
        if error.is_connect() {
            Self::Unreachable(error)
        } else {
            Self::Lost(error)
        }
    }
}
