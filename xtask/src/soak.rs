//! Random faults over real processes, seed after seed, for as long as asked.
//!
//! Each seed starts a cluster of its own behind relays, lets faults come in series and overlap, and
//! checks what callers were told against what targets executed; see `torture`.

use std::time::Duration;

use tokio::time::Instant;

use crate::torture::{self, Plan};
use crate::{Result, process};

/// The deployments, which take turns.
const DEPLOYMENTS: [&str; 2] = ["lakeshore", "herrera"];
/// Rounds of a seed; each has faults of its own.
const ROUNDS: u32 = 5;
/// Seeds that are played where neither a number nor a time is given.
const SEEDS: u64 = 50;

/// Plays seeds until their number or the time is reached.
pub(crate) async fn run(mut arguments: pico_args::Arguments) -> Result<()> {
    let first: Option<u64> = arguments.opt_value_from_str("--seed")?;
    let minutes: Option<f64> = arguments.opt_value_from_str("--minutes")?;
    let seeds: Option<u64> = arguments.opt_value_from_str("--seeds")?;
    let rounds: u32 = arguments.opt_value_from_str("--rounds")?.unwrap_or(ROUNDS);
    if !arguments.contains("--no-build") {
        process::build()?;
    }
    // Fresh seeds differ from run to run; they are printed, so that each can be played again.
    let first = first.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let end = match minutes {
        Some(minutes) => {
            let time = Duration::try_from_secs_f64(minutes * 60.0)
                .map_err(|error| format!("--minutes is {minutes}: {error}"))?;
            Some(Instant::now() + time)
        }
        None => None,
    };
    let most = seeds.unwrap_or(if end.is_some() { u64::MAX } else { SEEDS });
    let mut played = 0;
    let mut failed: Vec<String> = Vec::new();
    while played < most && end.is_none_or(|end| Instant::now() < end) {
        let seed = first.wrapping_add(played);
        let deployment = DEPLOYMENTS[usize::try_from(seed % 2)?];
        let plan = Plan {
            seed,
            rounds: 0..rounds,
            deployment: deployment.to_owned(),
            keeps_logs: false,
            fails_fast: true,
            is_json: false,
        };
        let again =
            format!("xtask torture --seed {seed} --rounds {rounds} --deployment {deployment}");
        match torture::play(&plan).await {
            Ok(true) => {}
            Ok(false) => failed.push(again),
            // One cluster that does not start says nothing of the seeds after it.
            Err(problem) => failed.push(format!("{again}: {problem}")),
        }
        played += 1;
    }
    println!("{played} seeds from {first}, {} failed", failed.len());
    if failed.is_empty() {
        return Ok(());
    }
    Err(format!("play again with:\n{}", failed.join("\n")).into())
}
