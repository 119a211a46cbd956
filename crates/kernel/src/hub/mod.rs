//! Selection of the entries (hubs) that read the platform's store on behalf of the others.
//!
//! Calls to the store cost money, and all entries read the same data. One entry, the root hub,
//! reads the store. Every other entry exchanges data with its hub several times a second: it sends
//! its load and its counts, and receives new data from the store and the load of all other entries.
//! The hub of an entry is the first entry of its failure domain, and the hub of that entry is the
//! root hub, which is the first entry of all. This tree keeps traffic between domains low and keeps
//! the root hub from being asked by every entry. The entries need no agreement: an entry that
//! cannot reach its hub asks the next entry.
//!
//! No copy of the store may grow older than a bound that the deployment states ([`AgeBudget`]), whichever
//! entries are lost or refused by the store. An entry whose copy is too old tries the store itself
//! ([`ReadTurn`]) and asks all other entries for a newer copy ([`CopySearch`]). One that reaches the store
//! reads on in place of the root hub, and the hubs fetch the data from it ([`StoreFollower`]).

mod age_budget;
mod clock_filter;
mod copy_search;
mod known_entry;
mod load_aggregator;
mod position_claim;
mod read_turn;
mod roster;
mod skew_estimator;
mod sliding_maximum;
mod store_follower;
mod topic_progress;

pub use self::{
    age_budget::AgeBudget,
    clock_filter::ClockFilter,
    copy_search::CopySearch,
    known_entry::KnownEntry,
    load_aggregator::{GroupLoad, LoadAggregator},
    position_claim::PositionClaim,
    read_turn::ReadTurn,
    roster::{HubChoice, HubRoster, exchange_period},
    skew_estimator::SkewEstimator,
    sliding_maximum::SlidingMaximum,
    store_follower::{ReadRole, StoreFollower},
    topic_progress::TopicProgress,
};
