//! What happens in a simulated fleet.

/// Sizes and rates of a simulated fleet; rates are chances in a thousand for each tick.
#[derive(Clone, Copy, Debug)]
pub struct OriginPlan {
    pub entries: usize,
    pub domains: usize,
    pub ticks: u64,
    /// Streams that begin in each tick, in a thousand.
    pub streams: u64,
    /// Changes of the versions that serve.
    pub version_changes: u64,
    /// Changes of the slots of one version's endpoints.
    pub slot_changes: u64,
    /// Kills of one entry, of a part, and of all.
    pub kills: u64,
    pub part_kills: u64,
    pub total_kills: u64,
    /// Entries that lose all others, and entries that lose the store, for a while.
    pub cuts: u64,
    pub store_cuts: u64,
    /// Entries that stand still for a while, and then go on with what they knew.
    pub freezes: u64,
    /// Outages of the store, and its returns from an older copy.
    pub outages: u64,
    pub older_copies: u64,
    /// Outages of the part of the store that has the records of streams.
    pub origin_outages: u64,
    /// Exchanges and writes whose answer is lost, in a thousand, and reports that come again later.
    pub lost_answers: u64,
    pub repeated_reports: u64,
}

impl OriginPlan {
    /// Returns a fleet of `entries` entries without faults.
    pub fn calm(entries: usize) -> OriginPlan {
        OriginPlan {
            entries,
            domains: (entries / 50).clamp(1, 8),
            ticks: 1_200,
            streams: 1_500,
            version_changes: 0,
            slot_changes: 0,
            kills: 0,
            part_kills: 0,
            total_kills: 0,
            cuts: 0,
            store_cuts: 0,
            freezes: 0,
            outages: 0,
            older_copies: 0,
            origin_outages: 0,
            lost_answers: 0,
            repeated_reports: 0,
        }
    }

    /// Returns a fleet in which everything happens, often together.
    pub fn troubled(entries: usize) -> OriginPlan {
        OriginPlan {
            version_changes: 8,
            slot_changes: 20,
            kills: 12,
            part_kills: 4,
            total_kills: 3,
            cuts: 6,
            store_cuts: 6,
            outages: 3,
            lost_answers: 100,
            repeated_reports: 100,
            ..OriginPlan::calm(entries)
        }
    }
}
