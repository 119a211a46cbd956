//! A simulated fleet, its callers, and what is checked of it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use pimentorock_kernel::{
    stream_origin::{
        MarkerInput, OriginAnswer, OriginDelta, OriginQuestion, OriginRecord, StreamKey,
        StreamOrigins, VersionKey, VersionShare,
    },
    time::TimePoint,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{
    OriginPlan,
    simulated_entry::{SERVICE, SimulatedEntry},
    simulated_store::SimulatedStore,
};

/// Length of a tick.
const TICK: Duration = Duration::from_millis(50);

/// Ticks between two exchanges, two writes, and two reads of the endpoints.
const EXCHANGE_TICKS: u64 = 4;
const WRITE_TICKS: u64 = 4;
const READ_TICKS: u64 = 8;

/// Time between two reads of the entries' records.
const READ_PERIOD: Duration = Duration::from_millis(500);

/// All versions; any of them may come, go and return.
const VERSIONS: [&str; 4] = ["a", "b", "c", "d"];

/// Number of versions that serve at most at the same time.
const MAX_SERVING: usize = 3;

/// Ticks for which most callers wait, over all their tries.
const PATIENCE_TICKS: u64 = 300;

/// Age of the list of endpoints up to which it tells the shares by which streams begin.
const MAX_LIST_AGE: Duration = Duration::from_millis(1_500);

/// Ticks after which an entry that lacks the marker serves without it.
const MARKER_TICKS: u64 = 40;

/// Most ticks for which an entry stands still.
const MAX_FROZEN_TICKS: usize = 80;

/// Tries of a caller to take up its stream.
const TRIES: u32 = 3;

/// Ticks between two tries of a caller.
const RETRY_TICKS: u64 = 20;

/// A stream and its caller.
#[derive(Clone, Debug)]
struct SimulatedStream {
    key: StreamKey,
    version: &'static str,
    /// Entry, and its run, that relays the stream; `None` while the stream is broken.
    at: Option<(usize, u64)>,
    /// Tick of the next try, while the stream is broken.
    retry_at: u64,
    tries: u32,
    ends_at: u64,
}

/// What became of the streams that were taken up while their version served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TakeUps {
    pub went_on: usize,
    pub given_up: usize,
}

/// A fleet of entries with one service.
pub struct OriginFleet {
    plan: OriginPlan,
    random: ChaCha8Rng,
    now: TimePoint,
    tick: u64,
    entries: Vec<SimulatedEntry>,
    store: SimulatedStore,
    /// Versions whose endpoints serve.
    serving: BTreeSet<&'static str>,
    /// Slots of each version's endpoints, 64 if it is missing.
    slots: BTreeMap<&'static str, u32>,
    streams: Vec<SimulatedStream>,
    /// Reports that come again.
    late_reports: Vec<(u64, usize, OriginDelta)>,
    down_until: u64,
    away_until: u64,
    /// Tick until which the records of streams can be neither read nor written.
    origins_away_until: u64,
    incarnations: u64,
    pub take_ups: TakeUps,
    /// Streams that went on at another version.
    pub violations: Vec<String>,
}

impl OriginFleet {
    /// Returns a fleet in which version "a" serves.
    pub fn new(plan: OriginPlan, seed: u64) -> OriginFleet {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let entries = (0..plan.entries).map(|index| {
            let skew_ms = random.random_range(0..250);
            SimulatedEntry::new(&index.to_string(), index as u64 + 1, skew_ms, 0)
        });
        let entries: Vec<_> = entries.collect();
        let mut fleet = OriginFleet {
            plan,
            random,
            now: TimePoint::from_millis(100_000),
            tick: 0,
            entries,
            store: SimulatedStore::default(),
            serving: BTreeSet::from(["a"]),
            slots: BTreeMap::new(),
            streams: Vec::new(),
            late_reports: Vec::new(),
            down_until: 0,
            away_until: 0,
            origins_away_until: 0,
            incarnations: plan.entries as u64 + 1,
            take_ups: TakeUps::default(),
            violations: Vec::new(),
        };
        fleet.list_endpoints();
        fleet
    }

    /// Plays all ticks of the plan.
    pub fn play(&mut self) {
        for _ in 0..self.plan.ticks {
            self.play_tick();
        }
    }

    /// Plays one tick.
    pub fn play_tick(&mut self) {
        self.tick += 1;
        self.now = self.now + TICK;
        self.trouble();
        self.exchange();
        self.use_store();
        self.begin_streams();
        self.take_up_streams();
    }

    /// Lets `version` serve, or ends it.
    pub fn toggle(&mut self, version: &'static str) {
        if !self.serving.remove(version) {
            self.serving.insert(version);
        }
    }

    /// Kills the entries that `is_killed` names; they start again after `ticks`.
    pub fn kill(&mut self, ticks: u64, is_killed: impl Fn(usize) -> bool) {
        self.down_until = self.down_until.max(self.tick + ticks);
        for index in (0..self.entries.len()).filter(|index| is_killed(*index)) {
            self.entries[index].is_alive = false;
        }
    }

    /// Lets the store be away for a number of ticks.
    pub fn lose_store(&mut self, ticks: u64) {
        self.away_until = self.tick + ticks;
    }

    /// Ends all streams.
    pub fn end_streams(&mut self) {
        self.streams.clear();
    }

    /// Lets no further streams begin.
    pub fn begin_no_more(&mut self) {
        self.plan.streams = 0;
    }

    fn draw(&mut self, per_mille: u64) -> bool {
        self.random.random_range(0..1_000) < per_mille
    }

    fn below(&mut self, end: usize) -> usize {
        self.random.random_range(0..end.max(1))
    }

    fn trouble(&mut self) {
        let plan = self.plan;
        let count = self.entries.len();
        if self.draw(plan.version_changes) {
            let version = VERSIONS[self.below(VERSIONS.len())];
            let is_last = self.serving.len() == 1 && self.serving.contains(version);
            let is_full = self.serving.len() >= MAX_SERVING && !self.serving.contains(version);
            if !is_last && !is_full {
                self.toggle(version);
            }
        }
        if self.draw(plan.slot_changes) {
            let (version, slots) = (self.below(VERSIONS.len()), 1 + self.below(640) as u32);
            self.slots.insert(VERSIONS[version], slots);
        }
        if self.draw(plan.kills) {
            let killed = self.below(count);
            self.kill(20, |index| index == killed);
        }
        if self.draw(plan.part_kills) {
            let share = 2 + self.below(4);
            self.kill(30, |index| index % share == 0);
        }
        if self.draw(plan.total_kills) {
            self.kill(40, |_| true);
        }
        if self.draw(plan.cuts) {
            let (cut, ticks) = (self.below(count), 20 + self.below(200) as u64);
            self.entries[cut].cut_until = self.tick + ticks;
        }
        if self.draw(plan.store_cuts) {
            let (cut, ticks) = (self.below(count), 20 + self.below(200) as u64);
            self.entries[cut].store_cut_until = self.tick + ticks;
        }
        // No draw, so that plans without such entries stay the same for each seed.
        if plan.freezes > 0 && self.draw(plan.freezes) {
            self.freeze_one();
        }
        if self.draw(plan.outages) {
            let ticks = 20 + self.below(160) as u64;
            self.lose_store(ticks);
        }
        // No draw, so that plans without such outages stay the same for each seed.
        if plan.origin_outages > 0 && self.draw(plan.origin_outages) {
            self.origins_away_until = self.tick + 20 + self.below(160) as u64;
        }
        if self.draw(plan.older_copies) {
            self.store.restore();
        }
        if plan.older_copies > 0 && self.tick.is_multiple_of(40) {
            self.store.make_copy();
        }
        self.store.is_away = self.tick < self.away_until;
        if self.tick >= self.down_until {
            for index in 0..count {
                if !self.entries[index].is_alive {
                    self.incarnations += 1;
                    let skew_ms = self.entries[index].skew_ms;
                    self.entries[index] = SimulatedEntry::new(
                        &index.to_string(),
                        self.incarnations,
                        skew_ms,
                        self.tick,
                    );
                }
            }
        }
        if !self.store.is_away {
            self.list_endpoints();
        }
    }

    /// Lets the root hub, its substitute or any entry stand still.
    fn freeze_one(&mut self) {
        let (any, hub) = (self.below(self.entries.len()), self.below(self.entries.len().min(2)));
        let frozen = if self.draw(500) { hub } else { any };
        let ticks = 1 + self.below(MAX_FROZEN_TICKS) as u64;
        self.freeze(frozen, ticks);
    }

    /// Lets an entry stand still for a number of ticks.
    pub fn freeze(&mut self, index: usize, ticks: u64) {
        let frozen_until = self.entries[index].frozen_until.max(self.tick + ticks);
        self.entries[index].frozen_until = frozen_until;
    }

    /// Reports whether an entry lives and does not stand still.
    fn is_running(&self, index: usize) -> bool {
        self.entries[index].is_alive && self.tick >= self.entries[index].frozen_until
    }

    fn list_endpoints(&mut self) {
        self.store.listed = self.serving.clone();
    }

    fn is_cut(&self, index: usize) -> bool {
        self.tick < self.entries[index].cut_until
    }

    fn reaches_store(&self, index: usize) -> bool {
        !self.store.is_away && self.tick >= self.entries[index].store_cut_until
    }

    fn reaches_origins(&self, index: usize) -> bool {
        self.reaches_store(index) && self.tick >= self.origins_away_until
    }

    /// Returns the hub of an entry; `None` if the entry is a root hub.
    fn hub(&self, index: usize) -> Option<usize> {
        let domains = self.plan.domains;
        let is_peer = |peer: &usize| *peer < index && self.is_running(*peer) && !self.is_cut(*peer);
        if self.is_cut(index) {
            return None;
        }
        let local = (0..index).filter(is_peer).find(|peer| peer % domains == index % domains);
        local.or_else(|| (0..index).find(is_peer))
    }

    fn exchange(&mut self) {
        for index in 0..self.entries.len() {
            let is_due = (self.tick + index as u64).is_multiple_of(EXCHANGE_TICKS);
            if !is_due || !self.is_running(index) {
                continue;
            }
            let (now, entry) = (self.now, &mut self.entries[index]);
            let (wall_ms, age) = (entry.wall_ms(now), entry.store_age(now));
            let listed: Vec<_> = entry.listed.iter().map(|version| (SERVICE, *version)).collect();
            entry.origins.step(wall_ms, age, listed.into_iter());
            if let Some(hub) = self.hub(index) {
                self.report(index, hub);
            }
        }
        let due: Vec<_> = self.late_reports.extract_if(.., |(at, _, _)| *at <= self.tick).collect();
        for (_, hub, delta) in due {
            if self.is_running(hub) {
                self.entries[hub].origins.merge(self.now, &delta);
            }
        }
    }

    fn report(&mut self, index: usize, hub: usize) {
        let (now, hub_run) = (self.now, self.entries[hub].incarnation);
        let known = self.entries[index].known.get(&hub).copied();
        let known = known.filter(|(run, ..)| *run == hub_run);
        let (_, seen, digest, entries) = known.unwrap_or_default();
        let delta = self.entries[index].origins.shared_since(seen);
        let news = self.entries[index].origins.version_news(digest);
        if self.draw(self.plan.repeated_reports) {
            let (at, to) = (self.tick + self.below(100) as u64, self.below(self.entries.len()));
            self.late_reports.push((at, to, delta.clone()));
        }
        self.entries[hub].origins.merge_versions(&news);
        self.entries[hub].origins.merge(now, &delta);
        let ack = self.entries[index].origins.ack(now, entries);
        let entries = self.entries[hub].origins.note_ack(now, &index.to_string(), ack);
        let news = self.entries[hub].origins.version_news(news.digest);
        let marker_ms = self.entries[index].origins.marker_ms();
        let marker = self.entries[hub].origins.marker_news(marker_ms);
        let knows_marker = self.entries[hub].origins.knows_marker();
        let (listed, current_at) = (self.entries[hub].listed.clone(), self.entries[hub].current_at);
        let era = self.entries[hub].era;
        if self.draw(self.plan.lost_answers) {
            return;
        }
        let entry = &mut self.entries[index];
        entry.known.insert(hub, (hub_run, delta.position, news.digest, entries));
        entry.note_era(now, era);
        entry.take_list(now, &listed, current_at);
        entry.origins.merge_versions(&news);
        entry.origins.merge_marker(marker.as_ref());
        if knows_marker {
            entry.origins.note_marker_known();
        }
        entry.origins.note_counted();
    }

    /// Lets root hubs read and write the store.
    fn use_store(&mut self) {
        for index in 0..self.entries.len() {
            if !self.is_running(index) {
                continue;
            }
            if self.hub(index).is_some() {
                if std::mem::take(&mut self.entries[index].writes) {
                    self.entries[index].origins.forget_archive();
                }
                continue;
            }
            self.entries[index].writes = true;
            if !self.reaches_store(index) {
                continue;
            }
            if self.tick.is_multiple_of(READ_TICKS) || self.entries[index].listed.is_empty() {
                let (now, listed) = (self.now, self.store.listed.clone());
                self.entries[index].note_era(now, self.store.era);
                self.entries[index].take_list(now, &listed, now);
            }
            let is_due = (self.tick + index as u64).is_multiple_of(WRITE_TICKS);
            match self.reaches_origins(index) {
                true if is_due => self.write(index),
                false if is_due => {
                    let now = self.now;
                    self.entries[index].origins.note_failed_read(now);
                }
                _ => {}
            }
        }
    }

    fn write(&mut self, index: usize) {
        let is_lost = self.draw(self.plan.lost_answers);
        let now = self.now;
        let read_at = self.entries[index].origins.read_at();
        if read_at.is_none_or(|at| now.since(at) >= READ_PERIOD) {
            self.read(index);
        }
        let entry = &mut self.entries[index];
        entry.note_era(now, self.store.era);
        let slots = &self.slots;
        let share = |version: &&str| VersionShare {
            software: (*version).into(),
            slots: slots.get(version).copied().unwrap_or(64),
        };
        let is_current = entry.store_age(now) <= MAX_LIST_AGE;
        let shares = is_current.then(|| (SERVICE.into(), entry.listed.iter().map(share).collect()));
        let input = MarkerInput { era: entry.era, shares: shares.into_iter().collect() };
        let writer = entry.incarnation.to_string();
        let records = entry.origins.pending(now, entry.wall_ms(now), &writer, &input);
        let has_marker = records.iter().any(|record| record.is_marker());
        if has_marker && entry.read_revision != self.store.revision {
            // Another entry has written since; the next write comes after a read.
            self.read(index);
            return;
        }
        let has_read_all = entry.read_revision == self.store.revision;
        self.store.append(records);
        if !is_lost {
            if has_read_all {
                entry.read_revision = self.store.revision;
            }
            entry.origins.note_written();
        }
    }

    /// Lets an entry read all that the store has.
    fn read(&mut self, index: usize) {
        let (now, entry) = (self.now, &mut self.entries[index]);
        entry.note_era(now, self.store.era);
        let is_first = entry.origins.read_at().is_none();
        for (key, value) in self.store.read((!is_first).then_some(entry.read_revision)) {
            entry.origins.take_archived(now, key, value).unwrap();
        }
        entry.read_revision = self.store.revision;
        entry.origins.note_read(now);
    }

    /// Returns an entry that serves callers.
    fn serving_entry(&mut self) -> Option<usize> {
        let index = self.below(self.entries.len());
        let entry = &self.entries[index];
        let is_overdue = self.tick >= entry.started_at + MARKER_TICKS;
        let serves = !entry.listed.is_empty() && (entry.origins.knows_marker() || is_overdue);
        (self.is_running(index) && serves).then_some(index)
    }

    fn begin_streams(&mut self) {
        let count = self.plan.streams / 1_000 + u64::from(self.draw(self.plan.streams % 1_000));
        for _ in 0..count {
            let Some(index) = self.serving_entry() else { continue };
            let choices: Vec<_> =
                self.entries[index].listed.intersection(&self.serving).copied().collect();
            if choices.is_empty() {
                continue;
            }
            let key = StreamKey(self.random.random());
            // Most callers wait as long, some less.
            let waited = if self.draw(800) { PATIENCE_TICKS } else { PATIENCE_TICKS / 2 };
            let ends_at = self.tick + waited;
            let until_ms = self.kept_until_ms(index, ends_at);
            let (now, entry) = (self.now, &mut self.entries[index]);
            let begun = entry.origins.begin_at(now, SERVICE, key, until_ms);
            let Some((begun, is_urgent)) = begun else { continue };
            let record = entry.origins.record(key).filter(|_| is_urgent);
            let is_begun = |version: &&&str| VersionKey::new(SERVICE, version) == begun;
            let Some(version) = choices.iter().find(is_begun).copied() else { continue };
            record.iter().for_each(|record| self.pass_on(index, *record));
            self.note_begun(index, key, version, ends_at);
            let at = Some((index, self.entries[index].incarnation));
            self.streams.push(SimulatedStream { key, version, at, retry_at: 0, tries: 0, ends_at });
        }
    }

    /// Passes a record on to the hubs at once; the root hub writes it before the tick ends.
    fn pass_on(&mut self, index: usize, record: OriginRecord) {
        match self.hub(index) {
            Some(hub) => {
                self.entries[hub].origins.merge_records(self.now, &[record]);
                self.pass_on(hub, record);
            }
            None if self.reaches_origins(index) => self.write(index),
            None => {}
        }
    }

    fn kept_until_ms(&self, index: usize, ends_at: u64) -> u64 {
        let patience = TICK * (ends_at - self.tick) as u32;
        let waiting = StreamOrigins::waiting_time(patience).as_millis() as u64;
        self.entries[index].wall_ms(self.now) + waiting
    }

    fn note_begun(&mut self, index: usize, key: StreamKey, version: &str, ends_at: u64) {
        let until_ms = self.kept_until_ms(index, ends_at);
        let (now, entry) = (self.now, &mut self.entries[index]);
        entry.origins.begin(now, key, SERVICE, version, until_ms, false);
    }

    fn take_up_streams(&mut self) {
        let mut streams = std::mem::take(&mut self.streams);
        streams.retain(|stream| stream.ends_at > self.tick && stream.tries < TRIES);
        for stream in &mut streams {
            if let Some((index, run)) = stream.at {
                let lives = self.entries[index].is_alive && self.entries[index].incarnation == run;
                if !lives || self.draw(2) {
                    stream.at = None;
                    stream.retry_at = self.tick + self.below(160) as u64;
                }
            } else if stream.retry_at <= self.tick {
                self.take_up(stream);
            }
        }
        self.streams = streams;
    }

    fn take_up(&mut self, stream: &mut SimulatedStream) {
        stream.retry_at = self.tick + RETRY_TICKS;
        let Some(index) = self.serving_entry() else { return };
        let question = OriginQuestion { stream: Some(stream.key), services: vec![SERVICE.into()] };
        let answer = self.find(index, &question);
        let listed = &self.entries[index].listed;
        let goes_on =
            listed.iter().find(|version| answer.version == Some(VersionKey::new(SERVICE, version)));
        stream.tries += 1;
        match goes_on.copied() {
            Some(version) if version == stream.version => {
                self.take_ups.went_on += 1;
                stream.at = Some((index, self.entries[index].incarnation));
                stream.tries = 0;
                self.note_begun(index, stream.key, version, stream.ends_at);
            }
            Some(version) if self.serving.contains(version) => {
                self.note_violation(index, stream, version, &answer);
            }
            _ if stream.tries == TRIES && self.serving.contains(stream.version) => {
                self.take_ups.given_up += 1;
            }
            _ => {}
        }
    }

    fn note_violation(
        &mut self,
        index: usize,
        stream: &SimulatedStream,
        version: &str,
        answer: &OriginAnswer,
    ) {
        self.violations.push(format!(
            "tick {}: a stream of {} went on at {version} at entry {index}, {:?} {:?}",
            self.tick, stream.version, answer.evidence, answer.age
        ));
    }

    /// Asks an entry, and up the hubs, for the version of a stream.
    fn find(&mut self, index: usize, question: &OriginQuestion) -> OriginAnswer {
        let now = self.now;
        let own = self.find_own(index, question);
        let hub = self.hub(index);
        if own.is_recorded() || (hub.is_none() && !self.reaches_origins(index)) {
            return own;
        }
        if let Some(hub) = hub {
            let asked = self.find(hub, question);
            return own.or_asked(Some(asked));
        }
        self.read(index);
        let listed = self.store.listed.clone();
        self.entries[index].take_list(now, &listed, now);
        self.find_own(index, question)
    }

    /// Returns what an entry knows, for a question that came in this tick.
    fn find_own(&self, index: usize, question: &OriginQuestion) -> OriginAnswer {
        let entry = &self.entries[index];
        entry.origins.find(self.now, self.now, question)
    }
}
