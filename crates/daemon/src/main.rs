//! The `pimentorockd` daemon: parses the command line and runs one role.

use std::{error::Error, path::PathBuf, process::ExitCode};

use bpaf::Bpaf;
use pimentorock_adapter::{settings::PlatformSettings, store, wire};
use pimentorock_daemon::process;

/// A router for language-model traffic with service levels and priorities.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum DaemonOptions {
    /// Runs as an entry of the hosting platform, which names the settings file
    Hosted {
        /// Serve on the hosting platform
        #[bpaf(long("hosted"), req_flag(()))]
        _hosted: (),
    },
    /// Runs from a settings file of pimentorock's own
    Own {
        /// Settings of this process, JSON with comments
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
        /// Check the settings, print all findings and stop
        check: bool,
    },
}

fn main() -> ExitCode {
    match daemon_options().run() {
        DaemonOptions::Hosted { .. } => match run_hosted() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("pimentorockd: {error}");
                ExitCode::from(2)
            }
        },
        DaemonOptions::Own { settings, check } => match process::run(&settings, check) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("pimentorockd: {error}");
                ExitCode::from(error.exit_code())
            }
        },
    }
}

/// Runs an entry of the hosting platform, with the settings that the platform provides.
///
/// # Errors
///
/// Fails if the settings cannot be read or the process cannot start.
fn run_hosted() -> Result<(), Box<dyn Error>> {
    let settings = PlatformSettings::read()?;
    let store = store::connect(settings.store, settings.reports);
    let reload = || match PlatformSettings::read() {
        Ok(settings) => Ok(settings.gateway),
        Err(error) => Err(error.to_string().into()),
    };
    pimentorock_gateway::process::run(settings.gateway, wire::codec(), store, Box::new(reload))?;
    Ok(())
}
