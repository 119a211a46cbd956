//! Which entry reads the platform's store for all others.
//!
//! Calls to the store cost money, and what all entries read is the same. One entry, the hub,
//! follows the store; the others ask it several times a second for what is new, tell it their
//! load and counts, and hear the load of all others. No agreement is needed: an entry that
//! cannot reach its hub, or whose hub has lost the store, reads for itself or asks the next.

mod clock_board;
mod load_board;
mod roster;
mod steady_wall;

pub use self::{
    clock_board::ClockBoard,
    load_board::LoadBoard,
    roster::{HubChoice, HubRoster, MAX_STORE_AGE, exchange_period},
    steady_wall::SteadyWall,
};
