//! One focused test for each invariant, over real processes.

mod answers;
mod bench;
mod blocks;
mod calls;
mod config;

use crate::{Result, process};
use bench::Bench;

/// The names of all proofs.
const NAMES: [&str; 8] = [
    "at-most-once",
    "not-run",
    "whole-answers",
    "drained",
    "in-force",
    "foreign-blocks",
    "cold",
    "shutdown",
];

/// Runs the proofs that the arguments name, or all.
pub(crate) async fn run(mut arguments: pico_args::Arguments) -> Result<()> {
    let name: Option<String> = arguments.opt_value_from_str("--deployment")?;
    if !arguments.contains("--no-build") {
        process::build()?;
    }
    let wanted: Vec<_> = arguments
        .finish()
        .into_iter()
        .map(|name| name.to_string_lossy().into_owned())
        .collect();
    if let Some(unknown) = wanted.iter().find(|name| !NAMES.contains(&name.as_str())) {
        return Err(format!("unknown proof {unknown:?}; accepted are {NAMES:?}").into());
    }
    let mut failed = Vec::new();
    for proof in NAMES {
        if !wanted.is_empty() && !wanted.iter().any(|name| name == proof) {
            continue;
        }
        println!("{proof}");
        let folder = format!("boragereel-prove-{}-{proof}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        let mut bench = Bench::start(name.as_deref().unwrap_or("lakeshore"), &folder).await?;
        let result = match proof {
            "at-most-once" => calls::at_most_once(&mut bench).await,
            "not-run" => calls::not_run(&mut bench).await,
            "whole-answers" => answers::whole_answers(&mut bench).await,
            "drained" => config::drained(&mut bench).await,
            "in-force" => config::in_force(&mut bench).await,
            "foreign-blocks" => blocks::foreign_blocks(&mut bench).await,
            "cold" => blocks::cold(&mut bench).await,
            _ => answers::shutdown(&mut bench).await,
        };
        match result {
            Ok(()) => {
                println!("  passed");
                std::fs::remove_dir_all(&folder)?;
            }
            Err(problem) => {
                println!("  FAILED: {problem}; the logs are in {}", folder.display());
                failed.push(proof);
            }
        }
    }
    if failed.is_empty() {
        return Ok(());
    }
    Err(format!("failed: {failed:?}").into())
}
