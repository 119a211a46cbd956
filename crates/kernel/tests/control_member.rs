//! Membership of a whole simulated fleet; the size of a message is that of its JSON text.

use std::{collections::BTreeMap, time::Duration};

use pimentorock_kernel::{
    control::{
        HostHint, MemberDigest, MemberEvent, MemberLimits, MemberMessage, MemberStatus, MemberTable,
    },
    ids::ProcessId,
    record::KeyWithdrawn,
    time::TimePoint,
};

const ROUND: Duration = Duration::from_secs(1);

/// Maximum bytes per second that a node may send and receive for control messages.
const BYTES_PER_SECOND: usize = 12_000;

/// Incarnation of the first run of every process.
const START_MS: u64 = 1_796_000_000_000;

/// Reports whether messages between two processes are lost.
type Partition = fn(&str, &str) -> bool;

struct Fleet {
    now: TimePoint,
    tables: BTreeMap<Box<str>, MemberTable>,
    down: Vec<Box<str>>,
    partition: Partition,
    /// Whether the bytes of messages are counted.
    measured: bool,
    /// Bytes that each node sent and received in the last round, by name of the node.
    bytes: BTreeMap<Box<str>, usize>,
    events: Vec<(Box<str>, MemberEvent)>,
}

fn digest(index: usize, incarnation: u64) -> MemberDigest {
    MemberDigest {
        process: ProcessId { name: format!("n{index:03}").into(), incarnation },
        domain: format!("d{}", index % 8).into(),
        address: format!("10.0.{}.{}:7400", index % 8, index / 8).into(),
        agent: index.is_multiple_of(2),
        draining: false,
        sequence: 0,
    }
}

/// Reports whether a node is in the first region, domains 0 to 3, and not in the second, 4 to 7.
fn region(name: &str) -> bool {
    name[1..].parse::<usize>().unwrap() % 8 < 4
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let now = TimePoint::from_millis(500_000);
        let hint = |index| {
            let MemberDigest { process, domain, address, .. } = digest(index, START_MS);
            HostHint { name: process.name, domain, address }
        };
        let hints: Vec<HostHint> = (0..count).map(hint).collect();
        let mut fleet = Fleet {
            now,
            tables: BTreeMap::new(),
            down: Vec::new(),
            partition: |_, _| false,
            measured: false,
            bytes: BTreeMap::new(),
            events: Vec::new(),
        };
        for index in 0..count {
            let own = digest(index, START_MS);
            let name = own.process.name.clone();
            let mut table = MemberTable::new(own, MemberLimits::default(), now);
            table.note_hosts(&hints);
            fleet.tables.insert(name, table);
        }
        fleet
    }

    fn run(&mut self, rounds: u32) -> usize {
        (0..rounds).map(|_| self.round()).max().unwrap_or(0)
    }

    /// Runs one round and returns the largest number of bytes of any node.
    fn round(&mut self) -> usize {
        self.now = self.now + ROUND;
        self.bytes.clear();
        let names: Vec<Box<str>> = self.tables.keys().cloned().collect();
        for name in &names {
            if self.down.contains(name) {
                continue;
            }
            let targets = self.tables.get_mut(name).unwrap().targets(self.now);
            for target in targets {
                self.exchange(name, &target.name);
            }
            let events = self.tables.get_mut(name).unwrap().take_events();
            self.events.extend(events.into_iter().map(|event| (name.clone(), event)));
        }
        self.bytes.values().copied().max().unwrap_or(0)
    }

    fn exchange(&mut self, name: &str, target: &str) {
        let now = self.now;
        let request = self.tables.get_mut(name).unwrap().request(now, target);
        self.count(name, target, &request);
        if self.down.iter().any(|down| **down == *target) || (self.partition)(name, target) {
            self.tables.get_mut(name).unwrap().exchange_failed(now, target);
            return;
        }
        let peer = self.tables.get_mut(target).unwrap();
        let mut events = peer.receive(now, &request);
        let response = peer.response(now, name);
        self.count(target, name, &response);
        self.events.extend(events.drain(..).map(|event| (target.into(), event)));
        let events = self.tables.get_mut(name).unwrap().receive(now, &response);
        self.events.extend(events.into_iter().map(|event| (name.into(), event)));
    }

    fn count(&mut self, from: &str, to: &str, message: &MemberMessage) {
        if !self.measured {
            return;
        }
        let size = serde_json::to_vec(message).unwrap().len();
        *self.bytes.entry(from.into()).or_default() += size;
        *self.bytes.entry(to.into()).or_default() += size;
    }

    /// Runs until every node knows every other node, then twelve more rounds. Returns the number of
    /// rounds until all were known.
    fn join(&mut self) -> u32 {
        let count = self.tables.len();
        let complete = |table: &MemberTable| table.members().count() == count;
        for round in 1..=120 {
            self.round();
            if self.tables.values().all(complete) {
                self.run(12);
                return round;
            }
        }
        panic!("{count} nodes do not know each other after 120 rounds");
    }

    /// Returns the number of running nodes in whose tables `name` has `status`.
    fn count_status(&self, name: &str, status: MemberStatus) -> usize {
        let running = self.tables.iter().filter(|(node, _)| !self.down.contains(node));
        running.filter(|(_, table)| table.status(self.now, name) == Some(status)).count()
    }

    fn events_of(&self, matches: fn(&MemberEvent) -> bool) -> usize {
        self.events.iter().filter(|(_, event)| matches(event)).count()
    }
}

// Guards against membership traffic per node that grows with the fleet beyond its limit.
#[test]
fn traffic_per_node_stays_within_its_limit_at_50_and_410_nodes() {
    for count in [50, 410] {
        let mut fleet = Fleet::new(count);
        let joined = fleet.join();
        fleet.measured = true;
        fleet.events.clear();
        let steady = fleet.run(5);
        let mean = fleet.bytes.values().sum::<usize>() / count;
        println!(
            "{count} nodes: join {joined} rounds, steady {steady}, mean {mean} bytes/s {:?}",
            fleet.events.iter().take(5).collect::<Vec<_>>()
        );
        assert!(
            steady <= BYTES_PER_SECOND,
            "{steady} bytes per second at {count} nodes, limit {BYTES_PER_SECOND}"
        );
    }
}

// Guards against changes that spread too slowly, against the removal of a process that only pauses,
// and against a restart that is not reported as the end of the earlier run.
#[test]
fn changes_reach_all_nodes_and_suspicion_precedes_removal() {
    let mut fleet = Fleet::new(160);
    fleet.join();
    fleet.events.clear();
    let now = fleet.now;
    fleet.tables.get_mut("n009").unwrap().drain(now);
    let seen = |fleet: &Fleet| {
        let drained = |table: &MemberTable| {
            table
                .members()
                .any(|entry| &*entry.digest.process.name == "n009" && entry.digest.draining)
        };
        fleet.tables.values().filter(|table| drained(table)).count()
    };
    let rounds = (1..10).find(|_| {
        fleet.round();
        seen(&fleet) == 160
    });
    println!("160 nodes: a change is known to all after {rounds:?} rounds");
    assert!(
        rounds.is_some_and(|rounds| rounds <= 6),
        "all nodes know the change after {rounds:?} rounds, limit 6"
    );

    // A process that stops responding for a short time is suspected, and then alive as the same
    // run.
    fleet.down.push("n020".into());
    fleet.run(12);
    assert_eq!(fleet.count_status("n020", MemberStatus::Suspect), 159);
    assert_eq!(fleet.events_of(|event| matches!(event, MemberEvent::Removed(_))), 0);
    fleet.down.clear();
    fleet.run(10);
    assert_eq!(fleet.count_status("n020", MemberStatus::Alive), 160);
    assert_eq!(fleet.events_of(|event| matches!(event, MemberEvent::Ended(_))), 0);

    // A process that stops responding for a long time is removed; its restart ends the earlier run.
    fleet.down.push("n020".into());
    fleet.run(40);
    assert_eq!(fleet.count_status("n020", MemberStatus::Removed), 159);
    let old = digest(20, START_MS).process;
    assert!(!fleet.tables["n000"].is_live(&old));
    let again = MemberTable::new(digest(20, START_MS + 1), MemberLimits::default(), fleet.now);
    fleet.tables.insert("n020".into(), again);
    fleet.down.clear();
    let hint = digest(12, START_MS);
    let (name, domain, address) = (hint.process.name, hint.domain, hint.address);
    fleet.tables.get_mut("n020").unwrap().note_hosts(&[HostHint { name, domain, address }]);
    fleet.run(12);
    assert_eq!(fleet.count_status("n020", MemberStatus::Alive), 160);
    assert_eq!(fleet.events_of(|event| matches!(event, MemberEvent::Ended(_))), 159);
}

// Guards against a burst of messages after a network partition: if each side removed the members of
// the other, all of them would have to be announced again when the partition ends.
#[test]
fn a_partition_between_regions_heals_without_status_changes_or_a_burst_of_traffic() {
    let mut fleet = Fleet::new(96);
    fleet.join();
    fleet.events.clear();
    fleet.partition = |a, b| region(a) != region(b);
    fleet.run(120);
    assert_eq!(fleet.count_status("n000", MemberStatus::Suspect), 48, "the other region");
    assert_eq!(fleet.count_status("n000", MemberStatus::Alive), 48, "its own region");
    let reach = fleet.tables["n000"].reachable_fraction(fleet.now);
    assert!((reach - 0.5).abs() < 0.01, "reach {reach}");
    assert_eq!(fleet.events.len(), 0, "the partition changed a member's status");
    fleet.partition = |_, _| false;
    fleet.measured = true;
    let peak = fleet.run(12);
    println!("96 nodes: at most {peak} bytes/s while a region heals");
    assert!(peak <= BYTES_PER_SECOND, "{peak} bytes per second, limit {BYTES_PER_SECOND}");
    assert_eq!(fleet.count_status("n000", MemberStatus::Alive), 96);
}

// Guards against false suspicion: after a pause of the process itself, all members seem not to have
// been heard for the length of the pause.
#[test]
fn a_process_suspects_no_member_because_of_its_own_pause() {
    let mut fleet = Fleet::new(16);
    fleet.join();
    fleet.events.clear();
    fleet.now = fleet.now + Duration::from_secs(60);
    fleet.run(5);
    assert_eq!(fleet.events.len(), 0, "{:?}", fleet.events.first());
}

// Guards against a withdrawal that misses processes because a relay is lost and not yet suspected,
// or that takes too many hops or bytes.
#[test]
fn urgent_messages_reach_every_process_within_four_hops() {
    let mut fleet = Fleet::new(160);
    fleet.join();
    let now = fleet.now;
    for lost in [None, Some(0), Some(1)] {
        // With `Some`, the first or second relay of the sender's domain is lost but not yet
        // suspected.
        let relays = fleet.tables["n009"].relays("d1");
        let down: Option<Box<str>> = lost.map(|index: usize| relays[index].clone());
        let mut reached: BTreeMap<Box<str>, u32> = BTreeMap::from([("n009".into(), 0)]);
        let mut open = vec![Box::<str>::from("n009")];
        let mut messages: BTreeMap<Box<str>, usize> = BTreeMap::new();
        for hop in 1.. {
            let mut next = Vec::new();
            for name in &open {
                for target in fleet.tables[name].push_targets(now) {
                    *messages.entry(name.clone()).or_default() += 1;
                    *messages.entry(target.name.clone()).or_default() += 1;
                    if down.as_ref() != Some(&target.name) && !reached.contains_key(&target.name) {
                        reached.insert(target.name.clone(), hop);
                        next.push(target.name);
                    }
                }
            }
            if next.is_empty() {
                break;
            }
            open = next;
        }
        let hops = reached.values().max().unwrap();
        let record = KeyWithdrawn { hash: "0".repeat(64).into(), author: "ana".into() };
        let size = serde_json::to_vec(&[record]).unwrap().len();
        let busiest = messages.values().max().unwrap() * size;
        println!("lost {lost:?}: {} reached, {hops} hops, {busiest} bytes", reached.len());
        let running = 160 - usize::from(down.is_some_and(|name| &*name != "n009"));
        assert_eq!(reached.len(), running, "lost relay {lost:?}");
        assert!(*hops <= 4, "{hops} hops, limit 4");
        assert!(
            busiest <= BYTES_PER_SECOND,
            "{busiest} bytes at one node for one withdrawal, limit {BYTES_PER_SECOND}"
        );
    }
}
