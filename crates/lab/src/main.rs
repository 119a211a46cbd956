//! Runs one stand-in, load or experiment of the developers' laboratory.

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

/// Stand-ins, load and experiments for the developers of pimentorock.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum LabCommand {
    /// Stands in for the platform.
    #[bpaf(command("platform"))]
    Platform(#[bpaf(external(platform_options))] PlatformOptions),
    /// Stands in for a model engine.
    #[bpaf(command("engine"))]
    Engine(#[bpaf(external(engine_options))] EngineOptions),
    /// Stands in for a plain HTTP service.
    #[bpaf(command("service"))]
    Service(#[bpaf(external(service_options))] ServiceOptions),
    /// Sends open-loop load to entries and checks every answer.
    #[bpaf(command("load"))]
    Load(#[bpaf(external(load_options))] LoadOptions),
    /// Compares policies in virtual time.
    #[bpaf(command("experiment"))]
    Experiment(#[bpaf(external(experiment_options))] ExperimentOptions),
    /// Measures how long changes and withdrawals take to be in force everywhere.
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
