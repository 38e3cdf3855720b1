//! A stand-in for a model server that takes orders to load weights.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::Connection;
use crate::json;
use crate::platform::Store;
use crate::record::Record;

/// An order as it arrived.
#[derive(Debug, Clone)]
pub struct Order {
    /// Seconds since the start of the case.
    pub at: f64,
    pub holder: String,
    pub fence: u64,
}

#[derive(Default)]
struct State {
    version: u64,
    seq: u64,
    busy: bool,
    orders: Vec<Order>,
}

/// A model server without requests.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
}

/// How long new weights take a server, by the sheet.
const LOAD_TIME: Duration = Duration::from_millis(1900);

impl Engine {
    pub fn start(ip: &str, id: &str, store: &Store, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let state = State {
            version: 1,
            ..State::default()
        };
        let engine = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(state)),
            store: store.clone(),
            record: record.clone(),
        };
        let shared = engine.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let engine = shared.clone();
                thread::spawn(move || {
                    if let Ok(connection) = Connection::new(socket) {
                        engine.serve(connection);
                    }
                });
            }
        });
        Ok(engine)
    }

    /// Writes the server's entry in the list of servers.
    pub fn register(&self) {
        let (version, seq) = {
            let state = self.state.lock().expect("the state");
            (state.version, state.seq)
        };
        let row = format!(
            "{{\"service\":\"wick\",\"addr\":\"{}\",\"zone\":\"harbour\",\"version\":\"1\",\"slots\":128,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":1,\"stage\":\"hybrid\",\
             \"models\":[{{\"name\":\"daka\",\"version\":{version},\"adapters\":[]}}]}}",
            self.address
        );
        self.store.put("servers", &self.id, &row);
    }

    /// Returns the orders that arrived.
    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().expect("the state").orders.clone()
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.message() {
            let (method, target) = request.request();
            let (status, body) = match (method, target) {
                ("GET", "/-/report") => (200, self.report()),
                ("POST", "/-/order") => {
                    let expected = request.header("boragereel-expect-instance");
                    match expected.is_some_and(|expected| expected != self.id) {
                        true => (421, "{}".to_owned()),
                        false => (
                            self.order(&String::from_utf8_lossy(&request.body)),
                            "{}".to_owned(),
                        ),
                    }
                }
                _ => (404, "{}".to_owned()),
            };
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.send(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().expect("the state");
        format!(
            "{{\"stage\":\"hybrid\",\"models\":[{{\"name\":\"daka\",\"version\":{},\"adapters\":[]}}],\
             \"busy\":{},\"seq\":{},\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":64644,\"handles\":0}}",
            state.version, state.busy, state.seq
        )
    }

    /// Takes an order; returns the status of the answer.
    fn order(&self, body: &str) -> u16 {
        let Some(order) = json::parse(body) else {
            return 400;
        };
        let (holder, fence) = (
            order.get("holder").text().to_owned(),
            order.get("fence").number(),
        );
        let version = order.get("version").number();
        let at = self.record.seconds();
        let mut state = self.state.lock().expect("the state");
        let status = match () {
            () if state.version == version => 200,
            () if state.busy || order.get("expectRev").number() != state.seq => 409,
            () => 202,
        };
        self.record.line(&format!(
            "server {}: order for version {version} by {holder:?} with fence {fence}: {status}",
            self.id
        ));
        state.orders.push(Order { at, holder, fence });
        if status == 202 {
            state.seq += 1;
            state.busy = true;
            let engine = self.clone();
            thread::spawn(move || {
                thread::sleep(LOAD_TIME);
                {
                    let mut state = engine.state.lock().expect("the state");
                    state.version = version;
                    state.busy = false;
                }
                engine
                    .record
                    .line(&format!("server {} has version {version}", engine.id));
                engine.register();
            });
        }
        status
    }
}
