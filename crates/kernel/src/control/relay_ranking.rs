//! The members of a failure domain in the order in which they become relays.

/// Members of a domain for each relay of it.
const MEMBERS_PER_RELAY: usize = 6;

/// Fewest relays of a domain.
const MIN_RELAYS: usize = 2;

/// Relays that each process reports to.
const RELAYS_PER_MEMBER: usize = 2;

/// Live members of one domain, ordered by rendezvous hash; the first are its relays.
#[derive(Clone, Debug)]
pub(crate) struct RelayRanking {
    names: Vec<Box<str>>,
}

impl RelayRanking {
    /// Orders members by their hashes.
    pub(crate) fn new(mut ranked: Vec<(u64, &str)>) -> RelayRanking {
        ranked.sort_unstable();
        RelayRanking { names: ranked.into_iter().map(|(_, name)| name.into()).collect() }
    }

    /// Returns the relays, best first.
    pub(crate) fn relays(&self) -> &[Box<str>] {
        let count = self.names.len().div_ceil(MEMBERS_PER_RELAY).max(MIN_RELAYS);
        &self.names[..count.min(self.names.len())]
    }

    /// Returns the relays that `name` reports to, its primary one first.
    ///
    /// Members take relays in turn, so that all relays serve equally many.
    pub(crate) fn relays_for(&self, name: &str, usable: impl Fn(&str) -> bool) -> Vec<Box<str>> {
        let relays = self.relays();
        let position = self.names.iter().position(|other| **other == *name).unwrap_or(0);
        let turned = (0..relays.len()).map(|step| &relays[(position + step) % relays.len()]);
        turned
            .filter(|relay| ***relay != *name && usable(relay))
            .take(RELAYS_PER_MEMBER)
            .cloned()
            .collect()
    }
}
