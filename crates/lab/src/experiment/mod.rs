//! Simulates entries, agents and engines in virtual time to compare policies.
//!
//! The simulation uses the kernel's routers for the entries, the kernel's queues for the agents,
//! and the engine stand-in's [`BatchModel`](crate::engine::BatchModel) for the engines. Networks
//! and hosts are not simulated: a request reaches its agent without delay, and only digests and
//! reports of suspects are delayed. Two runs with the same seed produce the same bytes.

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

/// Command-line options of an experiment.
#[derive(Clone, Debug, Bpaf)]
pub struct ExperimentOptions {
    /// Seed of the requests and routers; overrides the file's value.
    #[bpaf(argument("N"))]
    pub seed: Option<u64>,
    /// Run only the scenario with this name.
    #[bpaf(argument("NAME"))]
    pub scenario: Option<String>,
    /// Print JSON instead of a table.
    pub json: bool,
    /// File that describes the deployment, traffic and scenarios, as JSON with comments.
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Runs an experiment and prints its report.
///
/// # Errors
///
/// Fails if the file cannot be read or describes an invalid experiment.
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

/// Simulates every scenario under every pair of policies.
///
/// # Errors
///
/// Fails if the experiment names a queue order, account, class or model that does not exist, or if
/// its settings are invalid.
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
