//! Metrics of a simulated run.

use std::collections::BTreeMap;

use pimentorock_kernel::{
    catalog::ServiceCatalog,
    ids::{AccountKey, ClassKey},
    time::TimePoint,
};
use serde::Serialize;

use super::{
    bound::{TierBound, top_tier_bound},
    node::EndpointNode,
    request::{EndKind, SimRequest, TargetVerdict},
    simulator::EventSimulator,
    spec::ExperimentSpec,
};

/// Length, in seconds, of the time windows over which the floors of classes are measured.
const FLOOR_WINDOW_SECONDS: usize = 30;

/// Number of endpoint crashes that one request may cause without violating an invariant.
const MAX_CRASHES_PER_REQUEST: u32 = 2;

/// Number of seconds per hour.
const SECONDS_PER_HOUR: f64 = 3600.0;

/// Metrics of the requests that arrived within a span of time.
#[derive(Clone, Debug, Serialize)]
pub struct SpanMetrics {
    /// Share of the requests of each class that met every target.
    pub attainment: BTreeMap<Box<str>, f64>,
    /// Number of requests of each class by verdict.
    pub verdicts: BTreeMap<Box<str>, BTreeMap<TargetVerdict, u64>>,
    /// Share of the requests of all classes in the top tier that met every target.
    pub top_tier: f64,
    /// Upper bounds on the attainment of the top tier, whatever the order of service.
    pub top_tier_bound: TierBound,
    /// Output tokens per second of answers that met every target.
    pub goodput: f64,
    /// Output tokens per second that all endpoints generated within the span.
    pub throughput: f64,
    /// Share of the generated output tokens that are not part of a complete answer.
    pub wasted: f64,
    /// Ratio (0 to 1) of the tokens of completed answers that each account received to its fair
    /// share. The tokens of each class count up to the account's fair share of the class.
    pub accounts: BTreeMap<Box<str>, f64>,
}

impl SpanMetrics {
    /// Returns the lowest fair-share ratio of an account, at most 1.
    pub fn worst_account(&self) -> f64 {
        self.accounts.values().copied().fold(1.0, f64::min)
    }
}

/// Tokens of a class at an endpoint in a window of 30 s in which requests of the class were always
/// waiting.
#[derive(Clone, Debug, Serialize)]
pub struct FloorMetrics {
    /// Floor attainment: the ratio of the tokens of the class to the tokens that its floor
    /// guarantees.
    pub kept: f64,
    /// Name of the class.
    pub class: Box<str>,
    /// Name of the endpoint.
    pub endpoint: Box<str>,
    /// Start of the window, in seconds of virtual time.
    pub from: usize,
}

/// Metrics of a simulated run.
#[derive(Clone, Debug, Serialize)]
pub struct RunMetrics {
    /// Metrics of requests that arrived within the experiment's burst period (`window` in its
    /// specification).
    pub burst: SpanMetrics,
    /// Metrics of requests that arrived after the burst period. Requests that arrived before the
    /// burst period are in neither span.
    pub calm: SpanMetrics,
    /// The class, endpoint and window with the smallest share of a floor, or `None` if no class had
    /// requests waiting throughout a window.
    pub floor: Option<FloorMetrics>,
    /// Cost of the endpoints per million tokens of answers that met every target.
    pub cost: f64,
    /// Largest difference between the tokens that agents and entries counted for an account, as a
    /// share of the entries' count.
    pub usage_off: f64,
    /// Number of endpoint crashes that the poison request caused.
    pub poisoned: u32,
    /// Number of invariant violations.
    pub violations: u64,
}

impl RunMetrics {
    /// Computes the metrics of a run that has ended.
    ///
    /// Requests without an end and excess crashes by the poison request are added to the
    /// simulator's violations.
    pub fn new(
        simulator: &mut EventSimulator<'_>,
        spec: &ExperimentSpec,
        catalog: &ServiceCatalog,
    ) -> Self {
        let unfinished = simulator.requests.iter().filter(|request| request.end.is_none()).count();
        simulator.violations.no_end += unfinished as u64;
        simulator.violations.poison +=
            u64::from(simulator.poison_crashes.saturating_sub(MAX_CRASHES_PER_REQUEST));
        let [start, end] = spec.window;
        let burst = span_metrics(simulator, spec, catalog, [start, end]);
        let calm = span_metrics(simulator, spec, catalog, [end, spec.seconds]);
        let hourly: f64 = simulator.nodes.iter().map(|node| node.spec.cost_per_hour).sum();
        let attained = simulator.requests.iter().filter(|request| meets_targets(request, catalog));
        let good: f64 = attained.map(|request| f64::from(request.delivered)).sum();
        RunMetrics {
            burst,
            calm,
            floor: lowest_floor_window(&simulator.nodes, catalog),
            cost: hourly * spec.seconds / SECONDS_PER_HOUR / (good / 1e6).max(f64::MIN_POSITIVE),
            usage_off: usage_discrepancy(simulator),
            poisoned: simulator.poison_crashes,
            violations: simulator.violations.total(),
        }
    }
}

/// Reports whether a request met every target of its class.
fn meets_targets(request: &SimRequest, catalog: &ServiceCatalog) -> bool {
    request.verdict(catalog) == TargetVerdict::Met
}

fn span_metrics(
    simulator: &EventSimulator<'_>,
    spec: &ExperimentSpec,
    catalog: &ServiceCatalog,
    [from, until]: [f64; 2],
) -> SpanMetrics {
    let time_at = |seconds: f64| TimePoint::from_micros((seconds * 1e6) as u64);
    let within = |request: &&SimRequest| {
        let arrived = request.trace.spec.arrived;
        request.trace.poison_resends.is_none()
            && arrived >= time_at(from)
            && arrived < time_at(until)
    };
    let requests: Vec<&SimRequest> = simulator.requests.iter().filter(within).collect();
    let attainment = |keep: &dyn Fn(ClassKey) -> bool| {
        let of_class = requests.iter().filter(|request| keep(request.trace.spec.class));
        let (mut all, mut good) = (0.0, 0.0);
        for request in of_class {
            all += 1.0;
            good += f64::from(u8::from(meets_targets(request, catalog)));
        }
        good / f64::max(all, 1.0)
    };
    let top = catalog.classes.values().map(|class| class.tier).min().unwrap_or(0);
    let seconds = until - from;
    let good = requests.iter().filter(|request| meets_targets(request, catalog));
    let good: u64 = good.map(|request| u64::from(request.delivered)).sum();
    let produced: u64 = requests.iter().map(|request| u64::from(request.produced)).sum();
    let wasted: u64 = requests.iter().map(|request| u64::from(wasted_token_count(request))).sum();
    let classes = catalog.classes.iter();
    let mut verdicts: BTreeMap<Box<str>, BTreeMap<TargetVerdict, u64>> = BTreeMap::new();
    for request in &requests {
        let class = catalog.classes[request.trace.spec.class].name.clone();
        let verdict = request.verdict(catalog);
        *verdicts.entry(class).or_default().entry(verdict).or_default() += 1;
    }
    SpanMetrics {
        attainment: classes
            .map(|(key, class)| (class.name.clone(), attainment(&|class| class == key)))
            .collect(),
        verdicts,
        top_tier: attainment(&|class| catalog.classes[class].tier == top),
        top_tier_bound: top_tier_bound(&requests, spec, catalog),
        goodput: good as f64 / seconds,
        throughput: tokens_between(&simulator.nodes, from as usize, until as usize) as f64
            / seconds,
        wasted: wasted as f64 / produced.max(1) as f64,
        accounts: fair_share_ratios(&requests, catalog),
    }
}

fn wasted_token_count(request: &SimRequest) -> u32 {
    match request.end {
        Some((_, EndKind::Completed)) => {
            request.produced - request.trace.tokens.min(request.produced)
        }
        _ => request.produced,
    }
}

fn tokens_between(nodes: &[EndpointNode], from: usize, until: usize) -> u64 {
    let meters = nodes.iter().flat_map(|node| node.meters.values());
    let seconds = meters.flat_map(|meter| meter.seconds.iter().skip(from).take(until - from));
    seconds.map(|second| second.tokens).sum()
}

/// Returns the ratio of the tokens of completed answers that each account received to its fair
/// share.
///
/// The fair share is the weighted max-min fair allocation, by demand, of the tokens that each class
/// received. Within each class, an account's tokens count up to its fair share.
fn fair_share_ratios(
    requests: &[&SimRequest],
    catalog: &ServiceCatalog,
) -> BTreeMap<Box<str>, f64> {
    let mut classes: BTreeMap<ClassKey, BTreeMap<AccountKey, (f64, f64)>> = BTreeMap::new();
    for request in requests {
        let spec = &request.trace.spec;
        let accounts = classes.entry(spec.class).or_default();
        let (demand, served) = accounts.entry(spec.account).or_default();
        *demand += f64::from(request.trace.tokens);
        let completed = matches!(request.end, Some((_, EndKind::Completed)));
        *served += if completed { f64::from(request.trace.tokens) } else { 0.0 };
    }
    let mut totals: BTreeMap<AccountKey, (f64, f64)> = BTreeMap::new();
    for accounts in classes.values() {
        let level = fair_level(accounts, catalog);
        for (&account, &(demand, served)) in accounts {
            let fair = demand.min(level * f64::from(catalog.accounts[account].weight));
            let (fair_total, served_total) = totals.entry(account).or_default();
            *fair_total += fair;
            *served_total += served.min(fair);
        }
    }
    let shares = totals.into_iter().filter(|(_, (fair, _))| *fair > 0.0);
    let name = |account: AccountKey| catalog.accounts[account].name.clone();
    shares.map(|(account, (fair, served))| (name(account), served / fair)).collect()
}

/// Returns the max-min fair allocation per unit of weight, in tokens.
///
/// The result is infinite if every demand can be met.
fn fair_level(accounts: &BTreeMap<AccountKey, (f64, f64)>, catalog: &ServiceCatalog) -> f64 {
    let mut remaining: f64 = accounts.values().map(|&(_, served)| served).sum();
    let weight = |account: AccountKey| f64::from(catalog.accounts[account].weight);
    let mut weights: f64 = accounts.keys().map(|&account| weight(account)).sum();
    let mut by_demand: Vec<(f64, f64)> = accounts
        .iter()
        .map(|(&account, &(demand, _))| (demand / weight(account), weight(account)))
        .collect();
    by_demand.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (demand, weight) in by_demand {
        if demand * weights >= remaining {
            return remaining / weights;
        }
        remaining -= demand * weight;
        weights -= weight;
    }
    f64::INFINITY
}

fn lowest_floor_window(nodes: &[EndpointNode], catalog: &ServiceCatalog) -> Option<FloorMetrics> {
    let mut least: Option<FloorMetrics> = None;
    for node in nodes.iter().filter(|node| node.is_engine()) {
        let length = node.meters.values().map(|meter| meter.seconds.len()).min().unwrap_or(0);
        for start in 0..(length + 1).saturating_sub(FLOOR_WINDOW_SECONDS) {
            let window = start..start + FLOOR_WINDOW_SECONDS;
            let tokens = |class: ClassKey| -> u64 {
                node.meters[&class].seconds[window.clone()].iter().map(|s| s.tokens).sum()
            };
            let all: u64 = node.meters.keys().map(|&class| tokens(class)).sum();
            for (&class, meter) in &node.meters {
                let floor = catalog.classes[class].floor * all as f64;
                let has_waiting =
                    meter.seconds[window.clone()].iter().all(|second| second.has_waiting);
                let kept = tokens(class) as f64 / floor.max(1.0);
                if has_waiting && least.as_ref().is_none_or(|least| kept < least.kept) {
                    let class = catalog.classes[class].name.clone();
                    let endpoint = node.spec.name.clone();
                    least = Some(FloorMetrics { kept, class, endpoint, from: start });
                }
            }
        }
    }
    least
}

/// Returns the largest relative difference between the agents' and the entries' token counts.
fn usage_discrepancy(simulator: &EventSimulator<'_>) -> f64 {
    let mut counts: BTreeMap<AccountKey, (f64, f64)> = BTreeMap::new();
    for request in &simulator.requests {
        let (agent, entry) = counts.entry(request.trace.spec.account).or_default();
        *agent += f64::from(request.produced);
        *entry += f64::from(request.delivered);
    }
    let differences = counts.values().map(|(agent, entry)| (agent - entry).abs() / entry.max(1.0));
    differences.fold(0.0, f64::max)
}
