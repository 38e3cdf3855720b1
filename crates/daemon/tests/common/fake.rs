//! Fakes of the platform, a service and an engine at the HTTP level, with the faults that the tests
//! need.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;
use warp::http::StatusCode;
use warp::path::Tail;
use warp::reply::Response;
use warp::{Filter, Reply};

/// The table store, the object store and the host list.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    pub state: Arc<PlatformState>,
}

#[derive(Default)]
pub struct PlatformState {
    pub rows: Mutex<BTreeMap<String, (u64, Value)>>,
    objects: Mutex<BTreeMap<String, Bytes>>,
    versions: Mutex<u64>,
    pub commits: AtomicU32,
    /// How many of the next claim writes are executed and lose their response.
    pub lost_claim_responses: AtomicU32,
    /// Whether the platform goes down with the next lost response.
    pub down_after_loss: AtomicBool,
    pub is_down: AtomicBool,
}

impl Platform {
    pub async fn start() -> Self {
        let state = Arc::new(PlatformState::default());
        let shared = Arc::clone(&state);
        let routes = warp::any()
            .and(warp::method())
            .and(warp::path::tail())
            .and(warp::body::bytes())
            .map(move |method: http::Method, tail: Tail, body: Bytes| {
                shared.respond(&method, tail.as_str(), &body)
            });
        Self {
            address: serve(routes).await,
            state,
        }
    }

    pub fn client(&self) -> platform::Client {
        let http = format!("http://{}", self.address);
        platform::Client::new(&http, &http, &http).unwrap()
    }
}

impl PlatformState {
    fn respond(&self, method: &http::Method, path: &str, body: &Bytes) -> Response {
        if self.is_down.load(SeqCst) {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let row =
            |key: &str, row: &(u64, Value)| json!({ "key": key, "version": row.0, "value": row.1 });
        let rows = self.rows.lock().unwrap();
        if let Some(key) = path.strip_prefix("v1/rows/") {
            return rows
                .get(key)
                .map_or(StatusCode::NOT_FOUND.into_response(), |found| {
                    reply(&row(key, found))
                });
        }
        if let Some(prefix) = path.strip_prefix("v1/scan/") {
            let rows: Vec<_> = rows
                .iter()
                .filter(|(key, _)| key.starts_with(prefix))
                .map(|(key, found)| row(key, found))
                .collect();
            return reply(&json!({ "rows": rows }));
        }
        drop(rows);
        if let Some(name) = path.strip_prefix("v1/objects/") {
            let mut objects = self.objects.lock().unwrap();
            if method == http::Method::PUT {
                objects.insert(name.to_owned(), body.clone());
                return StatusCode::NO_CONTENT.into_response();
            }
            return objects
                .get(name)
                .map_or(StatusCode::NOT_FOUND.into_response(), |bytes| {
                    bytes.to_vec().into_response()
                });
        }
        if path == "v1/hosts" {
            return reply(&json!([]));
        }
        self.commit(&serde_json::from_slice(body).unwrap())
    }

    fn commit(&self, transaction: &Value) -> Response {
        self.commits.fetch_add(1, SeqCst);
        let mut rows = self.rows.lock().unwrap();
        let mut version = self.versions.lock().unwrap();
        let writes = transaction["writes"].as_array().unwrap();
        let key = |write: &Value| write["key"].as_str().unwrap().to_owned();
        for write in writes {
            if rows.get(&key(write)).map_or(0, |row| row.0) != write["expect"].as_u64().unwrap() {
                let body = warp::reply::json(&json!({ "key": key(write) }));
                return warp::reply::with_status(body, StatusCode::CONFLICT).into_response();
            }
        }
        let mut versions = Vec::new();
        for write in writes {
            *version += 1;
            versions.push(*version);
            rows.insert(key(write), (*version, write["value"].clone()));
        }
        if writes.iter().any(|write| key(write).starts_with("claim/"))
            && take_one(&self.lost_claim_responses)
        {
            self.is_down
                .store(self.down_after_loss.load(SeqCst), SeqCst);
            return broken_response();
        }
        reply(&json!({ "versions": versions }))
    }
}

/// A plain service that counts the calls that it executed.
#[derive(Clone)]
pub struct Service {
    pub address: SocketAddr,
    pub state: Arc<ServiceState>,
}

pub struct ServiceState {
    pub executed: AtomicU32,
    pub lost_responses: AtomicU32,
    pub redirects: AtomicU32,
    /// Each call consumes one permit before it is answered.
    pub permits: Semaphore,
}

impl Service {
    pub async fn start() -> Self {
        let state = Arc::new(ServiceState {
            executed: AtomicU32::new(0),
            lost_responses: AtomicU32::new(0),
            redirects: AtomicU32::new(0),
            permits: Semaphore::new(1 << 20),
        });
        let shared = Arc::clone(&state);
        let call =
            warp::path!("v1" / "calls" / String)
                .and(warp::post())
                .then(move |call: String| {
                    let state = Arc::clone(&shared);
                    async move {
                        let receipt = state.executed.fetch_add(1, SeqCst);
                        state.permits.acquire().await.unwrap().forget();
                        if take_one(&state.redirects) {
                            let reply = warp::reply::with_header("", "location", "/v1/calls/again");
                            return warp::reply::with_status(reply, StatusCode::TEMPORARY_REDIRECT)
                                .into_response();
                        }
                        if take_one(&state.lost_responses) {
                            return broken_response();
                        }
                        reply(&json!({ "receipt": receipt, "call": call }))
                    }
                });
        let health = warp::path!("v1" / "health").map(|| StatusCode::NO_CONTENT.into_response());
        Self {
            address: serve(call.or(health).unify()).await,
            state,
        }
    }

    pub fn executed(&self) -> u32 {
        self.state.executed.load(SeqCst)
    }
}

/// An engine whose completions are `t0 t1 t2 ...`.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    pub state: Arc<EngineState>,
}

pub struct EngineState {
    pub started: AtomicU32,
    pub cancelled: AtomicU32,
    /// How many of the next streams are truncated after `truncate_after` more tokens.
    pub truncations: AtomicU32,
    pub truncate_after: AtomicU32,
    /// Whether a truncated stream can be resumed.
    pub is_resumable: AtomicBool,
    /// The number of tokens that streams may generate.
    pub token_limit: watch::Sender<u32>,
    limits: Mutex<BTreeMap<String, u32>>,
}

impl Engine {
    pub async fn start() -> Self {
        let state = Arc::new(EngineState {
            started: AtomicU32::new(0),
            cancelled: AtomicU32::new(0),
            truncations: AtomicU32::new(0),
            truncate_after: AtomicU32::new(0),
            is_resumable: AtomicBool::new(true),
            token_limit: watch::channel(u32::MAX).0,
            limits: Mutex::default(),
        });
        let with_state = {
            let state = Arc::clone(&state);
            warp::any().map(move || Arc::clone(&state))
        };
        let complete = warp::path!("v1" / "completions")
            .and(warp::post())
            .and(warp::body::json())
            .and(with_state.clone())
            .map(|completion: Value, state: Arc<EngineState>| {
                state.started.fetch_add(1, SeqCst);
                let tokens = completion["max_tokens"].as_u64().unwrap() as u32;
                let id = completion["request_id"].as_str().unwrap().to_owned();
                state.limits.lock().unwrap().insert(id, tokens);
                stream(
                    &state,
                    completion["delivered"].as_array().unwrap().len() as u32,
                    tokens,
                )
            });
        let resume = warp::path!("v1" / "streams" / String / u32)
            .and(warp::get())
            .and(with_state.clone())
            .map(|id: String, from: u32, state: Arc<EngineState>| {
                let tokens = state.limits.lock().unwrap().get(&id).copied();
                match tokens.filter(|_| state.is_resumable.load(SeqCst)) {
                    Some(tokens) => stream(&state, from, tokens),
                    None => StatusCode::NOT_FOUND.into_response(),
                }
            });
        let cancel = warp::path!("v1" / "streams" / String)
            .and(warp::delete())
            .and(with_state.clone())
            .map(|_, state: Arc<EngineState>| {
                state.cancelled.fetch_add(1, SeqCst);
                StatusCode::NO_CONTENT.into_response()
            });
        let load = warp::path!("v1" / "load").map(|| {
            reply(&json!({ "boot": 1, "model": "m", "weights": "v1", "running": 0, "waiting": 0 }))
        });
        let routes = complete
            .or(resume)
            .unify()
            .or(cancel)
            .unify()
            .or(load)
            .unify();
        Self {
            address: serve(routes).await,
            state,
        }
    }
}

fn stream(state: &Arc<EngineState>, from: u32, tokens: u32) -> Response {
    let truncate_at =
        take_one(&state.truncations).then(|| from + state.truncate_after.load(SeqCst));
    let mut token_limit = state.token_limit.subscribe();
    let (sender, events) = mpsc::channel(1);
    tokio::spawn(async move {
        for seq in from..tokens {
            if truncate_at == Some(seq) {
                let _ = sender
                    .send(Err(std::io::Error::other("truncated on purpose")))
                    .await;
                return;
            }
            if token_limit
                .wait_for(|&token_limit| token_limit > seq)
                .await
                .is_err()
            {
                return;
            }
            let data =
                json!({ "choices": [{ "text": format!("t{seq} "), "finish_reason": null }] });
            let event = Bytes::from(format!("id: {seq}\ndata: {data}\n\n"));
            if sender.send(Ok(event)).await.is_err() {
                return;
            }
        }
        let data = json!({ "choices": [{ "text": "", "finish_reason": "length" }],
            "usage": { "prompt_tokens": 2, "completion_tokens": tokens } });
        let _ = sender
            .send(Ok(Bytes::from(format!("data: {data}\n\n"))))
            .await;
    });
    let reply = warp::reply::stream(ReceiverStream::new(events));
    warp::reply::with_header(reply, "x-boot", "1").into_response()
}

async fn serve<Routes>(routes: Routes) -> SocketAddr
where
    Routes: Filter<Extract = (Response,), Error = warp::Rejection> + Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    address
}

fn take_one(count: &AtomicU32) -> bool {
    count
        .fetch_update(SeqCst, SeqCst, |count| count.checked_sub(1))
        .is_ok()
}

fn reply(body: &Value) -> Response {
    warp::reply::json(body).into_response()
}

fn broken_response() -> Response {
    let error = Err::<Bytes, _>(std::io::Error::other("lost on purpose"));
    warp::reply::stream(futures_util::stream::iter([error])).into_response()
}
