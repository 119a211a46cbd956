//! The data that an entry shares with other entries: store records, load, clocks and usage shares.

use std::{cmp::Ordering, collections::HashMap, net::SocketAddr, time::Duration};

use pimentorock_kernel::{
    duty::DutySighting,
    hub::{
        GroupLoad, HubRoster, KnownEntry, LoadAggregator, PositionClaim, ReadRole, SkewEstimator,
        SlidingMaximum, StoreFollower, TopicProgress,
    },
    log_position::{LogPosition, MAX_ERA},
    stream_origin::SpanAck,
    time::{MAX_WALL_MS, TimePoint, signed_span_ms},
};

use crate::{
    clock,
    config_copy::ConfigCopy,
    copy_messages::CopyState,
    follow::{ENTRY_LIST_PERIOD, MAX_SETTLING_TIME},
    logs::part,
    peer::{EntryReport, EntryShare, EntryUpdate, GroupReport, KnownLedgers},
    state::GatewayState,
    store::StoreTopic,
};

/// Age of this entry's copy of the store up to which an entry that starts may rely on it.
const MAX_VOUCHED_AGE: Duration = Duration::from_millis(1_500);

/// Store records and state of other entries, which this entry forwards to its peers.
#[derive(Debug)]
pub(crate) struct SharedView {
    /// Other entries and the choice of the hub.
    pub(crate) roster: HubRoster,
    /// Load of other entries.
    pub(crate) load_aggregator: LoadAggregator,
    /// Wall clocks of the entries that report to this entry.
    pub(crate) clocks: SkewEstimator,
    /// Usage shares of this entry and of those that pass theirs to it, by process.
    pub(crate) shares: HashMap<Box<str>, EntryShare>,
    /// For each entry that receives shares, and each process: the end of the last share that was
    /// delivered, in wall-clock milliseconds.
    pub(crate) forwarded_until_ms: HashMap<SocketAddr, HashMap<Box<str>, u64>>,
    /// Number of entries that share the retry allowance.
    pub(crate) entry_count: SlidingMaximum,
    /// Highest era of the store that was seen; 0 before the first contact or if the store states none.
    pub(crate) era: u64,
    /// The current configuration, and newer ones of other entries.
    pub(crate) configs: ConfigCopy,
    /// How far this entry has the topic of the configuration.
    config_progress: TopicProgress,
    /// Position of the next record to read of the suspects.
    suspects_next: Option<LogPosition>,
    /// Whether the suspects were read from the store or from another entry that knows them.
    pub(crate) knows_suspects: bool,
    /// Newest record of the usage duty that this entry has heard of.
    pub(crate) duty_seen: Option<DutySighting>,
    /// Time at which this entry got its first configuration.
    pub(crate) configured_at: Option<TimePoint>,
    /// How current the configuration and the endpoints are, and which entry read them.
    pub(crate) follower: StoreFollower,
    /// Time at which the configuration was last known to match the store.
    config_current_at: TimePoint,
    /// Time at which the endpoints were last known to match the store.
    endpoints_current_at: TimePoint,
}

impl SharedView {
    /// Returns a view without any records.
    pub(crate) fn new(roster: HubRoster) -> SharedView {
        SharedView {
            follower: StoreFollower::new(roster.own()),
            roster,
            load_aggregator: LoadAggregator::new(),
            clocks: SkewEstimator::new(),
            shares: HashMap::new(),
            forwarded_until_ms: HashMap::new(),
            entry_count: SlidingMaximum::new(),
            era: 0,
            configs: ConfigCopy::default(),
            config_progress: TopicProgress::new(),
            suspects_next: None,
            knows_suspects: false,
            duty_seen: None,
            configured_at: None,
            config_current_at: TimePoint::ZERO,
            endpoints_current_at: TimePoint::ZERO,
        }
    }

    /// Returns the position to continue reading `topic` from, or `None` if nothing of it is known.
    pub(crate) fn next_position(&self, topic: StoreTopic) -> Option<LogPosition> {
        match topic {
            StoreTopic::Config => self.config_progress.next(self.config_version()),
            _ => self.suspects_next,
        }
    }

    /// Records that the records of `topic` before `next` were read; `is_list` tells whether they were the
    /// newest records of each key.
    pub(crate) fn advance(&mut self, topic: StoreTopic, next: LogPosition, is_list: bool) {
        match (topic, is_list) {
            (StoreTopic::Config, true) => self.config_progress.restart(next),
            (StoreTopic::Config, false) => self.config_progress.advance(next),
            _ => self.suspects_next = self.suspects_next.max(Some(next)),
        }
    }

    /// Returns how far this entry has the topic of the configuration.
    pub(crate) fn config_claim(&self) -> Option<PositionClaim> {
        let next = self.next_position(StoreTopic::Config).filter(|next| next.era == self.era)?;
        Some(PositionClaim::new(self.config_version()?, next))
    }

    /// Records how far another entry has the topic of the configuration.
    pub(crate) fn note_config_claim(&mut self, claim: PositionClaim) {
        if claim.next().era == self.era {
            self.config_progress.note_claim(self.config_version(), claim);
        }
    }

    /// Returns the version of the current configuration, if there is one.
    pub(crate) fn config_version(&self) -> Option<u64> {
        self.configs.version()
    }

    /// Returns the time at which this entry's copy of the store turns too old.
    pub(crate) fn old_since(&self, now: TimePoint) -> TimePoint {
        self.follower.current_at() + self.roster.max_store_age(now)
    }

    /// Records what the entry at `from` said of its copy of the store.
    pub(crate) fn note_copy_of(&mut self, now: TimePoint, from: SocketAddr, copy: &CopyState) {
        // Data of an earlier era are not newer, whenever they were read.
        if copy.era == self.era {
            let current_at = now - Duration::from_millis(copy.store_age_ms);
            self.follower.note_report(now, from, current_at);
            self.configs.note_copy_of(now, from, copy);
        }
    }

    /// Records that this entry read `topic`, which matched the store at time `at`.
    pub(crate) fn note_read(&mut self, now: TimePoint, topic: StoreTopic, at: TimePoint) {
        let role = self.role(now);
        let current = match topic {
            StoreTopic::Config => &mut self.config_current_at,
            StoreTopic::Endpoints => &mut self.endpoints_current_at,
            StoreTopic::Suspects | StoreTopic::Shares | StoreTopic::Duty | StoreTopic::Origins => {
                return;
            }
        };
        *current = at.max(*current);
        self.follower.note_read(self.config_current_at.min(self.endpoints_current_at), role);
    }

    /// Reports whether a newer configuration is known of which nothing arrives, so that this entry has to
    /// look for it elsewhere.
    pub(crate) fn lacks_config(&self, now: TimePoint) -> bool {
        self.configs.transfer.is_stuck(now, self.roster.budget().attempt_period())
    }

    /// Records that the entry at `from` passed on data which matched the store at time `at` and were
    /// read by `reader`.
    pub(crate) fn note_passed_on(
        &mut self,
        now: TimePoint,
        from: SocketAddr,
        at: TimePoint,
        reader: Option<SocketAddr>,
    ) {
        self.config_current_at = self.config_current_at.max(at);
        self.endpoints_current_at = self.endpoints_current_at.max(at);
        let max_age = self.roster.max_store_age(now);
        self.follower.note_update(now, from, at, reader, max_age);
    }

    /// Returns why this entry reads the store now, or why not.
    pub(crate) fn role(&self, now: TimePoint) -> ReadRole {
        self.follower.role(now, self.roster.hub(now), self.roster.max_store_age(now))
    }

    /// Reports whether this entry reads and writes the store on behalf of others.
    pub(crate) fn serves_others(&self, now: TimePoint) -> bool {
        matches!(self.role(now), ReadRole::Root | ReadRole::Reader)
    }

    /// Reports whether the data is older than the maximum age that a working hub allows.
    pub(crate) fn is_stale(&self, now: TimePoint) -> bool {
        now.since(self.follower.current_at()) > self.roster.max_store_age(now)
    }

    /// Returns the time at which the endpoints were last known to match the store.
    pub(crate) fn endpoints_current_at(&self) -> TimePoint {
        self.endpoints_current_at
    }

    /// Reports whether an entry that starts may rely on what this one has of the store: one that stood still
    /// has to read it first.
    fn may_vouch(&self, now: TimePoint) -> bool {
        now.since(self.follower.current_at()) <= MAX_VOUCHED_AGE
    }

    /// Stores the usage share of a process unless a newer one is known, or no process can have counted it.
    pub(crate) fn take_share(&mut self, share: EntryShare) {
        if !share.usage.is_readable() {
            return;
        }
        let key: Box<str> = share.usage.process.to_string().into();
        let known = self.shares.get(&key);
        if known.is_none_or(|known| known.usage.until_ms <= share.usage.until_ms) {
            self.shares.insert(key, share);
        }
    }

    /// Returns the entries to report to an entry of `domain`.
    fn listed_to(&self, now: TimePoint, domain: &str) -> Vec<KnownEntry> {
        let turn = now.as_millis() / ENTRY_LIST_PERIOD.as_millis() as u64;
        let mut listed = self.roster.listed_to(now, domain);
        listed.extend(self.roster.listed_in_turn(now, domain, turn as usize));
        listed
    }

    fn note_reporter(&mut self, now: TimePoint, report: &EntryReport) {
        let (address, domain) = (report.peer, Some(report.domain.clone()));
        self.roster.note_entry(now, &KnownEntry { address, domain, age_ms: 0 });
        for entry in &report.entries {
            self.roster.note_entry(now, entry);
        }
    }
}

/// Returns the milliseconds from `at` to `now`.
pub(crate) fn age_ms(now: TimePoint, at: TimePoint) -> u64 {
    now.since(at).as_millis() as u64
}

/// Returns the name in logs of the entry that read a copy of the store.
pub(crate) fn reader_name(reader: Option<SocketAddr>) -> String {
    reader.map_or_else(|| "none".to_owned(), |reader| reader.to_string())
}

/// How an era compares with the highest one that was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EraChange {
    /// The era is the same.
    Same,
    /// The era is new, and what was known by offset is forgotten.
    Entered,
    /// The era is an earlier one; an answer of it arrived late.
    Outdated,
}

/// A report without load.
pub(crate) struct Announcement {
    pub(crate) report: EntryReport,
    /// Whether the report has no room for all records of streams that the receiver lacks.
    lacks_origins: bool,
}

impl GatewayState {
    /// Notes the era that the store stated in an answer, or that a peer has seen; `source` is
    /// `store` or `peer`.
    pub(crate) fn note_era(&self, era: u64, source: &str) -> EraChange {
        let before = {
            let mut view = self.view();
            if era > MAX_ERA {
                return EraChange::Outdated;
            }
            match era.cmp(&view.era) {
                Ordering::Equal => return EraChange::Same,
                Ordering::Less => return EraChange::Outdated,
                Ordering::Greater => {}
            }
            let before = view.era;
            view.era = era;
            before
        };
        self.view().configs.forget_newer();
        self.archive().forget();
        self.part_archive().forget();
        self.origins().note_era(clock::now(), era);
        self.metrics.note_era(era);
        log::info!(
            target: part::FOLLOW, era = era, before = before, source = source;
            "store era entered"
        );
        EraChange::Entered
    }

    /// Returns the report of this entry's group for the hub; the group is this entry and the entries
    /// that report to it.
    pub(crate) fn report(
        &self,
        shares: Vec<EntryShare>,
        wants_entries: bool,
        known: KnownLedgers,
    ) -> EntryReport {
        let own = self.table().own_load();
        let load = self.view().load_aggregator.group(clock::now(), &own);
        let mut group = self.group_report(load, known);
        let announcement = self.announcement(shares, wants_entries, known);
        if announcement.lacks_origins {
            // An acknowledgement says that the hub has all records from before it.
            group.spans.known_ms = 0;
        }
        EntryReport { group: Some(group), ..announcement.report }
    }

    fn group_report(&self, load: GroupLoad, known: KnownLedgers) -> GroupReport {
        let now = clock::now();
        let spans = self.origins().ack(now, known.entries);
        let mut table = self.table();
        let limits = table.limits();
        GroupReport {
            load,
            spans,
            hub_run: known.origins.of_peer.incarnation,
            limits: limits.report(now),
            knows_limits: limits.knows(),
            present: limits.group_entries(now),
        }
    }

    /// Returns a report for an entry that is not the hub, without load.
    ///
    /// `known` tells which changes of the ledgers both sides have.
    pub(crate) fn announcement(
        &self,
        shares: Vec<EntryShare>,
        wants_entries: bool,
        known: KnownLedgers,
    ) -> Announcement {
        let now = clock::now();
        let suspects = self.suspects().changes_since(now, known.requests.by_peer);
        let part_suspects = self.part_suspects().changes_since(now, known.parts.by_peer);
        let (origins, versions, marker_ms, lacks_origins) = {
            let own = self.origins();
            let records = own.shared_since(known.origins.by_peer);
            let lacks_origins = !own.is_whole(records.position);
            (records, own.version_news(known.versions), own.marker_ms(), lacks_origins)
        };
        let copy = self.copy_state();
        let view = self.view();
        let report = EntryReport {
            process: self.process.clone(),
            peer: self.settings.peers,
            domain: self.settings.domain.clone(),
            group: None,
            shares,
            copy,
            duty_seen: view.duty_seen.map(|seen| seen.row(now)),
            // Unlike `GatewayState::wall_ms`, which uses the skew that the hub determined, this time
            // is the median of the clocks of this entry and of the entries that report to it.
            wall_ms: self.own_wall_ms().saturating_add_signed(view.clocks.skew_ms(now)),
            wants_entries,
            suspects,
            suspects_seen: known.requests.of_peer,
            part_suspects,
            part_suspects_seen: known.parts.of_peer,
            origins,
            versions,
            marker_ms,
            // The empty domain stands for no domain: the list has at most three entries of each.
            entries: if wants_entries { view.listed_to(now, "") } else { Vec::new() },
        };
        Announcement { report, lacks_origins }
    }

    /// Applies the report of another entry, and returns the data that the entry lacks.
    pub(crate) fn handle_report(&self, report: EntryReport) -> EntryUpdate {
        let now = clock::now();
        let (own, strict_counts) = {
            let table = self.table();
            (table.own_load(), table.strict_counts())
        };
        let own_wall_ms = self.own_wall_ms();
        let (suspects, all_suspects) = {
            let mut ledger = self.suspects();
            ledger.merge(now, &report.suspects);
            (ledger.changes_since(now, report.suspects_seen), ledger.position())
        };
        let (part_suspects, all_parts) = {
            let mut ledger = self.part_suspects();
            ledger.merge(now, &report.part_suspects.histories);
            (ledger.changes_since(now, report.part_suspects_seen), ledger.position())
        };
        self.note_era(report.copy.era, "peer");
        let may_vouch = self.view().may_vouch(now);
        let (origins, versions, marker, knows_marker, group_entries) = {
            let mut known = self.origins();
            known.merge_versions(&report.versions);
            known.merge(now, &report.origins);
            let run = known.position().incarnation;
            let spans = report.group.as_ref().map(|group| {
                // An acknowledgement to another run of this process says nothing of this one's records.
                let known_ms = if group.hub_run == run { group.spans.known_ms } else { 0 };
                SpanAck { known_ms, ..group.spans.clone() }
            });
            let entries = spans.map(|ack| known.note_ack(now, &report.process.name, ack));
            if known.is_settling(own_wall_ms, MAX_SETTLING_TIME) {
                self.origin_calls.want_write();
            }
            let versions = known.version_news(report.versions.digest);
            let marker = known.marker_news(report.marker_ms);
            let entries = entries.unwrap_or(0);
            let knows_marker = known.knows_marker() && may_vouch;
            (known.position(), versions, marker, knows_marker, entries)
        };
        let limits = self.answer_limits(&report);
        let copy = self.copy_for(&report.copy);
        let mut view = self.view();
        view.note_reporter(now, &report);
        view.note_duty_row(now, report.duty_seen);
        view.note_copy_of(now, report.peer, &report.copy);
        if view.follower.source(now).is_some() {
            self.copy_calls.note_newer();
        }
        let has_clock = report.wall_ms <= MAX_WALL_MS;
        if let Some(group) = report.group {
            if has_clock {
                view.clocks.take(now, &report.process, report.wall_ms, own_wall_ms);
            }
            view.load_aggregator.take(now, report.process.clone(), group.load);
        }
        for share in report.shares {
            view.take_share(share);
        }
        EntryUpdate {
            copy,
            duty_seen: view.duty_seen.map(|seen| seen.row(now)),
            load: view.load_aggregator.outside(now, &report.process, &own),
            strict_counts,
            wall_ms: self.wall_ms(),
            limits,
            knows_suspects: view.knows_suspects
                && suspects.position == all_suspects
                && part_suspects.position == all_parts,
            suspects,
            part_suspects,
            origins,
            versions,
            marker,
            knows_marker,
            group_entries,
            entries: if report.wants_entries {
                view.listed_to(now, &report.domain)
            } else {
                Vec::new()
            },
        }
    }

    /// Applies the answer of the entry at `from` to a report that was sent at `sent_at`.
    ///
    /// Load, strict counts and clocks are applied only if the answer is `from_hub`, because only a
    /// hub knows the load of all other entries.
    pub(crate) fn apply_update(
        &self,
        from: SocketAddr,
        sent_at: TimePoint,
        update: EntryUpdate,
        from_hub: bool,
    ) {
        let now = clock::now();
        if !update.is_readable() {
            log::warn!(
                target: part::PEER, peer = from.to_string(), era = update.copy.era,
                wall_ms = update.wall_ms;
                "peer's answer with impossible figures left out"
            );
            return;
        }
        self.apply_copy(from, sent_at, update.copy, if from_hub { "hub" } else { "peer" });
        self.suspects().merge(now, &update.suspects);
        self.part_suspects().merge(now, &update.part_suspects.histories);
        {
            let mut view = self.view();
            for entry in &update.entries {
                view.roster.note_entry(now, entry);
            }
            view.knows_suspects |= update.knows_suspects;
            view.note_duty_row(now, update.duty_seen);
        }
        self.apply_limits(from, sent_at, &update.limits, from_hub);
        {
            let mut origins = self.origins();
            origins.merge_versions(&update.versions);
            // Shares the streams of the spans before, so that the next report has them.
            origins.merge_marker(update.marker.as_ref());
            if from_hub {
                origins.note_counted();
                if update.knows_marker {
                    origins.note_marker_known();
                }
            }
        }
        if from_hub {
            self.view().load_aggregator.take_from_hub(now, update.load);
            self.table().take_strict_counts(now, &update.strict_counts);
            self.set_clock_skew(signed_span_ms(update.wall_ms, self.own_wall_ms()));
            self.note_others_load();
        }
    }
}
