//! The focused proofs over real processes; each names the failures that it guards against where it
//! is written, in `xtask/src/prove/`.

use std::process::Command;

/// Runs a proof on both deployments' shapes; its output says what was seen.
fn prove(name: &str, deployment: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .args(["prove", name, "--no-build", "--deployment", deployment])
        .output()
        .expect("xtask starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}{errors}");
}

/// Guards against a call that runs twice (I8).
#[test]
fn at_most_once() {
    prove("at-most-once", "lakeshore");
}

/// Guards against "not run" for something that ran or runs later (I7).
#[test]
fn not_run() {
    prove("not-run", "lakeshore");
}

/// Guards against cut, doubled or crossed answers (I6) and answers for other teams (I2).
#[test]
fn whole_answers() {
    prove("whole-answers", "herrera");
}

/// Guards against new work for what operators took out (I5, I9).
#[test]
fn drained() {
    prove("drained", "lakeshore");
}

/// Guards against a configuration that is late or reverts (I11).
#[test]
fn in_force() {
    prove("in-force", "lakeshore");
}

/// Guards against changed, foreign and stale blocks (I1, I2, I3).
#[test]
fn foreign_blocks() {
    prove("foreign-blocks", "herrera");
}

/// Guards against overload of cold targets (I4).
#[test]
fn cold() {
    prove("cold", "herrera");
}

/// Guards against requests that a graceful shutdown cuts off (I10).
#[test]
fn shutdown() {
    prove("shutdown", "herrera");
}
