//! Replays a trace in virtual time through the product's I/O-free routing, admission and transfer
//! logic, with simple simulations of engines, store hosts and links; see `docs/routing.md`.

mod engine;
mod fleet;
mod flow;
mod parameters;
mod report;
mod stores;
mod trace;
mod world;

use std::path::PathBuf;

use crate::Result;
use crate::deployment::Deployment;
use parameters::{POLICIES, Parameters, Policy};
use report::Report;
use world::World;

/// Runs `replay TRACE [--deployment NAME] [--policy NAME] [--set NAME=VALUE]... [--json]`.
pub(crate) fn run(mut arguments: pico_args::Arguments) -> Result<()> {
    let as_json = arguments.contains("--json");
    let deployment: Option<String> = arguments.opt_value_from_str("--deployment")?;
    let policy: Option<String> = arguments.opt_value_from_str("--policy")?;
    let settings: Vec<String> = arguments.values_from_str("--set")?;
    let path: PathBuf = arguments.free_from_str()?;
    let names = deployment.map_or(vec!["lakeshore".to_owned(), "herrera".to_owned()], |name| {
        vec![name]
    });
    let policies = policy.map_or(
        POLICIES
            .iter()
            .map(|(name, _)| (*name).to_owned())
            .collect(),
        |name| vec![name],
    );
    let mut parameters = Parameters::default();
    for setting in &settings {
        parameters.set(setting)?;
    }
    if !as_json {
        Report::print_header();
    }
    for name in names {
        let deployment = Deployment::open(&name)?;
        let lines = trace::open(&path, &deployment)?;
        for policy in &policies {
            let mut world = World::new(
                &deployment,
                lines.clone(),
                Policy::parse(policy)?,
                parameters.clone(),
            );
            world.run();
            let report = Report::new(&world, &name, policy);
            if as_json {
                println!("{}", serde_json::to_string(&report)?);
            } else {
                report.print();
            }
        }
    }
    Ok(())
}
