use std::convert::Infallible;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use warp::http::StatusCode;
use warp::reply::Response;
use warp::{Filter, Reply};

/// The faults of a stand-in, set with `PUT /faults`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(crate) struct Faults {
    /// Answers every request with status 503.
    pub(crate) down: bool,
    /// Delay before each request is handled, in milliseconds.
    pub(crate) delay_ms: u64,
    /// Number of following requests that are executed but whose responses are lost.
    pub(crate) lose_answers: u32,
    /// Number of following streams that break after `cut_after` events.
    pub(crate) cut_streams: u32,
    /// Number of events after which `cut_streams` breaks a stream.
    pub(crate) cut_after: u32,
    /// Number of following reads that return a corrupt block.
    pub(crate) corrupt_blocks: u32,
    /// Number of following reads that return a block truncated to half its size.
    pub(crate) truncate_blocks: u32,
    /// Number of following reads that return another block than the requested one.
    pub(crate) swap_blocks: u32,
}

/// The state of a stand-in, shared by its routes.
pub(crate) type Shared<State> = Arc<Mutex<State>>;

/// The faults of a stand-in, shared by its routes.
#[derive(Debug, Clone, Default)]
pub(crate) struct Injector(Arc<Mutex<Faults>>);

/// How a request is to be handled under the current faults.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Execute the request and send the response.
    None,
    /// Execute the request but lose the response.
    LoseResponse,
    /// Do not execute the request; answer with status 503.
    Down,
}

impl Injector {
    /// Locks the faults.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Faults> {
        self.0.lock().expect("no holder panics")
    }

    /// Applies the delay of the faults and returns how to handle a request.
    pub(crate) async fn apply(&self) -> Effect {
        let (down, delay) = {
            let faults = self.lock();
            (faults.down, faults.delay_ms)
        };
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        if down {
            return Effect::Down;
        }
        if consume(&mut self.lock().lose_answers) {
            Effect::LoseResponse
        } else {
            Effect::None
        }
    }

    /// Returns the route that sets the faults.
    pub(crate) fn route(
        &self,
    ) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone + use<> {
        let injector = self.clone();
        warp::path("faults")
            .and(warp::put())
            .and(warp::body::json())
            .map(move |faults: Faults| {
                *injector.lock() = faults;
                StatusCode::NO_CONTENT.into_response()
            })
    }
}

/// Returns the milliseconds since 1970, for logs that are compared across processes.
pub(crate) fn now_ms() -> u64 {
    let now = std::time::SystemTime::UNIX_EPOCH.elapsed();
    now.unwrap_or_default().as_millis() as u64
}

/// Decrements the counter of a fault; returns whether the fault applies.
pub(crate) fn consume(count: &mut u32) -> bool {
    let applies = *count > 0;
    *count = count.saturating_sub(1);
    applies
}

/// Returns the response, status 503, or a broken connection, depending on the effect.
pub(crate) fn respond(effect: &Effect, response: Response) -> Response {
    match effect {
        Effect::None => response,
        Effect::Down => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Effect::LoseResponse => broken_response(),
    }
}

/// Returns a response whose connection breaks before the body.
pub(crate) fn broken_response() -> Response {
    let error = Err::<Bytes, _>(std::io::Error::other("response lost by fault injection"));
    warp::reply::stream(futures_util::stream::iter([error])).into_response()
}

/// Returns a JSON response.
pub(crate) fn json<Body>(body: &Body) -> Response
where
    Body: Serialize,
{
    warp::reply::json(body).into_response()
}

/// Returns a filter that passes a clone of a value to a route.
pub(crate) fn with<Value>(
    value: &Value,
) -> impl Filter<Extract = (Value,), Error = Infallible> + Clone + use<Value>
where
    Value: Clone + Send + Sync + 'static,
{
    let value = value.clone();
    warp::any().map(move || value.clone())
}
