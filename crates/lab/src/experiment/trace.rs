//! Generation of the requests of an experiment.

use std::{f64::consts::TAU, time::Duration};

use pimentorock_kernel::{
    catalog::{EndpointKind, ServiceCatalog},
    ids::RequestId,
    request::RequestSpec,
    time::TimePoint,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::spec::{ExperimentSpec, PoisonSpec, ScenarioSpec, TrafficSpec, step_us};

/// Difference between the mean answer lengths of the last and the first account, as a multiple of
/// the class's mean; the means of the accounts are evenly spaced around the class's mean.
const ACCOUNT_LENGTH_SPREAD: f64 = 0.8;

/// Maximum answer length as a multiple of the class's mean.
const MAX_ANSWER_FACTOR: f64 = 4.0;

/// A request and its properties that routers and queues do not know in advance.
#[derive(Clone, Debug)]
pub struct TraceRequest {
    /// The part of the request that routers and queues see.
    pub spec: RequestSpec,
    /// Number of output tokens of the complete answer.
    pub tokens: u32,
    /// For a poison request, which crashes every endpoint that runs it: how many times its caller
    /// sends it again. `None` for other requests.
    pub poison_resends: Option<u32>,
}

/// Draws all requests and returns them in the order of their arrival.
///
/// Requests of each account in each class arrive as a Poisson process, whose rate may differ
/// within the experiment's window.
///
/// # Errors
///
/// Fails if the experiment names an account, class or model that does not exist.
pub fn draw(
    spec: &ExperimentSpec,
    scenario: &ScenarioSpec,
    catalog: &ServiceCatalog,
    seed: u64,
) -> Result<Vec<TraceRequest>, String> {
    let mut trace = Vec::new();
    for (class_index, traffic) in spec.traffic.iter().enumerate() {
        for account_index in 0..spec.accounts.len() {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            random.set_stream((class_index * spec.accounts.len() + account_index) as u64);
            let source = TraceSource { spec, scenario, catalog, traffic, account_index };
            source.draw(&mut random, &mut trace)?;
        }
    }
    if let Some(poison) = &scenario.poison {
        trace.push(poison_request(spec, poison, catalog)?);
    }
    trace.sort_by_key(|request| (request.spec.arrived, request.spec.fingerprint));
    for (index, request) in trace.iter_mut().enumerate() {
        request.spec.id = RequestId(index as u128 + 1);
    }
    Ok(trace)
}

/// Parameters for drawing the requests of one account in one class.
struct TraceSource<'a> {
    spec: &'a ExperimentSpec,
    scenario: &'a ScenarioSpec,
    catalog: &'a ServiceCatalog,
    traffic: &'a TrafficSpec,
    account_index: usize,
}

impl TraceSource<'_> {
    /// Draws the requests by thinning a Poisson process.
    ///
    /// Candidates arrive at the higher of the two rates, and each is accepted with the probability
    /// that gives the rate at its time.
    fn draw(&self, random: &mut ChaCha8Rng, trace: &mut Vec<TraceRequest>) -> Result<(), String> {
        let (account, _) = &self.spec.accounts[self.account_index];
        let (base_rate, window_rate) = self.rates();
        let mut at = 0.0;
        loop {
            at += -(1.0 - random.random::<f64>()).ln() / base_rate.max(window_rate);
            if at >= self.spec.seconds {
                return Ok(());
            }
            let [start, end] = self.spec.window;
            let rate = if (start..end).contains(&at) { window_rate } else { base_rate };
            let accepted = random.random::<f64>() < rate / base_rate.max(window_rate);
            let tokens = self.output_tokens(random);
            if accepted {
                let fingerprint = random.random();
                trace.push(request(self.catalog, self.traffic, account, at, tokens, fingerprint)?);
            }
        }
    }

    /// Returns the requests per second outside and inside the window.
    fn rates(&self) -> (f64, f64) {
        let traffic = self.traffic;
        let (endpoints, token_us) = pool_capacity(self.catalog, &traffic.model);
        let prefill = self.spec.prefill_us_per_token as f64 * f64::from(traffic.prompt_tokens);
        let capacity = endpoints / ((traffic.output_tokens * token_us + prefill) / 1e6);
        let (account, share) = &self.spec.accounts[self.account_index];
        let load = self.spec.load_of(self.scenario);
        let base_rate = load * traffic.share * capacity * share;
        let mut window_rate = base_rate;
        if let Some(burst) = self.scenario.burst.as_ref().filter(|b| b.class == traffic.class) {
            window_rate += (burst.total - load) * capacity * share;
        }
        if let Some(greedy) = self.scenario.greedy.as_ref().filter(|g| g.account == *account) {
            window_rate *= greedy.times;
        }
        (base_rate, window_rate)
    }

    /// Draws the length of an answer, in tokens, from a log-normal distribution.
    fn output_tokens(&self, random: &mut ChaCha8Rng) -> u32 {
        let accounts = (self.spec.accounts.len() - 1).max(1) as f64;
        let rank = self.account_index as f64 / accounts - 0.5;
        let mean = self.traffic.output_tokens * (1.0 + ACCOUNT_LENGTH_SPREAD * rank);
        let (radius, angle): (f64, f64) = (random.random(), random.random());
        let normal = (-2.0 * (1.0 - radius).ln()).sqrt() * (TAU * angle).cos();
        let spread = self.traffic.spread;
        let tokens = mean * (spread * normal - spread * spread / 2.0).exp();
        tokens.clamp(1.0, self.traffic.output_tokens * MAX_ANSWER_FACTOR) as u32
    }
}

/// Returns the number of endpoints that offer a model, and the time per output token at their mean
/// rate.
///
/// The time is in microseconds and applies while all slots are in use.
pub fn pool_capacity(catalog: &ServiceCatalog, model: &str) -> (f64, f64) {
    let mut endpoints: Vec<_> = catalog.endpoints_of(model).collect();
    endpoints.sort_unstable();
    let count = endpoints.len() as f64;
    let rates = endpoints.iter().map(|&key| {
        let endpoint = &catalog.endpoints[key];
        f64::from(endpoint.slots) / step_us(endpoint)
    });
    (count, count / rates.sum::<f64>().max(f64::MIN_POSITIVE))
}

/// Returns a request of a class that arrives `at` seconds after the start.
///
/// # Errors
///
/// Fails if the account, class or model does not exist.
fn request(
    catalog: &ServiceCatalog,
    traffic: &TrafficSpec,
    account: &str,
    at: f64,
    tokens: u32,
    fingerprint: u64,
) -> Result<TraceRequest, String> {
    let missing = |kind: &str, name: &str| format!("{kind} \"{name}\" does not exist");
    let class = catalog.class(&traffic.class).ok_or_else(|| missing("class", &traffic.class))?;
    let model = catalog.model(&traffic.model).ok_or_else(|| missing("model", &traffic.model))?;
    let arrived = TimePoint::from_micros((at * 1e6) as u64);
    let class_spec = &catalog.classes[class];
    let is_service = catalog
        .endpoints_of(&traffic.model)
        .all(|key| catalog.endpoints[key].kind == EndpointKind::Service);
    let spec = RequestSpec {
        id: RequestId(0),
        account: catalog.account(account).ok_or_else(|| missing("account", account))?,
        class,
        model,
        prompt_tokens: traffic.prompt_tokens,
        max_tokens: 0,
        arrived,
        deadline: arrived + class_spec.deadline,
        idempotent: class_spec.idempotent,
        resumable: !is_service,
        fingerprint,
        prefix: Box::default(),
    };
    Ok(TraceRequest { spec, tokens, poison_resends: None })
}

/// Returns the poison request, which arrives one second after the start of the window.
fn poison_request(
    spec: &ExperimentSpec,
    poison: &PoisonSpec,
    catalog: &ServiceCatalog,
) -> Result<TraceRequest, String> {
    let traffic = spec.traffic.iter().find(|traffic| traffic.class == poison.class);
    let traffic = traffic.ok_or_else(|| format!("class \"{}\" has no traffic", poison.class))?;
    let (account, _) = spec.accounts.first().ok_or("no account is named")?;
    let at = spec.window[0] + Duration::from_secs(1).as_secs_f64();
    let tokens = traffic.output_tokens as u32;
    let request = request(catalog, traffic, account, at, tokens, u64::MAX)?;
    Ok(TraceRequest { poison_resends: Some(poison.sends - 1), ..request })
}
