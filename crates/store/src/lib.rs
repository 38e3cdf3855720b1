//! The client of a store host, which keeps sealed blocks in memory and on disk.
//!
//! The protocol is described in `docs/interfaces.md`. What the store returns is not trusted; the
//! caller opens it with [`context::Envelope`].

use std::future::Future;
use std::time::Duration;

use context::Id;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// A store of sealed blocks.
pub trait Blocks {
    /// Returns how many of the blocks, counted from the first, the store holds without a gap.
    ///
    /// # Errors
    /// Fails when the store is unavailable.
    fn prefix_len(&self, ids: &[Id]) -> impl Future<Output = Result<usize, Error>> + Send;

    /// Reads a block.
    ///
    /// # Errors
    /// Fails when the store is unavailable.
    fn get(&self, id: &Id) -> impl Future<Output = Result<Option<Vec<u8>>, Error>> + Send;

    /// Writes a block.
    ///
    /// # Errors
    /// Fails when the store is unavailable or full.
    fn put(&self, id: &Id, bytes: Vec<u8>) -> impl Future<Output = Result<(), Error>> + Send;
}

/// Why a store could not be used; the caller recomputes instead.
#[derive(Debug, Display, thiserror::Error)]
pub enum Error {
    /// the store host cannot be used: {0}
    Http(#[from] reqwest::Error),
    /// the store host is full
    Full,
    /// the store host answered with status {0}
    Status(u16),
    /// the answer of the store host cannot be read: {0}
    Response(#[from] fetch::Error),
}

/// Talks to a store host over HTTP.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    base: String,
}

/// How long a store may take for an answer; recomputing a block takes less.
const TIMEOUT: Duration = Duration::from_secs(1);
/// The longest number of blocks as JSON, in bytes.
const HELD_BYTES: usize = 4096;

#[derive(Serialize)]
struct Query {
    names: Vec<String>,
}

#[derive(Deserialize)]
struct Held {
    held: usize,
}

impl Client {
    /// Makes a client for the store host at an address like `http://10.0.0.1:80`.
    ///
    /// # Errors
    /// Fails when the HTTP library cannot be set up.
    pub fn new(address: &str) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .timeout(TIMEOUT)
            .no_proxy()
            .build()?;
        Ok(Self {
            http,
            base: address.trim_end_matches('/').to_owned(),
        })
    }
}

impl Blocks for Client {
    async fn prefix_len(&self, ids: &[Id]) -> Result<usize, Error> {
        let query = Query {
            names: ids.iter().map(ToString::to_string).collect(),
        };
        let url = format!("{}/v1/held", self.base);
        let response = self.http.post(url).json(&query).send().await?;
        match response.status().as_u16() {
            200 => Ok(fetch::json::<Held>(response, HELD_BYTES)
                .await?
                .held
                .min(ids.len())),
            status => Err(Error::Status(status)),
        }
    }

    async fn get(&self, id: &Id) -> Result<Option<Vec<u8>>, Error> {
        let response = self
            .http
            .get(format!("{}/v1/blocks/{id}", self.base))
            .send()
            .await?;
        match response.status().as_u16() {
            200 => Ok(Some(
                fetch::bytes(response, context::MAX_BLOCK_BYTES).await?,
            )),
            404 => Ok(None),
            status => Err(Error::Status(status)),
        }
    }

    async fn put(&self, id: &Id, bytes: Vec<u8>) -> Result<(), Error> {
        let url = format!("{}/v1/blocks/{id}", self.base);
        let response = self.http.put(url).body(bytes).send().await?;
        match response.status().as_u16() {
            200..=299 => Ok(()),
            507 => Err(Error::Full),
            status => Err(Error::Status(status)),
        }
    }
}
