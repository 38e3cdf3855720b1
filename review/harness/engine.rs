//! A stand-in of a model server, and of a plain server.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Server, respond, respond_json};
use crate::json::Json;
use crate::keep::{Keep, Part};
use crate::record::Record;

/// Prompt tokens that are read in a millisecond.
const READ_PER_MS: f64 = 74.8;
/// Bytes of a token in memory.
const TOKEN_BYTES: f64 = 35_136.0;
/// Speed of the link of a store host, and the wait before each transfer.
const LINK_BITS_PER_S: f64 = 74e9;
const FIRST: Duration = Duration::from_millis(6);
/// What a fetch from a host that is down costs.
const DEAD_SOURCE: Duration = Duration::from_millis(300);

pub struct Engine {
    pub id: String,
    pub model: String,
    pub version: AtomicU64,
    pub capacity: u64,
    pub keeps: Vec<Arc<Keep>>,
    /// How many times as long a transfer takes: 2 between zones.
    pub distance: f64,
    pub record: Arc<Record>,
    memory: Mutex<Memory>,
    active: AtomicU64,
    /// The number of orders that it has accepted.
    orders: AtomicU64,
    busy: AtomicBool,
}

struct Resident {
    tokens: u64,
    used: Instant,
    maker: String,
    tenant: String,
}

#[derive(Default)]
struct Memory {
    parts: HashMap<Part, Resident>,
    used: u64,
}

impl Engine {
    pub fn new(
        id: &str,
        model: &str,
        capacity: u64,
        keeps: &[Arc<Keep>],
        distance: f64,
        record: &Arc<Record>,
    ) -> Arc<Engine> {
        Arc::new(Engine {
            id: id.to_owned(),
            model: model.to_owned(),
            version: AtomicU64::new(1),
            capacity,
            keeps: keeps.to_vec(),
            distance,
            record: Arc::clone(record),
            memory: Mutex::default(),
            active: AtomicU64::new(0),
            orders: AtomicU64::new(0),
            busy: AtomicBool::new(false),
        })
    }

    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<Server> {
        let engine = Arc::clone(self);
        Server::start(address, move |request, out| match request.path() {
            "/-/order" => engine.order(&request, out),
            _ => engine.handle(&request, out).unwrap_or(false),
        })
    }

    fn handle(&self, request: &Request, out: &mut TcpStream) -> Option<bool> {
        match request.path() {
            "/-/report" => {
                let version = self.version.load(SeqCst);
                let active = self.active.load(SeqCst);
                let (busy, orders) = (self.busy.load(SeqCst), self.orders.load(SeqCst));
                let body = format!(
                    "{{\"stage\":\"hybrid\",\"models\":[{{\"name\":\"{}\",\"version\":{version},\"adapters\":[]}}],\"busy\":{busy},\"seq\":{orders},\"queued\":0,\"active\":{active},\"kvUsed\":0,\"kvTotal\":{},\"handles\":0}}",
                    self.model, self.capacity
                );
                return Some(respond_json(out, 200, &body));
            }
            "/healthz" => {
                let headers = [("Boragereel-Instance-Id", self.id.as_str())];
                return Some(respond(out, 200, &headers, b""));
            }
            _ => {}
        }
        let id = request.header("boragereel-request-id").unwrap_or("");
        let wrong_server = request
            .header("boragereel-expect-instance")
            .is_some_and(|expected| expected != self.id);
        let wrong_weights = request
            .header("boragereel-expect-version")
            .is_some_and(|version| version.parse() != Ok(self.version.load(SeqCst)));
        if wrong_server || wrong_weights {
            let headers = [
                ("Boragereel-Instance-Id", self.id.as_str()),
                ("Boragereel-Request-Id", id),
            ];
            return Some(respond(out, 421, &headers, b""));
        }
        self.active.fetch_add(1, SeqCst);
        self.read_prompt(request, id);
        self.active.fetch_sub(1, SeqCst);
        let last = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok());
        let last: u64 = last.unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nBoragereel-Request-Id: {id}\r\nBoragereel-Server-Seal: {}.{id}\r\nBoragereel-Weight-Versions: {}\r\n\r\n",
            self.id,
            self.version.load(SeqCst)
        );
        out.write_all(head.as_bytes()).ok()?;
        for event in last + 1..=4 {
            let text = format!("id: {event}\ndata: token {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            out.write_all(chunk.as_bytes()).ok()?;
            std::thread::sleep(Duration::from_millis(10));
        }
        out.write_all(b"0\r\n\r\n").ok()?;
        self.record.line(&format!("ran {id} at {}", self.id));
        Some(true)
    }

    /// Takes an order for new weights, which it carries out in two seconds.
    fn order(self: &Arc<Self>, request: &Request, out: &mut TcpStream) -> bool {
        let Some(order) = Json::parse(&request.body) else {
            return respond_json(out, 400, "{}");
        };
        let version = order.get("version").u64();
        if self.version.load(SeqCst) >= version {
            return respond_json(out, 200, "{}");
        }
        let expected = order.get("expectRev").u64();
        if expected != self.orders.load(SeqCst) || self.busy.swap(true, SeqCst) {
            return respond_json(out, 409, "{}");
        }
        self.orders.fetch_add(1, SeqCst);
        self.record
            .line(&format!("{} is ordered to version {version}", self.id));
        let engine = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(1900));
            *engine.memory.lock().unwrap() = Memory::default();
            engine.version.store(version, SeqCst);
            engine.busy.store(false, SeqCst);
            engine
                .record
                .line(&format!("{} has version {version}", engine.id));
        });
        respond_json(out, 202, "{}")
    }

    /// Reads a prompt: takes its parts from the own memory or from store hosts, reads the rest, and
    /// sends what is to be saved to store hosts.
    fn read_prompt(&self, request: &Request, id: &str) {
        let salt = request.header("boragereel-cache-salt").unwrap_or("");
        let tenant = request.header("boragereel-tenant").unwrap_or("");
        let prefix = request.header("boragereel-prompt-prefix").unwrap_or("");
        let parts: Vec<(Part, u64)> = prefix
            .split(',')
            .filter_map(|entry| entry.trim().split_once(':'))
            .map(|(part, tokens)| {
                let key = (salt.to_owned(), part.to_owned());
                (key, tokens.parse().unwrap_or(0))
            })
            .collect();
        let addresses = |name: &str| -> Vec<Option<Arc<Keep>>> {
            let list = request.header(name).unwrap_or("").split(',');
            list.map(|entry| self.keep(entry)).collect()
        };
        let (fetch, save) = (
            addresses("boragereel-kv-fetch"),
            addresses("boragereel-kv-save"),
        );
        let mut saves = Vec::new();
        for (index, (part, tokens)) in parts.iter().enumerate() {
            if let Some(keep) = save.get(index).cloned().flatten()
                && let Some(copy) =
                    keep.reserve(part, *tokens, (id, tenant), self.version.load(SeqCst))
            {
                self.record
                    .line(&format!("{id} begins to save {} to {}", part.1, keep.name));
                saves.push((keep, part.clone(), *tokens, copy));
            }
        }
        let mut is_available = true;
        let mut unread = 0;
        for (index, (part, tokens)) in parts.iter().enumerate() {
            if is_available && self.use_own(part, id, tenant) {
                continue;
            }
            let keep = fetch.get(index).cloned().flatten();
            if is_available
                && let Some(keep) = keep
                && self.fetch(&keep, part, *tokens, id, tenant)
            {
                self.remember(part, *tokens, id, tenant);
                continue;
            }
            is_available = false;
            unread += tokens;
        }
        std::thread::sleep(Duration::from_secs_f64(
            unread as f64 / READ_PER_MS / 1000.0,
        ));
        for (part, tokens) in &parts {
            self.remember(part, *tokens, id, tenant);
        }
        if saves.is_empty() {
            return;
        }
        let (record, id, distance) = (Arc::clone(&self.record), id.to_owned(), self.distance);
        std::thread::spawn(move || {
            for (keep, part, tokens, copy) in saves {
                std::thread::sleep(transfer_time(tokens, distance));
                keep.complete(&part, copy);
                record.line(&format!("{id} has saved {} to {}", part.1, keep.name));
            }
        });
    }

    fn keep(&self, entry: &str) -> Option<Arc<Keep>> {
        let address = entry.trim().split('/').next().unwrap_or("");
        let address: SocketAddr = address.parse().ok()?;
        self.keeps
            .iter()
            .find(|keep| keep.address == address)
            .cloned()
    }

    /// Fetches a part from a store host; returns whether it was there.
    fn fetch(&self, keep: &Keep, part: &Part, tokens: u64, id: &str, tenant: &str) -> bool {
        let found = match keep.look_up(part) {
            Err(()) => {
                std::thread::sleep(DEAD_SOURCE);
                return false;
            }
            Ok(None) => {
                std::thread::sleep(Duration::from_millis(1));
                return false;
            }
            Ok(Some(found)) => found,
        };
        if !found.complete {
            self.record.broken(&format!(
                "{id} at {} takes {} from {} while {} still writes it there",
                self.id, part.1, keep.name, found.maker
            ));
        }
        self.record
            .on_cache_use(id, tenant, &found.maker, &found.tenant, &part.1, &keep.name);
        let version = self.version.load(SeqCst);
        if found.version != version {
            self.record.broken(&format!(
                "{id} at {} runs on version {version} and uses {} from {}, made by {} on version {}",
                self.id, part.1, keep.name, found.maker, found.version
            ));
        }
        std::thread::sleep(transfer_time(tokens.min(found.tokens), self.distance));
        if !keep.is_same(part, &found) {
            self.record.broken(&format!(
                "{id} at {} takes {} from {}, and it is freed before the fetch has ended",
                self.id, part.1, keep.name
            ));
        }
        true
    }

    fn use_own(&self, part: &Part, id: &str, tenant: &str) -> bool {
        let mut memory = self.memory.lock().unwrap();
        let Some(resident) = memory.parts.get_mut(part) else {
            return false;
        };
        resident.used = Instant::now();
        let (maker, owner) = (resident.maker.clone(), resident.tenant.clone());
        drop(memory);
        self.record
            .on_cache_use(id, tenant, &maker, &owner, &part.1, &self.id);
        true
    }

    /// Keeps a part in memory; the least recently used ones yield.
    fn remember(&self, part: &Part, tokens: u64, id: &str, tenant: &str) {
        let mut memory = self.memory.lock().unwrap();
        if memory.parts.contains_key(part) {
            return;
        }
        let resident = Resident {
            tokens,
            used: Instant::now(),
            maker: id.to_owned(),
            tenant: tenant.to_owned(),
        };
        memory.used += tokens;
        memory.parts.insert(part.clone(), resident);
        while memory.used > self.capacity {
            let oldest = memory
                .parts
                .iter()
                .min_by_key(|(_, resident)| resident.used);
            let Some(oldest) = oldest.map(|(part, _)| part.clone()) else {
                return;
            };
            if let Some(resident) = memory.parts.remove(&oldest) {
                memory.used -= resident.tokens;
            }
        }
    }
}

fn transfer_time(tokens: u64, distance: f64) -> Duration {
    let on_link = tokens as f64 * TOKEN_BYTES * 8.0 / LINK_BITS_PER_S;
    FIRST + Duration::from_secs_f64(on_link * distance)
}

/// A plain server, which announces that it leaves and serves on for a while.
pub struct Plain {
    pub id: String,
    pub work: Duration,
    pub record: Arc<Record>,
    /// When the store acknowledged that it leaves.
    pub leaving_since: Mutex<Option<Instant>>,
    /// How long after that a request may still reach it.
    pub drain: Duration,
    pub exited: AtomicBool,
    pub runs: AtomicU64,
}

impl Plain {
    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<Server> {
        let plain = Arc::clone(self);
        Server::start(address, move |request, out| plain.handle(&request, out))
    }

    fn handle(&self, request: &Request, out: &mut TcpStream) -> bool {
        let id = request.header("boragereel-request-id").unwrap_or("");
        let leaving = *self.leaving_since.lock().unwrap();
        if request.path() == "/healthz" {
            let headers = [("Boragereel-Instance-Id", self.id.as_str())];
            let status = if leaving.is_some() { 503 } else { 200 };
            return respond(out, status, &headers, b"");
        }
        let wrong_server = request
            .header("boragereel-expect-instance")
            .is_some_and(|expected| expected != self.id);
        if wrong_server {
            let headers = [("Boragereel-Request-Id", id)];
            return respond(out, 421, &headers, b"");
        }
        if let Some(since) = leaving {
            let after = since.elapsed();
            let text = format!(
                "{id} reaches {} {} ms after it leaves",
                self.id,
                after.as_millis()
            );
            if after > self.drain {
                self.record.broken(&text);
            } else {
                self.record.line(&text);
            }
        }
        std::thread::sleep(self.work);
        self.runs.fetch_add(1, SeqCst);
        self.record.line(&format!("ran {id} at {}", self.id));
        let seal = format!("{}.{id}", self.id);
        let mut headers = vec![
            ("Boragereel-Request-Id", id),
            ("Boragereel-Server-Seal", seal.as_str()),
        ];
        if leaving.is_some() {
            headers.push(("Connection", "close"));
        }
        respond(out, 200, &headers, b"done") && leaving.is_none()
    }
}

/// Returns a row of the list of servers.
pub fn row(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
    model: Option<(&str, u64)>,
) -> Json {
    use crate::json::{map, num, text};
    let mut fields = vec![
        ("service", text(service)),
        ("addr", text(address.to_string())),
        ("zone", text(zone)),
        ("version", text("v1")),
        ("slots", num(slots)),
        ("state", text(state)),
        ("coldLeftMs", num(0)),
        ("seq", num(1)),
    ];
    if let Some((name, version)) = model {
        let model = map(vec![
            ("name", text(name)),
            ("version", num(version as f64)),
            ("adapters", Json::List(Vec::new())),
        ]);
        fields.push(("stage", text("hybrid")));
        fields.push(("models", Json::List(vec![model])));
    }
    map(fields)
}
