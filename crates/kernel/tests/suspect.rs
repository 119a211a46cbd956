//! Tests of the suspect table and gate, and of simulated fleets that receive a poison request,
//! which crashes every endpoint that runs it.

mod route_fixture;

use std::{collections::BTreeSet, time::Duration};

use pimentorock_kernel::{
    catalog::ServiceCatalog,
    ids::{EndpointKey, ProcessId, RequestId},
    reason::DecisionReason,
    request::{RequestSpec, RunOutcome},
    route::{CrashReport, EndpointDigest, EntryRouter, RouteChoice, RouteEvent},
    suspect::{CRASH_RECORD_TTL, SuspectGate, SuspectTable, SuspectVerdict},
    time::TimePoint,
};
use quickcheck::{Arbitrary, Gen};

use self::route_fixture::{deployment, idle_digest, request};

/// One crash of a request, as the naive version records it.
#[derive(Clone)]
struct NaiveCrash {
    at: TimePoint,
    crash: u64,
    fingerprint: u64,
}

/// Returns the verdict from the number of distinct recent crashes of a fingerprint.
fn naive_verdict(known_crashes: &[NaiveCrash], now: TimePoint, fingerprint: u64) -> SuspectVerdict {
    let mut crashes = BTreeSet::new();
    for known_crash in known_crashes {
        if known_crash.fingerprint == fingerprint && now.since(known_crash.at) < CRASH_RECORD_TTL {
            crashes.insert(known_crash.crash);
        }
    }
    match crashes.len() {
        0 => SuspectVerdict::Clear,
        1 => SuspectVerdict::Isolate,
        _ => SuspectVerdict::Refuse,
    }
}

/// Guards against crashes that are counted twice, missed or kept longer than their time to live.
#[test]
fn verdicts_match_the_naive_version() {
    for seed in 0..200 {
        let mut generator = Gen::from_size_and_seed(20, seed);
        let mut below = |bound: u64| u64::arbitrary(&mut generator) % bound;
        let (mut table, mut known_crashes) = (SuspectTable::new(), Vec::new());
        let mut now = TimePoint::ZERO;
        for crash in 0..12 {
            now = now + Duration::from_secs(below(900));
            let fingerprints: Vec<u64> = (0..1 + below(3)).map(|_| below(6)).collect();
            table.record_crash(now, "e1", crash, &fingerprints);
            let known_crash = |&fingerprint| NaiveCrash { at: now, crash, fingerprint };
            known_crashes.extend(fingerprints.iter().map(known_crash));
            for fingerprint in 0..6 {
                let expected = naive_verdict(&known_crashes, now, fingerprint);
                assert_eq!(table.verdict(now, fingerprint), expected, "seed {seed}");
            }
        }
    }
}

/// Guards against entries that end up with different tables because they exchange them in different
/// orders or repeatedly.
#[test]
fn merge_is_commutative_associative_and_idempotent() {
    let now = TimePoint::from_millis(5000);
    for seed in 0..200 {
        let mut generator = Gen::from_size_and_seed(20, seed);
        let mut below = |bound: u64| u64::arbitrary(&mut generator) % bound;
        let mut random_table = || {
            let mut table = SuspectTable::new();
            for at in 0..below(6) {
                let at = TimePoint::from_millis(at * 900);
                let (crash, fingerprint) = (below(2), below(3));
                match below(4) {
                    0 => table.record_unconfirmed_crash(at, "e1", crash, &[fingerprint]),
                    1 => table.withdraw_unconfirmed_crash(at, "e1", crash),
                    2 => table.exonerate(at, fingerprint),
                    _ => table.record_crash(at, "e1", crash, &[fingerprint]),
                }
            }
            table.advance(now);
            table
        };
        let tables = [random_table(), random_table(), random_table()];
        let joined = |order: &[usize]| {
            let mut joined = SuspectTable::new();
            joined.advance(now);
            order.iter().for_each(|&index| joined.merge(&tables[index]));
            joined
        };
        let expected = joined(&[0, 1, 2]);
        for order in [&[2, 1, 0][..], &[1, 2, 0, 1], &[0, 0, 1, 2, 2]] {
            assert_eq!(joined(order), expected, "seed {seed}, order {order:?}");
        }
        let sent = serde_json::to_string(&expected).unwrap();
        let mut received: SuspectTable = serde_json::from_str(&sent).unwrap();
        received.advance(TimePoint::ZERO);
        let mut merged = joined(&[]);
        merged.merge(&received);
        assert_eq!(merged, expected, "seed {seed}, after serialisation");
    }
}

/// Guards against two suspects that run together at one endpoint, and against a suspect that starts
/// without isolation because its entry does not know yet that the request is a suspect.
#[test]
fn a_gate_admits_one_suspect_at_a_time() {
    let now = TimePoint::from_millis(1);
    let mut table = SuspectTable::new();
    table.record_crash(now, "e1", 1, &[1, 2, 3]);
    table.record_crash(now, "e2", 1, &[3]);
    let mut gate = SuspectGate::new();
    gate.merge(now, &table);
    assert_eq!(gate.admit(now, 9, false, &[1]), Ok(()), "the request is not a suspect");
    assert_eq!(gate.admit(now, 1, false, &[]), Err(DecisionReason::IsolatedAfterCrash));
    assert_eq!(gate.admit(now, 3, true, &[]), Err(DecisionReason::SuspectedOfCrashes));
    assert_eq!(gate.admit(now, 1, true, &[9, 2]), Err(DecisionReason::IsolatedAfterCrash));
    assert_eq!(gate.admit(now, 1, true, &[9]), Ok(()));
    gate.release(now, 2, true);
    assert_eq!(gate.admit(now, 2, true, &[]), Err(DecisionReason::IsolatedAfterCrash));
    gate.release(now, 1, true);
    assert_eq!(gate.admit(now, 1, false, &[2]), Ok(()), "cleared by a completion");
}

const ENTRIES: usize = 4;
const ENDPOINTS: usize = 10;
const POISON: u64 = 0xbad;
/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(10);
/// Steps between two digests.
const DIGEST_STEPS: u64 = 50;
/// Steps between two exchanges of suspects between entries.
const EXCHANGE_STEPS: u64 = 100;
/// Maximum network delay of a digest, in steps.
const MAX_DELAY_STEPS: u64 = 60;
const SESSION_STEPS: u64 = 3000;

/// A request that runs at an endpoint.
#[derive(Clone)]
struct EndpointRun {
    entry: usize,
    request: RequestSpec,
    isolated: bool,
    ends_at: u64,
}

/// A request that waits to be sent; the entry that lost a request sends it again.
struct WaitingRequest {
    due: u64,
    entry: Option<usize>,
    request: RequestSpec,
}

/// A simulated endpoint with its agent.
#[derive(Default)]
struct FakeEndpoint {
    run: u64,
    down_until: u64,
    sequence: u64,
    runs: Vec<EndpointRun>,
    gate: SuspectGate,
    crashes: Vec<CrashReport>,
}

/// A simulated fleet of entries and endpoints, with the digests in transit between them.
struct FakeFleet {
    generator: Gen,
    catalog: ServiceCatalog,
    keys: Vec<EndpointKey>,
    entries: Vec<EntryRouter>,
    endpoints: Vec<FakeEndpoint>,
    digests: Vec<(u64, usize, EndpointDigest)>,
    waiting: Vec<WaitingRequest>,
    step: u64,
    next_id: u64,
    crashed_endpoints: BTreeSet<usize>,
    served: usize,
}

impl FakeFleet {
    fn new(seed: u64) -> FakeFleet {
        let catalog = deployment(ENDPOINTS, 1, 1);
        let mut keys: Vec<_> = catalog.live_endpoints().collect();
        keys.sort_unstable();
        let entry = |index: usize| {
            let own = ProcessId { name: format!("entry-{index}").into(), incarnation: 1 };
            EntryRouter::new(seed + index as u64).with_process(own)
        };
        let fake = |_| FakeEndpoint { run: 1, ..FakeEndpoint::default() };
        FakeFleet {
            generator: Gen::from_size_and_seed(20, seed),
            entries: (0..ENTRIES).map(entry).collect(),
            endpoints: (0..ENDPOINTS).map(fake).collect(),
            digests: Vec::new(),
            waiting: Vec::new(),
            step: 0,
            next_id: 1,
            crashed_endpoints: BTreeSet::new(),
            served: 0,
            keys,
            catalog,
        }
    }

    fn now(&self) -> TimePoint {
        TimePoint::ZERO + STEP * self.step as u32
    }

    fn below(&mut self, bound: u64) -> u64 {
        u64::arbitrary(&mut self.generator) % bound
    }

    fn deliver_event(&mut self, entry: usize, event: RouteEvent) {
        let now = self.now();
        self.entries[entry].step(now, event, &self.catalog);
    }

    fn spec(&mut self, fingerprint: Option<u64>) -> RequestSpec {
        let mut spec = request(&self.catalog, self.next_id, 0, self.now());
        spec.fingerprint = fingerprint.unwrap_or(spec.fingerprint);
        self.next_id += 1;
        spec
    }

    /// Sends a request through the given entry, or through a random entry if `entry` is `None`.
    ///
    /// Returns whether the request must be sent again.
    fn send(&mut self, entry: Option<usize>, spec: &RequestSpec) -> bool {
        let any = self.below(ENTRIES as u64) as usize;
        let entry = entry.unwrap_or(any);
        let now = self.now();
        let mut spec = spec.clone();
        spec.id = RequestId(u128::from(self.next_id));
        self.next_id += 1;
        let choice = self.entries[entry].choose(now, &spec, &self.catalog, &[]);
        let RouteChoice::Endpoint { endpoint, reason } = choice else { return true };
        let index = self.keys.iter().position(|&key| key == endpoint).unwrap();
        let isolated = reason == DecisionReason::IsolatedAfterCrash;
        let id = spec.id;
        self.deliver_event(entry, RouteEvent::Sent { request: id, endpoint, expected_tokens: 50 });
        let down = self.step < self.endpoints[index].down_until;
        if isolated {
            let report = self.entries[entry].suspect_report(now);
            self.endpoints[index].gate.merge(now, &report);
        }
        let fake = &mut self.endpoints[index];
        let running: Vec<u64> = fake.runs.iter().map(|run| run.request.fingerprint).collect();
        if down || fake.gate.admit(now, spec.fingerprint, isolated, &running).is_err() {
            if down {
                self.deliver_event(entry, RouteEvent::Unreachable { endpoint });
            }
            let outcome = RunOutcome::NotRun;
            self.deliver_event(entry, RouteEvent::Ended { request: id, outcome, tokens: 0 });
            return true;
        }
        let ends_at = self.step + 5 + self.below(60);
        let run = EndpointRun { entry, request: spec, isolated, ends_at };
        self.endpoints[index].runs.push(run);
        false
    }

    fn run_endpoint(&mut self, index: usize) {
        let step = self.step;
        let ended = |run: &EndpointRun| run.ends_at <= step;
        let poisoned = self.endpoints[index]
            .runs
            .iter()
            .any(|run| ended(run) && run.request.fingerprint == POISON);
        if poisoned {
            self.crash(index);
            return;
        }
        let runs = std::mem::take(&mut self.endpoints[index].runs);
        let (done, left) = runs.into_iter().partition(ended);
        self.endpoints[index].runs = left;
        for run in done {
            self.release_gate(index, &run);
            let outcome = RunOutcome::Completed;
            self.deliver_event(
                run.entry,
                RouteEvent::Ended { request: run.request.id, outcome, tokens: 50 },
            );
            self.served += 1;
        }
    }

    fn release_gate(&mut self, index: usize, run: &EndpointRun) {
        let now = self.now();
        if run.isolated {
            self.endpoints[index].gate.release(now, run.request.fingerprint, true);
        }
    }

    fn crash(&mut self, index: usize) {
        self.crashed_endpoints.insert(index);
        let now = self.now();
        let downtime = 50 + self.below(500);
        let runs = std::mem::take(&mut self.endpoints[index].runs);
        let fake = &mut self.endpoints[index];
        let fingerprints: Vec<u64> = runs.iter().map(|run| run.request.fingerprint).collect();
        let name = &self.catalog.endpoints[self.keys[index]].name;
        fake.gate.record_crash(now, name, fake.run, &fingerprints);
        fake.crashes.push(CrashReport { crash_id: fake.run, fingerprints });
        fake.run += 1;
        fake.down_until = self.step + downtime;
        for run in runs {
            let outcome = RunOutcome::Lost;
            self.deliver_event(
                run.entry,
                RouteEvent::Ended { request: run.request.id, outcome, tokens: 0 },
            );
            let (due, entry) = (self.step, Some(run.entry));
            self.waiting.push(WaitingRequest { due, entry, request: run.request });
        }
    }

    fn send_digests(&mut self, index: usize) {
        self.endpoints[index].sequence += 1;
        let fake = &self.endpoints[index];
        let mut digest = idle_digest(&self.catalog, self.keys[index], fake.sequence);
        digest.up = self.step >= fake.down_until;
        digest.running = fake.runs.len() as u32;
        digest.engine_run = fake.run;
        digest.crashes.clone_from(&fake.crashes);
        for entry in 0..ENTRIES {
            let arrives = self.step + 1 + self.below(MAX_DELAY_STEPS);
            self.digests.push((arrives, entry, digest.clone()));
        }
    }

    fn deliver(&mut self) {
        let step = self.step;
        let (due, left) =
            std::mem::take(&mut self.digests).into_iter().partition(|(at, _, _)| *at <= step);
        self.digests = left;
        let due: Vec<(u64, usize, EndpointDigest)> = due;
        for (_, entry, digest) in due {
            self.deliver_event(entry, RouteEvent::Digest(digest));
        }
    }

    fn exchange(&mut self) {
        let (from, to) = (self.below(ENTRIES as u64) as usize, self.below(ENTRIES as u64) as usize);
        let report = self.entries[from].suspect_report(self.now());
        let now = self.now();
        self.entries[to].merge_suspects(now, &report);
    }

    /// Sends the waiting requests that are due.
    fn resend(&mut self) {
        let step = self.step;
        for mut waiting in std::mem::take(&mut self.waiting) {
            let due = waiting.due <= step;
            if due && !self.send(waiting.entry, &waiting.request) {
                continue;
            }
            if due {
                waiting.due = step + 1 + self.below(100);
            }
            self.waiting.push(waiting);
        }
    }

    fn run(&mut self) -> usize {
        let mut harmless_count = 0;
        while self.step < SESSION_STEPS {
            self.step += 1;
            if self.step.is_multiple_of(DIGEST_STEPS) {
                (0..ENDPOINTS).for_each(|index| self.send_digests(index));
            }
            if self.step.is_multiple_of(EXCHANGE_STEPS) {
                self.exchange();
            }
            self.deliver();
            if self.step < SESSION_STEPS - 1500 && self.step > 150 && self.below(4) == 0 {
                let request = self.spec(None);
                self.waiting.push(WaitingRequest { due: self.step, entry: None, request });
                harmless_count += 1;
            }
            if self.step > 300 && self.below(20) == 0 {
                let spec = self.spec(Some(POISON));
                for _ in 0..1 + self.below(4) {
                    self.send(None, &spec);
                }
            }
            self.resend();
            (0..ENDPOINTS).for_each(|index| self.run_endpoint(index));
        }
        harmless_count
    }
}

/// Guards against a poison request that crashes endpoint after endpoint, and against other requests
/// that are refused or lost because they ran at the same endpoints. Digests, and with them crash
/// reports, arrive late and in any order.
#[test]
fn a_poison_request_crashes_at_most_two_endpoints() {
    for seed in 0..24 {
        let mut fleet = FakeFleet::new(seed);
        let harmless_count = fleet.run();
        let is_harmless = |waiting: &&WaitingRequest| waiting.request.fingerprint != POISON;
        let left: Vec<_> =
            fleet.waiting.iter().filter(is_harmless).map(|waiting| waiting.request.id).collect();
        assert!(fleet.crashed_endpoints.len() <= 2, "seed {seed}: {:?}", fleet.crashed_endpoints);
        assert!(!fleet.crashed_endpoints.is_empty(), "seed {seed}: the poison request never ran");
        assert_eq!(left, [], "seed {seed}: harmless requests still wait");
        assert_eq!(
            fleet.served, harmless_count,
            "seed {seed}: harmless requests were not all served"
        );
    }
}
