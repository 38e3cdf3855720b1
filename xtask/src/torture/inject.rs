//! Injects faults and ends them.

use std::collections::HashMap;
use std::time::{Duration, SystemTime};

use rustix::process::Signal;
use serde_json::{Value, json};

use super::check::{DrainPeriod, Findings};
use super::schedule::{Fault, Process};
use crate::Result;
use crate::cluster::{Cluster, Node};
use crate::relay;

/// The active faults, and the records that the checks need.
#[derive(Debug, Default)]
pub(super) struct Injector {
    /// The accepted drains; the last one may still be in force.
    pub(super) drains: Vec<DrainPeriod>,
    /// How an entry was stopped (killed or terminated), by round and index of the entry.
    pub(super) stopped: HashMap<(u32, usize), &'static str>,
    /// Number of injected faults by kind.
    pub(super) counts: HashMap<&'static str, u32>,
    /// The last accepted version, and the time of its acceptance in milliseconds since 1970.
    pub(super) accepted: (u64, u64),
    is_draining: bool,
    terminating: Vec<Process>,
    killed: Vec<Process>,
}

/// Timeout of a graceful shutdown after all other faults have ended.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(30);
/// Minimum duration of a drain. It exceeds the 3 s after which new work is a violation.
const MIN_DRAIN_MS: u64 = 4500;
/// Delay of each chunk on a slow link.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(40);

impl Injector {
    /// Creates an injector for a new cluster, whose configuration has version 1.
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
            Fault::Kill(process) => {
                if self.is_stopped(*process) {
                    return Ok(());
                }
                if let Process::Entry(entry) = process {
                    self.stopped.insert((round, *entry), "killed");
                }
                node(cluster, *process).process.kill().await?;
                self.killed.push(*process);
            }
            Fault::Freeze(process) if !self.is_stopped(*process) => {
                node(cluster, *process).process.signal(Signal::STOP)?;
            }
            Fault::Terminate(process) => {
                if self.is_stopped(*process) {
                    return Ok(());
                }
                if let Process::Entry(entry) = process {
                    self.stopped.entry((round, *entry)).or_insert("terminated");
                }
                node(cluster, *process).process.signal(Signal::TERM)?;
                self.terminating.push(*process);
            }
            Fault::Freeze(_) => return Ok(()),
            Fault::Cut(link) => set_link(cluster, *link, |state| state.is_cut = true),
            Fault::HoldRequests(link) => set_link(cluster, *link, |state| {
                state.holds_requests = true;
            }),
            Fault::HoldAnswers(link) => set_link(cluster, *link, |state| {
                state.holds_answers = true;
            }),
            Fault::Slow(link) => set_link(cluster, *link, |state| state.delay = SLOW_LINK_DELAY),
            Fault::Cold(engine) => {
                let url = format!("http://{}/cold", cluster.engines[*engine].address("")?);
                cluster.http.post(url).send().await?;
            }
            Fault::Drain(subject) => {
                if self.is_draining {
                    return Ok(());
                }
                let rule = format!("drain {subject} # torture: round {round}\n");
                if self.apply(cluster, &rule).await? {
                    self.is_draining = true;
                    self.drains.push(DrainPeriod {
                        subject: subject.clone(),
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

    /// Ends a fault.
    pub(super) async fn end(&mut self, cluster: &mut Cluster, fault: &Fault) -> Result<()> {
        match fault {
            Fault::Kill(process) => {
                if let Some(index) = self.killed.iter().position(|killed| killed == process) {
                    self.killed.swap_remove(index);
                    node(cluster, *process).restart().await?;
                }
            }
            Fault::Freeze(process) if !self.killed.contains(process) => {
                node(cluster, *process).process.signal(Signal::CONT)?;
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

    /// Waits for graceful shutdowns and restarts those processes; ends a drain after its minimum
    /// duration.
    pub(super) async fn end_round(
        &mut self,
        cluster: &mut Cluster,
        findings: &mut Findings,
    ) -> Result<()> {
        for process in std::mem::take(&mut self.terminating) {
            let stopped = node(cluster, process);
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
            && now_ms() > drain.from + MIN_DRAIN_MS
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

    /// Checks that all processes reach the accepted version within 4 s of its acceptance or the end
    /// of the faults, whichever is later, and that none reverts to an older version.
    pub(super) async fn check_versions(
        &self,
        cluster: &Cluster,
        faults_ended_at: u64,
        seen: &mut HashMap<String, (u64, u64)>,
        findings: &mut Findings,
    ) -> Result<()> {
        let (accepted, accepted_at) = self.accepted;
        let deadline = accepted_at.max(faults_ended_at) + 4000;
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
                    let late = now_ms() - accepted_at.max(faults_ended_at);
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

    /// Applies rules; returns whether they were accepted.
    async fn apply(&mut self, cluster: &Cluster, extra_rules: &str) -> Result<bool> {
        let output = cluster.apply(extra_rules, None).await?;
        if !output.status.success() {
            // After a lost response the outcome is unknown, so `accepted` is not updated.
            return Ok(false);
        }
        let text: Value = serde_json::from_slice(&output.stdout)?;
        self.accepted = (text["accepted"].as_u64().unwrap_or(0), now_ms());
        Ok(true)
    }

    /// Applies two configurations concurrently on the same base version.
    async fn race(&mut self, cluster: &Cluster, round: u32, findings: &mut Findings) -> Result<()> {
        let drain = match self.drains.last() {
            Some(drain) if self.is_draining => format!("drain {} # torture: kept\n", drain.subject),
            _ => String::new(),
        };
        let extra_rules = |who: &str| format!("{drain}# round {round}, operator {who}\n");
        let (first, second) = (extra_rules("one"), extra_rules("two"));
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

    /// Returns whether another fault has already stopped the process.
    fn is_stopped(&self, process: Process) -> bool {
        self.killed.contains(&process) || self.terminating.contains(&process)
    }
}

/// Returns the milliseconds since 1970.
pub(super) fn now_ms() -> u64 {
    let now = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    now.as_millis() as u64
}

fn node(cluster: &mut Cluster, process: Process) -> &mut Node {
    match process {
        Process::Entry(index) => &mut cluster.entries[index],
        Process::Agent(index) => &mut cluster.agents[index],
        Process::Store(index) => &mut cluster.stores[index],
        Process::Engine(index) => &mut cluster.engines[index],
        Process::Service(index) => &mut cluster.services[index],
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
        other => return Err(format!("{other:?} is not a fault of a stand-in").into()),
    };
    let faults = if on { faults } else { json!({}) };
    // The request fails if another fault has stopped the stand-in.
    let _ = tokio::time::timeout(Duration::from_secs(2), cluster.set_faults(node, &faults)).await;
    Ok(())
}
