use std::time::Duration;

use bytes::Bytes;
use context::Id;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use serde::Deserialize;
use tokio::time::{Instant, timeout, timeout_at};
use types::{Attempt, Boot, Weights};

use crate::sse::Decoder;
use crate::{Chunk, Completion, Engine, Error, Finish, Order, Status, Stream};

/// An HTTP client of a model engine.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    base_url: String,
}

/// The event stream of a running completion.
pub struct Running {
    boot: Boot,
    bytes: BoxStream<'static, Result<Bytes, reqwest::Error>>,
    decoder: Decoder,
    next: u32,
    ended: bool,
}

/// How long an engine may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an engine may send nothing during a response, and how long a block transfer may take.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an engine may send bytes that complete no chunk: engines keep a connection alive with
/// comments during prefill, and the prefill of the longest prompt takes less than this.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(60);
/// How many bytes an engine may send between two chunks.
const MAX_BYTES_PER_CHUNK: usize = 2 << 20;
/// The largest status response; it has about ten numbers.
const MAX_STATUS_BYTES: usize = 64 << 10;

#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    #[serde(default)]
    prompt_tokens_details: PromptDetails,
}

#[derive(Default, Deserialize)]
struct PromptDetails {
    cached_tokens: u32,
}

impl std::fmt::Debug for Running {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Running")
            .field("boot", &self.boot)
            .finish_non_exhaustive()
    }
}

impl Client {
    /// Makes a client of the engine at an address like `http://127.0.0.1:80`.
    ///
    /// # Errors
    /// Fails if the HTTP client cannot be built.
    pub fn new(address: &str) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(READ_TIMEOUT)
            .tcp_nodelay(true)
            // A redirect would send the request a second time.
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()
            .map_err(Error::Unreachable)?;
        Ok(Self {
            http,
            base_url: address.trim_end_matches('/').to_owned(),
        })
    }
}

impl Engine for Client {
    type Stream = Running;

    async fn complete(&self, completion: &Completion) -> Result<Running, Error> {
        let url = format!("{}/v1/completions", self.base_url);
        let sending = self.http.post(url).json(completion).send();
        Running::open(sending, completion.delivered.len() as u32).await
    }

    async fn resume(&self, attempt: Attempt, from: u32) -> Result<Running, Error> {
        let url = format!("{}/v1/streams/{attempt}/{from}", self.base_url);
        Running::open(self.http.get(url).send(), from).await
    }

    async fn cancel(&self, attempt: Attempt) -> Result<(), Error> {
        let url = format!("{}/v1/streams/{attempt}", self.base_url);
        check_status(&self.http.delete(url).send().await?)
    }

    async fn status(&self) -> Result<Status, Error> {
        let response = self
            .http
            .get(format!("{}/v1/load", self.base_url))
            .timeout(CONNECT_TIMEOUT)
            .send()
            .await?;
        check_status(&response)?;
        Ok(fetch::json(response, MAX_STATUS_BYTES).await?)
    }

    async fn export(&self, id: &Id) -> Result<Option<Vec<u8>>, Error> {
        let response = self
            .http
            .get(format!("{}/v1/kv/{id}", self.base_url))
            .timeout(READ_TIMEOUT)
            .send()
            .await?;
        match check_status(&response) {
            Ok(()) => Ok(Some(
                fetch::bytes(response, context::MAX_BLOCK_BYTES).await?,
            )),
            Err(Error::NotFound) => Ok(None),
            Err(error) => Err(error),
        }
    }

    async fn import(&self, id: &Id, weights: &Weights, bytes: Vec<u8>) -> Result<(), Error> {
        let url = format!("{}/v1/kv/{id}", self.base_url);
        let request = self
            .http
            .put(url)
            .header("x-weights", &**weights)
            .timeout(READ_TIMEOUT)
            .body(bytes);
        check_status(&request.send().await?)
    }

    async fn order(&self, order: &Order) -> Result<(), Error> {
        let url = format!("{}/v1/orders", self.base_url);
        check_status(&self.http.post(url).json(order).send().await?)
    }
}

impl Running {
    async fn open<Sent>(sending: Sent, next: u32) -> Result<Self, Error>
    where
        Sent: Future<Output = Result<reqwest::Response, reqwest::Error>>,
    {
        let response = timeout(CHUNK_TIMEOUT, sending)
            .await
            .map_err(|_elapsed| Error::Data("no complete response head within 60 s"))??;
        check_status(&response)?;
        let boot = response
            .headers()
            .get("x-boot")
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .ok_or(Error::Data("the response has no boot id"))?;
        let bytes = response.bytes_stream().boxed();
        Ok(Self {
            boot: Boot(boot),
            bytes,
            decoder: Decoder::default(),
            next,
            ended: false,
        })
    }

    fn parse(&mut self, data: &str, id: Option<u32>) -> Result<Option<Chunk>, Error> {
        let event: Event = serde_json::from_str(data)
            .map_err(|_error| Error::Data("an event is not valid completion JSON"))?;
        if let Some(usage) = event.usage {
            let reason = event
                .choices
                .into_iter()
                .find_map(|choice| choice.finish_reason);
            self.ended = true;
            return Ok(Some(Chunk::End(Finish {
                reason: reason.unwrap_or_else(|| "stop".to_owned()),
                prompt: usage.prompt_tokens,
                cached: usage.prompt_tokens_details.cached_tokens,
                completion: usage.completion_tokens,
            })));
        }
        let Some(choice) = event.choices.into_iter().next() else {
            return Ok(None);
        };
        // A gap would silently drop tokens of the completion.
        if id.is_some_and(|id| id != self.next) {
            return Err(Error::Data("an event of the completion is missing"));
        }
        let seq = self.next;
        self.next += 1;
        Ok(Some(Chunk::Token {
            seq,
            text: choice.text.into(),
        }))
    }
}

impl Stream for Running {
    async fn next(&mut self) -> Result<Option<Chunk>, Error> {
        if self.ended {
            return Ok(None);
        }
        let deadline = Instant::now() + CHUNK_TIMEOUT;
        let mut undecoded = 0;
        loop {
            while let Some(event) = self.decoder.decode().map_err(Error::Data)? {
                if event.data == "[DONE]" || event.data.is_empty() {
                    continue;
                }
                if let Some(chunk) = self.parse(&event.data, event.id)? {
                    return Ok(Some(chunk));
                }
            }
            let bytes = match timeout_at(deadline, self.bytes.next()).await {
                Ok(Some(Ok(bytes))) => bytes,
                Ok(Some(Err(error))) => return Err(Error::Broken(error)),
                Ok(None) => return Ok(None),
                Err(_elapsed) => return Err(Error::Data("no chunk of the completion within 60 s")),
            };
            undecoded += bytes.len();
            if undecoded > MAX_BYTES_PER_CHUNK {
                return Err(Error::Data("2 MiB without a chunk of the completion"));
            }
            self.decoder.push(&bytes);
        }
    }

    fn boot(&self) -> Boot {
        self.boot
    }
}

fn check_status(response: &reqwest::Response) -> Result<(), Error> {
    match response.status().as_u16() {
        200..=299 => Ok(()),
        404 => Err(Error::NotFound),
        412 => Err(Error::StaleFence),
        429 => Err(Error::Overloaded),
        status => Err(Error::Status(status)),
    }
}
