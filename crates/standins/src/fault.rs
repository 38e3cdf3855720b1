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
    /// Answers everything with status 503.
    pub(crate) down: bool,
    /// Waits before each answer, in milliseconds.
    pub(crate) delay_ms: u64,
    /// Executes the next this many requests but loses the answers.
    pub(crate) lose_answers: u32,
    /// Cuts the next this many streams after `cut_after` tokens.
    pub(crate) cut_streams: u32,
    /// See `cut_streams`.
    pub(crate) cut_after: u32,
    /// Returns this many blocks changed.
    pub(crate) corrupt_blocks: u32,
    /// Returns this many blocks cut in half.
    pub(crate) truncate_blocks: u32,
    /// Returns this many blocks under another block's name.
    pub(crate) swap_blocks: u32,
}

/// The state of a stand-in with its faults.
pub(crate) type Shared<State> = Arc<Mutex<State>>;

/// The faults that all routes of a stand-in share.
#[derive(Debug, Clone, Default)]
pub(crate) struct Switch(Arc<Mutex<Faults>>);

/// What a request is to do under the faults.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    Answer,
    Lose,
    Down,
}

impl Switch {
    /// Locks the faults.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Faults> {
        self.0.lock().expect("no holder panics")
    }

    /// Waits as the faults say and tells what to do with a request.
    pub(crate) async fn apply(&self) -> Verdict {
        let (down, delay) = {
            let faults = self.lock();
            (faults.down, faults.delay_ms)
        };
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        if down {
            return Verdict::Down;
        }
        if take(&mut self.lock().lose_answers) {
            Verdict::Lose
        } else {
            Verdict::Answer
        }
    }

    /// The route that sets the faults.
    pub(crate) fn route(
        &self,
    ) -> impl Filter<Extract = (Response,), Error = warp::Rejection> + Clone + use<> {
        let switch = self.clone();
        warp::path("faults")
            .and(warp::put())
            .and(warp::body::json())
            .map(move |faults: Faults| {
                *switch.lock() = faults;
                StatusCode::NO_CONTENT.into_response()
            })
    }
}

/// Returns the milliseconds since 1970, for logs that a checker compares between processes.
pub(crate) fn now_ms() -> u64 {
    let now = std::time::SystemTime::UNIX_EPOCH.elapsed();
    now.unwrap_or_default().as_millis() as u64
}

/// Counts a fault down; returns whether it applies.
pub(crate) fn take(count: &mut u32) -> bool {
    let applies = *count > 0;
    *count = count.saturating_sub(1);
    applies
}

/// Answers as the verdict says: whole, with status 503, or by breaking the connection.
pub(crate) fn answer(verdict: &Verdict, response: Response) -> Response {
    match verdict {
        Verdict::Answer => response,
        Verdict::Down => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Verdict::Lose => broken(),
    }
}

/// A response whose connection breaks before the body.
pub(crate) fn broken() -> Response {
    let error = Err::<Bytes, _>(std::io::Error::other("the answer is lost on purpose"));
    warp::reply::stream(futures_util::stream::iter([error])).into_response()
}

/// Answers with JSON.
pub(crate) fn json<Body>(body: &Body) -> Response
where
    Body: Serialize,
{
    warp::reply::json(body).into_response()
}

/// Makes a value available to a route.
pub(crate) fn with<Value>(
    value: &Value,
) -> impl Filter<Extract = (Value,), Error = Infallible> + Clone + use<Value>
where
    Value: Clone + Send + Sync + 'static,
{
    let value = value.clone();
    warp::any().map(move || value.clone())
}
