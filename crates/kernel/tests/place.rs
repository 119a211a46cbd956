//! Tests of the choice of endpoints by entries that connect to them directly.

use std::{collections::HashMap, time::Duration};

use pimentorock_kernel::{
    ids::EndpointKey,
    place::{
        LoadRow, PlacedEndpoint, PlacedRequest, PlacementTable, PromptPart, WorkTicket,
        strict_pauses, urgency,
    },
    reason::DecisionReason,
    stream_origin::VersionKey,
    time::TimePoint,
};
use quickcheck::{Arbitrary, Gen};

const NOW: TimePoint = TimePoint::from_millis(10_000);
const SLOTS: u32 = 64;

fn endpoint(name: &str, domain: &str) -> PlacedEndpoint {
    PlacedEndpoint {
        name: name.into(),
        service: "engine".into(),
        domain: domain.into(),
        software: "v1".into(),
        slots: SLOTS,
        leaving: false,
        started_ms: None,
    }
}

/// Returns a table of `count` endpoints in one failure domain, partitioned between strict classes
/// and all other classes.
fn table(count: usize) -> PlacementTable {
    let mut table = PlacementTable::new("a");
    for index in 0..count {
        table.put(endpoint(&format!("e{index}"), "a"));
    }
    table.partition_services(&["engine".into()]);
    table
}

/// Returns a non-strict request with a shared part of 5,000 tokens and 6,000 tokens of its own.
fn digest(part: u64) -> PlacedRequest {
    PlacedRequest {
        service: "engine".into(),
        prompt_tokens: 11_000,
        output_tokens: 380,
        needed_rate: 25.0,
        latency_target: None,
        strict: false,
        urgency: None,
        parts: vec![
            PromptPart { id: part, tokens: 5_000 },
            PromptPart { id: part ^ 0xffff, tokens: 6_000 },
        ],
        continues: false,
        version: None,
    }
}

/// Returns a strict request with a shared part of 200 tokens and 600 tokens of its own.
fn chat(part: u64) -> PlacedRequest {
    PlacedRequest {
        service: "engine".into(),
        prompt_tokens: 800,
        output_tokens: 300,
        needed_rate: 25.0,
        latency_target: None,
        strict: true,
        urgency: None,
        parts: vec![
            PromptPart { id: part, tokens: 200 },
            PromptPart { id: part ^ 0xffff, tokens: 600 },
        ],
        continues: false,
        version: None,
    }
}

/// Chooses an endpoint for `request` and notes that the request was sent there.
fn place(table: &mut PlacementTable, request: &PlacedRequest) -> (EndpointKey, WorkTicket) {
    let choice = table.choose(NOW, request, &[]).unwrap();
    (choice.endpoint, table.sent(NOW, choice.endpoint, request))
}

#[test]
fn classes_with_the_shortest_pauses_are_strict() {
    let millis = |ms| Some(Duration::from_millis(ms));
    let cases: [(&[Option<Duration>], &[bool]); 4] = [
        (&[millis(1_200), millis(300), millis(500)], &[false, true, false]),
        (&[millis(300), millis(350)], &[false, false]),
        (&[millis(300), None], &[true, false]),
        (&[None, None], &[false, false]),
    ];
    for (pauses, strict) in cases {
        assert_eq!(strict_pauses(pauses), strict, "{pauses:?}");
    }
}

#[test]
fn entries_agree_on_the_home_of_a_part() {
    let (mut one, mut other) = (table(9), table(9));
    // Load that only one entry knows of must not change the home.
    place(&mut other, &digest(77));
    for part in 0..50 {
        let request = digest(part);
        let choices = [&mut one, &mut other].map(|table| table.choose(NOW, &request, &[]).unwrap());
        assert_eq!(choices[0].name, choices[1].name);
        assert_eq!(choices[0].home_rank, Some(0));
    }
}

#[test]
fn a_popular_part_fills_both_homes_before_other_endpoints() {
    let mut table = table(9);
    let request = digest(1);
    let mut homes = HashMap::new();
    while let Ok(choice) = table.choose(NOW, &request, &[]) {
        *homes.entry(choice.home_rank).or_insert(0) += 1;
        table.sent(NOW, choice.endpoint, &request);
        if homes.len() > 2 {
            break;
        }
    }
    let (first, second) = (homes[&Some(0)], homes[&Some(1)]);
    assert!(first > 10 && second > 10, "{homes:?}");
}

#[test]
fn long_prompts_are_refused_while_endpoints_have_free_slots() {
    let mut table = table(4);
    let mut placed = 0;
    let refusal = loop {
        match table.choose(NOW, &digest(placed % 7), &[]) {
            Ok(choice) => {
                table.sent(NOW, choice.endpoint, &digest(placed % 7));
                placed += 1;
            }
            Err(reason) => break reason,
        }
    };
    assert_eq!(refusal, DecisionReason::QueueFull);
    let all = 4 * u64::from(SLOTS);
    assert!(placed > all / 4 && placed < all * 7 / 10, "{placed} of {all} slots");
    // The endpoint that is reserved for strict classes still accepts strict requests.
    assert!(table.choose(NOW, &chat(3), &[]).is_ok());
}

#[test]
fn an_endpoint_accepts_only_requests_that_fit_its_memory() {
    let mut table = table(1);
    table.set_memories(HashMap::from([("engine".into(), 30_000)]));
    let request = digest(1);
    let mut tickets = Vec::new();
    while table.choose(NOW, &request, &[]).is_ok() {
        tickets.push(place(&mut table, &request).1);
    }
    assert_eq!(tickets.len(), 3, "three requests of 6,380 tokens fit 70% of 30,000 tokens");
    table.ended(&mut tickets[0]);
    assert!(table.choose(NOW, &request, &[]).is_ok());
}

#[test]
fn strict_requests_avoid_endpoints_with_long_prompts() {
    let mut table = table(9);
    for part in 0..40 {
        place(&mut table, &digest(part));
    }
    for part in 0..40 {
        let choice = table.choose(NOW, &chat(part), &[]).unwrap();
        assert!(choice.strict && choice.pending_prefill < 6_000, "{choice:?}");
        let mut ticket = table.sent(NOW, choice.endpoint, &chat(part));
        table.started(&mut ticket);
    }
}

#[test]
fn a_failed_endpoint_is_quarantined_and_then_chosen_again() {
    let mut table = table(2);
    let request = chat(1);
    let home = table.choose(NOW, &request, &[]).unwrap().endpoint;
    table.note_failure(NOW, home);
    assert_ne!(table.choose(NOW, &request, &[]).unwrap().endpoint, home);
    let later = NOW + Duration::from_secs(5);
    assert_eq!(table.choose(later, &request, &[]).unwrap().endpoint, home);
}

#[test]
fn reported_load_of_other_entries_counts_until_it_expires() {
    let mut table = table(2);
    let request = digest(1);
    let home = table.choose(NOW, &request, &[]).unwrap();
    let endpoint = LoadRow::endpoint_hash(&home.name);
    let row = LoadRow { endpoint, in_flight: 60, prefill: 200_000, memory: 0 };
    table.note_others(NOW, &[row]);
    let busy = table.choose(NOW, &request, &[]);
    assert!(busy.is_err() || busy.is_ok_and(|choice| choice.endpoint != home.endpoint));
    let later = NOW + Duration::from_secs(3);
    assert_eq!(table.choose(later, &request, &[]).unwrap().endpoint, home.endpoint);
}

#[test]
fn no_load_remains_after_all_requests_have_ended() {
    for seed in 0..60 {
        let mut generator = Gen::from_size_and_seed(30, seed);
        let mut below = |bound: usize| usize::arbitrary(&mut generator) % bound;
        let mut table = table(1 + below(8));
        let mut open = Vec::new();
        for _ in 0..200 {
            let request =
                if below(2) == 0 { digest(below(9) as u64) } else { chat(below(9) as u64) };
            match below(3) {
                0 if !open.is_empty() => {
                    let mut ticket: WorkTicket = open.swap_remove(below(open.len()));
                    table.ended(&mut ticket);
                }
                1 if !open.is_empty() => {
                    let index = below(open.len());
                    table.started(&mut open[index]);
                }
                _ if table.choose(NOW, &request, &[]).is_ok() => {
                    open.push(place(&mut table, &request).1);
                }
                _ => {}
            }
        }
        for mut ticket in open {
            table.ended(&mut ticket);
        }
        assert_eq!(table.own_load(), [], "seed {seed}");
    }
}

/// Time that a host needs to refuse a connection.
const REFUSED: Duration = Duration::from_millis(1);

/// Returns a table in which the endpoints with the indexes `down` refused a connection at [`NOW`].
fn table_with_down(count: usize, down: &[usize]) -> PlacementTable {
    let mut table = table(count);
    for index in down {
        let key = table.key(&format!("e{index}")).unwrap();
        table.note_unreached(NOW, key, REFUSED);
    }
    table
}

/// Guards against choosing a down endpoint because it seems to have no load while all others are
/// full.
#[test]
fn a_down_endpoint_is_not_chosen_while_the_others_are_full() {
    let mut table = table_with_down(4, &[0, 1]);
    let mut used = HashMap::new();
    let refused = loop {
        match table.choose(NOW, &digest(1), &[]) {
            Ok(choice) => {
                table.sent(NOW, choice.endpoint, &digest(1));
                *used.entry(choice.name).or_insert(0) += 1;
            }
            Err(reason) => break reason,
        }
    };
    assert_eq!(refused, DecisionReason::QueueFull);
    let diagnosis = table.diagnose(NOW, &digest(1));
    assert_eq!((diagnosis.open, diagnosis.down, diagnosis.short_of_memory), (4, 2, 0));
    assert!(diagnosis.least_load >= diagnosis.load_limit, "{diagnosis:?}");
    assert!(!used.contains_key("e0") && !used.contains_key("e1"), "{used:?}");
}

#[test]
fn down_endpoints_are_chosen_if_all_are_down() {
    let mut table = table_with_down(2, &[0, 1]);
    assert!(table.choose(NOW, &digest(1), &[]).is_ok());
}

#[test]
fn one_request_at_a_time_probes_a_down_endpoint() {
    let mut table = table_with_down(2, &[0]);
    table.partition_services(&[]);
    let down = table.key("e0").unwrap();
    let later = NOW + Duration::from_millis(200);
    let chosen = |table: &mut PlacementTable, at| {
        let up = table.key("e1").unwrap();
        (0..40).any(|part| {
            let choice = table.choose(at, &digest(part), &[]).unwrap();
            assert!([up, down].contains(&choice.endpoint));
            choice.endpoint == down
        })
    };
    assert!(!chosen(&mut table, later - Duration::from_millis(1)));
    assert!(chosen(&mut table, later));
    let mut ticket = table.sent(later, down, &digest(1));
    assert!(!chosen(&mut table, later), "a request in flight probes the endpoint already");
    table.ended(&mut ticket);
    assert!(chosen(&mut table, later), "the probe ended without a result");
    table.sent(later, down, &digest(1));
    table.note_unreached(later, down, Duration::from_millis(100));
    let last = later + Duration::from_millis(1_000);
    assert!(
        !chosen(&mut table, last - Duration::from_millis(1)),
        "the delay is ten times the 100 ms that the connection took to fail"
    );
    table.sent(last, down, &digest(1));
    table.note_reached(last, down);
    assert!(chosen(&mut table, last));
}

#[test]
fn a_replaced_endpoint_stays_down_until_the_store_lists_it_again() {
    let mut table = table(2);
    table.partition_services(&[]);
    let replaced = table.key("e0").unwrap();
    table.note_replaced(replaced);
    let late = NOW + Duration::from_secs(60);
    let names = |table: &mut PlacementTable| -> Vec<Box<str>> {
        let choose = |part| table.choose(late, &digest(part), &[]).unwrap().name;
        (0..40).map(choose).collect()
    };
    assert!(names(&mut table).iter().all(|name| &**name == "e1"));
    table.put(endpoint("e0", "a"));
    assert!(names(&mut table).iter().any(|name| &**name == "e0"));
}

#[test]
fn urgency_depends_on_the_class_before_the_account() {
    // Tier of the class, tier of the account, and the expected urgency.
    let cases = [
        (Some(0), None, Some(1)),
        (Some(0), Some(0), Some(0)),
        (Some(0), Some(1), Some(1)),
        (Some(1), Some(1), Some(2)),
        (Some(2), Some(1), Some(4)),
        (Some(2), None, Some(5)),
        (Some(200), Some(255), Some(9)),
        (None, Some(1), Some(2)),
        (None, None, None),
    ];
    for (class, account, expected) in cases {
        assert_eq!(urgency(class, account), expected, "{class:?} {account:?}");
    }
    // The account never makes a request as urgent as one of a more urgent class.
    for class in 0..4 {
        for accounts in (0..6).flat_map(|one| (0..6).map(move |other| (one, other))) {
            let (one, other) = (Some(accounts.0), Some(accounts.1));
            assert!(urgency(Some(class), one) < urgency(Some(class + 1), other));
        }
    }
}

/// Guards against a stream that goes on at another version, because its own is full or excluded.
#[test]
fn a_stream_goes_on_at_the_version_that_began_it_only() {
    let mut table = PlacementTable::new("a");
    for (name, software) in [("e0", "v1"), ("e1", "v2"), ("e2", "v2")] {
        table.put(PlacedEndpoint { software: software.into(), ..endpoint(name, "a") });
    }
    let key = |name| table.key(name).unwrap();
    let (old, new) = (key("e0"), [key("e1"), key("e2")]);
    let began_at = |software| Some(VersionKey::new("engine", software));
    let request = digest(7).with_continuation(began_at("v1"));
    assert_eq!(table.choose(NOW, &request, &[]).unwrap().endpoint, old);
    assert_eq!(table.choose(NOW, &request, &[old]), Err(DecisionReason::NoEndpoint));
    let request = digest(7).with_continuation(began_at("v2"));
    assert!(new.contains(&table.choose(NOW, &request, &[]).unwrap().endpoint));
    let request = digest(7).with_continuation(began_at("v3"));
    assert_eq!(table.choose(NOW, &request, &[]), Err(DecisionReason::VersionGone));
    // An endpoint that returns under its name with other software is one of the other version.
    table.put(PlacedEndpoint { software: "v2".into(), ..endpoint("e0", "a") });
    let request = digest(7).with_continuation(began_at("v1"));
    assert_eq!(table.choose(NOW, &request, &[]), Err(DecisionReason::VersionGone));
}

/// Guards against callers that lose half an answer to requests which have only begun.
#[test]
fn a_request_that_continues_is_placed_where_new_ones_of_its_urgency_are_not() {
    let mut table = table(1);
    let new = PlacedRequest { urgency: urgency(Some(2), None), ..digest(7) };
    while table.choose(NOW, &new, &[]).is_ok() {
        place(&mut table, &new);
    }
    let again = new.clone().with_continuation(None);
    assert!(table.choose(NOW, &again, &[]).is_ok());
    assert_eq!((new.urgency, again.urgency), (Some(5), Some(4)));
    let more_urgent = PlacedRequest { urgency: urgency(Some(1), None), ..digest(7) };
    assert!(more_urgent.urgency < again.urgency);
    let without_tier = digest(7).with_continuation(None);
    assert_eq!(without_tier.urgency, None);
}
