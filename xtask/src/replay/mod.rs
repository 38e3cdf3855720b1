//! Replays a recorded trace in virtual time through the pure cores of the product, with small
//! simulations of engines, stores and links; see `docs/routing.md`.

mod engine;
mod fleet;
mod flow;
mod kept;
mod knobs;
mod report;
mod trace;
mod world;

use std::path::PathBuf;

use crate::Result;
use crate::deployment::Deployment;
use knobs::{Knobs, POLICIES, Policy};
use report::Report;
use world::World;

/// Runs `replay TRACE [--deployment NAME] [--policy NAME] [--set KNOB=VALUE]... [--json]`.
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
    let mut knobs = Knobs::default();
    for setting in &settings {
        knobs.set(setting)?;
    }
    if !as_json {
        Report::print_head();
    }
    for name in names {
        let deployment = Deployment::open(&name)?;
        let lines = trace::open(&path, &deployment)?;
        for policy in &policies {
            let mut world = World::new(
                &deployment,
                lines.clone(),
                Policy::parse(policy)?,
                knobs.clone(),
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
