//! Measures idle processes, which only exchange control messages.

use std::path::Path;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::probe::{cpu_us, resident_of};
use crate::Result;
use crate::process::Process;

/// The average cost of an idle process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Cost {
    /// CPU usage, in percent of a core.
    pub(crate) cpu_percent: f64,
    /// Resident memory, in bytes.
    pub(crate) bytes: f64,
    /// Bytes per second and process on the loopback interface, with all headers.
    pub(crate) wire: f64,
    /// Platform reads per second of all processes together.
    pub(crate) reads: f64,
}

/// Duration of the measurement.
const MEASUREMENT: Duration = Duration::from_secs(10);
/// Timeout for the processes to discover each other.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// The roles of the processes that are started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mix {
    /// Three agents for each entry.
    Both,
    /// Entries only. They send only control messages and reads of the platform, while agents also
    /// probe the engine on their host.
    Entries,
}

/// Starts `count` processes and measures them while they are idle.
pub(crate) async fn measure(count: usize, mix: Mix, folder: &Path) -> Result<Cost> {
    std::fs::create_dir_all(folder)?;
    let log = |name: &str| folder.join(format!("{name}.log"));
    let standin = async |kind: &str, options: &[&str]| {
        let mut arguments = vec![kind.to_owned()];
        arguments.extend(options.iter().map(ToString::to_string));
        Process::spawn("boragereel-standin", &arguments, &log(kind)).await
    };
    let platform = standin("platform", &[]).await?;
    let engine = standin("engine", &["--model", "model", "--weights", "v1"]).await?;
    let platform = format!("http://{}", platform.address("")?).into_boxed_str();
    let engine = format!("http://{}", engine.address("")?);
    let mut processes = Vec::new();
    for index in 0..count {
        let role = if mix == Mix::Entries || index % 4 == 0 {
            json!({ "entry": { "http_address": "127.0.0.1:0" } })
        } else {
            json!({ "engine": {
                "target": format!("engine-{index}"), "model": "model", "address": engine,
                "cold_limit": 2, "warm_limit": 16,
            }})
        };
        let settings = json!({
            "name": format!("process-{index}"),
            "host": format!("host-{index}"),
            "domain": format!("domain-{}", index % 9),
            "region": "main",
            "peer_address": "127.0.0.1:0",
            "admin_address": "127.0.0.1:0",
            "cluster_keys": ["cluster key of the slopes"],
            "context_secret": "context secret of the slopes",
            "platform": { "table": platform, "objects": platform, "hosts": platform },
            "role": role,
        });
        let path = folder.join(format!("process-{index}.json"));
        std::fs::write(&path, settings.to_string())?;
        let arguments = ["--settings".to_owned(), path.display().to_string()];
        let name = format!("process-{index}");
        processes.push(Process::spawn("boragereeld", &arguments, &log(&name)).await?);
    }
    let http = reqwest::Client::builder().no_proxy().build()?;
    wait_discovered(&http, &processes[0], count).await?;
    measure_processes(&http, &platform, &processes).await
}

async fn wait_discovered(http: &reqwest::Client, entry: &Process, count: usize) -> Result<()> {
    let url = format!("http://{}/status", entry.address("admin")?);
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let status: Value = http.get(&url).send().await?.json().await?;
        if status["members"]
            .as_array()
            .is_some_and(|members| members.len() >= count)
        {
            return Ok(());
        }
        if Instant::now() > deadline {
            return Err(
                format!("{count} processes did not discover each other within 60 s").into(),
            );
        }
        sleep(Duration::from_millis(100)).await;
    }
}

async fn measure_processes(
    http: &reqwest::Client,
    platform: &str,
    processes: &[Process],
) -> Result<Cost> {
    let before = totals(http, platform, processes).await?;
    let started = Instant::now();
    sleep(MEASUREMENT).await;
    let after = totals(http, platform, processes).await?;
    let seconds = started.elapsed().as_secs_f64();
    let count = processes.len() as f64;
    Ok(Cost {
        cpu_percent: (after.cpu_us - before.cpu_us) / 1e6 / seconds / count * 100.0,
        bytes: after.bytes / count,
        wire: (after.wire - before.wire) / seconds / count,
        reads: (after.reads - before.reads) / seconds,
    })
}

#[derive(Debug, Default)]
struct Totals {
    cpu_us: f64,
    bytes: f64,
    wire: f64,
    reads: f64,
}

async fn totals(http: &reqwest::Client, platform: &str, processes: &[Process]) -> Result<Totals> {
    let mut totals = Totals::default();
    for process in processes {
        let id = process.id().ok_or("a process has ended")?;
        totals.cpu_us += cpu_us(id)?;
        totals.bytes += resident_of(id)?;
    }
    let log: Value = http
        .get(format!("{platform}/log"))
        .send()
        .await?
        .json()
        .await?;
    totals.wire = loopback_bytes()?;
    totals.reads = log["reads"].as_f64().unwrap_or(0.0);
    Ok(totals)
}

/// Returns the bytes that the loopback interface has sent.
fn loopback_bytes() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let sent = line.and_then(|line| line.split_whitespace().nth(8));
    Ok(sent.ok_or("there is no loopback interface")?.parse()?)
}
