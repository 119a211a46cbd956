//! Selection of the entries (hubs) that read the platform's store on behalf of the others.
//!
//! Calls to the store cost money, and all entries read the same data. One entry, the root hub,
//! reads the store. Every other entry exchanges data with its hub several times a second: it sends
//! its load and its counts, and receives new data from the store and the load of all other entries.
//! The hub of an entry is the first entry of its failure domain, and the hub of that entry is the
//! root hub, which is the first entry of all. This tree keeps traffic between domains low and keeps
//! the root hub from being asked by every entry. The entries need no agreement: an entry that
//! cannot reach its hub, or whose hub has lost the store, asks the next entry or reads the store
//! itself.

mod clock_filter;
mod known_entry;
mod load_aggregator;
mod roster;
mod skew_estimator;
mod sliding_maximum;

pub use self::{
    clock_filter::ClockFilter,
    known_entry::KnownEntry,
    load_aggregator::{GroupLoad, LoadAggregator},
    roster::{HubChoice, HubRoster, exchange_period},
    skew_estimator::SkewEstimator,
    sliding_maximum::SlidingMaximum,
};
