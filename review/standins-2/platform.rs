//! A stand-in for the platform's table store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::json::{self, Json};

type Key = (String, String, String);

/// How long each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Rows {
    /// The value, in base64, and the version of each row; deleted ones have no value.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    version: u64,
}

/// The table store, which listens on a loopback address.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            rows: Arc::default(),
            started: Instant::now(),
            address: listener.local_addr()?,
        };
        let shared = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || {
                    if let Ok(connection) = Connection::new(socket) {
                        store.serve(connection);
                    }
                });
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().expect("the rows");
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows
            .insert(key, (Some(base64(value.as_bytes())), version));
        changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.message() {
            let (status, body) = self.answer(&request);
            thread::sleep(ANSWER_TIME);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.send(head.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (_, target) = request.request();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            "/-/rows-get" => self.get(
                &field("table"),
                &field("part"),
                &field("from"),
                &field("to"),
            ),
            "/-/rows-feed" => self.feed(
                &field("table"),
                field("after").parse().unwrap_or(0),
                Duration::from_millis(field("waitMs").parse().unwrap_or(0)),
            ),
            "/-/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> u128 {
        1_000_000 + self.started.elapsed().as_millis()
    }

    fn page(&self, rows: &[(&Key, &(Option<String>, u64))], version: u64) -> String {
        let rows: Vec<String> = rows
            .iter()
            .map(|((table, part, key), (value, version))| {
                let state = match value {
                    Some(value) => format!("\"value\":{}", json::quote(value)),
                    None => "\"tombstone\":true".to_owned(),
                };
                format!(
                    "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{version},{state}}}",
                    json::quote(table),
                    json::quote(part),
                    json::quote(key)
                )
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"ver\":{version},\"nowMs\":{}}}",
            rows.join(","),
            self.now_ms()
        )
    }

    fn get(&self, table: &str, part: &str, from: &str, to: &str) -> (u16, String) {
        let rows = self.rows.0.lock().expect("the rows");
        let found: Vec<_> = rows
            .rows
            .iter()
            .filter(|((known, known_part, key), (value, _))| {
                known == table
                    && known_part == part
                    && value.is_some()
                    && key.as_str() >= from
                    && (to.is_empty() || key.as_str() < to)
            })
            .collect();
        (200, self.page(&found, rows.version))
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().expect("the rows");
        loop {
            let mut found: Vec<_> = rows
                .rows
                .iter()
                .filter(|((known, ..), (_, version))| known == table && *version > after)
                .collect();
            found.sort_by_key(|(_, (_, version))| *version);
            let left = deadline.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                return (200, self.page(&found, rows.version));
            }
            drop(found);
            rows = changed.wait_timeout(rows, left).expect("the rows").0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let key = |row: &Json| {
            let field = |name: &str| row.get(name).text().to_owned();
            (field("table"), field("part"), field("key"))
        };
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().expect("the rows");
        let version_of = |rows: &Rows, key: &Key| match rows.rows.get(key) {
            Some((Some(_), version)) => *version,
            _ => 0,
        };
        let expected = call.get("expectRev").list();
        if expected
            .iter()
            .any(|row| version_of(&rows, &key(row)) != row.get("ver").number())
        {
            let keys: Vec<Key> = expected.iter().map(key).collect();
            let current: Vec<_> = rows
                .rows
                .iter()
                .filter(|(known, (value, _))| keys.contains(known) && value.is_some())
                .collect();
            return (412, self.page(&current, rows.version));
        }
        rows.version += 1;
        let version = rows.version;
        for row in call.get("writes").list() {
            rows.rows.insert(
                key(row),
                (Some(row.get("value").text().to_owned()), version),
            );
        }
        for row in call.get("delete").list() {
            rows.rows.insert(key(row), (None, version));
        }
        changed.notify_all();
        (
            200,
            format!("{{\"ver\":{version},\"nowMs\":{}}}", self.now_ms()),
        )
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            other => bytes.push(other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for position in 0..4 {
            match position <= chunk.len() {
                true => text.push(char::from(
                    DIGITS[(group >> (18 - 6 * position)) as usize & 63],
                )),
                false => text.push('='),
            }
        }
    }
    text
}
