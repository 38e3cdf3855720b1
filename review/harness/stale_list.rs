//! The two entries that watch the list of servers for their zone lose their way to the platform's
//! store; then a server leaves.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::time::{Duration, Instant};

use crate::Run;
use crate::engine::{self, Plain};
use crate::front::Front;
use crate::http;
use crate::json::{Json, map, num, text};
use crate::platform::Platform;

const HOST: &str = "permits.example";
const DRAIN: Duration = Duration::from_millis(2000);
const CUT: Duration = Duration::from_millis(5500);

pub fn run(run: &Run) -> Result<(), String> {
    let io = |error: std::io::Error| error.to_string();
    let net = &run.net;
    let platform = Platform::new();
    let mut plains = Vec::new();
    let mut servers = Vec::new();
    let zones = ["harbour", "pier", "bluff", "marina"];
    for (index, zone) in zones.iter().enumerate() {
        let id = format!("i-{index}permit");
        let plain = Arc::new(Plain {
            id: id.clone(),
            work: Duration::from_millis(30),
            record: Arc::clone(&run.record),
            leaving_since: Mutex::new(None),
            drain: DRAIN,
            exited: AtomicBool::new(false),
            runs: AtomicU64::new(0),
        });
        let address = net.at(20 + index as u8, net.server);
        servers.push(plain.serve(address).map_err(io)?);
        let row = engine::row("permitdesk", address, zone, 6, "ready", None);
        platform.put("servers", &id, &row);
        plains.push((plain, address, *zone));
    }
    let route = map(vec![
        ("name", text("spot-booking")),
        ("host", text(HOST)),
        ("prefix", text("/book/")),
        ("kind", text("non_idempotent")),
        ("timeoutMs", num(1000)),
        ("sloMs", num(150)),
        ("priority", num(2)),
        ("service", text("permitdesk")),
        ("attempts", num(1)),
        ("public", Json::Bool(false)),
        ("canResume", Json::Bool(false)),
    ]);
    let service = map(vec![
        ("name", text("permitdesk")),
        ("healthPath", text("/healthz")),
        ("maxConns", num(110)),
        ("coldS", num(0)),
        ("coldPerS", num(0)),
    ]);
    let tenant = map(vec![
        ("name", text("walks")),
        ("apiKeys", Json::List(vec![text("key-of-walks")])),
    ]);
    let config = map(vec![
        ("version", num(7)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![service])),
        ("tenants", Json::List(vec![tenant])),
    ]);
    platform.put("op", "config", &config);
    // Each entry has an address of its own for the store, so that its way to it can be cut.
    let mut ways = Vec::new();
    let mut fronts = Vec::new();
    for index in 0..3u8 {
        let way = platform.serve(net.at(40 + index, net.server)).map_err(io)?;
        let name = format!("front-harbour-{}", index + 1);
        let (folder, store) = (&run.folder.0, way.address);
        let front = Front::start(folder, net, &name, "harbour", index + 1, store, true);
        fronts.push(front.map_err(io)?);
        ways.push(way);
    }
    for front in &fronts {
        if !front.wait_ready(Duration::from_secs(10)) {
            return Err(format!("{} is not ready", front.name));
        }
    }
    std::thread::sleep(Duration::from_secs(8));
    run.record.step("3 entries of one zone run");
    let address = fronts[1].address;
    let started = Instant::now();
    let ask = |number: usize| {
        let id = format!("{:08x}{number:08x}", std::process::id());
        let headers = [
            ("Host", HOST),
            ("Boragereel-Request-Id", id.as_str()),
            ("Boragereel-Request-Deadline", "1000"),
            ("Authorization", "Bearer key-of-walks"),
        ];
        run.record.line(&format!("{id} asks {address}"));
        let wait = Duration::from_secs(2);
        let answer = http::send(address, "POST", "/book/2f", &headers, b"a spot", wait);
        let status = answer.map_or(0, |answer| answer.status);
        run.record.line(&format!("{id} is answered {status}"));
    };
    std::thread::scope(|scope| {
        scope.spawn(|| {
            std::thread::sleep(Duration::from_secs(2));
            if run.trouble {
                for index in [0, 2] {
                    ways[index].stop();
                    run.record
                        .step(&format!("{} has no way to the store", fronts[index].name));
                }
            }
            let cut_at = Instant::now();
            std::thread::sleep(Duration::from_millis(300));
            let (plain, address, zone) = &plains[0];
            let row = engine::row("permitdesk", *address, zone, 6, "draining", None);
            platform.put("servers", &plain.id, &row);
            *plain.leaving_since.lock().unwrap() = Some(Instant::now());
            run.record
                .step(&format!("{} leaves: acknowledged by the store", plain.id));
            if run.trouble {
                std::thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
                run.record.step("the ways to the store are back");
                for index in [0, 2] {
                    let _ = platform.serve(ways[index].address).map(std::mem::forget);
                }
            }
        });
        for number in 0.. {
            if started.elapsed() > Duration::from_secs(11) {
                break;
            }
            let ask = &ask;
            scope.spawn(move || ask(number));
            std::thread::sleep(Duration::from_millis(25));
        }
    });
    drop(servers);
    Ok(())
}
