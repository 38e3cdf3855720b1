use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use control::Member;
use futures_util::{StreamExt, stream};
use platform::{Client, Table, config};
use serde_json::{Value, json};
use types::Version;

use crate::{Failure, Output, connection, finish};

/// Timeout of a request to the admin address of a process.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Processes queried at the same time.
const MAX_PARALLEL: usize = 64;
/// Maximum size of a response from an admin address, in bytes; a status has a few hundred fields.
pub(crate) const MAX_STATUS_BYTES: usize = 1 << 20;

/// A process with its member record and its status.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) member: Member,
    /// The reported status, or why it could not be fetched.
    pub(crate) status: Result<Value, String>,
}

/// Prints the status of one process, or of all processes with a summary.
pub(crate) async fn status(mut arguments: pico_args::Arguments) -> Result<Output, Failure> {
    let platform = connection::open_if_given(&mut arguments)?;
    let address: Option<SocketAddr> = arguments.opt_free_from_str()?;
    finish(arguments)?;
    if let Some(address) = address {
        let status = fetch_status(&client()?, address)
            .await
            .map_err(Failure::Failed)?;
        let text = serde_json::to_string_pretty(&status).unwrap_or_default();
        return Ok(Output::new(text, status));
    }
    let platform = platform.ok_or_else(|| {
        Failure::Invalid(
            "neither a process nor a platform is given: use an admin address like 10.0.0.1:9000, \
             or --table, --objects and --hosts"
                .to_owned(),
        )
    })?;
    let (head, _) = config::head(&platform).await?;
    let processes = all(&platform).await?;
    Ok(summarize(head.version, &processes))
}

/// Fetches the status of all processes that have a member record.
pub(crate) async fn all(platform: &Client) -> Result<Vec<Process>, Failure> {
    let members = connection::members(platform).await?;
    let mut addresses = BTreeMap::new();
    for row in platform.scan("admin/").await? {
        let address = row.value["address"]
            .as_str()
            .and_then(|text| text.parse().ok());
        if let Some(address) = address {
            addresses.insert(row.key["admin/".len()..].to_owned(), address);
        }
    }
    let http = client()?;
    let queries = stream::iter(members.into_iter().map(|member| {
        let (http, address) = (http.clone(), addresses.get(&member.name).copied());
        async move {
            let status = match address {
                Some(address) => fetch_status(&http, address).await,
                None => Err("no admin address is registered on the platform yet".to_owned()),
            };
            Process { member, status }
        }
    }));
    let mut processes: Vec<Process> = queries.buffer_unordered(MAX_PARALLEL).collect().await;
    processes.sort_by(|one, other| one.member.name.cmp(&other.member.name));
    Ok(processes)
}

/// Creates an HTTP client for the admin addresses of processes.
pub(crate) fn client() -> Result<reqwest::Client, Failure> {
    reqwest::Client::builder()
        .timeout(TIMEOUT)
        .no_proxy()
        .build()
        .map_err(|error| Failure::Failed(error.to_string()))
}

async fn fetch_status(http: &reqwest::Client, address: SocketAddr) -> Result<Value, String> {
    let failed = |error: reqwest::Error| format!("{address}: {error}");
    let response = http
        .get(format!("http://{address}/status"))
        .send()
        .await
        .and_then(reqwest::Response::error_for_status)
        .map_err(failed)?;
    fetch::json(response, MAX_STATUS_BYTES)
        .await
        .map_err(|error| format!("{address}: {error}"))
}

fn summarize(head: Version, processes: &[Process]) -> Output {
    let mut versions: BTreeMap<u64, usize> = BTreeMap::new();
    let mut states: BTreeMap<String, usize> = BTreeMap::new();
    let (mut lagging, mut unresponsive) = (Vec::new(), Vec::new());
    let mut lines =
        vec!["process                  domain       version  state      weights".to_owned()];
    for process in processes {
        let Member { name, domain, .. } = &process.member;
        let status = match &process.status {
            Ok(status) => status,
            Err(problem) => {
                lines.push(format!("{name:<24} {:<12} no answer: {problem}", &**domain));
                unresponsive.push(name.clone());
                continue;
            }
        };
        let version = status["version"].as_u64().unwrap_or(0);
        let state = status["state"].as_str().unwrap_or("serving").to_owned();
        let weights = status["weights"].as_str().unwrap_or("-");
        lines.push(format!(
            "{name:<24} {:<12} {version:>7}  {state:<10} {weights}",
            &**domain
        ));
        *versions.entry(version).or_default() += 1;
        *states.entry(state).or_default() += 1;
        if version < head.0 {
            lagging.push(name.clone());
        }
    }
    lines.push(format!("accepted version: {head}"));
    for (version, count) in &versions {
        lines.push(format!("version {version}: {count} processes"));
    }
    for (state, count) in &states {
        lines.push(format!("{state}: {count} processes"));
    }
    for (title, names) in [("behind", &lagging), ("no answer", &unresponsive)] {
        if !names.is_empty() {
            lines.push(format!("{title}: {}", names.join(", ")));
        }
    }
    let list: Vec<Value> = processes
        .iter()
        .map(|process| match &process.status {
            Ok(status) => json!({ "member": process.member, "status": status }),
            Err(problem) => json!({ "member": process.member, "problem": problem }),
        })
        .collect();
    let json = json!({
        "accepted": head,
        "versions": versions,
        "states": states,
        "behind": lagging,
        "no_answer": unresponsive,
        "processes": list,
    });
    Output {
        differs: !lagging.is_empty() || !unresponsive.is_empty(),
        ..Output::new(lines.join("\n"), json)
    }
}
