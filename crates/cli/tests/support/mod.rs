//! An in-process stand-in for the platform, and a runner for the tool as a child process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard};

use serde_json::{Value, json};
use tokio::net::TcpListener;
use warp::http::StatusCode;
use warp::path::Tail;
use warp::reply::Response;
use warp::{Filter, Reply};

#[derive(Debug, Default)]
pub struct State {
    pub rows: BTreeMap<String, (u64, Value)>,
    pub objects: BTreeMap<String, Vec<u8>>,
    /// Number of following writes that take effect but whose responses are lost.
    pub lost_responses: u32,
    /// Rules of another operator, each accepted right before one of the following writes; the last
    /// first.
    pub conflicting_rules: Vec<String>,
    /// Whether every request is answered with status 503.
    pub down: bool,
    /// The response to `/status`, as from the admin address of a process.
    pub status: Value,
    writes: u64,
}

#[derive(Debug, Clone)]
pub struct Platform {
    pub address: SocketAddr,
    pub folder: PathBuf,
    state: Arc<Mutex<State>>,
}

/// The exit code and output of a run of the tool.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl State {
    /// Writes a row unconditionally.
    pub fn put(&mut self, key: &str, value: Value) {
        self.writes += 1;
        self.rows.insert(key.to_owned(), (self.writes, value));
    }

    /// Stores rules as the accepted configuration, as another operator's tool would.
    pub fn accept(&mut self, text: &str) {
        let version = self.version() + 1;
        let digest = blake3::hash(text.as_bytes()).to_hex().to_string();
        self.objects.insert(format!("config/{digest}"), text.into());
        let record = json!({ "version": version, "change": format!("other-{version}"), "who": "ben",
            "why": "x", "when": 0, "digest": digest });
        self.put(&format!("config/change/{version:010}"), record);
        self.put(
            "config/head",
            json!({ "version": version, "digest": digest }),
        );
    }

    pub fn version(&self) -> u64 {
        let head = self.rows.get("config/head");
        head.map_or(0, |(_, head)| head["version"].as_u64().unwrap())
    }

    /// Returns the accepted rules.
    pub fn text(&self) -> String {
        let digest = self.rows["config/head"].1["digest"].as_str().unwrap();
        String::from_utf8(self.objects[&format!("config/{digest}")].clone()).unwrap()
    }

    fn commit(&mut self, body: &Value) -> Response {
        if let Some(text) = self.conflicting_rules.pop() {
            self.accept(&text);
        }
        let writes = body["writes"].as_array().unwrap();
        for write in writes {
            let key = write["key"].as_str().unwrap();
            let version = self.rows.get(key).map_or(0, |(version, _)| *version);
            if version != write["expect"].as_u64().unwrap() {
                let reply = warp::reply::json(&json!({ "key": key }));
                return warp::reply::with_status(reply, StatusCode::CONFLICT).into_response();
            }
        }
        let mut versions = Vec::new();
        for write in writes {
            self.put(write["key"].as_str().unwrap(), write["value"].clone());
            versions.push(self.writes);
        }
        if self.lost_responses > 0 {
            self.lost_responses -= 1;
            let lost = Err::<Vec<u8>, _>(std::io::Error::other("response lost by fault injection"));
            return warp::reply::stream(futures_util::stream::iter([lost])).into_response();
        }
        warp::reply::json(&json!({ "versions": versions })).into_response()
    }

    fn scan(&self, prefix: &str) -> Response {
        let rows = self.rows.iter().filter(|(key, _)| key.starts_with(prefix));
        let rows: Vec<Value> = rows
            .map(
                |(key, (version, value))| json!({ "key": key, "version": version, "value": value }),
            )
            .collect();
        warp::reply::json(&json!({ "rows": rows })).into_response()
    }

    fn serve(&mut self, method: &str, path: &str, body: &[u8]) -> Response {
        if self.down {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let not_found = || StatusCode::NOT_FOUND.into_response();
        match (method, path) {
            ("POST", "v1/commit") => self.commit(&serde_json::from_slice(body).unwrap()),
            ("GET", "status") => warp::reply::json(&self.status).into_response(),
            (method, path) => {
                let (kind, name) = path
                    .strip_prefix("v1/")
                    .unwrap_or("")
                    .split_once('/')
                    .unwrap_or(("", ""));
                match (method, kind) {
                    ("GET", "rows") => {
                        self.rows
                            .get(name)
                            .map_or_else(not_found, |(version, value)| {
                                let row =
                                    json!({ "key": name, "version": version, "value": value });
                                warp::reply::json(&row).into_response()
                            })
                    }
                    ("GET", "scan") => self.scan(name),
                    ("GET", "objects") => match self.objects.get(name) {
                        Some(bytes) => bytes.clone().into_response(),
                        None => not_found(),
                    },
                    ("PUT", "objects") => {
                        self.objects.insert(name.to_owned(), body.to_vec());
                        StatusCode::NO_CONTENT.into_response()
                    }
                    _ => not_found(),
                }
            }
        }
    }
}

impl Platform {
    pub async fn start(name: &str) -> Self {
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = Arc::clone(&state);
        let routes = warp::method()
            .and(warp::path::tail())
            .and(warp::body::bytes())
            .map(
                move |method: warp::http::Method, tail: Tail, body: bytes::Bytes| {
                    shared
                        .lock()
                        .unwrap()
                        .serve(method.as_str(), tail.as_str(), &body)
                },
            );
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(warp::serve(routes).incoming(listener).run());
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        Self {
            address,
            folder,
            state,
        }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Writes a file for the tool to read.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Runs the tool against this platform.
    pub async fn run(&self, arguments: &[&str]) -> Run {
        let url = format!("http://{}", self.address);
        let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_boragereel"))
            .args(arguments)
            .env("USER", "ana")
            .env("BORAGEREEL_TABLE", &url)
            .env("BORAGEREEL_OBJECTS", &url)
            .env("BORAGEREEL_HOSTS", &url)
            .output()
            .await
            .unwrap();
        Run {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }

    /// Registers an engine's agent whose status is this platform's `status`.
    pub fn add_engine(&self, name: &str, domain: &str) {
        let member = json!({ "name": name, "incarnation": 1, "address": "127.0.0.1:1",
            "host": format!("host-{name}"), "domain": domain, "region": "main",
            "role": { "engine": { "target": format!("{name}-target"), "model": "m" } } });
        let mut state = self.state();
        state.put(&format!("member/{name}"), member);
        let admin = json!({ "address": self.address.to_string(), "incarnation": 1 });
        state.put(&format!("admin/{name}"), admin);
    }
}
