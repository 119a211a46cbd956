//! Differential tests of the prefix index against a naive version that replays all events.

mod route_fixture;

use std::collections::BTreeSet;

use pimentorock_kernel::{
    ids::EndpointKey,
    route::{CacheChange, CacheEvent, PrefixIndex},
};
use quickcheck::{Arbitrary, Gen};

use self::route_fixture::deployment;

/// Replays the events of one endpoint and returns the blocks that the endpoint caches.
fn naive_blocks(events: &[CacheEvent]) -> BTreeSet<u64> {
    let mut held = BTreeSet::new();
    let (mut run, mut sequence) = (0, 0);
    for event in events {
        if (event.engine_run, event.sequence) <= (run, sequence) {
            continue;
        }
        let expected = if event.engine_run == run { sequence + 1 } else { u64::MAX };
        if event.sequence != expected {
            held.clear();
        }
        (run, sequence) = (event.engine_run, event.sequence);
        match &event.change {
            CacheChange::Stored(blocks) => held.extend(blocks),
            CacheChange::Removed(blocks) => held.retain(|block| !blocks.contains(block)),
            CacheChange::Cleared => held.clear(),
        }
    }
    held
}

fn leading(held: &BTreeSet<u64>, prefix: &[u64]) -> u32 {
    prefix.iter().take_while(|block| held.contains(block)).count() as u32
}

/// Guards against blocks that stay in the index after lost, late or repeated events or after a
/// restart of the endpoint.
#[test]
fn held_blocks_match_a_replay() {
    let catalog = deployment(3, 1, 1);
    let keys: Vec<EndpointKey> = catalog.live_endpoints().collect();
    for seed in 0..100 {
        let mut generator = Gen::from_size_and_seed(20, seed);
        let mut below = |bound: u64| u64::arbitrary(&mut generator) % bound;
        let mut index = PrefixIndex::new();
        let mut logs = vec![Vec::new(); keys.len()];
        let mut feeds = vec![(0_u64, 0_u64); keys.len()];
        for _ in 0..80 {
            let at = below(keys.len() as u64) as usize;
            let (run, sequence) = &mut feeds[at];
            match below(12) {
                0 => (*run, *sequence) = (*run + 1, 0),
                1 => *sequence += 1,
                2 => *sequence = sequence.saturating_sub(2),
                _ => {}
            }
            *sequence += 1;
            let length = 1 + below(6);
            let change = match below(6) {
                0 => CacheChange::Cleared,
                1 => CacheChange::Removed((length..8).collect()),
                _ => CacheChange::Stored((0..length).collect()),
            };
            let endpoint = catalog.endpoints[keys[at]].name.clone();
            let event = CacheEvent { endpoint, engine_run: *run, sequence: *sequence, change };
            index.apply(keys[at], &event);
            logs[at].push(event);
            let prefix: Vec<u64> = (0..8).collect();
            for (key, log) in keys.iter().zip(&logs) {
                let expected = leading(&naive_blocks(log), &prefix);
                assert_eq!(index.held_blocks(*key, &prefix), expected, "seed {seed}");
            }
        }
    }
}

/// Guards against memory use that grows with the number of cache events.
#[test]
fn the_index_is_bounded() {
    let catalog = deployment(1, 1, 1);
    let key = catalog.live_endpoints().next().unwrap();
    let mut index = PrefixIndex::with_capacity(64);
    for sequence in 1..1000 {
        let change = CacheChange::Stored((sequence * 10..sequence * 10 + 7).collect());
        let event = CacheEvent { endpoint: "e000".into(), engine_run: 1, sequence, change };
        index.apply(key, &event);
        assert!(index.len() <= 65, "{} blocks", index.len());
    }
    assert_eq!(index.gaps(), 0);
}
