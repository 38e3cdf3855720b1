//! Runs the control part of entries over real connections, against a fake platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use daemon::entry::{self, Entry};
use daemon::settings::Settings;
use serde_json::{Value, json};
use tokio::runtime::Runtime;
use warp::http::{Response, StatusCode};
use warp::{Filter, path::FullPath};

#[derive(Default)]
struct Platform {
    down: bool,
    version: u64,
    text: String,
    members: BTreeMap<String, Value>,
}

impl Platform {
    fn respond(&mut self, path: &str, body: &[u8]) -> Option<Value> {
        let digest = blake3::hash(self.text.as_bytes()).to_hex().to_string();
        if self.down {
            return None;
        }
        if path == "/v1/rows/config/head" {
            let value = json!({ "version": self.version, "digest": digest });
            return Some(json!({ "key": "config/head", "version": self.version, "value": value }));
        }
        if let Some(key) = path.strip_prefix("/v1/rows/") {
            return self.members.get(key).cloned();
        }
        if path == "/v1/scan/member/" {
            return Some(json!({ "rows": self.members.values().collect::<Vec<_>>() }));
        }
        if path == "/v1/hosts" {
            return Some(json!([]));
        }
        let transaction: Value = serde_json::from_slice(body).ok()?;
        let write = &transaction["writes"][0];
        let key = write["key"].as_str()?.to_owned();
        let row = json!({ "key": key, "version": 1, "value": write["value"] });
        self.members.insert(key, row);
        Some(json!({ "versions": [1] }))
    }
}

fn respond(platform: &Mutex<Platform>, path: &str, body: &[u8]) -> Response<Vec<u8>> {
    let mut platform = platform.lock().expect("no handler panics");
    let object = path.starts_with("/v1/objects/") && !platform.down;
    let body = match object {
        true => Some(platform.text.clone().into_bytes()),
        false => platform
            .respond(path, body)
            .map(|value| value.to_string().into_bytes()),
    };
    let status = match (&body, platform.down) {
        (Some(_), _) => StatusCode::OK,
        (None, true) => StatusCode::SERVICE_UNAVAILABLE,
        (None, false) => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(body.unwrap_or_default());
    *response.status_mut() = status;
    response
}

/// An entry on a runtime of its own; dropping the runtime has the effect of killing the process.
struct Process {
    runtime: Option<Runtime>,
    entry: Entry,
}

impl Process {
    fn start(name: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let address = format!("http://{platform}");
        let settings = json!({
            "name": name,
            "host": format!("host-{name}"),
            "domain": "pier",
            "region": "coast",
            "peer_address": "127.0.0.1:0",
            "admin_address": "127.0.0.1:0",
            "cluster_keys": ["a cluster key of the test"],
            "context_secret": "a context secret of the test",
            "platform": { "table": address, "objects": address, "hosts": address },
            "seeds": seeds,
            "role": { "entry": { "http_address": "127.0.0.1:0" } },
        });
        let settings = Settings::parse("test", &settings.to_string()).expect("valid settings");
        let runtime = Runtime::new().expect("a runtime");
        let entry = runtime
            .block_on(entry::spawn(&settings))
            .expect("it starts");
        Self {
            runtime: Some(runtime),
            entry,
        }
    }

    async fn is_ready(&self, http: &reqwest::Client) -> bool {
        let url = format!("http://{}/ready", self.entry.admin());
        let response = http.get(url).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    async fn status(&self, http: &reqwest::Client) -> Value {
        let url = format!("http://{}/status", self.entry.admin());
        let response = http.get(url).send().await.expect("it runs");
        response.json().await.expect("JSON")
    }

    /// Returns whether the process is ready, has this version and knows this many members.
    async fn knows(&self, http: &reqwest::Client, version: u64, members: usize) -> bool {
        let status = self.status(http).await;
        let known = status["members"].as_array().map_or(0, Vec::len);
        self.is_ready(http).await && status["version"] == version && known == members
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn wait_all(processes: &[&Process], http: &reqwest::Client, version: u64, limit: Duration) {
    let start = Instant::now();
    for process in processes {
        while !process.knows(http, version, processes.len()).await {
            let status = process.status(http).await;
            assert!(
                start.elapsed() < limit,
                "not at version {version} within {limit:?}: {status}"
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Guards against processes that learn of each other or of a configuration change only from the
/// platform, that stop working or cannot start while it is down, or that accept work when they are
/// isolated.
#[test]
fn entries_gossip_and_refuse_work_when_isolated() {
    let runtime = Runtime::new().expect("a runtime");
    let platform = Arc::new(Mutex::new(Platform {
        version: 1,
        text: "drain host nothing # test: first\n".to_owned(),
        ..Platform::default()
    }));
    let state = Arc::clone(&platform);
    let routes = warp::path::full()
        .and(warp::body::bytes())
        .map(move |path: FullPath, body: bytes::Bytes| respond(&state, path.as_str(), &body));
    let address = runtime.block_on(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = tokio::net::TcpListener::bind(any).await.expect("a port");
        let address = listener.local_addr().expect("bound");
        tokio::spawn(warp::serve(routes).incoming(listener).run());
        address
    });
    let http = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client");
    let first = Process::start("entry-0", address, &[]);
    let seeds = [first.entry.peer()];
    let second = Process::start("entry-1", address, &seeds);
    let third = Process::start("entry-2", address, &seeds);
    let three = [&first, &second, &third];
    runtime.block_on(wait_all(&three, &http, 1, Duration::from_secs(10)));

    {
        let mut platform = platform.lock().expect("no handler panics");
        platform.version = 2;
        platform.text = "drain host nothing # test: second\n".to_owned();
    }
    runtime.block_on(wait_all(&three, &http, 2, Duration::from_secs(4)));

    platform.lock().expect("no handler panics").down = true;
    std::thread::sleep(Duration::from_secs(5));
    for process in three {
        assert!(
            runtime.block_on(process.is_ready(&http)),
            "entries with peers stay ready"
        );
    }
    let seeds = three.map(|process| process.entry.peer());
    let last = Process::start("entry-3", address, &seeds);
    runtime.block_on(wait_all(
        &[&first, &second, &third, &last],
        &http,
        2,
        Duration::from_secs(5),
    ));

    drop((first, second, third));
    // The other entries may still answer while they shut down, so the isolation starts later.
    std::thread::sleep(Duration::from_millis(3_500));
    assert!(
        !runtime.block_on(last.is_ready(&http)),
        "an isolated entry accepts work"
    );
}
