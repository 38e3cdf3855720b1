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

    /// Probes whether the service can be reached.
    ///
    /// # Errors
    /// Fails when it cannot be reached.
    fn probe(&self) -> impl Future<Output = Result<(), Error>> + Send;
}

/// The reply of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// An HTTP client of a plain service.
#[derive(Debug, Clone)]
pub struct Plain {
    http: reqwest::Client,
    base_url: String,
}

/// How long a service may take to reply.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest reply that is accepted, since it is stored in a row of the platform.
const MAX_REPLY_BYTES: usize = 1 << 20;

impl Plain {
    /// Makes a client of the service at an address like `http://127.0.0.1:80`.
    ///
    /// # Errors
    /// Fails if the HTTP client cannot be built.
    pub fn new(address: &str) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .connect_timeout(Duration::from_secs(1))
            // The HTTP client retries a request on a connection that was closed while idle, which
            // could run an at-most-once call twice; no connection is kept idle.
            .pool_max_idle_per_host(0)
            .retry(reqwest::retry::never())
            // A redirect that keeps the method would send the call a second time.
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .build()
            .map_err(Error::Unreachable)?;
        Ok(Self {
            http,
            base_url: address.trim_end_matches('/').to_owned(),
        })
    }
}

impl Service for Plain {
    async fn call(&self, call: &Call, attempt: Attempt, body: &str) -> Result<Reply, Error> {
        let response = self
            .http
            .post(format!("{}/v1/calls/{call}", self.base_url))
            .header("x-attempt", attempt.to_string())
            .header("content-type", "application/json")
            .body(body.to_owned())
            .send()
            .await?;
        let status = response.status().as_u16();
        // The call reached the service, so after any later failure its outcome is unknown.
        let bytes = fetch::bytes(response, MAX_REPLY_BYTES).await?;
        let body =
            String::from_utf8(bytes).map_err(|_error| Error::Data("the reply is not UTF-8"))?;
        Ok(Reply { status, body })
    }

    async fn probe(&self) -> Result<(), Error> {
        self.http
            .get(format!("{}/v1/health", self.base_url))
            .send()
            .await?;
        Ok(())
    }
}
