//! Numbers of sends that are wanted, by rank.

/// Number of ranks: the urgencies from 0 to 9, and the rank of sends that are kept in reserve.
const RANKS: usize = 11;

/// Rank of sends that are kept in reserve for a request of any urgency.
pub(super) const RESERVE_RANK: u8 = RANKS as u8 - 1;

/// Numbers of sends that are wanted, by rank; rank 0 goes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct WantList([u32; RANKS]);

impl WantList {
    /// Returns a list of the rows of a message; unknown ranks count as the last one.
    pub(super) fn new(rows: &[(u8, u32)]) -> WantList {
        let mut wants = WantList::default();
        rows.iter().for_each(|(rank, count)| wants.add(*rank, *count));
        wants
    }

    /// Returns the rows that are not 0, for a message.
    pub(super) fn rows(&self) -> Vec<(u8, u32)> {
        self.ranks().filter(|(_, count)| *count > 0).collect()
    }

    /// Returns all ranks with their numbers, the most urgent one first.
    pub(super) fn ranks(&self) -> impl Iterator<Item = (u8, u32)> {
        self.0.into_iter().enumerate().map(|(rank, count)| (rank as u8, count))
    }

    pub(super) fn add(&mut self, rank: u8, count: u32) {
        let known = &mut self.0[usize::from(rank.min(RESERVE_RANK))];
        *known = known.saturating_add(count);
    }

    pub(super) fn remove(&mut self, rank: u8, count: u32) {
        let known = &mut self.0[usize::from(rank.min(RESERVE_RANK))];
        *known = known.saturating_sub(count);
    }

    pub(super) fn at(&self, rank: u8) -> u32 {
        self.0[usize::from(rank)]
    }

    /// Returns the number of sends that are wanted for ranks before `rank`.
    pub(super) fn before(&self, rank: u8) -> u32 {
        self.0[..usize::from(rank)].iter().fold(0, |sum, count| sum.saturating_add(*count))
    }

    pub(super) fn total(&self) -> u32 {
        self.before(RANKS as u8)
    }

    pub(super) fn add_all(&mut self, other: &WantList) {
        other.ranks().for_each(|(rank, count)| self.add(rank, count));
    }
}
