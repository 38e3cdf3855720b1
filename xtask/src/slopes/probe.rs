//! Measurements that run in a separate process, so that other data does not affect the memory
//! usage.

use std::hint::black_box;
use std::time::{Duration, Instant};

use context::Secret;
use control::Directory;
use rules::{Snapshot, key_digest};
use serde::{Deserialize, Serialize};
use types::{Model, Team, Version, Weights};

use super::network::member;
use crate::Result;

/// The result of a probe.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct Sample {
    /// Growth of resident memory, in bytes.
    pub(crate) bytes: f64,
    /// CPU time of one repetition, in microseconds.
    pub(crate) cpu_us: f64,
}

/// Minimum duration of the repetitions; the kernel updates the CPU time only every few
/// milliseconds.
const MIN_DURATION: Duration = Duration::from_millis(500);
/// Size of a memory page.
const PAGE_BYTES: f64 = 4096.0;

/// Runs a probe in this process.
pub(crate) fn run(name: &str, size: usize) -> Result<Sample> {
    match name {
        "rules" => {
            let text = rules_text(size);
            measure(|| Snapshot::parse("rules", &text, Version(1)).map_err(Into::into))
        }
        "directory" => measure(|| {
            let mut directory = Directory::default();
            for index in 0..size {
                directory.insert(member(index));
            }
            Ok(directory)
        }),
        "route" => {
            let hashes: Vec<u64> = (0..size as u64).map(|index| index * 0x9e37_79b9).collect();
            let mut key = 0_u64;
            measure(|| {
                key += 1;
                let key = routing::Key::new(&[&key.to_le_bytes()]);
                let members = hashes
                    .iter()
                    .enumerate()
                    .map(|(index, &hash)| (hash, index));
                Ok(black_box(routing::top(key, members, 4)))
            })
        }
        "chain" => {
            let prompt: String = (0..size).map(|word| format!("word{word} ")).collect();
            let secret = Secret::derive(b"slopes", &Team::from("team"));
            let (model, weights) = (Model::from("model"), Weights::from("v1"));
            measure(|| {
                Ok(black_box(context::chain(
                    &secret, &model, &weights, &prompt,
                )))
            })
        }
        other => Err(format!("unknown probe {other:?}").into()),
    }
}

/// Runs a probe in a child process.
pub(crate) fn spawn(name: &str, size: usize) -> Result<Sample> {
    let output = std::process::Command::new(std::env::current_exe()?)
        .args(["slopes", "--probe", name, "--size", &size.to_string()])
        .output()?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).into_owned().into());
    }
    Ok(serde_json::from_slice(&output.stdout)?)
}

fn measure<Value>(mut work: impl FnMut() -> Result<Value>) -> Result<Sample> {
    let memory = resident()?;
    let first_result = work()?;
    let bytes = resident()? - memory;
    let (started, cpu) = (Instant::now(), cpu_us(std::process::id())?);
    let mut repetitions = 0;
    while started.elapsed() < MIN_DURATION {
        black_box(work()?);
        repetitions += 1;
    }
    let cpu_us = (cpu_us(std::process::id())? - cpu) / f64::from(repetitions);
    black_box(&first_result);
    Ok(Sample { bytes, cpu_us })
}

fn resident() -> Result<f64> {
    resident_of(std::process::id())
}

/// Returns the resident memory of a process, in bytes.
pub(crate) fn resident_of(process: u32) -> Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{process}/statm"))?;
    let pages: f64 = text
        .split_whitespace()
        .nth(1)
        .ok_or("statm is short")?
        .parse()?;
    Ok(pages * PAGE_BYTES)
}

/// Returns the CPU time of all threads of a process, in microseconds.
pub(crate) fn cpu_us(process: u32) -> Result<f64> {
    let mut nanos = 0.0;
    for task in std::fs::read_dir(format!("/proc/{process}/task"))? {
        // A thread may end between the listing and the reading.
        if let Ok(text) = std::fs::read_to_string(task?.path().join("schedstat")) {
            nanos += text
                .split_whitespace()
                .next()
                .unwrap_or("0")
                .parse::<f64>()?;
        }
    }
    Ok(nanos / 1000.0)
}

fn rules_text(teams: usize) -> String {
    let mut text = String::new();
    for team in 0..teams {
        let digest: String = key_digest(&format!("key {team}"))
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        text.push_str(&format!(
            "team team-{team} key={digest} rate=20 share=2 priority=normal # sales: contract {team}\n\
             retain team-{team} bytes=1000000000 days=14 # sales: contract {team}\n"
        ));
    }
    text
}
