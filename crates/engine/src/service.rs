use std::future::Future;
use std::time::Duration;

use types::{Attempt, Call};

use crate::Error;

/// An instance of a plain service.
pub trait Service {
    /// Sends a call once.
    ///
    /// # Errors
    /// Fails when the service cannot be reached or the connection breaks; [`Error::verdict`] says
    /// whether the call may have run.
    fn call(
        &self,
        call: &Call,
        attempt: Attempt,
        body: &str,
    ) -> impl Future<Output = Result<Reply, Error>> + Send;

    /// Asks the service whether it is there.
    ///
    /// # Errors
    /// Fails when it cannot be reached.
    fn probe(&self) -> impl Future<Output = Result<(), Error>> + Send;
}

/// The answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// Talks to a plain service over HTTP.
#[derive(Debug, Clone)]
pub struct Plain {
    http: reqwest::Client,
    base: String,
}

/// How long a service may take for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The largest reply that is read, in bytes; it is kept in a row of the platform.
const MAX_REPLY_BYTES: usize = 1 << 20;

impl Plain {
    /// Makes a client for the service at an address like `http://127.0.0.1:80`.
    ///
    /// # Errors
    /// Fails when the HTTP library cannot be set up.
    pub fn new(address: &str) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .timeout(TIMEOUT)
            .connect_timeout(Duration::from_secs(1))
            // The library repeats a request on a connection that was closed while idle, and a
            // call that must not repeat could run twice; no connection is kept idle.
            .pool_max_idle_per_host(0)
            .retry(reqwest::retry::never())
            // A redirect that keeps the method would send the call a second time.
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .build()
            .map_err(Error::Unreachable)?;
        Ok(Self {
            http,
            base: address.trim_end_matches('/').to_owned(),
        })
    }
}

impl Service for Plain {
    async fn call(&self, call: &Call, attempt: Attempt, body: &str) -> Result<Reply, Error> {
        let response = self
            .http
            .post(format!("{}/v1/calls/{call}", self.base))
            .header("x-attempt", attempt.to_string())
            .header("content-type", "application/json")
            .body(body.to_owned())
            .send()
            .await?;
        let status = response.status().as_u16();
        // The call reached the service, so whatever fails from here on leaves its outcome open.
        let bytes = fetch::bytes(response, MAX_REPLY_BYTES).await?;
        let body =
            String::from_utf8(bytes).map_err(|_error| Error::Data("the reply is not UTF-8"))?;
        Ok(Reply { status, body })
    }

    async fn probe(&self) -> Result<(), Error> {
        self.http
            .get(format!("{}/v1/health", self.base))
            .send()
            .await?;
        Ok(())
    }
}
