//! A small deployment of model servers with store hosts, and clients with prompts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};

use crate::Run;
use crate::engine::{self, Engine};
use crate::front::Front;
use crate::http::{self, Server};
use crate::json::{Json, map, num, text};
use crate::keep::Keep;
use crate::platform::Platform;

pub const HOST: &str = "prompts.example";
pub const MODEL: &str = "lantern";
/// The zone of the store host.
const KEEP_ZONE: &str = "pier";
/// Tokens of a session's shared part.
pub const SESSION_TOKENS: u64 = 5000;

pub struct Deployment {
    pub platform: Arc<Platform>,
    pub store: SocketAddr,
    pub keep: Arc<Keep>,
    pub fronts: Vec<Front>,
    _servers: Vec<Server>,
    pub engines: Vec<(Arc<Engine>, SocketAddr, &'static str)>,
    requests: AtomicU64,
    /// Tokens of a session's shared part.
    pub session_tokens: u64,
}

pub struct Tenant {
    pub name: &'static str,
    pub key: &'static str,
    pub isolated: bool,
}

/// Writes a configuration.
pub fn configure(platform: &Platform, version: u64, keep: &Keep, tenants: &[Tenant]) {
    let tenants = tenants.iter().map(|tenant| {
        map(vec![
            ("name", text(tenant.name)),
            ("apiKeys", Json::List(vec![text(tenant.key)])),
            ("isolated", Json::Bool(tenant.isolated)),
        ])
    });
    let route = map(vec![
        ("name", text("route-check")),
        ("host", text(HOST)),
        ("prefix", text("/check/")),
        ("kind", text("stream")),
        ("timeoutMs", num(5000)),
        ("sloMs", num(500)),
        ("priority", num(1)),
        ("service", text("wickmind")),
        ("attempts", num(2)),
        ("public", Json::Bool(false)),
        ("sticky", Json::Bool(true)),
        ("canResume", Json::Bool(true)),
        ("gapAimMs", num(250)),
    ]);
    let engine = map(vec![
        ("slots", num(128)),
        ("kvCapacity", num(64_644)),
        ("kvTokenBytes", num(35_136)),
        ("linkMbps", num(740_000)),
        ("managed", Json::Bool(true)),
        ("maxInflight", num(12)),
        ("models", Json::List(vec![map(vec![("name", text(MODEL))])])),
    ]);
    let services = vec![
        map(vec![
            ("name", text("wickmind")),
            ("healthPath", text("/healthz")),
            ("maxConns", num(620)),
            ("coldS", num(3)),
            ("coldPerS", num(15)),
            ("engine", engine),
        ]),
        map(vec![
            ("name", text(keep.name.as_str())),
            ("kvStoreAddr", text(keep.address.to_string())),
            ("zone", text(KEEP_ZONE)),
            ("kvCapacity", num(keep.capacity as f64)),
            ("linkMbps", num(74_000)),
            ("maxInflight", num(12)),
            ("managed", Json::Bool(true)),
            ("first_ms", num(6)),
        ]),
    ];
    let limits = map(vec![
        ("maxHeaderBytes", num(16_384)),
        ("maxBodyBytes", num(4_194_304)),
        ("headerTimeoutMs", num(3000)),
        ("idleTimeoutMs", num(15_000)),
    ]);
    let config = map(vec![
        ("version", num(version as f64)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(services)),
        ("limits", limits),
        ("tenants", Json::List(tenants.collect())),
    ]);
    platform.put("op", "config", &config);
}

pub const TENANTS: [Tenant; 1] = [Tenant {
    name: "walks",
    key: "key-of-walks",
    isolated: false,
}];

impl Deployment {
    /// Starts the platform's store, a store host, model servers and entries. `fronts` are the names
    /// and zones of the entries; they run on the machines from 1 on.
    pub fn start(
        run: &Run,
        keep_name: &str,
        keep_capacity: u64,
        fronts: &[(&str, &str)],
        tenants: &[Tenant],
        engines: u8,
    ) -> Result<Deployment, String> {
        let io = |error: std::io::Error| error.to_string();
        let net = &run.net;
        let platform = Platform::new();
        let mut servers = Vec::new();
        let mut started = Vec::new();
        let store = net.at(40, net.server);
        servers.push(platform.serve(store).map_err(io)?);
        let keep = Keep::new(keep_name, net.at(41, net.server), keep_capacity);
        keep.start().map_err(io)?;
        let zones = ["harbour", "pier", "bluff", "marina"];
        for index in 0..engines {
            let id = format!("i-{index:02}engine");
            let zone = zones[usize::from(index) % zones.len()];
            let distance = 1.0;
            let keeps = [Arc::clone(&keep)];
            let engine = Engine::new(&id, MODEL, 64_644, &keeps, distance, &run.record);
            let address = net.at(20 + index, net.server);
            servers.push(engine.serve(address).map_err(io)?);
            let row = engine::row("wickmind", address, zone, 128, "ready", Some((MODEL, 1)));
            platform.put("servers", &id, &row);
            started.push((engine, address, zone));
        }
        configure(&platform, 7, &keep, tenants);
        platform.put(
            "op",
            &format!("version/{MODEL}"),
            &map(vec![("model", text(MODEL)), ("version", num(1))]),
        );
        let mut deployment = Deployment {
            platform,
            store,
            keep,
            fronts: Vec::new(),
            _servers: servers,
            engines: started,
            requests: AtomicU64::new(0),
            session_tokens: SESSION_TOKENS,
        };
        for (index, (name, zone)) in fronts.iter().enumerate() {
            let machine = index as u8 + 1;
            let front = Front::start(&run.folder.0, net, name, zone, machine, store, true);
            deployment.fronts.push(front.map_err(io)?);
        }
        for front in &deployment.fronts {
            if !front.wait_ready(Duration::from_secs(10)) {
                return Err(format!("{} is not ready", front.name));
            }
        }
        let started = Instant::now();
        while deployment.platform.count("entry") < fronts.len() {
            if started.elapsed() > Duration::from_secs(10) {
                return Err("an entry has not registered".to_owned());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        // Each entry reads the list of the others every five seconds.
        std::thread::sleep(Duration::from_millis(5500));
        run.record.step(&format!("{} entries run", fronts.len()));
        Ok(deployment)
    }

    /// Sends a prompt of a session to an entry; returns the status, or 0 without a complete answer.
    pub fn ask(&self, run: &Run, front: SocketAddr, key: &str, session: usize) -> u16 {
        let number = self.requests.fetch_add(1, SeqCst);
        let id = format!("{:08x}{number:08x}", std::process::id());
        // All prompts begin with one of four texts, and end with a question of their own.
        let parts = format!(
            "c0de000{}:2520,5e55{session:04x}:{},0e{number:06x}:160",
            session % 4,
            self.session_tokens
        );
        let tokens = format!("{},16", 2520 + self.session_tokens + 160);
        let authorization = format!("Bearer {key}");
        let headers = [
            ("Host", HOST),
            ("Boragereel-Request-Id", id.as_str()),
            ("Boragereel-Model", MODEL),
            ("Boragereel-Token-Count", tokens.as_str()),
            ("Boragereel-Prompt-Prefix", parts.as_str()),
            ("Boragereel-Request-Deadline", "5000"),
            ("Authorization", authorization.as_str()),
        ];
        run.record
            .line(&format!("{id} asks {front}, session {session}"));
        let answer = http::send(
            front,
            "POST",
            "/check/2f",
            &headers,
            b"question",
            Duration::from_secs(6),
        );
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        let is_whole = answer.is_some_and(|answer| {
            answer.header("boragereel-request-id") == Some(id.as_str())
                && answer.header("boragereel-server-seal").is_some()
        });
        run.record.line(&format!("{id} is answered {status}"));
        if status == 200 && !is_whole {
            0
        } else {
            status
        }
    }

    /// Sends one prompt of each session in turn, some at a time, until the store host has all of
    /// them.
    pub fn fill(
        &self,
        run: &Run,
        sessions: std::ops::Range<usize>,
        key: &str,
    ) -> Result<(), String> {
        let sessions: Vec<usize> = sessions.collect();
        for chunk in sessions.chunks(4) {
            std::thread::scope(|scope| {
                for (index, session) in chunk.iter().enumerate() {
                    let front = &self.fronts[(session + index) % self.fronts.len()];
                    scope.spawn(move || self.ask(run, front.address, key, *session));
                }
            });
        }
        std::thread::sleep(Duration::from_millis(400));
        let stored = self.keep.count();
        run.record
            .step(&format!("the store host has {stored} parts"));
        (stored * 10 >= sessions.len() * 8)
            .then_some(())
            .ok_or_else(|| "the parts were not saved".to_owned())
    }
}
