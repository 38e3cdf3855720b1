//! A stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Server, respond_json};
use crate::json::{Json, base64, map, num, text};

#[derive(Clone)]
struct Row {
    /// Base64; `None` for a row that was dropped.
    value: Option<String>,
    ver: u64,
}

/// Table, part and key of a row.
type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, Row>,
    ver: u64,
}

pub struct Platform {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

impl Platform {
    pub fn new() -> Arc<Platform> {
        Arc::new(Platform {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        })
    }

    /// Serves the rows at an address.
    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<Server> {
        let platform = Arc::clone(self);
        Server::start(address, move |request, out| platform.handle(&request, out))
    }

    /// Writes a row as the operator or a server; returns when it is acknowledged.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        self.set(table, key, Some(base64(value.write().as_bytes())));
    }

    fn set(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        let name = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(name, Row { value, ver });
        self.changed.notify_all();
    }

    /// The number of rows of a table.
    pub fn count(&self, table: &str) -> usize {
        let rows = self.rows.lock().unwrap();
        let rows = rows.rows.iter();
        rows.filter(|((name, ..), row)| name == table && row.value.is_some())
            .count()
    }

    fn now_ms(&self) -> f64 {
        (self.started.elapsed().as_millis() + 50_000) as f64
    }

    fn handle(&self, request: &Request, out: &mut TcpStream) -> bool {
        let body = match (request.method.as_str(), request.path()) {
            ("GET", "/-/rows-get") => self.read(request),
            ("GET", "/-/rows-feed") => self.feed(request),
            ("POST", "/-/rows-tx") => {
                std::thread::sleep(Duration::from_millis(5));
                return match Json::parse(&request.body) {
                    Some(body) => {
                        let (status, answer) = self.transact(&body);
                        respond_json(out, status, &answer.write())
                    }
                    None => respond_json(out, 400, "{}"),
                };
            }
            _ => return respond_json(out, 404, "{}"),
        };
        respond_json(out, 200, &body.write())
    }

    fn read(&self, request: &Request) -> Json {
        std::thread::sleep(Duration::from_millis(4));
        let rows = self.rows.lock().unwrap();
        let table = request.query("table").unwrap_or_default();
        let part = request.query("part").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let to = request.query("to");
        let limit = request.query("limit").and_then(|text| text.parse().ok());
        let limit = limit.unwrap_or(500).min(500);
        let mut found = rows.rows.iter().filter(|((t, p, k), row)| {
            *t == table
                && *p == part
                && *k >= from
                && to.as_ref().is_none_or(|to| k < to)
                && row.value.is_some()
        });
        let page: Vec<Json> = found
            .by_ref()
            .take(limit)
            .map(|(key, row)| as_json(key, row))
            .collect();
        map(vec![
            ("rows", Json::List(page)),
            ("hasMore", Json::Bool(found.next().is_some())),
            ("ver", num(rows.ver as f64)),
            ("nowMs", num(self.now_ms())),
        ])
    }

    fn feed(&self, request: &Request) -> Json {
        let number = |name: &str| request.query(name).and_then(|text| text.parse().ok());
        let table = request.query("table").unwrap_or_default();
        let after: u64 = number("after").unwrap_or(0);
        let until =
            Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut changed: Vec<(&Key, &Row)> = rows
                .rows
                .iter()
                .filter(|((name, ..), row)| *name == table && row.ver > after)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(_, row)| row.ver);
                let changed = changed.into_iter().map(|(key, row)| as_json(key, row));
                return map(vec![
                    ("rows", Json::List(changed.collect())),
                    ("ver", num(rows.ver as f64)),
                    ("nowMs", num(self.now_ms())),
                ]);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, Json) {
        let name = |entry: &Json| -> Key {
            let field = |name| entry.get(name).str().to_owned();
            (field("table"), field("part"), field("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let current = |rows: &Rows, key: &Key| {
            let row = rows.rows.get(key).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.ver)
        };
        let expected = body.get("expectRev").list();
        let holds = expected
            .iter()
            .all(|entry| current(&rows, &name(entry)) == entry.get("ver").u64());
        let stamp =
            |rows: &Rows| vec![("ver", num(rows.ver as f64)), ("nowMs", num(self.now_ms()))];
        if !holds {
            let found = expected.iter().filter_map(|entry| {
                let key = name(entry);
                let row = rows.rows.get(&key).filter(|row| row.value.is_some())?;
                Some(as_json(&key, row))
            });
            let found = Json::List(found.collect());
            let mut fields = stamp(&rows);
            fields.push(("rows", found));
            return (412, map(fields));
        }
        rows.ver += 1;
        let ver = rows.ver;
        for entry in body.get("writes").list() {
            let value = Some(entry.get("value").str().to_owned());
            rows.rows.insert(name(entry), Row { value, ver });
        }
        for entry in body.get("delete").list() {
            rows.rows.insert(name(entry), Row { value: None, ver });
        }
        self.changed.notify_all();
        (200, map(stamp(&rows)))
    }
}

fn as_json((table, part, key): &Key, row: &Row) -> Json {
    let mut fields = vec![
        ("table", text(table)),
        ("part", text(part)),
        ("key", text(key)),
        ("ver", num(row.ver as f64)),
    ];
    match &row.value {
        Some(value) => fields.push(("value", text(value))),
        None => fields.push(("tombstone", Json::Bool(true))),
    }
    map(fields)
}
