//! Messages of other entries with any figures that their types allow.

use std::{net::SocketAddr, time::Duration};

use http::HeaderMap;
use pimentorock_kernel::{
    duty::SightingRow,
    hub::{AgeBudget, KnownEntry, PositionClaim},
    log_position::LogPosition,
    place::{
        CopyUpdate, EndpointEntry, EndpointRecord, EvacuationUpdate, KeyedRecord, PlacedRequest,
        WarmupAllowance,
    },
    send_limit::{GrantRow, LimitAnswer, LimitReport, LimitScope, TicketLot},
    stream_origin::{OriginQuestion, StreamKey, VersionNews},
    suspect::{CrashRecord, PartDelta, PartHistory, SuspectDelta, SuspectTable},
    transfer::RecordStamp,
};

use crate::{
    clock,
    config_copy::{ConfigNews, HeldConfig},
    copy_messages::{CopyAnswer, CopyQuestion, CopyState},
    fleet_config::{CallerLimits, FleetConfig},
    peer::{EntryReport, EntryShare, EntryUpdate, GroupReport, KnownLedgers, LimitUpdate},
    settings::GatewaySettings,
    state::GatewayState,
    state_lock::recovered_locks,
    store::{FleetStore, StoreError, StoreMeters, StoreRecord},
    wire::{CallerHead, ResponseHead, WireCodec},
};

#[path = "../../../kernel/tests/figure_source/mod.rs"]
mod figure_source;

use figure_source::FigureSource;

const OWN: ([u8; 4], u16) = ([10, 0, 0, 5], 1);

pub(crate) fn state() -> GatewayState {
    let address = SocketAddr::from(OWN);
    let settings = GatewaySettings {
        name: "entry".into(),
        domain: "a".into(),
        callers: address,
        ready: address,
        peers: address,
        seeds: Vec::new(),
        metrics_port: 0,
        memory: None,
        grace: Duration::from_secs(8),
        change_budget: AgeBudget::default(),
        retry_ratio: 0.2,
        retry_slack: 50.0,
        warmup_allowance: WarmupAllowance { ratio: 1.5, slack: 5.0 },
        usage_window: Duration::from_secs(5),
        usage_due: Duration::from_secs(10),
        usage_lease: Duration::from_secs(3),
    };
    let codec = WireCodec {
        caller_head: |_| CallerHead::default(),
        request_headers: |_, _| HeaderMap::new(),
        response_head: |_| ResponseHead::default(),
        response_headers: |_| HeaderMap::new(),
        retry_after: |_, _| {},
        ready_path: "/ready",
        report_path: "/report",
        report_started: |_| None,
    };
    let store = FleetStore {
        received: StoreMeters::new(),
        config_key: "config",
        read: Box::new(|_| Box::pin(async { Err(StoreError::Trimmed) })),
        newest: Box::new(|_| Box::pin(async { Err(StoreError::Trimmed) })),
        append: Box::new(|_, _, _| Box::pin(async { Ok(LogPosition { era: 0, offset: 0 }) })),
        report: Box::new(|_, _| Box::pin(async { Ok(()) })),
        decode_config,
        evacuated_domain: |key| key.strip_prefix("evacuate/"),
        decode_endpoint,
    };
    GatewayState::new(settings, codec, store)
}

/// Decodes a record with the key `config` as an empty configuration whose version is the offset.
fn decode_config(record: &StoreRecord) -> Result<Option<FleetConfig>, StoreError> {
    let limits = CallerLimits {
        head_bytes: 1_000,
        body_bytes: 1_000,
        head_time: Duration::from_secs(1),
        idle_time: Duration::from_secs(1),
    };
    let config = FleetConfig {
        version: record.offset,
        routes: Vec::new(),
        services: Vec::new(),
        accounts: None,
        limits,
    };
    Ok((&*record.key == "config").then_some(config))
}

/// Decodes any record as one of an endpoint of the key.
fn decode_endpoint(record: &StoreRecord) -> Result<EndpointRecord, StoreError> {
    let entry = EndpointEntry {
        service: "app".into(),
        address: SocketAddr::from(OWN),
        domain: "a".into(),
        software: record.key.clone(),
        slots: 8,
        leaving: false,
        started_ms: None,
        warmup_ms: 0,
    };
    Ok(EndpointRecord { entry, heartbeat: 1 })
}

impl FigureSource {
    fn suspects(&mut self) -> SuspectDelta {
        let crash = |source: &mut FigureSource| CrashRecord {
            endpoint: source.name(),
            crash_id: source.u64(),
            age: source.span(),
            evidence: source.evidence(),
        };
        let mut suspects = SuspectTable::new();
        suspects.merge_records(u64::from(self.draw::<u8>() % 3), &self.list(crash));
        SuspectDelta { position: self.position(), suspects }
    }

    fn parts(&mut self) -> PartDelta {
        let history = |source: &mut FigureSource| {
            let crashes = source.list(FigureSource::part_crash);
            let completed = if source.draw() { Some(source.span()) } else { None };
            (u64::from(source.draw::<u8>() % 3), PartHistory { crashes, completed })
        };
        let histories = self.list(history).into_iter().collect();
        PartDelta { position: self.position(), histories }
    }

    fn entry(&mut self) -> KnownEntry {
        let domain = if self.draw() { Some(self.name()) } else { None };
        KnownEntry { address: self.address(), domain, age_ms: self.u32() }
    }

    fn versions(&mut self) -> VersionNews {
        VersionNews { digest: self.u64(), versions: self.list(FigureSource::served) }
    }

    fn optional(&mut self) -> Option<u64> {
        if self.draw() { Some(self.u64()) } else { None }
    }

    fn report(&mut self) -> EntryReport {
        let limits = LimitReport {
            term: self.u32(),
            seen: self.position(),
            news: self.list(FigureSource::limit_row),
            is_full: self.draw(),
            holdings: self.list(FigureSource::holding),
        };
        let group = GroupReport {
            load: self.load(),
            limits: if self.draw() { Some(limits) } else { None },
            spans: self.ack(),
            hub_run: self.u64(),
            knows_limits: self.draw(),
            present: self.u32(),
        };
        let share = |source: &mut FigureSource| EntryShare {
            peer: source.address(),
            usage: source.usage(),
        };
        EntryReport {
            process: self.process(),
            peer: self.address(),
            domain: self.name(),
            group: if self.draw() { Some(group) } else { None },
            shares: self.list(share),
            copy: self.copy_state(),
            duty_seen: if self.draw() { Some(self.sighting()) } else { None },
            wall_ms: self.u64(),
            wants_entries: self.draw(),
            entries: self.list(FigureSource::entry),
            suspects: self.suspects(),
            suspects_seen: self.position(),
            part_suspects: self.parts(),
            part_suspects_seen: self.position(),
            origins: self.origins(),
            versions: self.versions(),
            marker_ms: self.u64(),
        }
    }

    fn copy_state(&mut self) -> CopyState {
        CopyState {
            era: self.u64(),
            store_age_ms: self.u64(),
            config_version: self.optional(),
            endpoints_next: if self.draw() { Some(self.log_position()) } else { None },
            evacuations_known: if self.draw() { Some(self.log_position()) } else { None },
        }
    }

    fn copy_answer(&mut self) -> CopyAnswer {
        let era = self.u64();
        CopyAnswer {
            store_age_ms: self.u64(),
            reader: Some(self.address()),
            era: if self.draw() { era % 3 } else { era },
            claim: if self.draw() {
                Some(PositionClaim::new(self.u64(), self.log_position()))
            } else {
                None
            },
            config: self.config_news(),
            has_list: self.draw(),
            endpoints: if self.draw() { Some(self.endpoints()) } else { None },
            evacuations: if self.draw() { Some(self.evacuations()) } else { None },
            outage_age_ms: if self.draw() { Some(self.u64()) } else { None },
        }
    }

    fn stamp(&mut self) -> RecordStamp {
        let (version, offset) = (self.u64(), self.u64());
        RecordStamp { version, offset, bytes: self.u64(), digest: self.u64() }
    }

    fn config_news(&mut self) -> ConfigNews {
        let held = if self.draw() { Some(HeldConfig::Offer(self.stamp())) } else { None };
        let heard = if self.draw() { Some(self.stamp()) } else { None };
        let withdrawn = self.list(|source| (source.name(), source.u64()));
        ConfigNews { held, heard, withdrawn }
    }

    fn log_position(&mut self) -> LogPosition {
        LogPosition { era: self.u64(), offset: self.u64() }
    }

    fn endpoints(&mut self) -> CopyUpdate<Vec<u8>> {
        let record = |source: &mut FigureSource| KeyedRecord {
            offset: source.u64(),
            key: source.name(),
            value: Some(vec![1]),
        };
        let (position, records) = (self.log_position(), self.list(record));
        match self.draw() {
            true => CopyUpdate::from_list(position, records),
            false => CopyUpdate::from_log(position, records),
        }
    }

    fn sighting(&mut self) -> SightingRow {
        SightingRow::new(self.log_position(), self.u64())
    }

    fn evacuations(&mut self) -> EvacuationUpdate {
        let (position, domains) = (self.log_position(), self.list(FigureSource::name));
        EvacuationUpdate::new(position, domains.into_iter().collect())
    }

    fn update(&mut self) -> EntryUpdate {
        let lot = |source: &mut FigureSource| TicketLot {
            rank: source.draw(),
            count: source.u32(),
            life_ms: source.u32(),
        };
        let grant = |source: &mut FigureSource| GrantRow {
            scope: LimitScope::endpoint("i-0"),
            lots: source.list(lot),
            wanted: source.u32(),
        };
        let answer = LimitAnswer {
            position: self.position(),
            serial: self.u64(),
            news: self.list(FigureSource::limit_row),
            grants: self.list(grant),
        };
        let answer = if self.draw() { Some(answer) } else { None };
        EntryUpdate {
            copy: self.copy_answer(),
            duty_seen: if self.draw() { Some(self.sighting()) } else { None },
            load: self.load(),
            strict_counts: self.list(|source| (source.name(), source.u32())),
            wall_ms: self.u64(),
            entries: self.list(FigureSource::entry),
            suspects: self.suspects(),
            part_suspects: self.parts(),
            limits: LimitUpdate { answer, fleet: self.u32(), knows: self.draw() },
            origins: self.position(),
            versions: self.versions(),
            marker: if self.draw() { Some(self.marker()) } else { None },
            knows_marker: self.draw(),
            group_entries: self.u64(),
            knows_suspects: self.draw(),
        }
    }
}

/// Guards against an entry that one message of another one ends, or after which its locks are lost.
#[test]
fn messages_of_other_entries_may_state_any_figures() {
    for seed in 0..300 {
        let (mut source, state) = (FigureSource::new(seed), state());
        for _ in 0..6 {
            let _ = state.handle_report(source.report());
            let _ = state.report(Vec::new(), true, KnownLedgers::default());
            let from = source.address();
            state.apply_update(from, clock::now(), source.update(), source.draw());
            let (peer, domain) = (source.address(), source.name());
            let takes_list = source.draw();
            let question = CopyQuestion { peer, domain, state: source.copy_state(), takes_list };
            let _ = state.answer_copy_question(&question);
            let stamp = source.stamp();
            let _ = state.answer_outline(peer, &stamp);
            let _ = state.answer_chunks(peer, &stamp, &[source.u32()]);
            let _ = state.view().configs.transfer.step(clock::now());
            let answer = source.copy_answer();
            if answer.is_readable() {
                state.apply_copy(peer, clock::now(), answer, "search");
            }
            state.note_others_load();
            state.note_clocks();
            state.step_origins();
            state.take_urgent_origins(source.origins().records);
            let question = OriginQuestion {
                stream: Some(StreamKey(source.u64())),
                services: vec!["app".into()],
            };
            let origins = state.origins();
            let _ = origins.find(clock::now(), clock::now(), &question);
            drop(origins);
            let request = PlacedRequest { service: "app".into(), ..PlacedRequest::default() };
            let _ = state.table().choose(clock::now(), &request, &[]);
            let _ = state.is_ready();
        }
    }
    assert_eq!(recovered_locks(), 0);
}

/// Guards against a message whose era, offset or time keeps an entry from all that others tell it later.
#[test]
fn a_message_at_the_end_of_its_types_holds_off_no_later_one() {
    for odd in [u64::MAX, u64::MAX / 2, u64::from(u32::MAX) + 1, 1 << 53] {
        let (state, from) = (state(), SocketAddr::from(([10, 0, 0, 1], 1)));
        let list = |era: u64, end: u64, offset: u64| {
            let record = KeyedRecord { offset, key: "i-0".into(), value: Some(vec![1]) };
            Some(CopyUpdate::from_list(LogPosition { era, offset: end }, vec![record]))
        };
        let is_wall = odd <= 1 << 53;
        let update = |copy| EntryUpdate { copy, ..EntryUpdate::default() };
        let copy = |era, endpoints| CopyAnswer { era, endpoints, ..CopyAnswer::default() };
        let first = EntryUpdate {
            wall_ms: if is_wall { 0 } else { odd },
            ..update(copy(odd, list(odd, odd, odd)))
        };
        state.apply_update(from, clock::now(), first, !is_wall);
        assert_eq!(state.view().era, 0, "{odd}");
        let odd_offset = odd.max(1 << 53);
        let second = update(copy(0, list(0, odd_offset, odd_offset)));
        state.apply_update(from, clock::now(), second, false);
        let third = update(copy(0, list(0, 4, 3)));
        state.apply_update(from, clock::now(), third, false);
        assert!(state.directory().entry("i-0").is_some(), "{odd}");
        let report = state.report(Vec::new(), false, KnownLedgers::default());
        let next = Some(LogPosition { era: 0, offset: 4 });
        assert_eq!((report.copy.era, report.copy.endpoints_next), (0, next), "{odd}");
        assert!(report.wall_ms.abs_diff(clock::wall_ms()) < 1_000, "{odd}");
        assert!(state.wall_ms().abs_diff(clock::wall_ms()) < 1_000, "{odd}");
        let mut report = report;
        (report.copy.era, report.wall_ms) = (odd, odd);
        let _ = state.handle_report(report);
        assert_eq!(state.view().era, 0, "{odd}");
    }
}

/// Guards against a configuration that the store lost with an earlier era and that returns from an entry.
#[test]
fn a_configuration_of_an_earlier_era_is_not_taken_from_another_entry() {
    let (state, from) = (state(), SocketAddr::from(([10, 0, 0, 1], 1)));
    let answer = |era: u64, version: u64| {
        let record = StoreRecord { offset: version, key: "config".into(), value: None };
        let held = Some(HeldConfig::Record(record.into()));
        let config = ConfigNews { held, ..ConfigNews::default() };
        CopyAnswer { era, config, ..CopyAnswer::default() }
    };
    let mut versions = Vec::new();
    for (era, version) in [(1, 3), (2, 4), (1, 9), (2, 5), (0, 8)] {
        let update = EntryUpdate { copy: answer(era, version), ..EntryUpdate::default() };
        state.apply_update(from, clock::now(), update, false);
        versions.push(state.view().config_version().unwrap());
    }
    assert_eq!(versions, [3, 4, 4, 5, 5]);
}

/// Guards against an endpoint that is used after its removal, as one task has read it and another one its removal, and
/// the changes are applied in the wrong order.
#[test]
fn changes_of_endpoints_are_applied_in_the_order_of_their_positions() {
    let state = state();
    for round in 0..2_000 {
        let update = |offset: u64, value: Option<Vec<u8>>| {
            let record = KeyedRecord { offset, key: "i-0".into(), value };
            CopyUpdate::from_log(LogPosition { era: 0, offset }, vec![record])
        };
        let (listed, removed) = (2 * round, 2 * round + 1);
        if round == 0 {
            let start = CopyUpdate::from_list(LogPosition { era: 0, offset: 0 }, Vec::new());
            state.apply_endpoints(start, "store");
        }
        std::thread::scope(|scope| {
            scope.spawn(|| {
                state.apply_endpoints(update(listed, Some(vec![1])).map_values(Into::into), "store")
            });
            scope.spawn(|| {
                let has_read =
                    || state.endpoints().position().is_some_and(|at| at.offset == removed);
                while !has_read() {
                    std::hint::spin_loop();
                }
                state.apply_endpoints(update(removed, None).map_values(Into::into), "peer");
            });
        });
        assert!(state.directory().entry("i-0").is_none(), "round {round}");
        assert_eq!(state.table().key("i-0"), None, "round {round}");
    }
}
