//! Benchmarks of the choice of an endpoint by an entry that connects to endpoints directly.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pimentorock_kernel::{
    place::{PlacedEndpoint, PlacedRequest, PlacementTable, PromptPart},
    time::TimePoint,
};

const NOW: TimePoint = TimePoint::from_millis(1_000);

/// Returns a table of `count` endpoints in four failure domains, partitioned between strict classes
/// and all other classes.
fn table(count: usize) -> PlacementTable {
    let mut table = PlacementTable::new("d0");
    for index in 0..count {
        table.put(PlacedEndpoint {
            name: format!("i-{index:010}").into(),
            service: "engine".into(),
            domain: format!("d{}", index % 4).into(),
            software: "v1".into(),
            slots: 64,
            leaving: false,
            started_ms: None,
        });
    }
    table.partition_services(&["engine".into()]);
    table
}

/// Returns a request with a shared part of 5,000 tokens and 6,000 tokens of its own.
fn request(part: u64) -> PlacedRequest {
    PlacedRequest {
        service: "engine".into(),
        prompt_tokens: 11_000,
        output_tokens: 300,
        needed_rate: 25.0,
        latency_target: None,
        strict: false,
        urgency: None,
        parts: vec![
            PromptPart { id: part, tokens: 5_000 },
            PromptPart { id: part + 1, tokens: 6_000 },
        ],
        continues: false,
        version: None,
    }
}

/// Measures the start of an entry, when all endpoints join before the first choice.
fn join(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    for count in [100, 600, 3_000] {
        group.bench_function(BenchmarkId::new("join", count), |bencher| {
            bencher
                .iter(|| table(count).choose(NOW, &request(1), &[]).map(|choice| choice.endpoint));
        });
    }
    group.finish();
}

/// Measures one choice with a part that the table has not seen before.
fn choice(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    for count in [10, 100, 600] {
        let mut table = table(count);
        let mut part = 0;
        group.bench_function(BenchmarkId::new("choose", count), |bencher| {
            bencher.iter(|| {
                part += 1;
                table.choose(NOW, &request(part), &[]).map(|choice| choice.endpoint)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choice, join);
criterion_main!(benches);
