//! Runs the focused invariant tests over real processes; `xtask/src/prove/` describes the failures
//! that each guards against.

use std::process::Command;

/// Runs `xtask prove` for one invariant and deployment; prints its output on failure.
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

/// Guards against reporting "not run" for a call that ran or runs later (I7).
#[test]
fn not_run() {
    prove("not-run", "lakeshore");
}

/// Guards against truncated, duplicated or mismatched answers (I6) and answers for other teams
/// (I2).
#[test]
fn whole_answers() {
    prove("whole-answers", "herrera");
}

/// Guards against new work for drained failure domains and targets (I5, I9).
#[test]
fn drained() {
    prove("drained", "lakeshore");
}

/// Guards against a configuration that is late or reverts (I11).
#[test]
fn in_force() {
    prove("in-force", "lakeshore");
}

/// Guards against a configuration that does not reach a process without a connection to the
/// platform (I11).
#[test]
fn in_force_cut() {
    prove("in-force-cut", "lakeshore");
}

/// Guards against using corrupt blocks or those of other teams or weights (I1, I2, I3).
#[test]
fn foreign_blocks() {
    prove("foreign-blocks", "herrera");
}

/// Guards against overload of cold targets (I4).
#[test]
fn cold() {
    prove("cold", "herrera");
}

/// Guards against requests that are aborted by a graceful shutdown (I10).
#[test]
fn shutdown() {
    prove("shutdown", "herrera");
}
