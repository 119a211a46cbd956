//! Which entry reads the platform's store for all others.
//!
//! Calls to the store cost money, and what all entries read is the same. One entry, the hub of all,
//! follows the store; the others ask their hub several times a second for what is new, tell it
//! their load and counts, and hear the load of all others. The hub of an entry is the first one of
//! its own failure domain, and that one's hub is the first of all, so that little crosses between
//! domains and no hub is asked by all. No agreement is needed: an entry that cannot reach its hub,
//! or whose hub has lost the store, reads for itself or asks the next.

mod clock_board;
mod load_board;
mod peak_count;
mod roster;
mod sighting;
mod steady_wall;

pub use self::{
    clock_board::ClockBoard,
    load_board::{GroupLoad, LoadBoard},
    peak_count::PeakCount,
    roster::{HubChoice, HubRoster, exchange_period},
    sighting::EntrySighting,
    steady_wall::SteadyWall,
};
