//! Runs `torture` with consecutive seeds, for a number of seeds or a length of time.
//!
//! Each seed starts its own cluster with relays in its links, injects consecutive and overlapping
//! faults, and compares what callers were told with what the targets executed.

use std::time::Duration;

use tokio::time::Instant;

use crate::torture::{self, Plan};
use crate::{Result, process};

/// The deployments; the seeds alternate between them.
const DEPLOYMENTS: [&str; 2] = ["lakeshore", "herrera"];
/// Rounds for each seed without `--rounds`; each round draws its own faults.
const DEFAULT_ROUNDS: u32 = 5;
/// Number of seeds without `--seeds` and `--minutes`.
const DEFAULT_SEEDS: u64 = 50;

/// Runs seeds until their number or the time is reached.
pub(crate) async fn run(mut arguments: pico_args::Arguments) -> Result<()> {
    let first: Option<u64> = arguments.opt_value_from_str("--seed")?;
    let minutes: Option<f64> = arguments.opt_value_from_str("--minutes")?;
    let seeds: Option<u64> = arguments.opt_value_from_str("--seeds")?;
    let rounds: u32 = arguments
        .opt_value_from_str("--rounds")?
        .unwrap_or(DEFAULT_ROUNDS);
    if !arguments.contains("--no-build") {
        process::build()?;
    }
    // Without --seed the first seed is random; failed seeds are printed so that they can be
    // reproduced.
    let first = first.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let end = match minutes {
        Some(minutes) => {
            let duration = Duration::try_from_secs_f64(minutes * 60.0)
                .map_err(|error| format!("--minutes is {minutes}: {error}"))?;
            Some(Instant::now() + duration)
        }
        None => None,
    };
    let max_seeds = seeds.unwrap_or(if end.is_some() {
        u64::MAX
    } else {
        DEFAULT_SEEDS
    });
    let mut completed = 0;
    let mut failed: Vec<String> = Vec::new();
    while completed < max_seeds && end.is_none_or(|end| Instant::now() < end) {
        let seed = first.wrapping_add(completed);
        let deployment = DEPLOYMENTS[usize::try_from(seed % 2)?];
        let plan = Plan {
            seed,
            rounds: 0..rounds,
            deployment: deployment.to_owned(),
            keeps_logs: false,
            fails_fast: true,
            is_json: false,
        };
        let command =
            format!("xtask torture --seed {seed} --rounds {rounds} --deployment {deployment}");
        match torture::execute(&plan).await {
            Ok(true) => {}
            Ok(false) => failed.push(command),
            // A cluster that fails to start does not affect the following seeds.
            Err(problem) => failed.push(format!("{command}: {problem}")),
        }
        completed += 1;
    }
    println!("{completed} seeds from {first}, {} failed", failed.len());
    if failed.is_empty() {
        return Ok(());
    }
    Err(format!("reproduce with:\n{}", failed.join("\n")).into())
}
