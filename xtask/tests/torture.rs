//! Rounds of random faults. Guards against every violation that `xtask/src/torture/check.rs`
//! detects: lost, duplicated, truncated, mismatched and leaked requests, a wrong "not run", work
//! for drained targets, overloaded cold targets, bad imports, and late or reverted configurations.

use std::process::Command;

/// Rounds of each test; the four tests run 200 rounds in total.
const ROUNDS: &str = "50";

fn torture(seed: &str, deployment: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .args(["torture", "--seed", seed, "--rounds", ROUNDS])
        .args(["--deployment", deployment, "--no-build"])
        .output()
        .expect("xtask starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}{errors}");
}

#[test]
fn lakeshore_seed_101() {
    torture("101", "lakeshore");
}

#[test]
fn lakeshore_seed_102() {
    torture("102", "lakeshore");
}

#[test]
fn herrera_seed_103() {
    torture("103", "herrera");
}

#[test]
fn herrera_seed_104() {
    torture("104", "herrera");
}

/// Runs `soak` with two seeds, which start one cluster of each deployment.
#[test]
fn soak_of_two_seeds() {
    let output = Command::new(env!("CARGO_BIN_EXE_xtask"))
        .args(["soak", "--seed", "200", "--seeds", "2", "--no-build"])
        .output()
        .expect("xtask starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}{errors}");
    assert!(text.contains("2 seeds from 200, 0 failed"), "{text}");
}
