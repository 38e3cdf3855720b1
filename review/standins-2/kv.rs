//! Stand-ins for a store of kept KV cache and for model servers that fetch from it and save to it.

use std::collections::{HashMap, HashSet};
use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::record::Record;

/// A part under a salt.
type Key = (String, String);

#[derive(Default)]
struct State {
    boot: u64,
    is_down: bool,
    /// The tokens of each part that is whole.
    whole: HashMap<Key, u64>,
    /// The parts that are being written.
    partial: HashSet<Key>,
    events: Vec<(u64, Key, u64)>,
    last_event: u64,
    sockets: Vec<TcpStream>,
}

/// A managed store, as brief-keep-b of corcoran-cellar-grown.
#[derive(Clone)]
pub struct KvStore {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

/// How long a transfer waits beside its time on the link.
const FIRST: Duration = Duration::from_millis(6);
/// The speed of the link, in Mbit/s, that is bits in a microsecond.
pub const LINK_MBPS: u64 = 300_000;
/// The size of a token, in bytes.
pub const TOKEN_BYTES: u64 = 35_136;
/// The prompt tokens that a model server reads in a millisecond.
const READ_RATE: u64 = 74;

fn transfer_time(tokens: u64) -> Duration {
    FIRST + Duration::from_micros(tokens * TOKEN_BYTES * 8 / LINK_MBPS)
}

impl KvStore {
    pub fn start(ip: &str, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let state = State {
            boot: 1000,
            ..State::default()
        };
        let store = Self {
            address,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let shared = store.clone();
        thread::spawn(move || shared.listen(listener));
        Ok(store)
    }

    fn listen(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let is_down = self.state.0.lock().expect("the store").is_down;
            if is_down {
                // Connections are refused while it is down.
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let accepted = listener.as_ref().and_then(|listener| {
                listener.set_nonblocking(true).ok()?;
                match listener.accept() {
                    Ok((socket, _)) => Some(socket),
                    Err(error) if error.kind() == ErrorKind::WouldBlock => None,
                    Err(_) => None,
                }
            });
            let Some(socket) = accepted else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = socket.set_nonblocking(false);
            if let Ok(clone) = socket.try_clone() {
                self.state.0.lock().expect("the store").sockets.push(clone);
            }
            let store = self.clone();
            thread::spawn(move || {
                if let Ok(connection) = Connection::new(socket) {
                    store.serve(connection);
                }
            });
        }
    }

    /// Lets it crash and start again, empty, after a time.
    pub fn restart(&self, down: Duration) {
        {
            let (state, changed) = &*self.state;
            let mut state = state.lock().expect("the store");
            state.is_down = true;
            state.whole.clear();
            state.partial.clear();
            state.events.clear();
            state.last_event = 0;
            for socket in state.sockets.drain(..) {
                let _ = socket.shutdown(Shutdown::Both);
            }
            changed.notify_all();
        }
        self.record.line("the store is down");
        thread::sleep(down);
        let mut state = self.state.0.lock().expect("the store");
        state.boot += 1;
        state.is_down = false;
        self.record.line("the store is back, empty");
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.message() {
            let Some(body) = self.answer(&request) else {
                return;
            };
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
            let answer = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            if connection.send(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Option<String> {
        let (_, target) = request.request();
        if target.starts_with("/-/kv-events") {
            let since = target
                .split("since=")
                .nth(1)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            let wait = request
                .header("wait-ms")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            return self.events(since, Duration::from_millis(wait));
        }
        let state = self.state.0.lock().expect("the store");
        if target.starts_with("/-/kv-list") {
            let held = state.whole.iter();
            let held =
                held.map(|((salt, id), tokens)| format!("[\"{salt}\",\"{id}\",{tokens},\"daka\"]"));
            let held: Vec<String> = held.collect();
            return Some(format!(
                "{{\"bootEpoch\":{},\"next\":{},\"held\":[{}]}}",
                state.boot,
                state.last_event,
                held.join(",")
            ));
        }
        // Nothing is freed in these cases: the store is nearly empty.
        Some("{}".to_owned())
    }

    fn events(&self, since: u64, wait: Duration) -> Option<String> {
        let deadline = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the store");
        let boot = state.boot;
        loop {
            if state.is_down || state.boot != boot {
                return None;
            }
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(number, ..)| *number > since)
                .map(|(number, (salt, id), tokens)| {
                    format!("[{number},\"+\",\"{salt}\",\"{id}\",{tokens},\"daka\"]")
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return Some(format!(
                    "{{\"bootEpoch\":{boot},\"next\":{},\"lost\":false,\"events\":[{}]}}",
                    state.last_event,
                    events.join(",")
                ));
            }
            state = changed.wait_timeout(state, left).expect("the store").0;
        }
    }

    /// Takes a part that a server sends.
    fn save(&self, key: &Key, tokens: u64) {
        let boot = {
            let (state, changed) = &*self.state;
            let mut state = state.lock().expect("the store");
            if state.is_down || state.whole.contains_key(key) || !state.partial.insert(key.clone())
            {
                return;
            }
            changed.notify_all();
            state.boot
        };
        self.record
            .line(&format!("the store begins to take part {}", key.1));
        thread::sleep(transfer_time(tokens));
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the store");
        if state.boot != boot || !state.partial.remove(key) {
            return;
        }
        state.last_event += 1;
        let event = (state.last_event, key.clone(), tokens);
        state.events.push(event);
        state.whole.insert(key.clone(), tokens);
        changed.notify_all();
        drop(state);
        self.record
            .line(&format!("the store has part {} whole", key.1));
    }

    /// Waits until a part is being written or whole under another boot than this one, or for a time.
    fn until_written_again(&self, key: &Key, boot: u64, limit: Duration) {
        let deadline = Instant::now() + limit;
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the store");
        while !(state.boot != boot
            && (state.partial.contains(key) || state.whole.contains_key(key)))
        {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            state = changed.wait_timeout(state, left).expect("the store").0;
        }
    }

    fn boot(&self) -> u64 {
        self.state.0.lock().expect("the store").boot
    }

    /// Gives a part to a server; returns whether it was there, and whether it was whole.
    fn fetch(&self, key: &Key) -> (bool, bool) {
        let state = self.state.0.lock().expect("the store");
        let is_whole = !state.is_down && state.whole.contains_key(key);
        let is_partial = !state.is_down && state.partial.contains(key);
        (is_whole || is_partial, is_whole)
    }
}

/// A fetch by a request.
#[derive(Debug, Clone)]
pub struct Fetch {
    pub request: String,
    pub part: String,
    pub found: bool,
    pub whole: bool,
}

#[derive(Default)]
struct Notes {
    /// Requests that wait in the server's queue, with the time that they wait at most.
    held: HashMap<String, Duration>,
    arrived: Vec<String>,
    fetches: Vec<Fetch>,
}

/// The model servers of a case, which share one store.
#[derive(Clone)]
pub struct KvServers {
    notes: Arc<Mutex<Notes>>,
    store: KvStore,
    record: Record,
    pub rows: Vec<(String, String)>,
}

impl KvServers {
    pub fn start(count: usize, store: &KvStore, record: &Record) -> std::io::Result<Self> {
        let mut servers = Self {
            notes: Arc::default(),
            store: store.clone(),
            record: record.clone(),
            rows: Vec::new(),
        };
        for number in 0..count {
            let listener = TcpListener::bind(("127.0.0.1", 0))?;
            let id = format!("i-{number}");
            let row = format!(
                "{{\"service\":\"wick\",\"addr\":\"{}\",\"zone\":\"harbour\",\"version\":\"1\",\"slots\":64,\
                 \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":0,\"born\":1,\"stage\":\"hybrid\",\
                 \"models\":[{{\"name\":\"daka\",\"version\":1,\"adapters\":[]}}]}}",
                listener.local_addr()?
            );
            servers.rows.push((id.clone(), row));
            let shared = servers.clone();
            thread::spawn(move || {
                for socket in listener.incoming().flatten() {
                    let (servers, id) = (shared.clone(), id.clone());
                    thread::spawn(move || {
                        if let Ok(connection) = Connection::new(socket) {
                            servers.serve(&id, connection);
                        }
                    });
                }
            });
        }
        Ok(servers)
    }

    /// Lets a request wait in its server's queue: until a part that it is to fetch is written again,
    /// and for `limit` at most.
    pub fn hold(&self, request: &str, limit: Duration) {
        let mut notes = self.notes.lock().expect("the notes");
        notes.held.insert(request.to_owned(), limit);
    }

    pub fn has_arrived(&self, request: &str) -> bool {
        let notes = self.notes.lock().expect("the notes");
        notes.arrived.iter().any(|known| known == request)
    }

    pub fn fetches(&self) -> Vec<Fetch> {
        self.notes.lock().expect("the notes").fetches.clone()
    }

    fn serve(&self, id: &str, mut connection: Connection) {
        while let Ok(request) = connection.message() {
            let (_, target) = request.request();
            if target.starts_with("/-/report") {
                let body = "{\"stage\":\"hybrid\",\"models\":[{\"name\":\"daka\",\"version\":1,\"adapters\":[]}],\
                     \"busy\":false,\"seq\":0,\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":64644,\"handles\":0}";
                let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
                let answer = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
                if connection.send(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if self.run(id, &request, &mut connection).is_err() {
                return;
            }
        }
    }

    fn run(&self, id: &str, request: &Message, connection: &mut Connection) -> std::io::Result<()> {
        let field = |name: &str| request.header(name).unwrap_or("").to_owned();
        let name = field("boragereel-request-id");
        let list = |text: &str| -> Vec<String> {
            text.split(',').map(|word| word.trim().to_owned()).collect()
        };
        let (fetch, save) = (
            list(&field("boragereel-kv-fetch")),
            list(&field("boragereel-kv-save")),
        );
        let salt = field("boragereel-cache-salt");
        self.record.line(&format!(
            "server {id} gets {name}: fetch {fetch:?}, save {save:?}, salt {salt}"
        ));
        let parts: Vec<(Key, u64)> = list(&field("boragereel-prompt-prefix"))
            .iter()
            .filter_map(|part| part.split_once(':'))
            .filter_map(|(part, tokens)| {
                Some(((salt.clone(), part.to_owned()), tokens.parse().ok()?))
            })
            .collect();
        let held = {
            let mut notes = self.notes.lock().expect("the notes");
            notes.arrived.push(name.clone());
            notes.held.remove(&name)
        };
        let own = self.store.address.to_string();
        let names_store = |addresses: &[String], index: usize| {
            addresses.get(index).is_some_and(|address| *address == own)
        };
        if let (Some(limit), Some((key, _))) = (held, parts.first()) {
            self.record
                .line(&format!("server {id} is busy: {name} waits in its queue"));
            self.store
                .until_written_again(key, self.store.boot(), limit);
            self.record.line(&format!("server {id} begins with {name}"));
        }
        for (index, (key, tokens)) in parts.iter().enumerate() {
            let mut found = false;
            if names_store(&fetch, index) {
                let (is_found, whole) = self.store.fetch(key);
                found = is_found;
                let state = match (found, whole) {
                    (true, true) => "whole",
                    (true, false) => "being written",
                    (false, _) => "not there",
                };
                self.record.line(&format!(
                    "server {id} fetches part {} for {name}: {state}",
                    key.1
                ));
                let fetch = Fetch {
                    request: name.clone(),
                    part: key.1.clone(),
                    found,
                    whole,
                };
                self.notes.lock().expect("the notes").fetches.push(fetch);
                if found {
                    thread::sleep(transfer_time(*tokens));
                }
            }
            if !found {
                thread::sleep(Duration::from_millis(tokens / READ_RATE));
            }
            if names_store(&save, index) {
                let (store, key, tokens) = (self.store.clone(), key.clone(), *tokens);
                thread::spawn(move || store.save(&key, tokens));
            }
        }
        let event = "id: 1\ndata: x\n\n";
        let answer = format!(
            "HTTP/1.1 200 OK\r\nBoragereel-Request-Id: {name}\r\nBoragereel-Server-Seal: seal-{id}\r\n\
             Boragereel-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
             {:x}\r\n{event}\r\n0\r\n\r\n",
            event.len()
        );
        connection.send(answer.as_bytes())
    }
}
