//! Focused tests of single invariants over real processes.

mod answers;
mod blocks;
mod calls;
mod config;
mod fixture;

use crate::{Result, process};
use fixture::Fixture;

/// The names of all tests, in the order in which they run.
const NAMES: [&str; 9] = [
    "at-most-once",
    "not-run",
    "whole-answers",
    "drained",
    "in-force",
    "in-force-cut",
    "foreign-blocks",
    "cold",
    "shutdown",
];

/// Runs the tests that are named in the arguments, or all of them.
pub(crate) async fn run(mut arguments: pico_args::Arguments) -> Result<()> {
    let name: Option<String> = arguments.opt_value_from_str("--deployment")?;
    if !arguments.contains("--no-build") {
        process::build()?;
    }
    let selected: Vec<_> = arguments
        .finish()
        .into_iter()
        .map(|name| name.to_string_lossy().into_owned())
        .collect();
    if let Some(unknown) = selected.iter().find(|name| !NAMES.contains(&name.as_str())) {
        return Err(format!("unknown proof {unknown:?}; accepted are {NAMES:?}").into());
    }
    let mut failed = Vec::new();
    for proof in NAMES {
        if !selected.is_empty() && !selected.iter().any(|name| name == proof) {
            continue;
        }
        println!("{proof}");
        let folder = format!("boragereel-prove-{}-{proof}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        let mut fixture = Fixture::start(name.as_deref().unwrap_or("lakeshore"), &folder).await?;
        let result = match proof {
            "at-most-once" => calls::at_most_once(&mut fixture).await,
            "not-run" => calls::not_run(&mut fixture).await,
            "whole-answers" => answers::whole_answers(&mut fixture).await,
            "drained" => config::drained(&mut fixture).await,
            "in-force" => config::in_force(&mut fixture).await,
            "in-force-cut" => config::in_force_cut(&mut fixture).await,
            "foreign-blocks" => blocks::foreign_blocks(&mut fixture).await,
            "cold" => blocks::cold(&mut fixture).await,
            _ => answers::shutdown(&mut fixture).await,
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
