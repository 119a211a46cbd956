//! Description of an experiment, as read from a file.

use pimentorock_kernel::catalog::{CatalogSpec, EndpointKind, EndpointSpec, ServiceCatalog};
use serde::Deserialize;
use serde_json::Value;

/// Duration of a step of a plain service, in microseconds; a call takes several steps.
const SERVICE_STEP_US: f64 = 5_000.0;

/// A deployment, its traffic, and the scenarios and policies to simulate.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExperimentSpec {
    /// Name of the deployment.
    pub name: Box<str>,
    /// Seed, unless the command line sets another one.
    pub seed: u64,
    /// Number of entries.
    pub entries: u32,
    /// Time during which requests arrive, in seconds.
    pub seconds: f64,
    /// Start and end of the window for the scenarios' bursts and faults, in seconds.
    pub window: [f64; 2],
    /// Offered work of each model as a share of the capacity of its endpoints.
    pub load: f64,
    /// Time between two digests of an agent, in milliseconds.
    pub digest_ms: u64,
    /// Delay of digests and of reports of suspects, in milliseconds.
    pub lag_ms: u64,
    /// Prefill time per prompt token, in microseconds.
    pub prefill_us_per_token: u64,
    /// Settings in the format of a deployment.
    pub settings: Value,
    /// Accounts with their shares of the offered work.
    pub accounts: Vec<(Box<str>, f64)>,
    /// Traffic of each class.
    pub traffic: Vec<TrafficSpec>,
    /// Pairs of queue policy and route policy to compare; the last pair is this project's
    /// own.
    pub policies: Vec<[Box<str>; 2]>,
    /// Scenarios to simulate.
    pub scenarios: Vec<ScenarioSpec>,
}

/// Traffic of one class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficSpec {
    /// Class, as `TEAM/CLASS`.
    pub class: Box<str>,
    /// Name of the model or plain service.
    pub model: Box<str>,
    /// Share of the work that is offered to the model.
    pub share: f64,
    /// Number of prompt tokens of each request.
    pub prompt_tokens: u32,
    /// Mean number of output tokens, or of steps of a call of a plain service.
    pub output_tokens: f64,
    /// Standard deviation of the logarithm of the number of output tokens.
    pub spread: f64,
}

/// Conditions of a simulated run: load, bursts and faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioSpec {
    /// Name of the scenario.
    pub name: Box<str>,
    /// Offered work as a share of capacity; `None` means the experiment's value.
    pub load: Option<f64>,
    /// Delay of digests, in milliseconds; `None` means the experiment's value.
    pub lag_ms: Option<u64>,
    /// Class whose requests raise the work of its model to `total` within the window.
    pub burst: Option<BurstSpec>,
    /// Account that sends `times` as many requests within the window as outside it.
    pub greedy: Option<GreedySpec>,
    /// Endpoint whose engine runs at `speed` from the start of the window on.
    pub slow: Option<SlowSpec>,
    /// Endpoint that crashes at the start of the window.
    pub crash: Option<CrashSpec>,
    /// Poison request, which crashes every endpoint that runs it.
    pub poison: Option<PoisonSpec>,
    /// Names of endpoints that are removed from the deployment.
    #[serde(default)]
    pub without: Vec<Box<str>>,
}

/// A burst of requests of one class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurstSpec {
    /// `TEAM/CLASS`.
    pub class: Box<str>,
    /// Work offered to the model of the class, as a share of capacity.
    pub total: f64,
}

/// An account that sends more requests than usual.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GreedySpec {
    /// Account, as `TEAM/ACCOUNT`.
    pub account: Box<str>,
    /// Factor by which the account's request rate grows.
    pub times: f64,
}

/// An endpoint that becomes slow.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowSpec {
    /// Name of the endpoint.
    pub endpoint: Box<str>,
    /// Speed of the engine; 1 is the normal speed.
    pub speed: f64,
}

/// A crash of an endpoint.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashSpec {
    /// Name of the endpoint.
    pub endpoint: Box<str>,
    /// Time until the endpoint is up again, in milliseconds.
    pub restart_ms: u64,
}

/// A poison request, which crashes every endpoint that runs it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoisonSpec {
    /// `TEAM/CLASS`.
    pub class: Box<str>,
    /// Number of times that the caller sends the request.
    pub sends: u32,
    /// Time until a crashed endpoint is up again, in milliseconds.
    pub restart_ms: u64,
}

impl ExperimentSpec {
    /// Returns the catalog with the given queue and route policies and without the endpoints that
    /// `without` names.
    ///
    /// # Errors
    ///
    /// Returns the report of the settings check if the settings are invalid.
    pub fn catalog(
        &self,
        policy: &[Box<str>; 2],
        without: &[Box<str>],
    ) -> Result<ServiceCatalog, String> {
        let mut spec: CatalogSpec = pimentorock_settings::compile::compile(&self.settings)
            .map_err(|report| report.to_string())?;
        spec.endpoints.retain(|endpoint| !without.contains(&endpoint.name));
        spec.policies.queue = policy[0].clone();
        spec.policies.route = policy[1].clone();
        Ok(ServiceCatalog::with_spec(1, spec))
    }

    /// Returns the offered work of a scenario as a share of capacity.
    pub fn load_of(&self, scenario: &ScenarioSpec) -> f64 {
        scenario.load.unwrap_or(self.load)
    }
}

/// Returns the duration of a step of an endpoint, in microseconds.
pub fn step_us(endpoint: &EndpointSpec) -> f64 {
    match endpoint.kind {
        EndpointKind::Engine => f64::from(endpoint.slots) / endpoint.tokens_per_second * 1e6,
        EndpointKind::Service => SERVICE_STEP_US,
    }
}
