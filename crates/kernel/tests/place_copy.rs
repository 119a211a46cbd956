//! Copies of the endpoints at entries that pass them on, compared with a replay of the whole log.

use std::{collections::BTreeMap, time::Duration};

use pimentorock_kernel::{
    log_position::LogPosition,
    place::{
        CopyUpdate, DirectoryChange, EndpointCopy, EndpointEntry, EndpointRecord, KeyedRecord,
        LAPSE_GRACE, UpdateGap,
    },
    time::TimePoint,
};
use quickcheck::{Arbitrary, Gen};

const ENTRIES: usize = 5;
const ENDPOINTS: usize = 6;
const SEEDS: u64 = 150;
const STEPS: usize = 300;

/// Slots and heartbeat of an endpoint.
type Value = (u32, u64);

fn decode(record: &KeyedRecord<Value>) -> Option<EndpointRecord> {
    let (slots, heartbeat) = record.value?;
    let entry = EndpointEntry {
        service: "chat".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "a".into(),
        software: "v1".into(),
        slots,
        leaving: false,
        started_ms: None,
        warmup_ms: 0,
    };
    Some(EndpointRecord { entry, heartbeat })
}

/// How an entry takes what another one has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeForm {
    /// As one fact.
    Whole,
    /// The records of the other entry with its position, as if they continued the own copy.
    TwoSources,
}

/// A store whose logs of all eras are kept for comparison.
#[derive(Default)]
struct NaiveStore {
    logs: Vec<Vec<KeyedRecord<Value>>>,
    /// First record that was not deleted.
    first: u64,
    heartbeats: u64,
}

impl NaiveStore {
    fn new() -> NaiveStore {
        NaiveStore { logs: vec![Vec::new()], ..NaiveStore::default() }
    }

    fn end(&self) -> LogPosition {
        let era = self.logs.len() as u64 - 1;
        LogPosition { era, offset: self.logs[era as usize].len() as u64 }
    }

    fn write(&mut self, key: &str, slots: Option<u32>) {
        self.heartbeats += 1;
        let value = slots.map(|slots| (slots, self.heartbeats));
        let record = KeyedRecord { offset: self.end().offset, key: key.into(), value };
        self.logs.last_mut().unwrap().push(record);
    }

    /// Returns the newest record of each key that has one before `position`.
    fn newest(&self, position: LogPosition) -> BTreeMap<Box<str>, KeyedRecord<Value>> {
        let log = &self.logs[position.era as usize][..position.offset as usize];
        let mut newest = BTreeMap::new();
        for record in log {
            newest.insert(record.key.clone(), record.clone());
        }
        newest.retain(|_, record| record.value.is_some());
        newest
    }

    /// Comes back from an older copy, without the newest `lost` records.
    fn restore(&mut self, lost: usize) {
        let mut log = self.logs.last().unwrap().clone();
        log.truncate(log.len().saturating_sub(lost));
        self.first = self.first.min(log.len() as u64);
        self.logs.push(log);
    }

    fn list(&self) -> CopyUpdate<Value> {
        let end = self.end();
        CopyUpdate::from_list(end, self.newest(end).into_values().collect())
    }

    /// Returns up to `count` records from `from` on, or the list if they are gone.
    fn read(&self, from: Option<LogPosition>, count: usize) -> CopyUpdate<Value> {
        let end = self.end();
        let kept = |from: &LogPosition| from.era == end.era && from.offset >= self.first;
        let Some(from) = from.filter(kept) else { return self.list() };
        let records = self.logs.last().unwrap().iter().skip(from.offset as usize).take(count);
        CopyUpdate::from_log(from, records.cloned().collect())
    }
}

struct CopyFleet {
    store: NaiveStore,
    copies: Vec<EndpointCopy<Value>>,
    /// Updates that are on their way to an entry.
    sent: Vec<(usize, CopyUpdate<Value>)>,
    now: TimePoint,
    generator: Gen,
    form: ExchangeForm,
    /// Entry that applied an update in the last step.
    applied: Option<usize>,
}

impl CopyFleet {
    fn new(seed: u64, form: ExchangeForm) -> CopyFleet {
        CopyFleet {
            store: NaiveStore::new(),
            copies: vec![EndpointCopy::new(); ENTRIES],
            sent: Vec::new(),
            now: TimePoint::from_millis(1_000),
            generator: Gen::from_size_and_seed(30, seed),
            form,
            applied: None,
        }
    }

    fn pick(&mut self, count: usize) -> usize {
        usize::from(u16::arbitrary(&mut self.generator)) % count
    }

    fn apply(&mut self, entry: usize, update: CopyUpdate<Value>) {
        // An update that does not continue the copy is dropped.
        let _ = self.copies[entry].apply(self.now, update, decode);
        self.applied = Some(entry);
    }

    /// Returns what the entry `from` answers to `to`.
    fn answer(&self, from: usize, to: usize) -> Option<CopyUpdate<Value>> {
        let known = self.copies[to].position();
        let update = self.copies[from].update_for(known)?;
        match known {
            Some(known)
                if self.form == ExchangeForm::TwoSources && known.era == update.end().era =>
            {
                let end = update.end();
                let newest = self.store.newest(end).into_values();
                let mut records: Vec<_> = newest.filter(|r| r.offset >= known.offset).collect();
                // The position of the other entry, without the removals before it.
                let last = end.offset - 1;
                records.push(KeyedRecord { offset: last, key: "position".into(), value: None });
                Some(CopyUpdate::from_log(known, records))
            }
            _ => Some(update),
        }
    }

    fn step(&mut self, restores: bool) {
        self.now = self.now + Duration::from_millis(20);
        self.applied = None;
        let key = format!("e{}", self.pick(ENDPOINTS));
        match self.pick(20) {
            0..=3 => {
                let slots = 1 + self.pick(3) as u32;
                self.store.write(&key, Some(slots));
            }
            // A heartbeat.
            4..=6 => {
                let newest = self.store.newest(self.store.end());
                let slots = newest.get(&*key).and_then(|record| record.value).map(|value| value.0);
                if slots.is_some() {
                    self.store.write(&key, slots);
                }
            }
            7..=8 => self.store.write(&key, None),
            9 => self.store.first = self.store.end().offset,
            10 if restores && self.pick(6) == 0 => {
                let lost = self.pick(12);
                self.store.restore(lost);
            }
            // An entry that was started again.
            11 => {
                let entry = self.pick(ENTRIES);
                self.copies[entry] = EndpointCopy::new();
                let list = self.store.list();
                self.apply(entry, list);
            }
            12..=13 => {
                let (entry, count) = (self.pick(ENTRIES), 1 + self.pick(8));
                let read = self.store.read(self.copies[entry].position(), count);
                self.sent.push((entry, read));
            }
            14..=16 => {
                let (from, to) = (self.pick(ENTRIES), self.pick(ENTRIES));
                self.sent.extend(self.answer(from, to).map(|update| (to, update)));
            }
            _ if !self.sent.is_empty() => {
                let index = self.pick(self.sent.len());
                let (entry, update) = self.sent.remove(index);
                self.apply(entry, update);
            }
            _ => {}
        }
    }

    /// Reports whether the copy of `entry` has what the log says up to its position.
    fn is_right(&self, entry: usize) -> bool {
        let copy = &self.copies[entry];
        let Some(position) = copy.position() else { return true };
        let slots = |records: Vec<KeyedRecord<Value>>| -> BTreeMap<Box<str>, u32> {
            records.into_iter().map(|record| (record.key, record.value.unwrap().0)).collect()
        };
        let list = copy.update_for(None).unwrap();
        let mut other = EndpointCopy::new();
        other.apply(self.now, list, decode).unwrap();
        let expected = slots(self.store.newest(position).into_values().collect());
        let has = |key: &str| other.directory().entry(key).map(|entry| entry.slots);
        let count = other.directory().len();
        count == expected.len() && expected.iter().all(|(key, slots)| has(key) == Some(*slots))
    }

    /// Lets all entries hear of everything through two levels of hubs, and returns whether their
    /// directories then have what the store lists.
    fn converges(&mut self) -> bool {
        for index in 0..ENDPOINTS {
            let key = format!("e{index}");
            let newest = self.store.newest(self.store.end());
            let slots = newest.get(&*key).and_then(|record| record.value).map(|value| value.0);
            self.store.write(&key, slots);
        }
        let read = self.store.read(self.copies[0].position(), usize::MAX);
        self.apply(0, read);
        for (from, to) in [(0, 1), (0, 2), (1, 3), (2, 4)] {
            if let Some(update) = self.answer(from, to) {
                self.apply(to, update);
            }
        }
        self.now = self.now + LAPSE_GRACE;
        let expected = self.store.newest(self.store.end());
        self.copies.iter_mut().all(|copy| {
            copy.expire(self.now);
            let directory = copy.directory();
            let has = |record: &KeyedRecord<Value>| {
                let known = directory.entry(&record.key).map(|entry| entry.slots);
                known == record.value.map(|value| value.0)
            };
            directory.len() == expected.len() && expected.values().all(has)
        })
    }
}

fn wrong_seeds(form: ExchangeForm, restores: bool) -> Vec<u64> {
    let is_wrong = |seed: &u64| {
        let mut fleet = CopyFleet::new(*seed, form);
        for _ in 0..STEPS {
            fleet.step(restores);
            // Records of an older copy of the store may rightly be left out.
            if !restores && fleet.applied.is_some_and(|entry| !fleet.is_right(entry)) {
                return true;
            }
        }
        !fleet.converges()
    };
    (0..SEEDS).filter(is_wrong).collect()
}

/// Reads, lists, exchanges, starts and answers that arrive late and in any order.
#[test]
fn a_copy_has_what_the_log_says_up_to_its_position() {
    assert_eq!(wrong_seeds(ExchangeForm::Whole, false), Vec::<u64>::new());
    let found = wrong_seeds(ExchangeForm::TwoSources, false).len();
    assert!(found > 0, "the test sees no position that is apart from its records");
}

#[test]
fn all_entries_agree_with_the_store_after_it_came_back_from_older_copies() {
    assert_eq!(wrong_seeds(ExchangeForm::Whole, true), Vec::<u64>::new());
    let found = wrong_seeds(ExchangeForm::TwoSources, true).len();
    assert!(found > 0, "the test sees no position that is apart from its records");
}

const NOW: TimePoint = TimePoint::from_millis(1_000);

fn started(store: &NaiveStore) -> EndpointCopy<Value> {
    let mut copy = EndpointCopy::new();
    copy.apply(NOW, store.list(), decode).unwrap();
    copy
}

/// Guards against records that are applied although those before them are missing.
#[test]
fn an_update_after_a_gap_or_of_another_era_changes_nothing() {
    let mut store = NaiveStore::new();
    store.write("e1", Some(1));
    let mut copy = started(&store);
    let gap = LogPosition { era: 0, offset: 2 };
    let record = KeyedRecord { offset: 2, key: "e2".into(), value: Some((1, 9)) };
    let after_gap = CopyUpdate::from_log(gap, vec![record.clone()]);
    assert_eq!(copy.apply(NOW, after_gap, decode), Err(UpdateGap));
    let later_era = LogPosition { era: 1, offset: 1 };
    let record = KeyedRecord { offset: 1, ..record };
    let of_later_era = CopyUpdate::from_log(later_era, vec![record]);
    assert_eq!(copy.apply(NOW, of_later_era, decode), Err(UpdateGap));
    assert_eq!((copy.position(), copy.directory().len()), (Some(store.end()), 1));
    assert_eq!(EndpointCopy::<Value>::new().update_for(None), None);
}

/// Guards against a removal that nobody hears of: the entry that has the list never read it.
#[test]
fn an_entry_behind_a_list_hears_of_what_is_absent() {
    let mut store = NaiveStore::new();
    ["e1", "e2"].into_iter().for_each(|key| store.write(key, Some(1)));
    let mut asker = started(&store);
    store.write("e1", None);
    let hub = started(&store);
    let update = hub.update_for(asker.position()).unwrap();
    assert!(update.is_list());
    let changes = asker.apply(NOW, update, decode).unwrap();
    assert_eq!(changes, [DirectoryChange::Gone("e1".into())]);
    assert_eq!(asker.position(), hub.position());
    assert_eq!(hub.update_for(asker.position()), None);
}

/// A hub that reads the list because records were deleted knows what has left meanwhile, so that
/// askers that had reached its position need no list.
#[test]
fn a_hub_that_reads_the_list_again_passes_on_removals_only() {
    let mut store = NaiveStore::new();
    ["e1", "e2", "e3"].into_iter().for_each(|key| store.write(key, Some(1)));
    let (mut hub, mut asker) = (started(&store), started(&store));
    // Heartbeats are not passed on.
    ["e2", "e3"].into_iter().for_each(|key| store.write(key, Some(1)));
    store.write("e1", None);
    store.first = store.end().offset;
    hub.apply(NOW, store.read(hub.position(), 9), decode).unwrap();
    let update = hub.update_for(asker.position()).unwrap();
    assert_eq!((update.is_list(), update.len()), (false, 1));
    let changes = asker.apply(NOW, update, decode).unwrap();
    assert_eq!(changes, [DirectoryChange::Gone("e1".into())]);
}

/// 600 endpoints that send heartbeats, of which some leave and others come; the hub of an asker is
/// replaced and has its records deleted meanwhile. Lists must not travel with each exchange.
#[test]
fn exchanges_are_small_while_hubs_change() {
    let mut store = NaiveStore::new();
    for index in 0..600 {
        store.write(&format!("e{index}"), Some(1));
    }
    let mut hub = started(&store);
    let mut asker = started(&store);
    let (mut bytes, mut lists, mut now) = (0, 0, NOW);
    let seconds = 60;
    for exchange in 0..seconds * 6 {
        for index in 0..100 {
            store.write(&format!("e{}", (exchange * 100 + index) % 600), Some(1));
        }
        let key = format!("e{}", exchange % 600);
        store.write(&key, (exchange % 2 == 0).then_some(2));
        if exchange % 30 == 7 {
            store.first = store.end().offset;
        }
        if exchange % 120 == 60 {
            store.write("e599", None);
            hub = started(&store);
        } else {
            hub.apply(NOW, store.read(hub.position(), usize::MAX), decode).unwrap();
        }
        if let Some(update) = hub.update_for(asker.position()) {
            lists += usize::from(update.is_list());
            bytes += bincode::serialize(&update).unwrap().len();
            asker.apply(now, update, decode).unwrap();
        }
        now = now + LAPSE_GRACE;
        asker.expire(now);
        assert_eq!(asker.directory().len(), store.newest(store.end()).len());
    }
    assert_eq!(lists, 3, "one list for each hub that had just started");
    assert!(bytes / seconds < 4_000, "{} bytes a second", bytes / seconds);
}

/// An endpoint that removed keys are kept for must not fill the memory.
#[test]
fn the_oldest_removals_are_forgotten_and_earlier_askers_get_a_list() {
    let mut store = NaiveStore::new();
    store.write("e", Some(1));
    let (early, mut hub) = (store.end(), started(&store));
    let mut late = early;
    for number in 0..6_000 {
        let key = format!("e{number}");
        store.write(&key, Some(1));
        store.write(&key, None);
        hub.apply(NOW, store.read(hub.position(), 9), decode).unwrap();
        late = if number == 5_000 { store.end() } else { late };
    }
    let list = hub.update_for(Some(early)).unwrap();
    assert_eq!((list.is_list(), list.len()), (true, 1));
    let continued = hub.update_for(Some(late)).unwrap();
    assert_eq!((continued.is_list(), continued.len()), (false, 999));
}

/// Start and heartbeat of a run.
type Run = (u64, u64);

fn decode_run(record: &KeyedRecord<Run>) -> Option<EndpointRecord> {
    let (started_ms, heartbeat) = record.value?;
    let slots = KeyedRecord { offset: 0, key: record.key.clone(), value: Some((8, heartbeat)) };
    let record = decode(&slots)?;
    let entry = EndpointEntry { started_ms: Some(started_ms), ..record.entry };
    Some(EndpointRecord { entry, heartbeat })
}

/// Returns the kind of the changes that a read of records from `offset` on makes.
fn changes_of(
    copy: &mut EndpointCopy<Run>,
    offset: u64,
    values: &[Option<Run>],
) -> Vec<&'static str> {
    changes_at(copy, NOW, offset, values)
}

fn changes_at(
    copy: &mut EndpointCopy<Run>,
    now: TimePoint,
    offset: u64,
    values: &[Option<Run>],
) -> Vec<&'static str> {
    let record = |(index, value): (usize, &Option<Run>)| KeyedRecord {
        offset: offset + index as u64,
        key: "e1".into(),
        value: *value,
    };
    let records = values.iter().enumerate().map(record).collect();
    let update = CopyUpdate::from_log(LogPosition { era: 0, offset }, records);
    let changes = copy.apply(now, update, decode_run).unwrap();
    let label = |change: &DirectoryChange| match change {
        DirectoryChange::Put(..) => "put",
        DirectoryChange::Relisted(..) => "relisted",
        DirectoryChange::Lapsed(..) => "lapsed",
        DirectoryChange::Gone(..) => "gone",
        DirectoryChange::Outdated(..) => "outdated",
    };
    changes.iter().map(label).collect()
}

/// Guards against a late record that is newer than all that was seen, as the store shows few heartbeats.
#[test]
fn a_run_that_is_listed_again_may_have_left() {
    let mut copy = EndpointCopy::new();
    copy.apply(NOW, CopyUpdate::from_list(LogPosition::default(), Vec::new()), decode_run).unwrap();
    let mut copy_at = |offset, values: &[Option<Run>]| changes_of(&mut copy, offset, values);
    assert_eq!(copy_at(0, &[Some((7, 1)), None]), ["put", "gone"]);
    assert_eq!(copy_at(2, &[Some((7, 1))]), ["outdated"]);
    assert_eq!(copy_at(3, &[Some((7, 5)), Some((7, 6)), None]), ["relisted", "gone"]);
    assert_eq!(copy_at(6, &[Some((9, 1))]), ["put"]);
    // An entry that has not seen the run cannot tell either, unless it has just started.
    for (heartbeat, expected) in [(1, "put"), (3, "put"), (4, "relisted")] {
        let mut copy = EndpointCopy::new();
        let list = CopyUpdate::from_list(LogPosition { era: 0, offset: 1 }, Vec::new());
        copy.apply(NOW, list, decode_run).unwrap();
        assert_eq!(changes_of(&mut copy, 1, &[Some((7, heartbeat))]), [expected]);
    }
}

/// Guards against an entry that starts and asks each endpoint that it finds.
#[test]
fn endpoints_of_a_first_list_have_not_left() {
    let record = KeyedRecord { offset: 4, key: "e1".into(), value: Some((7, 90)) };
    let list = CopyUpdate::from_list(LogPosition { era: 0, offset: 5 }, vec![record]);
    let changes = EndpointCopy::new().apply(NOW, list, decode_run).unwrap();
    assert!(matches!(changes.as_slice(), [DirectoryChange::Put(..)]));
}

/// Guards against a cut between an entry and the store that counts as an outage, in which endpoints lapse.
#[test]
fn what_is_removed_after_several_heartbeats_has_not_lapsed_in_an_outage() {
    for (beats, expected) in [(1, "lapsed"), (2, "lapsed"), (3, "gone")] {
        let mut copy = EndpointCopy::new();
        let empty = CopyUpdate::from_list(LogPosition::default(), Vec::new());
        copy.apply(NOW, empty, decode_run).unwrap();
        assert_eq!(changes_of(&mut copy, 0, &[Some((7, 1))]), ["put"]);
        let beats = (2..2 + beats).map(|heartbeat| Some((7, heartbeat)));
        let values: Vec<Option<Run>> = beats.chain([None]).collect();
        let later = NOW + 2 * LAPSE_GRACE;
        copy.note_failed_read();
        copy.note_contact(later, NOW);
        let mut changes = changes_at(&mut copy, later, 1, &values);
        assert_eq!(changes.pop(), Some(expected));
    }
}
