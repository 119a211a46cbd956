//! Tests of the straggler detector against a naive version that keeps every sample.

mod route_fixture;

use std::time::Duration;

use pimentorock_kernel::{
    catalog::ServiceCatalog,
    ids::{EndpointKey, ModelKey, RequestId},
    request::RunOutcome,
    route::{
        EJECT_RATIO, EntryRouter, MIN_POOL_MEMBERS, RouteChoice, RouteEvent, StragglerDetector,
        max_ejected,
    },
    time::TimePoint,
};
use quickcheck::{Arbitrary, Gen};

use self::route_fixture::{deployment, idle_digest, model_name, request};

const SAMPLES: usize = 5;
const GAIN: f64 = 0.2;

/// Returns the moving mean of all samples, or `None` if there are fewer than [`SAMPLES`].
fn naive_mean(samples: &[f64]) -> Option<f64> {
    let mut mean = *samples.first()?;
    for sample in samples {
        mean += GAIN * (sample - mean);
    }
    (samples.len() >= SAMPLES).then_some(mean)
}

/// Returns the slowdown of each member relative to the median of the pool.
fn naive_slowdowns(samples: &[Vec<f64>]) -> Vec<f64> {
    let means: Vec<Option<f64>> = samples.iter().map(|samples| naive_mean(samples)).collect();
    let mut known: Vec<f64> = means.iter().copied().flatten().collect();
    known.sort_by(f64::total_cmp);
    if known.len() < MIN_POOL_MEMBERS {
        return vec![1.0; samples.len()];
    }
    let median = known[(known.len() - 1) / 2];
    means.iter().map(|mean| mean.map_or(1.0, |mean| mean / median).max(1.0)).collect()
}

/// Guards against ejecting endpoints that are not slow, and against ejecting more members of a pool
/// than the cap allows.
#[test]
fn slowdowns_match_the_naive_version_and_ejections_stay_within_the_cap() {
    for seed in 0..60 {
        let mut generator = Gen::from_size_and_seed(20, seed);
        let mut below = |bound: u64| u64::arbitrary(&mut generator) % bound;
        let count = 3 + below(10) as usize;
        let catalog = deployment(count, 1, 1);
        let model = catalog.model(&model_name(0)).unwrap();
        let mut keys: Vec<EndpointKey> = catalog.live_endpoints().collect();
        keys.sort_unstable();
        let mut detector = StragglerDetector::new();
        let mut samples = vec![Vec::new(); count];
        let mut now = TimePoint::ZERO;
        let slow: Vec<u64> = (0..count).map(|_| if below(3) == 0 { 4 } else { 1 }).collect();
        for _ in 0..60 {
            now = now + Duration::from_secs(1);
            for _ in 0..count {
                let at = below(count as u64) as usize;
                let span = Duration::from_millis(slow[at] * (20 + below(10)));
                detector.between_tokens(now, keys[at], model, span);
                samples[at].push(span.as_secs_f64());
            }
            let was: Vec<bool> = keys.iter().map(|&key| detector.is_ejected(key)).collect();
            let ejected = detector.eject_stragglers(now, &[(model, &keys)]);
            for (at, &key) in keys.iter().enumerate() {
                if was[at] && (!detector.is_ejected(key) || ejected.contains(&key)) {
                    samples[at].clear();
                }
            }
            let expected = naive_slowdowns(&samples);
            for (at, &key) in keys.iter().enumerate() {
                let close = (detector.slowdown(key) - expected[at]).abs() < 1e-6;
                assert!(
                    close,
                    "seed {seed}: slowdown {}, expected {}",
                    detector.slowdown(key),
                    expected[at]
                );
                assert!(!ejected.contains(&key) || expected[at] >= EJECT_RATIO, "seed {seed}");
            }
            let out = keys.iter().filter(|&&key| detector.is_ejected(key)).count();
            assert!(out <= max_ejected(count), "seed {seed}: {out} of {count} ejected");
        }
    }
}

/// Serves requests with one straggler at a quarter of the normal speed and returns the share of
/// requests that the straggler gets.
fn straggler_share(
    catalog: &ServiceCatalog,
    from: u64,
    until: u64,
    router: &mut EntryRouter,
) -> f64 {
    let mut keys: Vec<EndpointKey> = catalog.live_endpoints().collect();
    keys.sort_unstable();
    let mut slow = 0;
    for tick in from..until {
        let now = TimePoint::from_millis(tick * 100);
        for &key in &keys {
            router.step(now, RouteEvent::Digest(idle_digest(catalog, key, tick)), catalog);
        }
        let spec = request(catalog, tick, 0, now);
        let choice = router.choose(now, &spec, catalog, &[]);
        let RouteChoice::Endpoint { endpoint, .. } = choice else { panic!("{choice:?}") };
        let pace = if endpoint == keys[0] { 100 } else { 25 };
        slow += usize::from(endpoint == keys[0]);
        let id: RequestId = spec.id;
        router.step(now, RouteEvent::Sent { request: id, endpoint, expected_tokens: 9 }, catalog);
        let first = now + Duration::from_millis(pace);
        router.step(first, RouteEvent::FirstToken { request: id }, catalog);
        let end = first + Duration::from_millis(8 * pace);
        let outcome = RunOutcome::Completed;
        router.step(end, RouteEvent::Ended { request: id, outcome, tokens: 9 }, catalog);
    }
    slow as f64 / (until - from) as f64
}

/// Guards against a straggler that keeps its share of the traffic, and against an ejected endpoint
/// that never gets requests again.
#[test]
fn a_straggler_is_ejected_and_gradually_reinstated() {
    let catalog = deployment(6, 1, 1);
    let mut router = EntryRouter::new(7);
    let model: ModelKey = catalog.model(&model_name(0)).unwrap();
    assert!(catalog.models.contains_key(model));
    let before = straggler_share(&catalog, 1, 200, &mut router);
    let after = straggler_share(&catalog, 200, 1000, &mut router);
    assert!(before > 0.02, "the straggler was ejected without measured times, share {before}");
    assert!(after < 0.05, "the straggler keeps {after} of the traffic; an equal share is a sixth");
    assert!(after > 0.0, "the straggler was never reinstated");
}
