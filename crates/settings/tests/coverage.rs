//! Compares the check for unreachable classes with a naive version that tries every request.

use std::{collections::BTreeSet, time::Duration};

use pimentorock_kernel::catalog::{
    AccountLimits, AccountSpec, CatalogSpec, ClassMatch, ClassSpec, EndpointKind, EndpointSpec,
    FencingMode, ServiceCatalog,
};
use pimentorock_settings::compile::compile;
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};

const MODELS: [&str; 3] = ["m0", "m1", "m2"];
const LABELS: [&str; 3] = ["l0", "l1", "l2"];
const ACCOUNTS: [&str; 3] = ["a0", "a1", "a2"];

/// A client account that the settings do not name yet and that an empty list also matches.
const FUTURE_ACCOUNT: &str = "t/future";

/// Returns a random subset of the names, which is often empty; an empty list matches all names.
fn random_subset(gen_: &mut Gen, names: &[&str]) -> Vec<Box<str>> {
    let all = bool::arbitrary(gen_);
    let kept = names.iter().filter(|_| !all && bool::arbitrary(gen_));
    kept.map(|name| (*name).into()).collect()
}

fn random_spec(gen_: &mut Gen) -> CatalogSpec {
    let account = |gen_: &mut Gen, name: &str| AccountSpec {
        name: format!("t/{name}").into(),
        weight: 1,
        limits: AccountLimits::default(),
        models: random_subset(gen_, &MODELS),
    };
    let class = |gen_: &mut Gen, index: u32| ClassSpec {
        name: format!("t/c{index}").into(),
        tier: 0,
        order: u32::arbitrary(gen_) % 5,
        matches: ClassMatch {
            accounts: random_subset(gen_, &ACCOUNTS),
            models: random_subset(gen_, &MODELS),
            labels: random_subset(gen_, &LABELS),
        },
        first_token: Duration::from_millis(770),
        between_tokens: Duration::from_millis(27),
        deadline: Duration::from_secs(30),
        floor: 0.01,
        idempotent: false,
        preemptible: false,
    };
    let endpoint = EndpointSpec {
        name: "e".into(),
        domain: "d".into(),
        kind: EndpointKind::Engine,
        // One model that no class names represents all such models.
        models: MODELS.iter().chain(&["other"]).map(|name| (*name).into()).collect(),
        slots: 1,
        kv_tokens: 1,
        tokens_per_second: 1.0,
        cost_per_hour: 1.0,
        fencing: FencingMode::Ignored,
    };
    CatalogSpec {
        accounts: ACCOUNTS.iter().map(|name| account(gen_, name)).collect(),
        classes: (0..6).map(|index| class(gen_, index)).collect(),
        endpoints: vec![endpoint],
        ..CatalogSpec::default()
    }
}

fn tree_of(spec: &CatalogSpec) -> Value {
    let mut tree = json!({
        "fleet": {"endpoints": {"e": {"domain": "d", "models": spec.endpoints[0].models}}},
    });
    for account in &spec.accounts {
        let name = &account.name[2..];
        tree["teams"]["t"]["accounts"][name] = json!({"models": account.models});
    }
    for class in &spec.classes {
        let name = &class.name[2..];
        tree["teams"]["t"]["classes"][name] = json!({"order": class.order, "match": class.matches});
    }
    tree
}

/// Returns the classes that the catalog assigns to some request, by trying every request.
fn reached(spec: &CatalogSpec) -> BTreeSet<Box<str>> {
    let mut spec = spec.clone();
    spec.accounts.push(AccountSpec {
        name: FUTURE_ACCOUNT.into(),
        weight: 1,
        limits: AccountLimits::default(),
        models: Vec::new(),
    });
    let catalog = ServiceCatalog::with_spec(1, spec);
    let labels = LABELS.iter().map(|label| Some(*label)).chain([Some("other"), None]);
    let mut reached = BTreeSet::new();
    for (account, model) in catalog
        .live_accounts()
        .flat_map(|account| MODELS.iter().chain(&["other"]).map(move |model| (account, *model)))
    {
        if !catalog.may_use(account, model) {
            continue;
        }
        for label in labels.clone() {
            let class = catalog.classify(account, model, label);
            reached.extend(class.map(|key| catalog.classes[key].name.clone()));
        }
    }
    reached
}

// Guards against a check that rejects a class which some request can reach, or accepts one that
// no request can reach.
#[test]
fn the_check_agrees_with_trying_every_request() {
    let mut unreachable_count = 0;
    for seed in 0..600 {
        let mut gen_ = Gen::from_size_and_seed(10, seed);
        let spec = random_spec(&mut gen_);
        let reached = reached(&spec);
        let found: BTreeSet<Box<str>> = match compile(&tree_of(&spec)) {
            Ok(_) => BTreeSet::new(),
            Err(report) => report
                .findings
                .iter()
                .map(|finding| finding.path.replace("/teams/t/classes/", "t/").into())
                .collect(),
        };
        for class in &spec.classes {
            let unreachable = !reached.contains(&class.name);
            unreachable_count += u32::from(unreachable);
            assert_eq!(found.contains(&class.name), unreachable, "seed {seed}: {}", class.name);
        }
    }
    assert!(unreachable_count > 100, "only {unreachable_count} classes were unreachable");
}
