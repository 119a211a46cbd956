//! Tests of the scaler against a fake platform, and of the forecast against a naive version that
//! replays the whole history.

mod route_fixture;

use std::{collections::BTreeMap, time::Duration};

use pimentorock_kernel::{
    catalog::{CatalogSpec, PolicyNames, ServiceCatalog},
    ids::EndpointKey,
    scale::{
        DemandForecast, EndpointPhase, EndpointScaler, EndpointStatus, FleetStatus, ModelDemand,
        ScaleAction, ScaleSettings, policy_names,
    },
    time::TimePoint,
};
use quickcheck::{Arbitrary, Gen};

use self::route_fixture::{DOMAINS, deployment, model_name};

const ENDPOINTS: usize = 12;
const RATE: f64 = 800.0;

/// A platform that carries out the actions of a scaler; a start takes the configured start time.
struct FakePlatform {
    catalog: ServiceCatalog,
    scaler: EndpointScaler,
    settings: ScaleSettings,
    endpoints: BTreeMap<EndpointKey, (EndpointPhase, u64, u32)>,
    actions: usize,
    starts: usize,
    /// Total demand that exceeded the capacity, in tokens.
    missed_tokens: f64,
    /// Total time for which endpoints were not stopped, in endpoint seconds.
    endpoint_seconds: u64,
}

impl FakePlatform {
    fn new(policy: &str, live: usize) -> FakePlatform {
        let plain = deployment(ENDPOINTS, 1, 1);
        let endpoints = plain.endpoints.values().cloned().collect();
        let policies = PolicyNames { scale: policy.into(), ..PolicyNames::default() };
        let spec = CatalogSpec { endpoints, policies, ..CatalogSpec::default() };
        let catalog = ServiceCatalog::with_spec(1, spec);
        let mut keys: Vec<_> = catalog.live_endpoints().collect();
        keys.sort_unstable();
        let phase = |index| if index < live { EndpointPhase::Live } else { EndpointPhase::Stopped };
        let endpoint = |(index, &key): (usize, &EndpointKey)| (key, (phase(index), 0, 0));
        FakePlatform {
            scaler: EndpointScaler::new(),
            settings: ScaleSettings::default(),
            endpoints: keys.iter().enumerate().map(endpoint).collect(),
            catalog,
            actions: 0,
            starts: 0,
            missed_tokens: 0.0,
            endpoint_seconds: 0,
        }
    }

    fn count(&self, wanted: EndpointPhase) -> usize {
        self.endpoints.values().filter(|(phase, _, _)| *phase == wanted).count()
    }

    /// Simulates one second; `in_flight` is the number of requests at each endpoint that is not
    /// draining.
    fn run_second(&mut self, at: u64, demand: f64, in_flight: u32) {
        let ready = self.settings.start_time.as_secs();
        for (phase, since, left) in self.endpoints.values_mut() {
            if *phase == EndpointPhase::Starting && at >= *since + ready {
                *phase = EndpointPhase::Live;
            }
            *left =
                if *phase == EndpointPhase::Draining { left.saturating_sub(1) } else { in_flight };
        }
        let capacity = self.count(EndpointPhase::Live) as f64 * RATE;
        self.missed_tokens += (demand - capacity).max(0.0);
        self.endpoint_seconds += (ENDPOINTS - self.count(EndpointPhase::Stopped)) as u64;
        let status =
            |(&endpoint, &(phase, _, in_flight)): (&EndpointKey, &(EndpointPhase, u64, u32))| {
                EndpointStatus { endpoint, phase, in_flight }
            };
        let model = self.catalog.model(&model_name(0)).unwrap();
        let asked = ModelDemand { model, tokens_per_second: demand, waiting_tokens: 0.0 };
        let fleet = FleetStatus {
            endpoints: self.endpoints.iter().map(status).collect(),
            demand: vec![asked],
        };
        let now = TimePoint::ZERO + Duration::from_secs(at);
        for decision in self.scaler.step(now, &fleet, &self.catalog) {
            self.actions += 1;
            self.apply(at, &decision.action);
        }
        let in_use = self.count(EndpointPhase::Live) + self.count(EndpointPhase::Starting);
        assert!(
            in_use >= self.settings.min_live.min(1),
            "second {at}: no endpoint is live or starting"
        );
    }

    fn apply(&mut self, at: u64, action: &ScaleAction) {
        match action {
            ScaleAction::Start { domain, .. } => {
                self.starts += 1;
                let catalog = &self.catalog;
                let stopped = self.endpoints.iter_mut().find(|(key, (phase, _, _))| {
                    catalog.endpoints[**key].domain == *domain && *phase == EndpointPhase::Stopped
                });
                let (_, endpoint) = stopped.expect("the domain to start in has a stopped endpoint");
                *endpoint = (EndpointPhase::Starting, at, 0);
            }
            ScaleAction::Drain { endpoint } => {
                let endpoint = self.endpoints.get_mut(endpoint).unwrap();
                assert_eq!(endpoint.0, EndpointPhase::Live, "only a live endpoint drains");
                endpoint.0 = EndpointPhase::Draining;
            }
            ScaleAction::Stop { endpoint } => {
                let endpoint = self.endpoints.get_mut(endpoint).unwrap();
                assert_eq!(
                    (endpoint.0, endpoint.2),
                    (EndpointPhase::Draining, 0),
                    "an endpoint was stopped before it drained"
                );
                endpoint.0 = EndpointPhase::Stopped;
            }
        }
    }
}

#[test]
fn policies_are_registered() {
    assert_eq!(policy_names(), ["none", "steady", "threshold"]);
}

/// Replays the history and returns the prediction after the last demand.
fn naive_prediction(history: &[(u64, f64)], lead: f64) -> f64 {
    let (mut level, mut trend, mut noise) = (history[0].1, 0.0, 0.0);
    for pair in history.windows(2) {
        let elapsed = (pair[1].0 - pair[0].0) as f64;
        let gain = |span: f64| 1.0 - (-elapsed / span).exp();
        let expected = level + trend * elapsed;
        let next = expected + gain(10.0) * (pair[1].1 - expected);
        trend += gain(30.0) * ((next - level) / elapsed - trend);
        noise += gain(60.0) * ((pair[1].1 - expected).abs() - noise);
        level = next.max(0.0);
    }
    level + f64::max(trend, 0.0) * lead + 2.0 * noise
}

/// Guards against errors in the incremental forecast and in the expiry of its peaks, by comparison
/// with a forecast and peaks computed from the whole history.
#[test]
fn forecasts_match_a_replay_of_the_history() {
    let (lead, keep) = (Duration::from_secs(45), Duration::from_secs(60));
    for seed in 0..30 {
        let mut generator = Gen::from_size_and_seed(20, seed);
        let mut below = |bound: u64| u64::arbitrary(&mut generator) % bound;
        let (mut forecast, mut history) = (DemandForecast::new(), Vec::new());
        let (mut needed, mut at) = (Vec::new(), 0);
        for _ in 0..150 {
            at += 1 + below(3);
            let demand = below(1000) as f64;
            history.push((at, demand));
            forecast.observe(TimePoint::ZERO + Duration::from_secs(at), demand, lead, keep);
            let expected = naive_prediction(&history, 45.0);
            let predicted = forecast.predict(lead);
            assert!(
                (predicted - expected).abs() < 1e-6,
                "seed {seed}: {predicted} is not {expected}"
            );
            needed.push((at, expected.max(demand)));
            let highest = |span| {
                let recent = needed.iter().filter(|(time, _)| at - time <= span);
                recent.map(|(_, needed)| *needed).fold(0.0, f64::max)
            };
            let range = highest(60) - 1e-6..=highest(80) + 1e-6;
            assert!(range.contains(&forecast.peak()), "seed {seed}: {range:?}");
        }
    }
}

/// Guards against endpoints that are started and stopped repeatedly because demand fluctuates
/// around a constant mean.
#[test]
fn noise_causes_few_scaling_actions() {
    for seed in 0..10 {
        let mut generator = Gen::from_size_and_seed(20, seed);
        let mut platform = FakePlatform::new("steady", 4);
        for at in 0..3600 {
            let noise = (u64::arbitrary(&mut generator) % 600) as f64 - 300.0;
            platform.run_second(at, 2000.0 + noise, 3);
        }
        assert!(
            platform.actions <= 4,
            "seed {seed}: {} actions in an hour of constant mean demand",
            platform.actions
        );
    }
}

/// Guards against starts that come too late for rising demand because an endpoint takes its start
/// time to serve, and against idle endpoints that are never stopped.
#[test]
fn a_demand_ramp_is_met_and_idle_endpoints_are_stopped() {
    let mut platform = FakePlatform::new("steady", 2);
    for at in 0..600 {
        platform.run_second(at, 800.0, 3);
    }
    for at in 600..1200 {
        platform.run_second(at, 800.0 + (at - 600) as f64 * 8.0, 3);
    }
    assert_eq!(platform.missed_tokens, 0.0, "the capacity was too small on the ramp");
    for at in 1200..8000 {
        platform.run_second(at, 100.0, 3);
    }
    assert_eq!(platform.count(EndpointPhase::Live), 1, "the minimum stays live");
    assert_eq!(platform.count(EndpointPhase::Stopped), ENDPOINTS - 1);
}

/// Guards against starting all endpoints in the cheapest failure domain.
#[test]
fn starts_are_spread_over_failure_domains_before_cost_is_compared() {
    let mut platform = FakePlatform::new("steady", 0);
    let cheap = |key: &EndpointKey| &*platform.catalog.endpoints[*key].domain == "mid";
    let cheap: Vec<EndpointKey> = platform.endpoints.keys().copied().filter(cheap).collect();
    for key in cheap {
        platform.catalog.endpoints[key].cost_per_hour = 0.5;
    }
    for at in 0..300 {
        platform.run_second(at, 4000.0, 3);
    }
    let in_domain = |domain: &&str| {
        let started =
            platform.endpoints.iter().filter(|(_, (phase, _, _))| *phase != EndpointPhase::Stopped);
        started.filter(|(key, _)| *platform.catalog.endpoints[**key].domain == **domain).count()
    };
    assert_eq!(
        DOMAINS.iter().map(in_domain).collect::<Vec<_>>(),
        [2, 3, 2],
        "mid is cheapest but does not get all the starts"
    );
}

/// Guards against a process that takes over scaling and stops endpoints before it has observed the
/// demand for long enough.
#[test]
fn a_new_scaler_stops_no_endpoint_before_the_idle_span_ends() {
    let mut platform = FakePlatform::new("steady", 8);
    let watch = platform.settings.idle_span.as_secs();
    for at in 0..watch {
        platform.run_second(at, 0.0, 3);
    }
    assert_eq!(platform.actions, 0);
    platform.run_second(watch, 0.0, 3);
    assert_eq!(platform.actions, 1);
}
