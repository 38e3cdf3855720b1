//! Fakes of the platform and the engines in the test process, with real agents and entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use daemon::agent::{self, Agent};
use daemon::entry::{self, Entry};
use daemon::settings::Settings;
use platform::config::{self, Record};
use platform::{Client, Commit, Row, Table, Write};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};
use types::Version;
use warp::http::StatusCode;
use warp::path::Tail;
use warp::reply::Response;
use warp::{Filter, Reply};

#[derive(Debug, Default)]
struct Storage {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Vec<u8>>,
    writes: u64,
    /// Blocks written to the store host.
    stored_blocks: u32,
}

/// The state of a fake engine, with the faults that the tests need.
#[derive(Debug, Default)]
pub struct Engine {
    pub boot: u64,
    pub weights: String,
    /// The received orders, with fencing token and weights.
    pub orders: Vec<(u64, String)>,
    /// Whether replies to orders are lost although the orders are executed.
    pub lose_replies: bool,
    /// Whether an order is executed right before the next completion.
    pub swap_weights: bool,
    /// Completions that were accepted.
    pub accepted: u32,
    /// Completions that were cancelled.
    pub cancelled: u32,
    /// Blocks that were read out of the cache.
    pub exported: u32,
}

/// The environment of the agents under test.
#[derive(Debug)]
pub struct Deployment {
    pub platform: Client,
    store: Arc<Mutex<Storage>>,
    address: SocketAddr,
    engines: Vec<(SocketAddr, Arc<Mutex<Engine>>)>,
    /// The number of engines that load weights now, and its maximum so far.
    loads: Arc<Mutex<(u32, u32)>>,
}

/// How long an engine takes to load weights.
const LOAD_TIME: Duration = Duration::from_millis(400);

async fn serve<Routes>(routes: Routes) -> SocketAddr
where
    Routes: Filter<Extract = (Response,), Error = warp::Rejection> + Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(warp::serve(routes).incoming(listener).run());
    address
}

impl Storage {
    fn commit(&mut self, writes: Vec<Write>) -> Response {
        let version = |write: &Write| self.rows.get(&write.key).map_or(0, |row| row.version);
        if let Some(write) = writes.iter().find(|write| version(write) != write.expect) {
            let reply = warp::reply::json(&json!({ "key": write.key }));
            return warp::reply::with_status(reply, StatusCode::CONFLICT).into_response();
        }
        let mut versions = Vec::new();
        for Write { key, value, .. } in writes {
            self.writes += 1;
            versions.push(self.writes);
            let (version, value) = (self.writes, value.unwrap());
            self.rows.insert(
                key.clone(),
                Row {
                    key,
                    version,
                    value,
                },
            );
        }
        warp::reply::json(&json!({ "versions": versions })).into_response()
    }

    fn serve(&mut self, method: &str, path: &str, body: &[u8]) -> Response {
        if path == "v1/commit" {
            let body: Value = serde_json::from_slice(body).unwrap();
            return self.commit(serde_json::from_value(body["writes"].clone()).unwrap());
        }
        let path = path.strip_prefix("v1/").unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let not_found = || StatusCode::NOT_FOUND.into_response();
        match (method, kind) {
            ("GET", "rows") => self
                .rows
                .get(name)
                .map_or_else(not_found, |row| warp::reply::json(row).into_response()),
            ("GET", "scan") => {
                let rows = self.rows.values().filter(|row| row.key.starts_with(name));
                let rows: Vec<&Row> = rows.collect();
                warp::reply::json(&json!({ "rows": rows })).into_response()
            }
            ("GET", "objects") => match self.objects.get(name) {
                Some(bytes) => bytes.clone().into_response(),
                None => not_found(),
            },
            ("PUT", "objects") => {
                self.objects.insert(name.to_owned(), body.to_vec());
                StatusCode::NO_CONTENT.into_response()
            }
            // The same server acts as the store host.
            ("POST", "held") => warp::reply::json(&json!({ "held": 0 })).into_response(),
            ("PUT", "blocks") => {
                self.stored_blocks += 1;
                StatusCode::NO_CONTENT.into_response()
            }
            ("GET", "hosts") => warp::reply::json(&json!([])).into_response(),
            _ => not_found(),
        }
    }
}

impl Deployment {
    /// Starts a platform and engines that serve the model `m` with the weights `v1`.
    pub async fn start(engines: usize) -> Self {
        let store: Arc<Mutex<Storage>> = Arc::default();
        let shared = Arc::clone(&store);
        let routes = warp::method()
            .and(warp::path::tail())
            .and(warp::body::bytes())
            .map(
                move |method: http::Method, tail: Tail, body: bytes::Bytes| {
                    let mut store = shared.lock().unwrap();
                    store.serve(method.as_str(), tail.as_str(), &body)
                },
            );
        let address = serve(routes).await;
        let url = format!("http://{address}");
        let mut deployment = Self {
            platform: Client::new(&url, &url, &url).unwrap(),
            store,
            address,
            engines: Vec::new(),
            loads: Arc::default(),
        };
        for _ in 0..engines {
            let engine = deployment.start_engine().await;
            deployment.engines.push(engine);
        }
        deployment
    }

    async fn start_engine(&self) -> (SocketAddr, Arc<Mutex<Engine>>) {
        let engine = Arc::new(Mutex::new(Engine {
            boot: 1,
            weights: "v1".to_owned(),
            ..Engine::default()
        }));
        let reported = Arc::clone(&engine);
        let load = warp::path!("v1" / "load").map(move || {
            let engine = reported.lock().unwrap();
            let status = json!({ "boot": engine.boot, "model": "m", "weights": engine.weights,
                "running": 0, "waiting": 0 });
            warp::reply::json(&status).into_response()
        });
        let (ordered, loads) = (Arc::clone(&engine), Arc::clone(&self.loads));
        let orders =
            warp::path!("v1" / "orders")
                .and(warp::body::json())
                .then(move |order: Value| {
                    let (engine, loads) = (Arc::clone(&ordered), Arc::clone(&loads));
                    async move { execute(&order, &engine, &loads).await }
                });
        let completing = Arc::clone(&engine);
        let complete = warp::path!("v1" / "completions").map(move || {
            let mut engine = completing.lock().unwrap();
            engine.accepted += 1;
            if std::mem::take(&mut engine.swap_weights) {
                engine.weights = "v2".to_owned();
                engine.boot += 1;
            }
            let event = json!({ "choices": [{ "text": "w", "finish_reason": null }] });
            let end = json!({ "choices": [{ "text": "", "finish_reason": "stop" }],
                "usage": { "prompt_tokens": 2000, "completion_tokens": 1 } });
            let body = format!("id: 0\ndata: {event}\n\ndata: {end}\n\n");
            warp::reply::with_header(body, "x-boot", engine.boot.to_string()).into_response()
        });
        let cancelling = Arc::clone(&engine);
        let cancel = warp::path!("v1" / "streams" / String).map(move |_| {
            cancelling.lock().unwrap().cancelled += 1;
            StatusCode::NO_CONTENT.into_response()
        });
        let exporting = Arc::clone(&engine);
        let export = warp::path!("v1" / "kv" / String).map(move |_| {
            let mut engine = exporting.lock().unwrap();
            engine.exported += 1;
            // The engine loads weights right after the block was read.
            engine.boot += 1;
            "block".into_response()
        });
        let routes = load.or(orders).unify().or(complete).unify();
        (
            serve(routes.or(cancel).unify().or(export).unify()).await,
            engine,
        )
    }

    /// Makes the rules the accepted configuration.
    pub async fn accept_rules(&self, text: &str) {
        let base = config::head(&self.platform).await.unwrap().0.version;
        let record = Record {
            version: Version(0),
            change: format!("change-{base}"),
            who: "test".to_owned(),
            why: "test".to_owned(),
            when: 0,
            digest: String::new(),
        };
        config::propose(&self.platform, base, text, record)
            .await
            .unwrap();
    }

    /// Writes a row as another process would.
    pub async fn put(&self, key: &str, value: Value) {
        let row = self.platform.get(key).await.unwrap();
        let write = Write {
            key: key.to_owned(),
            expect: row.map_or(0, |row| row.version),
            value: Some(value),
        };
        let commit = self.platform.commit(&[write]).await.unwrap();
        assert!(matches!(commit, Commit::Applied(_)));
    }

    pub fn engine(&self, index: usize) -> MutexGuard<'_, Engine> {
        self.engines[index].1.lock().unwrap()
    }

    /// Returns the maximum number of engines that loaded weights concurrently.
    pub fn max_concurrent_loads(&self) -> u32 {
        self.loads.lock().unwrap().1
    }

    /// Returns how many blocks were written to the store host.
    pub fn stored_blocks(&self) -> u32 {
        self.store.lock().unwrap().stored_blocks
    }

    /// Starts the agent beside an engine.
    pub async fn agent(&self, index: usize) -> Agent {
        let role = json!({ "engine": { "target": format!("t{index}"), "model": "m",
            "address": format!("http://{}", self.engines[index].0),
            "cold_limit": 2, "warm_limit": 4 } });
        agent::spawn(&self.settings(&index.to_string(), &role))
            .await
            .unwrap()
    }

    /// Starts an entry.
    pub async fn entry(&self) -> Entry {
        let role = json!({ "entry": { "http_address": "127.0.0.1:0" } });
        entry::spawn(&self.settings("e", &role)).await.unwrap()
    }

    fn settings(&self, name: &str, role: &Value) -> Settings {
        let platform = format!("http://{}", self.address);
        let settings = json!({
            "name": format!("a{name}"), "host": format!("h{name}"), "domain": "pier",
            "region": "main", "peer_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
            "cluster_keys": ["a cluster key of a test"], "context_secret": "a secret of the test",
            "platform": { "table": platform, "objects": platform, "hosts": platform },
            "stores": [{ "name": "store-0", "address": platform }],
            "role": role,
        });
        Settings::parse("settings", &settings.to_string()).unwrap()
    }

    /// Waits until a condition holds; fails after 30 s.
    pub async fn wait(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let deadline = Instant::now() + Duration::from_secs(30);
        while !holds() {
            assert!(
                Instant::now() < deadline,
                "{what} did not happen within 30 s"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }
}

async fn execute(
    order: &Value,
    engine: &Arc<Mutex<Engine>>,
    loads: &Arc<Mutex<(u32, u32)>>,
) -> Response {
    let weights = order["weights"].as_str().unwrap().to_owned();
    let fence = order["fence"].as_u64().unwrap();
    engine.lock().unwrap().orders.push((fence, weights.clone()));
    {
        let mut loads = loads.lock().unwrap();
        loads.0 += 1;
        loads.1 = loads.1.max(loads.0);
    }
    let lose_replies = engine.lock().unwrap().lose_replies;
    let (loading, engine) = (Arc::clone(loads), Arc::clone(engine));
    let load = tokio::spawn(async move {
        sleep(if lose_replies {
            LOAD_TIME * 10
        } else {
            LOAD_TIME
        })
        .await;
        loading.lock().unwrap().0 -= 1;
        let mut engine = engine.lock().unwrap();
        engine.weights = weights;
        engine.boot += 1;
    });
    if lose_replies {
        let error = Err::<Vec<u8>, _>(std::io::Error::other("lost on purpose"));
        return warp::reply::stream(futures_util::stream::iter([error])).into_response();
    }
    load.await.unwrap();
    StatusCode::OK.into_response()
}

/// Returns the status of an agent.
pub async fn status(agent: &Agent) -> Value {
    let url = format!("http://{}/status", agent.admin());
    reqwest::get(url).await.unwrap().json().await.unwrap()
}

/// Returns whether an agent accepts new work.
pub async fn is_ready(agent: &Agent) -> bool {
    let url = format!("http://{}/ready", agent.admin());
    reqwest::get(url).await.unwrap().status().is_success()
}
