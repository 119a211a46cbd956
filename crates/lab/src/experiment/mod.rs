//! Drives the kernel against the engine's step model in virtual time.
//!
//! Entries, agents and engines are the kernel's routers and queues and the engine stand-in's
//! [`BatchModel`](crate::engine::BatchModel). There is no model of networks or hosts: a
//! request reaches its agent at once, and only digests lag. The same seed gives the same
//! bytes.

mod attempt;
mod bound;
mod execution;
mod invariant;
mod metrics;
mod node;
mod report;
mod request;
mod router;
mod simulator;
mod spec;
mod trace;

use std::{io, path::PathBuf};

use bpaf::Bpaf;

use crate::jsonc;

pub use self::{
    invariant::InvariantCounts,
    metrics::{RunMetrics, SpanMetrics},
    report::{ExperimentReport, ScenarioReport},
    spec::ExperimentSpec,
};

/// Which experiment to run.
#[derive(Clone, Debug, Bpaf)]
pub struct ExperimentOptions {
    /// Seed in place of the file's.
    #[bpaf(argument("N"))]
    pub seed: Option<u64>,
    /// Run the scenario of this name alone.
    #[bpaf(argument("NAME"))]
    pub scenario: Option<String>,
    /// Print JSON instead of a table.
    pub json: bool,
    /// Deployment, traffic and scenarios, as JSON with comments.
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Runs an experiment and prints its table.
///
/// # Errors
///
/// Fails if the file is wrong.
pub fn run(options: ExperimentOptions) -> io::Result<()> {
    let mut spec: ExperimentSpec = jsonc::read_file(&options.file)?;
    if let Some(name) = &options.scenario {
        spec.scenarios.retain(|scenario| *scenario.name == **name);
    }
    let seed = options.seed.unwrap_or(spec.seed);
    let report = simulate(&spec, seed).map_err(io::Error::other)?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{}", report.table());
    }
    Ok(())
}

/// Runs every scenario under every policy.
///
/// # Errors
///
/// Fails if the experiment names what does not exist, or its settings do not check out.
pub fn simulate(spec: &ExperimentSpec, seed: u64) -> Result<ExperimentReport, String> {
    let mut scenarios = Vec::new();
    for scenario in &spec.scenarios {
        let mut runs = Vec::new();
        for policy in &spec.policies {
            let catalog = spec.catalog(policy, &scenario.without)?;
            let trace = trace::draw(spec, scenario, &spec.catalog(policy, &[])?, seed)?;
            let mut simulator =
                simulator::EventSimulator::new(spec, scenario, &catalog, trace, seed)?;
            simulator.run();
            let metrics = RunMetrics::new(&mut simulator, spec, &catalog);
            runs.push((format!("{}+{}", policy[0], policy[1]).into(), metrics));
        }
        scenarios.push(ScenarioReport { scenario: scenario.name.clone(), runs });
    }
    Ok(ExperimentReport { name: spec.name.clone(), seed, scenarios })
}
