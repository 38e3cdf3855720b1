//! A stand-in of a store host for KV cache (`managed`).

use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Server, respond_json};
use crate::json::{Json, map, num, text};

/// Salt and id of a part.
pub type Part = (String, String);

#[derive(Clone)]
struct Stored {
    tokens: u64,
    complete: bool,
    /// The request that made it, and its tenant.
    maker: String,
    tenant: String,
    /// The version of the weights that made it.
    version: u64,
    /// Distinguishes two copies of a part in succession.
    copy: u64,
}

#[derive(Default)]
struct State {
    up: bool,
    boot: u64,
    parts: HashMap<Part, Stored>,
    used: u64,
    /// Number, sign, part, tokens.
    events: Vec<(u64, char, Part, u64)>,
    copies: u64,
}

pub struct Keep {
    pub name: String,
    pub address: SocketAddr,
    pub capacity: u64,
    state: Mutex<State>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    started: Instant,
}

/// What a fetch found.
pub struct Found {
    pub tokens: u64,
    pub complete: bool,
    pub maker: String,
    pub tenant: String,
    pub version: u64,
    copy: u64,
}

impl Keep {
    pub fn new(name: &str, address: SocketAddr, capacity: u64) -> Arc<Keep> {
        Arc::new(Keep {
            name: name.to_owned(),
            address,
            capacity,
            state: Mutex::default(),
            changed: Condvar::new(),
            server: Mutex::default(),
            started: Instant::now(),
        })
    }

    /// Starts the process of the host, empty and with a new boot.
    pub fn start(self: &Arc<Self>) -> std::io::Result<()> {
        {
            let mut state = self.state.lock().unwrap();
            let boot = state.boot + 1000 + self.started.elapsed().as_millis() as u64;
            *state = State {
                up: true,
                boot,
                ..State::default()
            };
        }
        let keep = Arc::clone(self);
        let server = Server::start(self.address, move |request, out| keep.handle(&request, out))?;
        *self.server.lock().unwrap() = Some(server);
        Ok(())
    }

    /// Ends the process of the host.
    pub fn stop(&self) {
        self.state.lock().unwrap().up = false;
        self.changed.notify_all();
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
    }

    /// Reserves room for a part that a server will write; returns the number of the copy, or `None`
    /// if the part is there already or there is no room.
    pub fn reserve(
        &self,
        part: &Part,
        tokens: u64,
        (maker, tenant): (&str, &str),
        version: u64,
    ) -> Option<u64> {
        let mut state = self.state.lock().unwrap();
        if !state.up || state.parts.contains_key(part) || state.used + tokens > self.capacity {
            return None;
        }
        state.copies += 1;
        state.used += tokens;
        let copy = state.copies + (state.boot << 20);
        let stored = Stored {
            tokens,
            complete: false,
            maker: maker.to_owned(),
            tenant: tenant.to_owned(),
            version,
            copy,
        };
        state.parts.insert(part.clone(), stored);
        Some(copy)
    }

    /// Records that the copy of a part is written.
    pub fn complete(&self, part: &Part, copy: u64) {
        let mut state = self.state.lock().unwrap();
        let Some(stored) = state.parts.get_mut(part).filter(|s| s.copy == copy) else {
            return;
        };
        stored.complete = true;
        let tokens = stored.tokens;
        let number = state.events.len() as u64 + 1;
        state.events.push((number, '+', part.clone(), tokens));
        self.changed.notify_all();
    }

    /// Looks a part up for a fetch; `Err` if the host is down.
    pub fn look_up(&self, part: &Part) -> Result<Option<Found>, ()> {
        let state = self.state.lock().unwrap();
        if !state.up {
            return Err(());
        }
        Ok(state.parts.get(part).map(|stored| Found {
            tokens: stored.tokens,
            complete: stored.complete,
            maker: stored.maker.clone(),
            tenant: stored.tenant.clone(),
            version: stored.version,
            copy: stored.copy,
        }))
    }

    /// Returns whether the copy that a fetch began with is still there.
    pub fn is_same(&self, part: &Part, found: &Found) -> bool {
        let state = self.state.lock().unwrap();
        let stored = state.parts.get(part);
        stored.is_some_and(|stored| stored.copy == found.copy)
    }

    pub fn count(&self) -> usize {
        let state = self.state.lock().unwrap();
        state
            .parts
            .values()
            .filter(|stored| stored.complete)
            .count()
    }

    pub fn used(&self) -> u64 {
        self.state.lock().unwrap().used
    }

    /// The number of parts that were freed since the start of the process.
    pub fn freed(&self) -> usize {
        let state = self.state.lock().unwrap();
        state
            .events
            .iter()
            .filter(|(_, sign, ..)| *sign == '-')
            .count()
    }

    /// The id of the part that was freed last.
    pub fn last_freed(&self) -> Option<String> {
        let state = self.state.lock().unwrap();
        let mut freed = state
            .events
            .iter()
            .rev()
            .filter(|(_, sign, ..)| *sign == '-');
        freed.next().map(|(_, _, (_, id), _)| id.clone())
    }

    fn handle(&self, request: &Request, out: &mut TcpStream) -> bool {
        match (request.method.as_str(), request.path()) {
            ("GET", "/-/kv-events") => {
                let since = request.query("since").and_then(|text| text.parse().ok());
                let wait = request.header("wait-ms").and_then(|text| text.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0).min(1000));
                match self.events(since.unwrap_or(0), wait) {
                    Some(body) => respond_json(out, 200, &body.write()),
                    None => false,
                }
            }
            ("GET", "/-/kv-list") => {
                let state = self.state.lock().unwrap();
                let held = state.parts.iter().filter(|(_, stored)| stored.complete);
                let held = held.map(|((salt, id), stored)| {
                    let tokens = num(stored.tokens as f64);
                    Json::List(vec![text(salt), text(id), tokens, text("m")])
                });
                let body = map(vec![
                    ("bootEpoch", num(state.boot as f64)),
                    ("next", num(state.events.len() as f64)),
                    ("held", Json::List(held.collect())),
                ]);
                drop(state);
                respond_json(out, 200, &body.write())
            }
            ("POST", "/-/kv-free") => {
                let Some(body) = Json::parse(&request.body) else {
                    return respond_json(out, 400, "{}");
                };
                let status = self.free(&body);
                respond_json(out, status, "{}")
            }
            _ => respond_json(out, 404, "{}"),
        }
    }

    fn events(&self, since: u64, wait: Duration) -> Option<Json> {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        let boot = state.boot;
        loop {
            if !state.up || state.boot != boot {
                return None;
            }
            let newer: Vec<Json> = state
                .events
                .iter()
                .filter(|(number, ..)| *number > since)
                .map(|(number, sign, (salt, id), tokens)| {
                    Json::List(vec![
                        num(*number as f64),
                        text(*sign),
                        text(salt),
                        text(id),
                        num(*tokens as f64),
                        text("m"),
                    ])
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            // A number that was not given yet is one of a former boot.
            let is_foreign = since > state.events.len() as u64;
            if !newer.is_empty() || left.is_zero() || is_foreign {
                return Some(map(vec![
                    ("bootEpoch", num(boot as f64)),
                    ("next", num(state.events.len() as f64)),
                    ("lost", Json::Bool(is_foreign)),
                    ("events", Json::List(newer)),
                ]));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn free(&self, body: &Json) -> u16 {
        let mut state = self.state.lock().unwrap();
        if *body.get("bootEpoch") != Json::Null && body.get("bootEpoch").u64() != state.boot {
            return 409;
        }
        for part in body.get("parts").list() {
            let part = part.list();
            let (Some(salt), Some(id)) = (part.first(), part.get(1)) else {
                continue;
            };
            let part = (salt.str().to_owned(), id.str().to_owned());
            if let Some(stored) = state.parts.remove(&part) {
                state.used -= stored.tokens;
                let number = state.events.len() as u64 + 1;
                state.events.push((number, '-', part, 0));
            }
        }
        self.changed.notify_all();
        200
    }
}
