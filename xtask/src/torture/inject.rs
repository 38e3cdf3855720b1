//! Carries faults out and takes them back.

use std::collections::HashMap;
use std::time::{Duration, SystemTime};

use rustix::process::Signal;
use serde_json::{Value, json};

use super::check::{Drained, Findings};
use super::schedule::{Fault, Part};
use crate::Result;
use crate::cluster::{Cluster, Node};
use crate::relay;

/// The faults that are in force and what they did.
#[derive(Debug, Default)]
pub(super) struct Injector {
    /// Drains that were accepted; the last one may be in force.
    pub(super) drains: Vec<Drained>,
    /// Entries that were stopped in a round, and how.
    pub(super) stopped: HashMap<(u32, usize), &'static str>,
    /// Faults by kind.
    pub(super) counts: HashMap<&'static str, u32>,
    /// The last version that was accepted, and when, in milliseconds since 1970.
    pub(super) accepted: (u64, u64),
    is_draining: bool,
    terminating: Vec<Part>,
    killed: Vec<Part>,
}

/// How long a graceful shutdown may take once all other faults are over.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(30);
/// How long a drain lasts; work must have stopped 3 s after its start.
const DRAIN_LASTS_MS: u64 = 4500;
/// The delay of each piece on a slow link.
const SLOW: Duration = Duration::from_millis(40);

impl Injector {
    /// Starts with the configuration that the cluster was started with.
    pub(super) fn new() -> Self {
        Self {
            accepted: (1, now_ms()),
            ..Self::default()
        }
    }

    /// Starts a fault.
    pub(super) async fn start(
        &mut self,
        cluster: &mut Cluster,
        round: u32,
        fault: &Fault,
        findings: &mut Findings,
    ) -> Result<()> {
        match fault {
            Fault::Kill(part) => {
                if self.is_down(*part) {
                    return Ok(());
                }
                if let Part::Entry(entry) = part {
                    self.stopped.insert((round, *entry), "killed");
                }
                node(cluster, *part).process.kill().await?;
                self.killed.push(*part);
            }
            Fault::Freeze(part) if !self.is_down(*part) => {
                node(cluster, *part).process.signal(Signal::STOP)?;
            }
            Fault::Terminate(part) => {
                if self.is_down(*part) {
                    return Ok(());
                }
                if let Part::Entry(entry) = part {
                    self.stopped.entry((round, *entry)).or_insert("terminated");
                }
                node(cluster, *part).process.signal(Signal::TERM)?;
                self.terminating.push(*part);
            }
            Fault::Freeze(_) => return Ok(()),
            Fault::Cut(link) => set_link(cluster, *link, |state| state.is_cut = true),
            Fault::HoldRequests(link) => set_link(cluster, *link, |state| {
                state.holds_requests = true;
            }),
            Fault::HoldAnswers(link) => set_link(cluster, *link, |state| {
                state.holds_answers = true;
            }),
            Fault::Slow(link) => set_link(cluster, *link, |state| state.delay = SLOW),
            Fault::Cold(engine) => {
                let url = format!("http://{}/cold", cluster.engines[*engine].address("")?);
                cluster.http.post(url).send().await?;
            }
            Fault::Drain(what) => {
                if self.is_draining {
                    return Ok(());
                }
                let rule = format!("drain {what} # torture: round {round}\n");
                if self.apply(cluster, &rule).await? {
                    self.is_draining = true;
                    self.drains.push(Drained {
                        what: what.clone(),
                        from: now_ms(),
                        until: u64::MAX,
                    });
                }
            }
            Fault::Race => self.race(cluster, round, findings).await?,
            other => set_faults(cluster, other, true).await?,
        }
        *self.counts.entry(fault.kind()).or_default() += 1;
        Ok(())
    }

    /// Takes a fault back.
    pub(super) async fn end(&mut self, cluster: &mut Cluster, fault: &Fault) -> Result<()> {
        match fault {
            Fault::Kill(part) => {
                if let Some(index) = self.killed.iter().position(|killed| killed == part) {
                    self.killed.swap_remove(index);
                    node(cluster, *part).restart().await?;
                }
            }
            Fault::Freeze(part) if !self.killed.contains(part) => {
                node(cluster, *part).process.signal(Signal::CONT)?;
            }
            Fault::Cut(link)
            | Fault::HoldRequests(link)
            | Fault::HoldAnswers(link)
            | Fault::Slow(link) => cluster.links[*link].set(relay::State::default()),
            Fault::Terminate(_)
            | Fault::Freeze(_)
            | Fault::Cold(_)
            | Fault::Drain(_)
            | Fault::Race => {}
            other => set_faults(cluster, other, false).await?,
        }
        Ok(())
    }

    /// Waits for graceful shutdowns, starts those processes again and ends a drain that lasted
    /// long enough.
    pub(super) async fn settle(
        &mut self,
        cluster: &mut Cluster,
        findings: &mut Findings,
    ) -> Result<()> {
        for part in std::mem::take(&mut self.terminating) {
            let stopped = node(cluster, part);
            match stopped.process.wait(SHUTDOWN_LIMIT).await {
                Ok(status) if status.success() => {}
                other => {
                    let detail = format!("{} ended with {other:?}", stopped.name);
                    findings.add("cut off by graceful shutdown", 1, &detail);
                    let _ = stopped.process.kill().await;
                }
            }
            stopped.restart().await?;
        }
        if self.is_draining
            && let Some(drain) = self.drains.last()
            && now_ms() > drain.from + DRAIN_LASTS_MS
        {
            let until = now_ms();
            if self.apply(cluster, "").await? {
                if let Some(drain) = self.drains.last_mut() {
                    drain.until = until;
                }
                self.is_draining = false;
            }
        }
        Ok(())
    }

    /// Checks that all processes come to the accepted version within 4 s of the later of its
    /// acceptance and the end of the faults, and that none goes back.
    pub(super) async fn check_versions(
        &self,
        cluster: &Cluster,
        healed: u64,
        seen: &mut HashMap<String, (u64, u64)>,
        findings: &mut Findings,
    ) -> Result<()> {
        let (accepted, at) = self.accepted;
        let deadline = at.max(healed) + 4000;
        for node in cluster.agents.iter().chain(&cluster.entries) {
            loop {
                let status = cluster.status_of(node).await.unwrap_or_default();
                let version = status["version"].as_u64().unwrap_or(0);
                let incarnation = status["incarnation"].as_u64().unwrap_or(0);
                let last = seen.entry(node.name.clone()).or_default();
                if last.0 == incarnation && version < last.1 {
                    let detail = format!("{}: from {} to {version}", node.name, last.1);
                    findings.add("configuration reverted", 1, &detail);
                }
                *last = (incarnation, version);
                if version >= accepted {
                    break;
                }
                if now_ms() > deadline {
                    let late = now_ms() - at.max(healed);
                    let detail = format!(
                        "{}: {version} in place of {accepted} after {late} ms",
                        node.name
                    );
                    findings.add("configuration late", 1, &detail);
                    break;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Makes rules the configuration in force; returns whether they were accepted.
    async fn apply(&mut self, cluster: &Cluster, further: &str) -> Result<bool> {
        let output = cluster.apply(further, None).await?;
        if !output.status.success() {
            // A lost answer leaves it open; the head says what is accepted.
            return Ok(false);
        }
        let text: Value = serde_json::from_slice(&output.stdout)?;
        self.accepted = (text["accepted"].as_u64().unwrap_or(0), now_ms());
        Ok(true)
    }

    /// Lets two operators apply on the same base at the same time.
    async fn race(&mut self, cluster: &Cluster, round: u32, findings: &mut Findings) -> Result<()> {
        let drain = match self.drains.last() {
            Some(drain) if self.is_draining => format!("drain {} # torture: kept\n", drain.what),
            _ => String::new(),
        };
        let further = |who: &str| format!("{drain}# round {round}, operator {who}\n");
        let (first, second) = (further("one"), further("two"));
        let base = Some(self.accepted.0);
        let (first, second) =
            tokio::join!(cluster.apply(&first, base), cluster.apply(&second, base));
        let outputs = [first?, second?];
        let accepted: Vec<_> = outputs
            .iter()
            .filter(|output| output.status.success())
            .collect();
        if accepted.len() > 1 {
            findings.add("two operators accepted", 1, &format!("round {round}"));
        }
        if let Some(output) = accepted.first() {
            let text: Value = serde_json::from_slice(&output.stdout)?;
            self.accepted = (text["accepted"].as_u64().unwrap_or(0), now_ms());
        }
        Ok(())
    }

    /// Whether a process is stopped already by another fault of the round.
    fn is_down(&self, part: Part) -> bool {
        self.killed.contains(&part) || self.terminating.contains(&part)
    }
}

/// Returns the milliseconds since 1970.
pub(super) fn now_ms() -> u64 {
    let now = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    now.as_millis() as u64
}

fn node(cluster: &mut Cluster, part: Part) -> &mut Node {
    match part {
        Part::Entry(index) => &mut cluster.entries[index],
        Part::Agent(index) => &mut cluster.agents[index],
        Part::Store(index) => &mut cluster.stores[index],
        Part::Engine(index) => &mut cluster.engines[index],
        Part::Service(index) => &mut cluster.services[index],
    }
}

fn set_link(cluster: &Cluster, link: usize, change: fn(&mut relay::State)) {
    let mut state = relay::State::default();
    change(&mut state);
    cluster.links[link].set(state);
}

async fn set_faults(cluster: &Cluster, fault: &Fault, on: bool) -> Result<()> {
    let (node, faults) = match fault {
        Fault::PlatformDown => (&cluster.platform, json!({ "down": on })),
        Fault::PlatformSlow => (&cluster.platform, json!({ "delay_ms": 300 })),
        Fault::PlatformLoses(count) => (&cluster.platform, json!({ "lose_answers": count })),
        Fault::CutStreams(engine, after) => (
            &cluster.engines[*engine],
            json!({ "cut_streams": 3, "cut_after": after }),
        ),
        Fault::EngineLoses(engine) => (&cluster.engines[*engine], json!({ "lose_answers": 2 })),
        Fault::ServiceLoses(service) => (&cluster.services[*service], json!({ "lose_answers": 2 })),
        Fault::Corrupt(store) => (&cluster.stores[*store], json!({ "corrupt_blocks": 4 })),
        Fault::Truncate(store) => (&cluster.stores[*store], json!({ "truncate_blocks": 4 })),
        Fault::Swap(store) => (&cluster.stores[*store], json!({ "swap_blocks": 4 })),
        other => return Err(format!("{other:?} is no fault of a stand-in").into()),
    };
    let faults = if on { faults } else { json!({}) };
    // A store that another fault has stopped takes no faults.
    let _ = tokio::time::timeout(Duration::from_secs(2), cluster.set_faults(node, &faults)).await;
    Ok(())
}
