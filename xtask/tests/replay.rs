//! Checks the figures of each replay against the limits in `tests/goals`.
//!
//! Guards against changes of the placement decisions that slow down returning prompts, recompute
//! cached blocks, lose or refuse requests, or send work to drained or overloaded cold targets. A
//! replay runs in virtual time, so its result is deterministic.

use std::collections::HashMap;
use std::path::Path;
use std::process::Command;

use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Goal {
    trace: String,
    checks: Vec<Check>,
}

/// An upper limit of a figure: a number, or a multiple of the same figure of another replay.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Check {
    /// A JSON pointer into the report.
    figure: String,
    at_most: f64,
    /// The policy or the trace whose figure `at_most` is a multiple of.
    of_policy: Option<String>,
    of_trace: Option<String>,
}

fn check(path: &Path) -> datatest_stable::Result<()> {
    let goal: Goal = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let mut reports = HashMap::new();
    let mut violations = Vec::new();
    for deployment in ["lakeshore", "herrera"] {
        let mut figure = |trace: &str, policy: &str, figure: &str| {
            let key = [deployment, trace, policy].map(ToOwned::to_owned);
            let report = match reports.get(&key) {
                Some(report) => report,
                None => {
                    let report = replay(deployment, trace, policy)?;
                    reports.entry(key).or_insert(report)
                }
            };
            let value = report.pointer(figure).and_then(sum);
            value.ok_or_else(|| format!("the report has no figure {figure}"))
        };
        for check in &goal.checks {
            let actual = figure(&goal.trace, "ours", &check.figure)?;
            let limit = match (&check.of_policy, &check.of_trace) {
                (None, None) => check.at_most,
                (policy, trace) => {
                    let policy = policy.as_deref().unwrap_or("ours");
                    let trace = trace.as_ref().unwrap_or(&goal.trace);
                    check.at_most * figure(trace, policy, &check.figure)?
                }
            };
            if actual > limit {
                violations.push(format!(
                    "{deployment}: {} is {actual:.3}, the limit is {limit:.3}",
                    check.figure
                ));
            }
        }
    }
    if violations.is_empty() {
        return Ok(());
    }
    Err(violations.join("\n").into())
}

/// Returns a number, or the sum of the numbers in an object.
fn sum(value: &Value) -> Option<f64> {
    match value {
        Value::Object(values) => values.values().map(sum).sum(),
        value => value.as_f64(),
    }
}

fn replay(deployment: &str, trace: &str, policy: &str) -> Result<Value, String> {
    let trace = format!("{}/traces/{trace}", env!("CARGO_MANIFEST_DIR"));
    let output = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .args(["replay", &trace, "--deployment", deployment])
        .args(["--policy", policy, "--json"])
        .output()
        .map_err(|error| error.to_string())?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).into_owned());
    }
    serde_json::from_slice(&output.stdout).map_err(|error| error.to_string())
}

datatest_stable::harness! {
    { test = check, root = "tests/goals", pattern = r"\.json$" },
}
