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

/// Talks to a model engine over HTTP.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    base: String,
}

/// A completion that runs.
pub struct Running {
    boot: Boot,
    bytes: BoxStream<'static, Result<Bytes, reqwest::Error>>,
    decoder: Decoder,
    next: u32,
    ended: bool,
}

/// How long an engine may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an engine may be silent while it answers, and how long it may take for a block.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an engine may send bytes of which none makes a piece of the answer: an engine keeps a
/// connection open with comments while it reads the prompt, and the longest one takes less.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);
/// How many bytes an engine may send between two pieces of an answer.
const EVENT_BYTES: usize = 2 << 20;
/// The longest report of an engine about itself, in bytes; it has some ten numbers.
const STATUS_BYTES: usize = 64 << 10;

#[derive(Deserialize)]
struct Body {
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
    prompt_tokens_details: Details,
}

#[derive(Default, Deserialize)]
struct Details {
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
    /// Makes a client for the engine at an address like `http://127.0.0.1:80`.
    ///
    /// # Errors
    /// Fails when the HTTP library cannot be set up.
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
            base: address.trim_end_matches('/').to_owned(),
        })
    }
}

impl Engine for Client {
    type Stream = Running;

    async fn complete(&self, completion: &Completion) -> Result<Running, Error> {
        let url = format!("{}/v1/completions", self.base);
        let sent = self.http.post(url).json(completion).send();
        Running::open(sent, completion.delivered.len() as u32).await
    }

    async fn resume(&self, attempt: Attempt, from: u32) -> Result<Running, Error> {
        let url = format!("{}/v1/streams/{attempt}/{from}", self.base);
        Running::open(self.http.get(url).send(), from).await
    }

    async fn cancel(&self, attempt: Attempt) -> Result<(), Error> {
        let url = format!("{}/v1/streams/{attempt}", self.base);
        check(&self.http.delete(url).send().await?)
    }

    async fn status(&self) -> Result<Status, Error> {
        let response = self
            .http
            .get(format!("{}/v1/load", self.base))
            .timeout(CONNECT_TIMEOUT)
            .send()
            .await?;
        check(&response)?;
        Ok(fetch::json(response, STATUS_BYTES).await?)
    }

    async fn export(&self, id: &Id) -> Result<Option<Vec<u8>>, Error> {
        let response = self
            .http
            .get(format!("{}/v1/kv/{id}", self.base))
            .timeout(READ_TIMEOUT)
            .send()
            .await?;
        match check(&response) {
            Ok(()) => Ok(Some(
                fetch::bytes(response, context::MAX_BLOCK_BYTES).await?,
            )),
            Err(Error::NotFound) => Ok(None),
            Err(error) => Err(error),
        }
    }

    async fn import(&self, id: &Id, weights: &Weights, bytes: Vec<u8>) -> Result<(), Error> {
        let url = format!("{}/v1/kv/{id}", self.base);
        let request = self
            .http
            .put(url)
            .header("x-weights", &**weights)
            .timeout(READ_TIMEOUT)
            .body(bytes);
        check(&request.send().await?)
    }

    async fn order(&self, order: &Order) -> Result<(), Error> {
        let url = format!("{}/v1/orders", self.base);
        check(&self.http.post(url).json(order).send().await?)
    }
}

impl Running {
    async fn open<Sent>(sent: Sent, next: u32) -> Result<Self, Error>
    where
        Sent: Future<Output = Result<reqwest::Response, reqwest::Error>>,
    {
        let response = timeout(EVENT_TIMEOUT, sent)
            .await
            .map_err(|_elapsed| Error::Data("no whole head for a minute"))??;
        check(&response)?;
        let boot = response
            .headers()
            .get("x-boot")
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .ok_or(Error::Data("the answer has no boot id"))?;
        let bytes = response.bytes_stream().boxed();
        Ok(Self {
            boot: Boot(boot),
            bytes,
            decoder: Decoder::default(),
            next,
            ended: false,
        })
    }

    fn read(&mut self, data: &str, id: Option<u32>) -> Result<Option<Chunk>, Error> {
        let body: Body = serde_json::from_str(data)
            .map_err(|_error| Error::Data("an event is not the JSON of a completion"))?;
        if let Some(usage) = body.usage {
            let reason = body
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
        let Some(choice) = body.choices.into_iter().next() else {
            return Ok(None);
        };
        // A gap would silently drop tokens of the answer.
        if id.is_some_and(|id| id != self.next) {
            return Err(Error::Data("an event of the answer is missing"));
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
        let due = Instant::now() + EVENT_TIMEOUT;
        let mut unused = 0;
        loop {
            while let Some(event) = self.decoder.decode().map_err(Error::Data)? {
                if event.data == "[DONE]" || event.data.is_empty() {
                    continue;
                }
                if let Some(chunk) = self.read(&event.data, event.id)? {
                    return Ok(Some(chunk));
                }
            }
            let bytes = match timeout_at(due, self.bytes.next()).await {
                Ok(Some(Ok(bytes))) => bytes,
                Ok(Some(Err(error))) => return Err(Error::Broken(error)),
                Ok(None) => return Ok(None),
                Err(_elapsed) => return Err(Error::Data("no piece of the answer for a minute")),
            };
            unused += bytes.len();
            if unused > EVENT_BYTES {
                return Err(Error::Data("2 MiB without a piece of the answer"));
            }
            self.decoder.push(&bytes);
        }
    }

    fn boot(&self) -> Boot {
        self.boot
    }
}

fn check(response: &reqwest::Response) -> Result<(), Error> {
    match response.status().as_u16() {
        200..=299 => Ok(()),
        404 => Err(Error::NotFound),
        412 => Err(Error::StaleFence),
        429 => Err(Error::Overloaded),
        status => Err(Error::Status(status)),
    }
}
