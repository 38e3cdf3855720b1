//! The platform's table service, object store and host list: a trait for each, and their client.
//!
//! The protocols are described in `docs/interfaces.md`. The crate performs reads and conditional
//! writes and makes no decisions, except for [`config`], which alone defines how a configuration
//! is accepted.

mod client;
pub mod config;

pub use client::Client;

use std::future::Future;
use std::time::Duration;

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

    /// Writes all rows if every condition holds, otherwise none.
    ///
    /// # Errors
    /// Fails when the service is unavailable; [`Error::verdict`] tells whether the write may have
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

    /// Writes a complete object.
    ///
    /// # Errors
    /// Fails when the store is unavailable; the write may have taken effect.
    fn put_object(
        &self,
        name: &str,
        bytes: Vec<u8>,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}

/// The platform's list of hosts, which may be out of date.
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
    /// Increases with each write of the row; never 0.
    pub version: u64,
    /// The value.
    pub value: serde_json::Value,
}

/// A conditional write.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The version that the row must have; 0 means that the row must not exist.
    pub expect: u64,
    /// The new value; `None` deletes the row.
    pub value: Option<serde_json::Value>,
}

/// The result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Commit {
    /// All rows were written, with these versions.
    Applied(Vec<u64>),
    /// Nothing was written, since the row with this key does not have the expected version.
    Conflict(String),
}

/// A host in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The host.
    pub host: Host,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}

/// An error of a call to the platform.
#[derive(Debug, Display, thiserror::Error)]
pub enum Error {
    /// the platform cannot be reached: {0}
    Unreachable(reqwest::Error),
    /// the platform's answer was lost: {0}
    Lost(reqwest::Error),
    /// the platform did not respond within {0:?}
    Timeout(Duration),
    /// the platform answered with status {0}
    Status(u16),
    /// the platform answered with data that cannot be read: {0}
    Data(String),
}

impl Error {
    /// Returns whether a write may have taken effect.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Unreachable(_) => Verdict::NotRun,
            Self::Lost(_) | Self::Timeout(_) | Self::Status(_) | Self::Data(_) => {
                Verdict::MayHaveRun
            }
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
