//! The client of a store host, which caches sealed blocks in memory and on disk.
//!
//! The protocol is described in `docs/interfaces.md`. The blocks that a store host returns are not
//! trusted; the caller opens them with [`context::Envelope`].

use std::future::Future;
use std::time::Duration;

use context::Id;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// A store of sealed blocks.
pub trait Blocks {
    /// Returns the length of the longest prefix of the blocks that the store holds completely.
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

/// An error of a call to a store host; the caller then recomputes the blocks.
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

/// An HTTP client of a store host.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    base_url: String,
}

/// How long a store host may take to respond; recomputing a block takes less time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// The largest response that carries a number of blocks as JSON.
const MAX_HELD_BYTES: usize = 4096;

#[derive(Serialize)]
struct Query {
    names: Vec<String>,
}

#[derive(Deserialize)]
struct Held {
    held: usize,
}

impl Client {
    /// Makes a client of the store host at an address like `http://10.0.0.1:80`.
    ///
    /// # Errors
    /// Fails if the HTTP client cannot be built.
    pub fn new(address: &str) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .no_proxy()
            .build()?;
        Ok(Self {
            http,
            base_url: address.trim_end_matches('/').to_owned(),
        })
    }
}

impl Blocks for Client {
    async fn prefix_len(&self, ids: &[Id]) -> Result<usize, Error> {
        let query = Query {
            names: ids.iter().map(ToString::to_string).collect(),
        };
        let url = format!("{}/v1/held", self.base_url);
        let response = self.http.post(url).json(&query).send().await?;
        match response.status().as_u16() {
            200 => Ok(fetch::json::<Held>(response, MAX_HELD_BYTES)
                .await?
                .held
                .min(ids.len())),
            status => Err(Error::Status(status)),
        }
    }

    async fn get(&self, id: &Id) -> Result<Option<Vec<u8>>, Error> {
        let response = self
            .http
            .get(format!("{}/v1/blocks/{id}", self.base_url))
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
        let url = format!("{}/v1/blocks/{id}", self.base_url);
        let response = self.http.put(url).body(bytes).send().await?;
        match response.status().as_u16() {
            200..=299 => Ok(()),
            507 => Err(Error::Full),
            status => Err(Error::Status(status)),
        }
    }
}
