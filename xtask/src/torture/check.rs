//! Compares what callers were told with what the stand-ins executed.

use std::collections::{BTreeMap, HashMap, HashSet};

use serde_json::{Value, json};

use super::client::{End, Outcome, Payload, is_prefix};
use crate::Result;
use crate::caller::expected_text;
use crate::cluster::Cluster;

/// The period of a drain, in milliseconds since 1970.
#[derive(Debug, Clone)]
pub(super) struct DrainPeriod {
    /// `domain NAME` or `target NAME`.
    pub(super) subject: String,
    pub(super) from: u64,
    pub(super) until: u64,
}

/// The results of a check. `counts` holds the violations by kind, which all have to be 0.
#[derive(Debug, Default)]
pub(super) struct Findings {
    pub(super) counts: BTreeMap<&'static str, u32>,
    pub(super) details: Vec<String>,
    pub(super) told_maybe: u32,
    pub(super) refused: u32,
    pub(super) answered: u32,
    pub(super) unknown_after_kill: u32,
}

/// How long after its acceptance a drain must have taken effect, in milliseconds.
pub(super) const DRAIN_LIMIT_MS: u64 = 3000;
/// The kinds of violations, in the order in which they are printed.
const KINDS: [&str; 15] = [
    "lost",
    "doubled",
    "truncated",
    "crossed",
    "leaked",
    "wrongly not run",
    "answered but not run",
    "different answers to one key",
    "cut off by graceful shutdown",
    "work to drained targets",
    "overloads",
    "bad imports",
    "configuration late",
    "configuration reverted",
    "two operators accepted",
];

impl Findings {
    pub(super) fn new() -> Self {
        Self {
            counts: KINDS.iter().map(|&kind| (kind, 0)).collect(),
            ..Self::default()
        }
    }

    pub(super) fn add(&mut self, kind: &'static str, count: u32, detail: &str) {
        if count == 0 {
            return;
        }
        *self.counts.entry(kind).or_default() += count;
        self.details.push(format!("{kind}: {detail}"));
    }

    pub(super) fn is_clean(&self) -> bool {
        self.counts.values().all(|&count| count == 0)
    }
}

#[derive(Default)]
struct Executed {
    /// Executions of each prompt, by the seed that the engine derives from it.
    prompts: HashMap<u64, Vec<Value>>,
    /// Executions of each call, by its body.
    calls: HashMap<String, u32>,
}

/// Returns the seed that the stand-in derives from a prompt.
fn seed(prompt: &str) -> u64 {
    let hash = blake3::hash(format!("user: {prompt}\n").as_bytes());
    let mut bytes = [0; 4];
    bytes.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_le_bytes(bytes).into()
}

/// Checks all outcomes against the logs of all stand-ins.
pub(super) async fn check(
    cluster: &Cluster,
    outcomes: &[Outcome],
    drains: &[DrainPeriod],
    stopped: &HashMap<(u32, usize), &'static str>,
    findings: &mut Findings,
) -> Result<()> {
    let executed = read_logs(cluster, drains, findings).await?;
    let mut outcomes_by_key: HashMap<&str, Vec<&Outcome>> = HashMap::new();
    let mut salts: HashMap<String, HashSet<usize>> = HashMap::new();
    for outcome in outcomes {
        let context = format!("round {} team {}", outcome.round, outcome.team);
        check_end(outcome, stopped, findings, &context);
        let reported_not_run = !outcome.refusals.is_empty()
            && outcome.failed_attempts.is_empty()
            && outcome.refusals.iter().all(|ran| ran == "no")
            && outcome.end == End::Refused;
        match &outcome.payload {
            Payload::Prompt {
                prompt,
                tokens,
                text,
            } => {
                let runs = executed.prompts.get(&seed(prompt));
                if reported_not_run && let Some(runs) = runs {
                    findings.add("wrongly not run", 1, &format!("{context}: prompt {runs:?}"));
                }
                for run in runs.into_iter().flatten() {
                    let salt = run["salt"].as_str().unwrap_or("").to_owned();
                    salts.entry(salt).or_default().insert(outcome.team);
                }
                if !is_prefix(prompt, *tokens, text) {
                    findings.add("crossed", 1, &format!("{context}: has {text:?}"));
                } else if matches!(outcome.end, End::Answered(_))
                    && *text != expected_text(prompt, *tokens)
                {
                    let detail =
                        format!("{context}: {} of {tokens} tokens", text.split(' ').count());
                    findings.add("truncated", 1, &detail);
                }
            }
            Payload::Call { body, has_key } => {
                let runs = executed.calls.get(body).copied().unwrap_or(0);
                if *has_key {
                    outcomes_by_key.entry(body).or_default().push(outcome);
                } else if reported_not_run {
                    findings.add("wrongly not run", runs, &format!("{context}: call {body}"));
                }
                if runs > 1 {
                    let detail = format!("{context}: call {body} ran {runs} times");
                    findings.add("doubled", 1, &detail);
                }
                if let End::Answered(answer) = &outcome.end {
                    let value: Value = serde_json::from_str(answer).unwrap_or_default();
                    if value["echo"].as_str() != Some(body) {
                        let detail = format!("{context}: call {body} was answered {answer}");
                        findings.add("crossed", 1, &detail);
                    }
                    if runs == 0 {
                        findings.add("answered but not run", 1, &format!("{context}: {body}"));
                    }
                }
            }
        }
    }
    for (body, outcomes) in outcomes_by_key {
        check_key(body, &outcomes, &executed, findings);
    }
    for (salt, teams) in salts {
        if teams.len() > 1 {
            findings.add("leaked", 1, &format!("teams {teams:?} share salt {salt}"));
        }
    }
    Ok(())
}

/// Checks all requests with the same idempotency key together.
fn check_key(body: &str, outcomes: &[&Outcome], executed: &Executed, findings: &mut Findings) {
    let runs = executed.calls.get(body).copied().unwrap_or(0);
    let answers: HashSet<&End> = outcomes
        .iter()
        .map(|outcome| &outcome.end)
        .filter(|end| matches!(end, End::Answered(_)))
        .collect();
    if answers.len() > 1 {
        findings.add("different answers to one key", 1, &format!("{answers:?}"));
    }
    let reported_not_run = outcomes.iter().all(|outcome| {
        outcome.end == End::Refused
            && outcome.failed_attempts.is_empty()
            && outcome.refusals.iter().all(|ran| ran == "no")
    });
    if reported_not_run {
        findings.add("wrongly not run", runs, &format!("call {body} with a key"));
    }
}

fn check_end(
    outcome: &Outcome,
    stopped: &HashMap<(u32, usize), &'static str>,
    findings: &mut Findings,
    context: &str,
) {
    findings.told_maybe += u32::from(outcome.refusals.iter().any(|ran| ran == "maybe"));
    if outcome.is_leaked {
        findings.add(
            "leaked",
            1,
            &format!("{context}: answer given to another team"),
        );
    }
    for (entry, problem) in &outcome.failed_attempts {
        match stopped.get(&(outcome.round, *entry)) {
            Some(&"killed") => {}
            Some(_) => {
                let detail = format!("{context}: entry-{entry}: {problem}");
                findings.add("cut off by graceful shutdown", 1, &detail);
            }
            // If the request has no other outcome, it is counted as lost below.
            None => {}
        }
    }
    match outcome.end {
        End::Answered(_) => findings.answered += 1,
        End::Refused => findings.refused += 1,
        End::Nothing => {
            // The outcome is legitimately unknown if the entry was killed and the caller may not
            // retry because the call has no key.
            let was_killed = outcome
                .failed_attempts
                .iter()
                .any(|(entry, _)| stopped.get(&(outcome.round, *entry)) == Some(&"killed"));
            let may_retry = !matches!(outcome.payload, Payload::Call { has_key: false, .. });
            if was_killed && !may_retry {
                findings.unknown_after_kill += 1;
            } else {
                let description = match &outcome.payload {
                    Payload::Prompt { text, tokens, .. } => {
                        format!("prompt with {} of {tokens} tokens", text.split(' ').count())
                    }
                    Payload::Call { body, .. } => format!("call {body}"),
                };
                let detail = format!(
                    "{context}: {description}: told {:?}, {:?}",
                    outcome.refusals, outcome.failed_attempts
                );
                findings.add("lost", 1, &detail);
            }
        }
    }
}

async fn read_logs(
    cluster: &Cluster,
    drains: &[DrainPeriod],
    findings: &mut Findings,
) -> Result<Executed> {
    let mut executed = Executed::default();
    let deployment = &cluster.deployment;
    for (index, engine) in cluster.engines.iter().enumerate() {
        let log = cluster.log_of(engine).await?;
        let count = |name: &str| log[name].as_u64().unwrap_or(0) as u32;
        for overload in log["overloads"].as_array().into_iter().flatten() {
            findings.add("overloads", 1, &format!("{}: {overload}", engine.name));
        }
        findings.add("bad imports", count("bad_imports"), &engine.name);
        let target = format!("target {}-{index}", deployment.model);
        let domain = format!("domain {}", deployment.domain(index));
        for run in log["executed"].as_array().into_iter().flatten() {
            check_drained(run, &target, &domain, drains, findings);
            let seed = run["seed"].as_u64().unwrap_or(0);
            executed.prompts.entry(seed).or_default().push(run.clone());
        }
    }
    for (index, service) in cluster.services.iter().enumerate() {
        let log = cluster.log_of(service).await?;
        let target = format!("target {}-{index}", deployment.service);
        let domain = format!("domain {}", deployment.domain(index));
        for run in log.as_array().into_iter().flatten() {
            check_drained(run, &target, &domain, drains, findings);
            let body = run["body"].as_str().unwrap_or("").to_owned();
            *executed.calls.entry(body).or_default() += 1;
        }
    }
    Ok(executed)
}

fn check_drained(
    run: &Value,
    target: &str,
    domain: &str,
    drains: &[DrainPeriod],
    findings: &mut Findings,
) {
    let executed_at = run["at_ms"].as_u64().unwrap_or(0);
    for drain in drains {
        let is_late = drain.from + DRAIN_LIMIT_MS < executed_at && executed_at < drain.until;
        if is_late && (drain.subject == target || drain.subject == domain) {
            let detail = format!("{target}: {} ms after acceptance", executed_at - drain.from);
            findings.add("work to drained targets", 1, &detail);
        }
    }
}

/// Returns the findings as JSON.
pub(super) fn to_json(findings: &Findings) -> Value {
    json!({
        "violations": findings.counts,
        "details": findings.details,
        "answered": findings.answered,
        "refused": findings.refused,
        "told_maybe": findings.told_maybe,
        "unknown_after_kill": findings.unknown_after_kill,
    })
}
