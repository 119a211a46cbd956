//! Benchmarks of control state at several sizes; compare only results of the same run.

use std::{collections::BTreeMap, hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use pimentorock_kernel::{
    catalog::CatalogSpec,
    control::{
        ConfigReplay, HostHint, LeaseHolder, LeaseLimits, MemberDigest, MemberLimits, MemberTable,
        OrderLimits, StateReplay,
    },
    ids::{ProcessId, RequestId},
    record::{
        ClaimOpened, ConfigChange, ConfigEdit, ConfigRecord, ConfigSnapshot, KeyCreated,
        StateRecord, StateSnapshot,
    },
    time::TimePoint,
};

fn process(index: usize) -> ProcessId {
    ProcessId { name: format!("n{index:03}").into(), incarnation: 1_796_000_000_000 }
}

fn digest(index: usize) -> MemberDigest {
    MemberDigest {
        process: process(index),
        domain: format!("d{}", index % 8).into(),
        address: format!("10.0.{}.{}:7400", index % 8, index / 8).into(),
        agent: false,
        draining: false,
        sequence: 0,
    }
}

/// Runs one round of every member table.
fn round(tables: &mut BTreeMap<Box<str>, MemberTable>, now: TimePoint) {
    let names: Vec<Box<str>> = tables.keys().cloned().collect();
    for name in &names {
        let targets = tables.get_mut(name).map(|table| table.targets(now)).unwrap_or_default();
        for target in targets {
            let Some(request) = tables.get_mut(name).map(|table| table.request(now, &target.name))
            else {
                continue;
            };
            let Some(peer) = tables.get_mut(&target.name) else { continue };
            peer.receive(now, &request);
            let response = peer.response(now, name);
            if let Some(table) = tables.get_mut(name) {
                table.receive(now, &response);
            }
        }
    }
}

/// Measures one round of all member tables; the cost per node is the result divided by the number
/// of nodes.
fn membership(c: &mut Criterion) {
    let mut group = c.benchmark_group("member_round_of_all");
    for count in [50, 200, 410] {
        let hint = |index| {
            let MemberDigest { process, domain, address, .. } = digest(index);
            HostHint { name: process.name, domain, address }
        };
        let hints: Vec<HostHint> = (0..count).map(hint).collect();
        let mut now = TimePoint::from_millis(500_000);
        let mut tables = BTreeMap::new();
        for index in 0..count {
            let own = digest(index);
            let name = own.process.name.clone();
            let mut table = MemberTable::new(own, MemberLimits::default(), now);
            table.note_hosts(&hints);
            tables.insert(name, table);
        }
        for _ in 0..40 {
            now = now + Duration::from_secs(1);
            round(&mut tables, now);
        }
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                now = now + Duration::from_secs(1);
                round(&mut tables, now);
            });
        });
    }
    group.finish();
}

fn config(accounts: usize) -> ConfigReplay {
    let mut replay = ConfigReplay::new(|_| Ok(CatalogSpec::default()));
    for index in 0..accounts {
        let offset = 2 * index as u64;
        replay.apply(offset, &change(index, offset));
        let hash = format!("{index:064x}").into();
        let (account, label) = (format!("t/a{index}").into(), "till".into());
        let created = KeyCreated { hash, account, label };
        replay.apply(offset + 1, &ConfigRecord::KeyCreated(created));
    }
    replay
}

fn change(index: usize, offset: u64) -> ConfigRecord {
    let value = serde_json::json!({ "weight": 1, "limits": { "tokens": "1000/s" } });
    let path = format!("/teams/t{}/accounts/a{index}", index % 20).into();
    ConfigRecord::Change(ConfigChange {
        change_id: format!("c{offset}").into(),
        base: offset.saturating_sub(1),
        author: "ana".into(),
        edits: vec![ConfigEdit { path, value: Some(value) }],
    })
}

/// Measures one change and the recovery of a configuration, by the number of accounts and keys.
fn configuration(c: &mut Criterion) {
    for accounts in [28, 280] {
        let replay = config(accounts);
        let text = serde_json::to_string(&replay.snapshot()).unwrap_or_default();
        println!("config snapshot of {accounts} accounts and keys: {} bytes", text.len());
        c.bench_function(&format!("config_change/{accounts}"), |bencher| {
            let next = replay.next_offset();
            let record = change(0, next);
            bencher.iter_batched(
                || replay.clone(),
                |mut replay| black_box(replay.apply(next, &record)),
                criterion::BatchSize::SmallInput,
            );
        });
        c.bench_function(&format!("config_recovery/{accounts}"), |bencher| {
            bencher.iter(|| {
                let snapshot: Option<ConfigSnapshot> = serde_json::from_str(&text).ok();
                let mut replay = ConfigReplay::new(|_| Ok(CatalogSpec::default()));
                snapshot.map(|snapshot| replay.restore(&snapshot))
            });
        });
    }
}

/// Measures the recovery of the `state` stream, by the number of claims.
fn state(c: &mut Criterion) {
    let fresh =
        || StateReplay::new(process(0), OrderLimits::default(), Duration::from_secs(86_400));
    for claims in [1_000, 10_000] {
        let mut replay = fresh();
        for offset in 0..claims {
            let record = StateRecord::ClaimOpened(ClaimOpened {
                key: format!("{offset:032x}").into(),
                owner: process(1),
                attempt: RequestId(offset.into()),
                fingerprint: offset,
            });
            replay.apply(TimePoint::ZERO, offset, offset, &record, |_| true);
        }
        let text = serde_json::to_string(&replay.snapshot()).unwrap_or_default();
        println!("state snapshot of {claims} claims: {} bytes", text.len());
        c.bench_function(&format!("state_recovery/{claims}"), |bencher| {
            bencher.iter(|| {
                let snapshot: Option<StateSnapshot> = serde_json::from_str(&text).ok();
                snapshot.map(|snapshot| fresh().restore(TimePoint::ZERO, &snapshot))
            });
        });
    }
}

/// Measures the check of the lease that precedes each order.
fn lease(c: &mut Criterion) {
    let now = TimePoint::from_millis(1_000);
    let mut holder = LeaseHolder::new(process(0), "orders", LeaseLimits::default(), now, 1_000);
    if let Some(record) = holder.next_append(now) {
        holder.read(now, 0, &record);
    }
    c.bench_function("lease_check", |bencher| {
        bencher.iter(|| {
            let number = holder.begin_act(black_box(now));
            holder.end_act();
            number
        });
    });
}

criterion_group!(benches, membership, configuration, state, lease);
criterion_main!(benches);
