//! Ranking of the members of a failure domain, which decides which of them are relays.

/// Members of a domain per relay.
const MEMBERS_PER_RELAY: usize = 6;

/// Least number of relays of a domain with enough members.
const MIN_RELAYS: usize = 2;

/// Number of relays to which each member reports.
const RELAYS_PER_MEMBER: usize = 2;

/// Live members of one failure domain, ordered by rendezvous hash; the first ones are its relays.
#[derive(Clone, Debug)]
pub(crate) struct RelayRanking {
    names: Vec<Box<str>>,
}

impl RelayRanking {
    /// Ranks members by their hashes, the lowest first.
    pub(crate) fn new(mut ranked: Vec<(u64, &str)>) -> RelayRanking {
        ranked.sort_unstable();
        RelayRanking { names: ranked.into_iter().map(|(_, name)| name.into()).collect() }
    }

    /// Returns the relays in the order of the ranking.
    pub(crate) fn relays(&self) -> &[Box<str>] {
        let count = self.names.len().div_ceil(MEMBERS_PER_RELAY).max(MIN_RELAYS);
        &self.names[..count.min(self.names.len())]
    }

    /// Returns the usable relays to which `name` reports, its primary relay first.
    ///
    /// Members are assigned to relays round-robin by their position in the ranking, so that all
    /// relays serve about equally many members.
    pub(crate) fn relays_for(&self, name: &str, usable: impl Fn(&str) -> bool) -> Vec<Box<str>> {
        let relays = self.relays();
        let position = self.names.iter().position(|other| **other == *name).unwrap_or(0);
        let rotated = (0..relays.len()).map(|step| &relays[(position + step) % relays.len()]);
        rotated
            .filter(|relay| ***relay != *name && usable(relay))
            .take(RELAYS_PER_MEMBER)
            .cloned()
            .collect()
    }
}
