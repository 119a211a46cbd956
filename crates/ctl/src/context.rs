//! The options and clients that all commands use.

use std::{future::Future, time::Duration};

use indicatif::ProgressBar;
use pimentorock_kernel::record::CONFIG_STREAM;
use pimentorock_platform::{host_client::HostClient, log_client::LogClient};

use crate::{
    environment::ToolEnvironment,
    error::{ErrorKind, ToolError},
    options::CommonOptions,
    process_client::ProcessClient,
};

/// Longest time to connect to the platform or a process.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Author of a change if neither an option nor the environment names one.
const DEFAULT_AUTHOR: &str = "operator";

/// Time between two frames of the progress spinner on a terminal.
const PROGRESS_TICK: Duration = Duration::from_millis(120);

/// The options of one call and the clients for the platform and for processes.
pub(crate) struct ToolContext {
    pub(crate) options: CommonOptions,
    http: reqwest::Client,
}

impl ToolContext {
    pub(crate) fn new(mut options: CommonOptions, environment: &ToolEnvironment) -> ToolContext {
        options.platform = options.platform.or_else(|| environment.platform.clone());
        options.author = options.author.or_else(|| environment.user.clone());
        // The platform and the processes are reached directly by IP address, never through a proxy.
        let http = reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT).no_proxy().build();
        ToolContext { options, http: http.unwrap_or_default() }
    }

    /// Returns the author of a change.
    pub(crate) fn author(&self) -> &str {
        self.options.author.as_deref().unwrap_or(DEFAULT_AUTHOR)
    }

    /// Checks that an account belongs to the team given by `--team`.
    ///
    /// # Errors
    ///
    /// Fails if a team is given and the account does not belong to it.
    pub(crate) fn check_account_team(&self, account: &str) -> Result<(), ToolError> {
        match &self.options.team {
            Some(team) if account.split('/').next() != Some(team) => {
                let problem = format!("account \"{account}\" is outside team \"{team}\"");
                Err(ToolError::invalid(problem))
            }
            _ => Ok(()),
        }
    }

    /// Returns a client of the platform's `config` stream.
    ///
    /// # Errors
    ///
    /// Fails if no platform is given.
    pub(crate) fn config_log(&self) -> Result<LogClient, ToolError> {
        Ok(self.log(CONFIG_STREAM, self.platform()?))
    }

    /// Returns a client of the stream `stream` of the platform at the URL `platform`.
    pub(crate) fn log(&self, stream: &str, platform: &str) -> LogClient {
        LogClient::new(self.http.clone(), platform, stream)
    }

    /// Returns the URL of the platform.
    ///
    /// # Errors
    ///
    /// Fails if neither an option nor the environment gives the URL.
    pub(crate) fn platform(&self) -> Result<&str, ToolError> {
        self.options.platform.as_deref().ok_or_else(|| {
            ToolError::usage(
                "no platform is given: give --platform URL or set PIMENTOROCK_PLATFORM",
            )
        })
    }

    /// Returns clients of the processes given by `--process`, or else of all processes in the
    /// platform's host list that have an operator address.
    ///
    /// # Errors
    ///
    /// Fails if neither a process nor a platform is given, if the host list cannot be read, or if
    /// the list contains no operator address.
    pub(crate) async fn processes(&self) -> Result<Vec<ProcessClient>, ToolError> {
        let client = |url: &str| ProcessClient::new(self.http.clone(), url);
        if !self.options.processes.is_empty() {
            return Ok(self.options.processes.iter().map(|url| client(url)).collect());
        }
        let Some(platform) = &self.options.platform else {
            return Err(ToolError::usage(
                "no process is given: give --process URL or --platform URL",
            ));
        };
        let list = HostClient::new(self.http.clone(), platform).list().await?;
        let addresses = list.hosts.iter().filter_map(|host| host.operators.as_deref());
        let clients: Vec<ProcessClient> =
            addresses.map(|address| client(&format!("http://{address}"))).collect();
        if clients.is_empty() {
            let problem = "the host list contains no operator address: give --process URL";
            return Err(ToolError::usage(problem));
        }
        Ok(clients)
    }

    /// Waits for `work` on the platform for at most the time given by `--timeout`.
    ///
    /// # Errors
    ///
    /// Fails if the time passes before `work` ends.
    pub(crate) async fn within_timeout<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> Result<T, ToolError> {
        let seconds = self.options.timeout;
        tokio::time::timeout(Duration::from_secs(seconds), work)
            .await
            .map_err(|_| ErrorKind::Timeout { seconds }.into())
    }

    /// Shows a spinner with `text` on a terminal; the caller ends it by clearing or dropping it.
    pub(crate) fn progress(&self, text: &str) -> ProgressBar {
        let bar = ProgressBar::new_spinner();
        bar.set_message(text.to_owned());
        bar.enable_steady_tick(PROGRESS_TICK);
        bar
    }
}
