//! Which entries there are, and the newest shares that all of them begin streams by.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{route::mix, suspect::fingerprint, time::TimePoint};

/// Age at which the report of an entry no longer counts.
const ACK_LIFE: Duration = Duration::from_secs(2);

/// Identifies an entry by its name, over all runs of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryKey(pub u32);

impl EntryKey {
    /// Returns the key of the entry `name`.
    pub fn new(name: &str) -> EntryKey {
        EntryKey(fingerprint(&["entry", name], &[]) as u32)
    }
}

/// What a group of entries knows of the shares by which streams begin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpanAck {
    /// Time of the newest span that all of them know, or of its being followed, in milliseconds of the wall clock;
    /// 0 if one of them knows none, or if the receiver lacks records from before.
    pub known_ms: u64,
    /// Digest of `entries`.
    pub digest: u64,
    /// The entries of the group with the runs of their processes; empty if the receiver knows them.
    pub entries: BTreeMap<EntryKey, u64>,
}

/// Holds what each entry last reported for its group.
#[derive(Clone, Debug)]
pub struct SpanAcks {
    own: EntryKey,
    incarnation: u64,
    groups: BTreeMap<EntryKey, (TimePoint, SpanAck)>,
}

impl SpanAcks {
    /// Returns the reports to the process run `incarnation` of the entry `own`, which are none yet.
    pub fn new(own: EntryKey, incarnation: u64) -> SpanAcks {
        SpanAcks { own, incarnation, groups: BTreeMap::new() }
    }

    /// Notes the report of `entry`, in place of the one before, and returns the digest of the entries of
    /// its group that are known; 0 if it must report them again.
    pub fn note(&mut self, now: TimePoint, entry: EntryKey, mut ack: SpanAck) -> u64 {
        if ack.entries.is_empty() {
            let known = self.groups.remove(&entry).filter(|(_, known)| known.digest == ack.digest);
            let Some((_, known)) = known else { return 0 };
            ack.entries = known.entries;
        }
        let digest = ack.digest;
        self.groups.insert(entry, (now, ack));
        digest
    }

    /// Returns what this entry and those that report to it know; `own_ms` is the beginning of the newest
    /// span that this entry knows.
    pub fn group(&mut self, now: TimePoint, own_ms: u64) -> SpanAck {
        self.groups.retain(|_, (at, _)| now.since(*at) < ACK_LIFE);
        let mut known_ms = own_ms;
        let mut entries = BTreeMap::from([(self.own, self.incarnation)]);
        for (_, ack) in self.groups.values() {
            known_ms = known_ms.min(ack.known_ms);
            for (entry, run) in &ack.entries {
                let newest = entries.entry(*entry).or_insert(*run);
                *newest = (*newest).max(*run);
            }
        }
        let digest =
            entries.iter().fold(0, |sum, (entry, run)| mix(sum, mix(entry.0.into(), *run)));
        SpanAck { known_ms, digest, entries }
    }
}
