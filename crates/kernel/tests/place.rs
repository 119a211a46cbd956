//! The choice of endpoints by entries that speak to them directly.

use std::{collections::HashMap, time::Duration};

use pimentorock_kernel::{
    ids::EndpointKey,
    place::{
        LoadRow, PlacedEndpoint, PlacedRequest, PlacementTable, PromptPart, WorkTicket,
        strict_pauses, urgency,
    },
    reason::DecisionReason,
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
        slots: SLOTS,
        leaving: false,
    }
}

/// Returns a table of `count` endpoints in one failure domain, divided between strict classes and
/// the rest.
fn table(count: usize) -> PlacementTable {
    let mut table = PlacementTable::new("a");
    for index in 0..count {
        table.put(endpoint(&format!("e{index}"), "a"));
    }
    table.divide_services(&["engine".into()]);
    table
}

/// Returns a request with a shared part of 5,000 tokens and 6,000 tokens of its own.
fn digest(part: u64) -> PlacedRequest {
    PlacedRequest {
        service: "engine".into(),
        prompt_tokens: 11_000,
        output_tokens: 380,
        needed_rate: 25.0,
        strict: false,
        parts: vec![
            PromptPart { id: part, tokens: 5_000 },
            PromptPart { id: part ^ 0xffff, tokens: 6_000 },
        ],
    }
}

fn chat(part: u64) -> PlacedRequest {
    PlacedRequest {
        service: "engine".into(),
        prompt_tokens: 800,
        output_tokens: 300,
        needed_rate: 25.0,
        strict: true,
        parts: vec![
            PromptPart { id: part, tokens: 200 },
            PromptPart { id: part ^ 0xffff, tokens: 600 },
        ],
    }
}

fn place(table: &mut PlacementTable, request: &PlacedRequest) -> (EndpointKey, WorkTicket) {
    let choice = table.choose(NOW, request, &[]).unwrap();
    (choice.endpoint, table.sent(NOW, choice.endpoint, request))
}

#[test]
fn strict_classes_are_those_with_the_shortest_pauses() {
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
fn all_entries_send_a_part_to_the_same_endpoint() {
    let (mut one, mut other) = (table(9), table(9));
    // What the other entry sent before does not matter.
    place(&mut other, &digest(77));
    for part in 0..50 {
        let request = digest(part);
        let choices = [&mut one, &mut other].map(|table| table.choose(NOW, &request, &[]).unwrap());
        assert_eq!(choices[0].name, choices[1].name);
        assert_eq!(choices[0].home_rank, Some(0));
    }
}

#[test]
fn a_part_in_demand_gets_a_second_home_before_any_other_endpoint_reads_it() {
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
fn long_answers_leave_slots_free_and_are_refused_beyond() {
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
    // The endpoint of strict classes still takes theirs.
    assert!(table.choose(NOW, &chat(3), &[]).is_ok());
}

#[test]
fn an_endpoint_takes_no_more_than_fits_its_memory() {
    let mut table = table(1);
    table.set_memories(HashMap::from([("engine".into(), 30_000)]));
    let request = digest(1);
    let mut tickets = Vec::new();
    while table.choose(NOW, &request, &[]).is_ok() {
        tickets.push(place(&mut table, &request).1);
    }
    assert_eq!(tickets.len(), 3, "three times 6,380 tokens are within 70% of 30,000");
    table.ended(&mut tickets[0]);
    assert!(table.choose(NOW, &request, &[]).is_ok());
}

#[test]
fn strict_streams_stay_apart_from_long_prompts() {
    let mut table = table(9);
    for part in 0..40 {
        place(&mut table, &digest(part));
    }
    for part in 0..40 {
        let choice = table.choose(NOW, &chat(part), &[]).unwrap();
        assert!(choice.strict && choice.ahead < 6_000, "{choice:?}");
        let mut ticket = table.sent(NOW, choice.endpoint, &chat(part));
        table.started(&mut ticket);
    }
}

#[test]
fn an_endpoint_that_failed_rests_and_then_counts_again() {
    let mut table = table(2);
    let request = chat(1);
    let home = table.choose(NOW, &request, &[]).unwrap().endpoint;
    table.note_failure(NOW, home);
    assert_ne!(table.choose(NOW, &request, &[]).unwrap().endpoint, home);
    let later = NOW + Duration::from_secs(5);
    assert_eq!(table.choose(later, &request, &[]).unwrap().endpoint, home);
}

#[test]
fn what_other_entries_send_counts_for_a_while() {
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
fn all_work_is_gone_when_all_requests_have_ended() {
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

/// Time in which a host refuses a connection.
const REFUSED: Duration = Duration::from_millis(1);

/// Returns a table in which the endpoints at `down` did not answer at [`NOW`].
fn table_with_down(count: usize, down: &[usize]) -> PlacementTable {
    let mut table = table(count);
    for index in down {
        let key = table.key(&format!("e{index}")).unwrap();
        table.note_unreached(NOW, key, REFUSED);
    }
    table
}

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
    let outlook = table.outlook(NOW, &digest(1));
    assert_eq!((outlook.open, outlook.down, outlook.short_of_memory), (4, 2, 0));
    assert!(outlook.least_load >= outlook.load_limit, "{outlook:?}");
    assert!(!used.contains_key("e0") && !used.contains_key("e1"), "{used:?}");
}

#[test]
fn endpoints_that_are_down_are_tried_if_there_is_no_other() {
    let mut table = table_with_down(2, &[0, 1]);
    assert!(table.choose(NOW, &digest(1), &[]).is_ok());
}

#[test]
fn one_request_at_a_time_tries_whether_an_endpoint_is_back() {
    let mut table = table_with_down(2, &[0]);
    table.divide_services(&[]);
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
    assert!(!chosen(&mut table, later), "another request tries it");
    table.ended(&mut ticket);
    assert!(chosen(&mut table, later), "the caller of that request left");
    table.sent(later, down, &digest(1));
    table.note_unreached(later, down, Duration::from_millis(100));
    let last = later + Duration::from_millis(1_000);
    assert!(
        !chosen(&mut table, last - Duration::from_millis(1)),
        "one that is slow is asked rarely"
    );
    table.sent(last, down, &digest(1));
    table.note_reached(down);
    assert!(chosen(&mut table, last));
}

#[test]
fn an_endpoint_replaced_at_its_address_is_left_until_the_store_tells_of_it() {
    let mut table = table(2);
    table.divide_services(&[]);
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
fn classes_come_before_accounts_in_urgency() {
    // Tier of the class and of the account, if any, and the urgency.
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
    // No account makes a class more urgent than one of a higher tier.
    for class in 0..4 {
        for accounts in (0..6).flat_map(|one| (0..6).map(move |other| (one, other))) {
            let (one, other) = (Some(accounts.0), Some(accounts.1));
            assert!(urgency(Some(class), one) < urgency(Some(class + 1), other));
        }
    }
}
