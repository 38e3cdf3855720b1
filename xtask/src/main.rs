//! Developer tasks: the demo, load tests, trace replay, measurements and fault-injection tests.
//!
//! Unlike the product, these tasks start other processes.

mod caller;
mod cluster;
mod demo;
mod deployment;
mod load;
mod measure;
mod process;
mod prove;
mod relay;
mod replay;
mod slopes;
mod soak;
mod torture;

use std::process::ExitCode;

const HELP: &str = "cargo xtask COMMAND [options]

  demo [--deployment NAME]   send a conversation through all processes, continue it after the
                             engines dropped their caches, and print the cost of each prompt;
                             without --deployment both, lakeshore and herrera
  slopes [--no-processes]    measure how the cost of a node grows with the size of the system
  replay TRACE [--deployment NAME] [--policy NAME] [--set NAME=VALUE] [--json]
                             replay a trace in virtual time; see docs/routing.md
  torture [--seed N] [--rounds N] [--deployment NAME] [--json] [--only-round N] [--keep-logs]
          [--fail-fast] [--no-build]
                             rounds of random faults over a small cluster; compares what callers
                             were told with what was executed; the same seed
                             gives the same schedule
  soak [--seed N] [--seeds K | --minutes M] [--rounds R] [--no-build]
                             torture with consecutive seeds, alternating between both deployments: 50
                             seeds, K or as many as fit into M minutes, from a random seed unless one
                             is given
  prove [NAME ...] [--deployment NAME] [--no-build]
                             one focused test for each invariant over real processes: at-most-once,
                             not-run, whole-answers, drained, in-force, in-force-cut,
                             foreign-blocks, cold, shutdown; without a name all of them
  load [--json]              added time to first token, tokens/s per core and memory of an entry; in
                             a release build: cargo run --release --package xtask -- load
  measure [--deployment NAME]
                             a deployment at about 80% load while a failure domain is drained and
                             returns cold and an agent is killed; writes docs/measurements.md and
                             the plots; in a release build, as above
Exit codes: 0 passed, 1 failed, 2 wrong arguments.";

/// Result of a task; errors are only printed.
pub(crate) type Result<Value> =
    std::result::Result<Value, Box<dyn std::error::Error + Send + Sync>>;

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let result = match arguments.subcommand() {
        Ok(Some(command)) => match command.as_str() {
            "replay" => replay::run(arguments),
            "demo" => runtime.block_on(demo::run(arguments)),
            "load" => runtime.block_on(load::run(arguments)),
            "measure" => runtime.block_on(measure::run(arguments)),
            "slopes" => runtime.block_on(slopes::run(arguments)),
            "prove" => runtime.block_on(prove::run(arguments)),
            "soak" => runtime.block_on(soak::run(arguments)),
            "torture" => runtime.block_on(torture::run(arguments)),
            other => {
                eprintln!("unknown command {other:?}; see --help");
                return ExitCode::from(2);
            }
        },
        _ => {
            eprintln!("a command is missing; see --help");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("failed: {problem}");
            ExitCode::FAILURE
        }
    }
}
