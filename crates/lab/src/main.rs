//! Command line that runs a stand-in, a load, a measurement or an experiment.

use std::process::ExitCode;

use bpaf::Bpaf;
use pimentorock_lab::{
    engine::{self, EngineOptions, engine_options},
    experiment::{self, ExperimentOptions, experiment_options},
    load::{self, LoadOptions, load_options},
    platform::{self, PlatformOptions, platform_options},
    propagation::{self, PropagationOptions, propagation_options},
    service::{self, ServiceOptions, service_options},
};

/// Stand-in servers, load generator and simulations for the development of pimentorock.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum LabCommand {
    /// Runs a stand-in for the platform.
    #[bpaf(command("platform"))]
    Platform(#[bpaf(external(platform_options))] PlatformOptions),
    /// Runs a stand-in for a model engine.
    #[bpaf(command("engine"))]
    Engine(#[bpaf(external(engine_options))] EngineOptions),
    /// Runs a stand-in for a plain HTTP service.
    #[bpaf(command("service"))]
    Service(#[bpaf(external(service_options))] ServiceOptions),
    /// Sends open-loop load to entries and checks every answer.
    #[bpaf(command("load"))]
    Load(#[bpaf(external(load_options))] LoadOptions),
    /// Compares queue and route policies in a simulation in virtual time.
    #[bpaf(command("experiment"))]
    Experiment(#[bpaf(external(experiment_options))] ExperimentOptions),
    /// Measures how long configuration changes and key withdrawals take to reach every process.
    #[bpaf(command("in-force"))]
    Propagation(#[bpaf(external(propagation_options))] PropagationOptions),
}

#[tokio::main]
async fn main() -> ExitCode {
    let outcome = match lab_command().run() {
        LabCommand::Platform(options) => platform::run(options).await,
        LabCommand::Engine(options) => engine::run(options).await,
        LabCommand::Service(options) => service::run(options).await,
        LabCommand::Load(options) => load::run(options).await,
        LabCommand::Experiment(options) => experiment::run(options),
        LabCommand::Propagation(options) => propagation::run(options).await,
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pimentorock-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
