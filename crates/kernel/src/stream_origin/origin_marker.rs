//! What the root hub last wrote, from which entries and later root hubs see outages of the store.

use serde::{Deserialize, Serialize};

use crate::stream_origin::{StreamKey, VersionKey, VersionShare, version_share::pick};

/// Difference of the clocks of two processes at most, on both sides of a comparison, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 600;

/// Time for which a gap is of use, in milliseconds; callers that wait longer are not covered.
const GAP_LIFE_MS: u64 = 120_000;

/// Time for which the largest number of entries is remembered, in milliseconds.
const ENTRIES_LIFE_MS: u64 = 600_000;

/// Facts of the fleet that go into a marker.
#[derive(Clone, Debug, Default)]
pub struct MarkerInput {
    /// Era of the store.
    pub era: u64,
    /// Identifies the run of the process that writes.
    pub writer: u64,
    /// Number of entries that report to the root hub now, with itself.
    pub present: u32,
    /// Time by which a marker reaches all these entries, in milliseconds.
    pub reach_ms: u64,
    /// Versions of services with several of them, in order.
    pub shares: Vec<VersionShare>,
}

/// A time in which no entry heard of a write, so that streams began by the shares known before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginGap {
    /// Wall-clock time in milliseconds from which all entries began streams by the shares.
    pub from_ms: u64,
    /// Wall-clock time in milliseconds at which the store was written again.
    pub until_ms: u64,
    /// The shares.
    pub shares: Vec<VersionShare>,
}

/// The newest word of the root hub, kept in the store and passed down the tree of hubs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginMarker {
    /// Wall-clock time of the write in milliseconds since 1970.
    pub written_ms: u64,
    /// Era of the store.
    pub era: u64,
    /// Identifies the run of the process that wrote it.
    pub writer: u64,
    /// Number of entries that reported then.
    pub present: u32,
    /// Age from which on an entry that knows no later marker begins streams by the shares, in
    /// milliseconds.
    pub strict_ms: u64,
    /// Versions of services with several of them.
    pub shares: Vec<VersionShare>,
    /// Wall-clock time of the first write with these shares.
    pub shares_since_ms: u64,
    /// Largest number of entries lately.
    pub entries: u32,
    /// Wall-clock time in milliseconds at which this number is forgotten.
    pub entries_until_ms: u64,
    /// Whether all these entries reported when the marker was written.
    pub is_complete: bool,
    /// Gaps before this marker.
    pub gaps: Vec<OriginGap>,
}

impl OriginMarker {
    /// Returns the marker to write at `wall_ms` after `last`, the newest one that the store has.
    pub(super) fn after(
        last: Option<&OriginMarker>,
        wall_ms: u64,
        input: &MarkerInput,
    ) -> OriginMarker {
        let none = OriginMarker::default();
        let last = last.unwrap_or(&none);
        let is_unchanged = last.shares == input.shares;
        let remembers = last.entries > input.present && last.entries_until_ms > wall_ms;
        let (entries, entries_until_ms) = match remembers {
            true => (last.entries, last.entries_until_ms),
            false => (input.present, wall_ms + ENTRIES_LIFE_MS),
        };
        // What an entry began after a gap and had not told may have died with it.
        let has_lost = input.writer != last.writer || input.present < last.present;
        let is_kept = |gap: &&OriginGap| !has_lost && gap.until_ms + GAP_LIFE_MS > wall_ms;
        let gaps = last.gaps.iter().filter(is_kept).cloned();
        OriginMarker {
            written_ms: wall_ms,
            era: input.era,
            writer: input.writer,
            present: input.present,
            strict_ms: input.reach_ms,
            shares: input.shares.clone(),
            shares_since_ms: if is_unchanged { last.shares_since_ms } else { wall_ms },
            entries,
            entries_until_ms,
            is_complete: input.present >= entries,
            gaps: gaps.chain(last.gap_until(wall_ms, input.era)).collect(),
        }
    }

    /// Returns the gap between this marker and one written at `wall_ms`; `None` if there is none, or if
    /// entries may have known other shares in it.
    fn gap_until(&self, wall_ms: u64, era: u64) -> Option<OriginGap> {
        let from_ms = self.written_ms + self.strict_ms + CLOCK_MARGIN_MS;
        let settled_ms = self.written_ms.saturating_sub(self.shares_since_ms);
        // An entry that reports has heard of the shares by then.
        let is_settled = settled_ms >= 2 * self.strict_ms;
        // A store that came back from an older copy has lost markers.
        let is_known = self.is_complete && is_settled && self.era == era;
        (is_known && !self.shares.is_empty() && wall_ms > from_ms).then(|| OriginGap {
            from_ms,
            until_ms: wall_ms,
            shares: self.shares.clone(),
        })
    }

    /// Returns the version at which an entry that knows no later marker begins `stream` at `wall_ms`;
    /// `None` if it may begin at any.
    pub(super) fn strict_version(
        &self,
        wall_ms: u64,
        service: &str,
        stream: StreamKey,
    ) -> Option<VersionKey> {
        if wall_ms <= self.written_ms + self.strict_ms {
            return None;
        }
        let share = pick(&self.shares, service, stream)?;
        Some(VersionKey::new(&share.service, &share.software))
    }

    /// Returns the version of `service` that began `stream`, whose caller first asked at `asked_ms`; `None`
    /// if it may have begun outside of a gap.
    pub(super) fn derived_version(
        &self,
        service: &str,
        stream: StreamKey,
        asked_ms: u64,
    ) -> Option<VersionKey> {
        let within = |gap: &&OriginGap| (gap.from_ms..=gap.until_ms).contains(&asked_ms);
        let gap = self.gaps.iter().find(within)?;
        let share = pick(&gap.shares, service, stream)?;
        Some(VersionKey::new(&share.service, &share.software))
    }
}
