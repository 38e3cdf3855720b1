use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Commit, Error, Hosts, Listed, Objects, Row, Table, Write};

/// A client of the platform's services, which use JSON over HTTP.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    table: String,
    objects: String,
    hosts: String,
}

/// How long the platform may take to respond.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest response that is accepted; the members of 3,330 processes and the rules of 4,200
/// teams take a few MB as JSON.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

#[derive(Serialize)]
struct Transaction<'writes> {
    writes: &'writes [Write],
}

#[derive(Deserialize)]
struct Applied {
    versions: Vec<u64>,
}

#[derive(Deserialize)]
struct Conflict {
    key: String,
}

#[derive(Deserialize)]
struct Rows {
    rows: Vec<Row>,
}

impl Client {
    /// Makes a client of the three services, each at an address like `http://10.0.0.1:80`.
    ///
    /// # Errors
    /// Fails if the HTTP client cannot be built.
    pub fn new(table: &str, objects: &str, hosts: &str) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .connect_timeout(REQUEST_TIMEOUT)
            // Retries are left to the callers, which know whether a write may be repeated.
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()
            .map_err(Error::Unreachable)?;
        let base_url = |address: &str| address.trim_end_matches('/').to_owned();
        Ok(Self {
            http,
            table: base_url(table),
            objects: base_url(objects),
            hosts: base_url(hosts),
        })
    }
}

impl Table for Client {
    async fn get(&self, key: &str) -> Result<Option<Row>, Error> {
        let url = format!("{}/v1/rows/{key}", self.table);
        let response = self.http.get(url).send().await?;
        match response.status().as_u16() {
            200 => Ok(Some(fetch::json(response, MAX_RESPONSE_BYTES).await?)),
            404 => Ok(None),
            status => Err(Error::Status(status)),
        }
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<Row>, Error> {
        let url = format!("{}/v1/scan/{prefix}", self.table);
        let response = self.http.get(url).send().await?;
        match response.status().as_u16() {
            200 => Ok(fetch::json::<Rows>(response, MAX_RESPONSE_BYTES)
                .await?
                .rows),
            status => Err(Error::Status(status)),
        }
    }

    async fn commit(&self, writes: &[Write]) -> Result<Commit, Error> {
        let url = format!("{}/v1/commit", self.table);
        let response = self
            .http
            .post(url)
            .json(&Transaction { writes })
            .send()
            .await?;
        match response.status().as_u16() {
            200 => {
                let applied: Applied = fetch::json(response, MAX_RESPONSE_BYTES).await?;
                Ok(Commit::Applied(applied.versions))
            }
            409 => {
                let conflict: Conflict = fetch::json(response, MAX_RESPONSE_BYTES).await?;
                Ok(Commit::Conflict(conflict.key))
            }
            status => Err(Error::Status(status)),
        }
    }
}

impl Objects for Client {
    async fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let url = format!("{}/v1/objects/{name}", self.objects);
        let response = self.http.get(url).send().await?;
        match response.status().as_u16() {
            200 => Ok(Some(fetch::bytes(response, MAX_RESPONSE_BYTES).await?)),
            404 => Ok(None),
            status => Err(Error::Status(status)),
        }
    }

    async fn put_object(&self, name: &str, bytes: Vec<u8>) -> Result<(), Error> {
        let url = format!("{}/v1/objects/{name}", self.objects);
        let response = self.http.put(url).body(bytes).send().await?;
        match response.status().as_u16() {
            200..=299 => Ok(()),
            status => Err(Error::Status(status)),
        }
    }
}

impl Hosts for Client {
    async fn hosts(&self) -> Result<Vec<Listed>, Error> {
        let url = format!("{}/v1/hosts", self.hosts);
        let response = self.http.get(url).send().await?;
        match response.status().as_u16() {
            200 => Ok(fetch::json(response, MAX_RESPONSE_BYTES).await?),
            status => Err(Error::Status(status)),
        }
    }
}
