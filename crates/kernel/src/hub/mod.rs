//! Selection of the entries (hubs) that read the platform's store on behalf of the others.
//!
//! Calls to the store cost money, and all entries read the same data. One entry, the root hub,
//! reads the store. Every other entry exchanges data with its hub several times a second: it sends
//! its load and its counts, and receives new data from the store and the load of all other entries.
//! The hub of an entry is the first entry of its failure domain, and the hub of that entry is the
//! root hub, which is the first entry of all. This tree keeps traffic between domains low and keeps
//! the root hub from being asked by every entry. The entries need no agreement: an entry that
//! cannot reach its hub asks the next entry. While the hubs cannot reach the store, all entries
//! together try a few times a second ([`ReadTurn`]); one that reaches it reads on in place of the
//! root hub, and the hubs fetch the data from it ([`StoreFollower`]).

mod clock_filter;
mod known_entry;
mod load_aggregator;
mod read_turn;
mod roster;
mod skew_estimator;
mod sliding_maximum;
mod store_follower;

pub use self::{
    clock_filter::ClockFilter,
    known_entry::KnownEntry,
    load_aggregator::{GroupLoad, LoadAggregator},
    read_turn::ReadTurn,
    roster::{HubChoice, HubRoster, exchange_period},
    skew_estimator::SkewEstimator,
    sliding_maximum::SlidingMaximum,
    store_follower::{ReadRole, StoreFollower},
};
