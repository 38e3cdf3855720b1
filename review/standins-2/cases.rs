//! The cases.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::http::{Connection, Failure};
use crate::kv::{KvServers, KvStore, LINK_MBPS, TOKEN_BYTES};
use crate::platform::Store;
use crate::process::{Entry, Settings, temporary_folder};
use crate::record::Record;
use crate::server::Server;

type Outcome = Result<bool, String>;

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Plays a case; returns whether the rule was broken.
pub fn play(case: &str, trouble: bool, record: &Record) -> Outcome {
    record.line(&format!(
        "case {case}, {} the disruption",
        if trouble { "with" } else { "without" }
    ));
    match case {
        "grace" => grace(trouble, record),
        "head" => head(trouble, record),
        "replaced" => replaced(trouble, record),
        "late-fetch" => late_fetch(trouble, record),
        _ => Err(format!("no case {case}")),
    }
}

fn config(version: u64, head_bytes: u64) -> String {
    let route = |name: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"a.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"sloMs\":150,\"timeoutMs\":1000,\"service\":\"desk\",\"attempts\":2,\"priority\":2}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"desk\",\"maxConns\":110}}],\
         \"tenants\":[{{\"name\":\"parks\",\"apiKeys\":[\"key-1\"]}}],\
         \"limits\":{{\"maxHeaderBytes\":{head_bytes},\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        route("book", "non_idempotent"),
        route("read", "idempotent"),
    )
}

fn request(method: &str, path: &str, id: &str, fields: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nBoragereel-Request-Id: {id}\r\n\
         Boragereel-Request-Deadline: 1000\r\nAuthorization: Bearer key-1\r\n{fields}\r\n"
    )
}

fn new_id() -> String {
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// What a client saw of a request.
#[derive(Debug, Clone)]
struct Sent {
    id: String,
    path: String,
    at: f64,
    ended: f64,
    end: Result<u16, Failure>,
}

/// Sends a request on a connection of its own.
fn send(front: SocketAddr, path: &str, record: &Record) -> Option<Sent> {
    let id = new_id();
    let mut connection = Connection::open(front).ok()?;
    let _ = connection
        .socket
        .set_read_timeout(Some(Duration::from_millis(1500)));
    let at = record.seconds();
    connection
        .send(request("POST", path, &id, "Content-Length: 0\r\n").as_bytes())
        .ok()?;
    let end = connection.message().map(|answer| answer.status());
    let ended = record.seconds();
    record.line(&format!("client sent {id} at {at:.4} to {front}: {end:?}"));
    Some(Sent {
        id,
        path: path.to_owned(),
        at,
        ended,
        end,
    })
}

struct World {
    store: Store,
    servers: Vec<Server>,
    folder: std::path::PathBuf,
}

impl World {
    fn start(case: &str, head_bytes: u64, record: &Record) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let store = Store::start("127.0.0.1").map_err(text)?;
        let mut servers = Vec::new();
        for number in 0..2 {
            let server =
                Server::start("127.0.0.1", &format!("i-{number}"), record).map_err(text)?;
            store.put("servers", &server.id, &server.row("desk", "harbour"));
            servers.push(server);
        }
        store.put("op", "config", &config(1, head_bytes));
        let folder = temporary_folder(case).map_err(text)?;
        Ok(Self {
            store,
            servers,
            folder,
        })
    }

    fn ran(&self) -> HashMap<String, (f64, Option<f64>)> {
        let runs = self.servers.iter().flat_map(Server::runs);
        runs.map(|run| (run.id, (run.began, run.ended))).collect()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The settings file gets a shorter grace period, with SIGHUP; later the program gets SIGTERM, and
/// SIGKILL after that grace period.
fn grace(trouble: bool, record: &Record) -> Outcome {
    let text = |error: std::io::Error| error.to_string();
    let world = World::start("grace", 16384, record)?;
    let mut settings =
        Settings::new("front-harbour-1", "127.0.0.1", world.store.address).map_err(text)?;
    let mut entry = Entry::start(&settings, &world.folder).map_err(text)?;
    if !entry.wait_ready(Duration::from_secs(10)) {
        return Err("the program is not ready".to_owned());
    }
    if trouble {
        settings.grace_s = 4.0;
        entry.change(&settings).map_err(text)?;
        entry.signal("-HUP");
        record.line("the settings file has graceS 4 instead of 8; SIGHUP");
    }
    thread::sleep(Duration::from_secs(3));
    let stop = AtomicBool::new(false);
    let ended = Mutex::new(Vec::new());
    let grace = Duration::from_secs_f64(settings.grace_s);
    let (mut stopped_at, mut lasted) = (0.0, 0.0);
    thread::scope(|scope| {
        for client in 0..8 {
            let (stop, ended, front) = (&stop, &ended, settings.front);
            scope.spawn(move || {
                thread::sleep(Duration::from_millis(40 * client));
                // Half of the clients read, half of them book, which may run once only.
                let path = ["/read/work-250", "/book/work-250"][client as usize % 2];
                while !stop.load(Ordering::Relaxed) {
                    if let Some(sent) = send(front, path, record) {
                        ended.lock().expect("the requests").push(sent);
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
        thread::sleep(Duration::from_secs(2));
        entry.signal("-TERM");
        let signalled = Instant::now();
        stopped_at = record.seconds();
        record.line("SIGTERM");
        while signalled.elapsed() < grace && entry.child.try_wait().ok().flatten().is_none() {
            thread::sleep(Duration::from_millis(2));
        }
        if entry.child.try_wait().ok().flatten().is_none() {
            entry.signal("-KILL");
            record.line("SIGKILL at the end of the grace period");
        } else {
            record.line("the program has ended by itself");
        }
        lasted = signalled.elapsed().as_secs_f64();
        stop.store(true, Ordering::Relaxed);
    });
    let _ = entry.child.wait();
    thread::sleep(Duration::from_millis(500));
    let ran = world.ran();
    let ended = ended.into_inner().expect("the requests");
    let mut lost = 0;
    for sent in &ended {
        let is_late = sent.at > stopped_at + 3.0 && sent.at < stopped_at + settings.grace_s + 1.0;
        let is_in_time = sent.ended - sent.at < 0.95;
        if sent.end.is_err() && is_late && is_in_time && ran.contains_key(&sent.id) {
            lost += 1;
            record.line(&format!(
                "lost: {} ({}) was sent {:.3} s after SIGTERM, ran at a server, and its connection ended without an answer",
                sent.id,
                sent.path,
                sent.at - stopped_at
            ));
        }
    }
    let served = ended.iter().filter(|sent| sent.end == Ok(200)).count();
    record.line(&format!(
        "{} requests, {served} answered with 200, {lost} lost; the program lasted {lasted:.3} s after SIGTERM",
        ended.len()
    ));
    if served == 0 {
        return Err("nothing was served".to_owned());
    }
    Ok(lost > 0)
}

/// The program is killed and started again; clients connect as soon as it listens, and later send
/// heads of a length that the configuration allows.
fn head(trouble: bool, record: &Record) -> Outcome {
    let text = |error: std::io::Error| error.to_string();
    let world = World::start("head", 32768, record)?;
    let mut settings =
        Settings::new("front-harbour-1", "127.0.0.1", world.store.address).map_err(text)?;
    let mut entry = Entry::start(&settings, &world.folder).map_err(text)?;
    if !entry.wait_ready(Duration::from_secs(10)) {
        return Err("the program is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    if trouble {
        entry.signal("-KILL");
        let _ = entry.child.wait();
        record.line("SIGKILL");
        thread::sleep(Duration::from_millis(200));
        settings.first_start = false;
        entry = Entry::start(&settings, &world.folder).map_err(text)?;
        record.line("started again");
    }
    let exchange = |connection: &mut Connection, fields: &str, what: &str| {
        let id = new_id();
        let _ = connection
            .socket
            .set_read_timeout(Some(Duration::from_millis(1500)));
        let sent = connection.send(request("GET", "/read/work-5", &id, fields).as_bytes());
        let answer = connection.message().map(|answer| {
            let seal = answer.header("boragereel-server-seal").is_some();
            (answer.status(), seal)
        });
        record.line(&format!("{what}: {id}, sent {sent:?}, answer {answer:?}"));
        answer
    };
    let mut kept = Vec::new();
    let deadline = Instant::now() + Duration::from_secs(5);
    while kept.len() < KEPT && Instant::now() < deadline {
        match Connection::open(settings.front) {
            Ok(connection) => kept.push(connection),
            Err(_) => thread::sleep(Duration::from_micros(200)),
        }
    }
    if kept.len() < KEPT {
        return Err("the program does not listen".to_owned());
    }
    record.line(&format!("{KEPT} connections are open"));
    for connection in &mut kept {
        // Until the configuration is known, 503 is the right answer.
        let answer = exchange(connection, "", "first request on a kept connection");
        if !matches!(answer, Ok((200, true) | (503, false))) {
            return Err("a first request got another answer than 200 or 503".to_owned());
        }
    }
    // Longer than contactMs, after which the machine is in touch again.
    thread::sleep(Duration::from_secs(4));
    let note = format!("X-Note: {}\r\n", "n".repeat(4000)).repeat(5);
    let mut served_on_new = 0;
    for _ in 0..6 {
        let mut connection = Connection::open(settings.front).map_err(text)?;
        let answer = exchange(
            &mut connection,
            &note,
            "20 kB of headers on a new connection",
        );
        served_on_new += usize::from(answer == Ok((200, true)));
    }
    let mut denied = 0;
    for connection in &mut kept {
        let answer = exchange(connection, &note, "20 kB of headers on a kept connection");
        denied += usize::from(matches!(answer, Ok((400..=499, false))));
    }
    record.line(&format!(
        "{denied} of {KEPT} denied on kept connections, {served_on_new} of 6 served on new ones"
    ));
    drop(entry);
    if served_on_new == 0 {
        return Err("long heads are served on no connection".to_owned());
    }
    // More than 5 and one in 500 of all requests.
    Ok(denied > 5 + (KEPT * 2 + 6) / 500)
}

/// Connections that clients keep.
const KEPT: usize = 24;

/// The machine that orders new weights is removed for good, and another one comes at a new address
/// with the same roles and the same name.
fn replaced(trouble: bool, record: &Record) -> Outcome {
    let text = |error: std::io::Error| error.to_string();
    let store = Store::start("127.0.0.1").map_err(text)?;
    let mut engines = Vec::new();
    for number in 0..3 {
        let engine =
            Engine::start("127.0.0.1", &format!("i-{number}"), &store, record).map_err(text)?;
        engine.register();
        engines.push(engine);
    }
    store.put("op", "config", &engine_config());
    store.put("op", "version/daka", "{\"model\":\"daka\",\"version\":1}");
    let folder = temporary_folder("replaced").map_err(text)?;
    let name = "front-harbour-1";
    let settings = Settings::new(name, "127.0.0.2", store.address).map_err(text)?;
    let mut entry = Entry::start(&settings, &folder).map_err(text)?;
    if !entry.wait_ready(Duration::from_secs(10)) {
        return Err("the program is not ready".to_owned());
    }
    // Longer than the time after which the registration counts.
    thread::sleep(Duration::from_secs(3));
    let orders = || -> usize { engines.iter().map(|engine| engine.orders().len()).sum() };
    store.put("op", "version/daka", "{\"model\":\"daka\",\"version\":2}");
    record.line("version 2 is named");
    let deadline = Instant::now() + Duration::from_secs(10);
    while orders() == 0 {
        if Instant::now() > deadline {
            return Err("no order was given".to_owned());
        }
        thread::sleep(Duration::from_millis(1));
    }
    let first_machine = orders();
    let mut replacement = None;
    if trouble {
        entry.signal("-KILL");
        let _ = entry.child.wait();
        record.line("SIGKILL: the machine is gone for good");
        thread::sleep(REPLACEMENT_DELAY);
        // With NAME=front-harbour-9, say, the second machine has a name of its own.
        let name = std::env::var("NAME").unwrap_or_else(|_| name.to_owned());
        let mut settings = Settings::new(&name, "127.0.0.3", store.address).map_err(text)?;
        settings.first_start = false;
        settings.peers = entry.settings.peers;
        record.line(&format!(
            "another machine comes at 127.0.0.3, with the name {name}"
        ));
        replacement = Some(Entry::start(&settings, &folder).map_err(text)?);
    }
    thread::sleep(Duration::from_millis(700));
    store.put("op", "version/daka", "{\"model\":\"daka\",\"version\":3}");
    record.line("version 3 is named");
    thread::sleep(Duration::from_secs(8));
    drop(replacement);
    drop(entry);
    let _ = std::fs::remove_dir_all(&folder);
    let mut broken = false;
    let mut by_second = 0;
    for engine in &engines {
        let orders = engine.orders();
        for pair in orders.windows(2) {
            let gap = pair[1].at - pair[0].at;
            let is_other = pair[0].fence != pair[1].fence;
            if trouble && is_other {
                by_second += 1;
                record.line(&format!(
                    "{}: order of {} with fence {} by the first machine, {gap:.3} s later one of {} with fence {} by the second",
                    engine.id, pair[0].holder, pair[0].fence, pair[1].holder, pair[1].fence
                ));
                broken |= gap < LEASE_S;
            }
        }
    }
    record.line(&format!(
        "{first_machine} orders before the kill, {} in all, {by_second} turns",
        orders()
    ));
    Ok(broken)
}

/// How long after the loss of a machine another one comes: the default of `replace_core`.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(1);

/// `leaseMs` of the sheets, in seconds.
const LEASE_S: f64 = 3.0;

fn engine_config() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"check\",\"host\":\"a.example\",\"prefix\":\"/check/\",\
     \"kind\":\"stream\",\"sloMs\":500,\"timeoutMs\":5000,\"service\":\"wick\",\"attempts\":2,\"priority\":1,\
     \"canResume\":true,\"gapAimMs\":250,\"sticky\":true}],\
     \"services\":[{\"name\":\"wick\",\"maxConns\":620,\"engine\":{\"kvCapacity\":64644,\"kvTokenBytes\":35136}}]}"
        .to_owned()
}

/// A request waits in the queue of its server while the store that it is to fetch from restarts.
fn late_fetch(trouble: bool, record: &Record) -> Outcome {
    let text = |error: std::io::Error| error.to_string();
    let store = Store::start("127.0.0.1").map_err(text)?;
    let kept = KvStore::start("127.0.0.1", record).map_err(text)?;
    let servers = KvServers::start(2, &kept, record).map_err(text)?;
    for (id, row) in &servers.rows {
        store.put("servers", id, row);
    }
    let config = format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"notes\",\"host\":\"a.example\",\"prefix\":\"/notes/\",\
         \"kind\":\"stream\",\"sloMs\":1200,\"timeoutMs\":5000,\"service\":\"wick\",\"attempts\":2,\"priority\":2,\
         \"canResume\":true,\"gapAimMs\":500,\"sticky\":true}}],\"services\":[{{\"name\":\"wick\",\"maxConns\":490,\
         \"engine\":{{\"kvCapacity\":64644,\"kvTokenBytes\":{TOKEN_BYTES}}}}},{{\"name\":\"keep\",\
         \"kvStoreAddr\":\"{}\",\"zone\":\"harbour\",\"kvCapacity\":1260807,\"linkMbps\":{LINK_MBPS},\
         \"first_ms\":6,\"maxInflight\":12,\"managed\":true}}],\
         \"tenants\":[{{\"name\":\"parks\",\"apiKeys\":[\"key-1\"]}}]}}",
        kept.address
    );
    store.put("op", "config", &config);
    store.put("op", "version/daka", "{\"model\":\"daka\",\"version\":1}");
    let folder = temporary_folder("late-fetch").map_err(text)?;
    let settings = Settings::new("front-harbour-1", "127.0.0.1", store.address).map_err(text)?;
    let entry = Entry::start(&settings, &folder).map_err(text)?;
    if !entry.wait_ready(Duration::from_secs(10)) {
        return Err("the program is not ready".to_owned());
    }
    // The shared part is that of the sheet's prompts; the last part is the request's own.
    let ask = |id: &str| {
        let fields = format!(
            "Boragereel-Model: daka\r\nBoragereel-Token-Count: 9190,9\r\n\
             Boragereel-Prompt-Prefix: 5c1e07a2:7520,{id}:1670\r\nContent-Length: 0\r\n"
        );
        let message =
            request("POST", "/notes/1", id, &fields).replace("Deadline: 1000", "Deadline: 5000");
        let mut connection = Connection::open(settings.front).ok()?;
        // Clients abandon a stream after four times its objective.
        let _ = connection
            .socket
            .set_read_timeout(Some(Duration::from_millis(4800)));
        connection.send(message.as_bytes()).ok()?;
        let answer = connection.message().map(|answer| answer.status());
        record.line(&format!("client sent {id}: {answer:?}"));
        answer.ok()
    };
    // Nothing is saved to a store that has just been seen for the first time.
    thread::sleep(Duration::from_secs(5));
    ask(&new_id());
    thread::sleep(Duration::from_secs(4));
    let waiting = new_id();
    servers.hold(
        &waiting,
        if trouble {
            Duration::from_millis(4700)
        } else {
            Duration::from_millis(4300)
        },
    );
    thread::scope(|scope| {
        let client = scope.spawn(|| ask(&waiting));
        let deadline = Instant::now() + Duration::from_secs(2);
        while !servers.has_arrived(&waiting) && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(1));
        }
        if trouble {
            kept.restart(STORE_DOWN);
        } else {
            thread::sleep(STORE_DOWN);
        }
        // Other clients ask with the same shared part.
        thread::sleep(Duration::from_millis(3200));
        for _ in 0..60 {
            if client.is_finished() {
                break;
            }
            scope.spawn(|| ask(&new_id()));
            thread::sleep(Duration::from_millis(30));
        }
        let _ = client.join();
    });
    drop(entry);
    let _ = std::fs::remove_dir_all(&folder);
    let fetches = servers.fetches();
    let own = fetches.iter().filter(|fetch| fetch.request == waiting);
    if own.count() == 0 {
        return Err("the request that waited was not told to fetch".to_owned());
    }
    let mut broken = false;
    for fetch in fetches.iter().filter(|fetch| fetch.found && !fetch.whole) {
        broken = true;
        record.line(&format!(
            "{} took part {} while it was being written",
            fetch.request, fetch.part
        ));
    }
    Ok(broken)
}

/// How long the store is down when it restarts.
const STORE_DOWN: Duration = Duration::from_millis(100);
