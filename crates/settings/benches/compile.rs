//! Measures how long the compilation of a settings tree takes, with overlapping and with disjoint
//! classes.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pimentorock_settings::compile::compile;
use serde_json::{Value, json};

/// Size of a benchmarked settings tree.
#[derive(Clone, Copy)]
struct TreeSize {
    name: &'static str,
    teams: usize,
    /// Number of client accounts of each team.
    accounts: usize,
    /// Number of classes of each team.
    classes: usize,
    models: usize,
    endpoints: usize,
}

const SIZES: [TreeSize; 3] = [
    TreeSize { name: "today", teams: 2, accounts: 5, classes: 6, models: 4, endpoints: 10 },
    TreeSize { name: "target", teams: 20, accounts: 14, classes: 8, models: 12, endpoints: 600 },
    TreeSize { name: "one-team", teams: 1, accounts: 280, classes: 60, models: 12, endpoints: 600 },
];

/// Number of labels that overlapping classes choose from.
const LABELS: usize = 10;

/// Returns a tree whose classes overlap in accounts, models and labels, or are disjoint because
/// each has a label of its own.
fn tree(size: TreeSize, overlap: bool) -> Value {
    let mut tree = json!({});
    for endpoint in 0..size.endpoints {
        let models = [format!("m{}", endpoint % size.models)];
        tree["fleet"]["endpoints"][format!("e{endpoint}")] =
            json!({"domain": format!("d{}", endpoint % 8), "models": models});
    }
    for team in 0..size.teams {
        let team = format!("t{team}");
        for account in 0..size.accounts {
            tree["teams"][&team]["accounts"][format!("a{account}")] = json!({"weight": 2});
        }
        for class in 0..size.classes {
            // The last overlapping class matches all requests and so overlaps every earlier class.
            let last = class + 1 == size.classes;
            let some = |count: usize, step: usize, prefix: &str| -> Vec<String> {
                let chosen = (0..count).filter(|index| (index + class) % step != 0);
                chosen.map(|index| format!("{prefix}{index}")).collect()
            };
            let matches = match (last, overlap) {
                (true, true) => json!({}),
                (false, true) => json!({
                    "accounts": some(size.accounts, 3, "a"),
                    "models": some(size.models, 4, "m"),
                    "labels": some(LABELS, 5, "l"),
                }),
                (_, false) => json!({"labels": [format!("only-{class}")]}),
            };
            tree["teams"][&team]["classes"][format!("c{class}")] =
                json!({"order": class, "floor": "0.1%", "match": matches});
        }
    }
    tree
}

fn compile_trees(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("compile");
    for size in SIZES {
        for (kind, overlap) in [("apart", false), ("overlapping", true)] {
            let tree = tree(size, overlap);
            let id = BenchmarkId::new(size.name, kind);
            group.bench_with_input(id, &tree, |bencher, tree| bencher.iter(|| compile(tree)));
        }
    }
    group.finish();
}

criterion_group!(benches, compile_trees);
criterion_main!(benches);
