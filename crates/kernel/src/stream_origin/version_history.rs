//! The software versions that have served lately.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{route::mix, stream_origin::VersionKey, time::MAX_WALL_MS};

/// Longest time for which a caller waits for a stream, over all its tries.
pub const STREAM_LIFE: Duration = Duration::from_secs(600);

/// Step in which the end of a version's record is moved on, so that it changes rarely.
const RENEWAL_STEP_MS: u64 = 60_000;

/// A version of a service that serves or has served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServedVersion {
    /// The service.
    pub service: Box<str>,
    /// The version of its software.
    pub software: Box<str>,
    /// Wall-clock time in milliseconds since 1970 until which streams that it began may go on.
    pub until_ms: u64,
}

impl ServedVersion {
    /// Reports whether an entry can have noted the version.
    pub(super) fn is_readable(&self) -> bool {
        self.until_ms <= MAX_WALL_MS
    }
}

/// The versions that an entry tells another one of.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionNews {
    /// Digest of all versions that the sender knows.
    pub digest: u64,
    /// These versions; empty if the receiver knows them.
    pub versions: Vec<ServedVersion>,
}

/// The versions that may have begun a stream which a caller still waits for.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    rows: BTreeMap<VersionKey, ServedVersion>,
}

impl VersionHistory {
    /// Returns an empty history.
    pub fn new() -> VersionHistory {
        VersionHistory::default()
    }

    /// Notes that a version serves at `wall_ms`.
    pub fn note_serving(&mut self, wall_ms: u64, service: &str, software: &str) {
        let step = (wall_ms / RENEWAL_STEP_MS + 1).saturating_mul(RENEWAL_STEP_MS);
        let until_ms = step.saturating_add(STREAM_LIFE.as_millis() as u64);
        let (service, software) = (service.into(), software.into());
        self.merge(&ServedVersion { service, software, until_ms });
    }

    /// Merges what another process knew of a version, unless none can have noted it.
    pub fn merge(&mut self, served: &ServedVersion) {
        if !served.is_readable() {
            return;
        }
        let key = VersionKey::new(&served.service, &served.software);
        let row = self.rows.entry(key).or_insert_with(|| served.clone());
        row.until_ms = row.until_ms.max(served.until_ms);
    }

    /// Drops the versions whose streams no caller waits for at `wall_ms`.
    pub fn expire(&mut self, wall_ms: u64) {
        self.rows.retain(|_, row| row.until_ms > wall_ms);
    }

    /// Returns a digest that histories with the same versions share.
    pub fn digest(&self) -> u64 {
        self.rows.iter().fold(0, |digest, (key, row)| digest ^ mix(key.0, row.until_ms))
    }

    /// Returns what an entry lacks whose history has the digest `known`.
    pub fn news(&self, known: u64) -> VersionNews {
        let digest = self.digest();
        let is_known = digest == known;
        let versions = self.rows.values().filter(|_| !is_known).cloned().collect();
        VersionNews { digest, versions }
    }

    /// Returns all versions.
    pub fn rows(&self) -> impl Iterator<Item = (VersionKey, &ServedVersion)> {
        self.rows.iter().map(|(key, row)| (*key, row))
    }

    /// Returns the version with this key.
    pub fn version(&self, key: VersionKey) -> Option<&ServedVersion> {
        self.rows.get(&key)
    }

    /// Returns the services with several versions.
    pub fn mixed_services(&self) -> Vec<Box<str>> {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for row in self.rows.values() {
            *counts.entry(&row.service).or_default() += 1;
        }
        let mixed = counts.into_iter().filter(|(_, count)| *count > 1);
        mixed.map(|(service, _)| service.into()).collect()
    }
}
