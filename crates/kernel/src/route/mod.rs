//! Routing decisions in an entry: the endpoint to which each request is sent.
//!
//! Entries learn the state of endpoints from digests that agents send. Digests lag behind the
//! actual state, so an entry adds the requests that it has sent since the last digest and
//! subtracts those that have ended since.

mod candidates;
mod entry;
mod in_flight;
mod message;
mod policy;
mod pool;
mod prefix;
mod random;
mod straggler;
mod view;

pub(crate) use self::pool::{hash_text, mix};
pub use self::{
    entry::EntryRouter,
    message::{
        CacheChange, CacheEvent, CrashReport, EndpointDigest, EntryProgress,
        MAX_CRASH_FINGERPRINTS, RouteChoice, RouteEvent,
    },
    policy::{EndpointOption, RoutePolicy, policy_names},
    prefix::PrefixIndex,
    random::RandomRouter,
    straggler::{
        EJECT_RATIO, MAX_EJECTED_PERCENT, MIN_POOL_MEMBERS, StragglerDetector, max_ejected,
    },
    view::{CRASH_REPORT_TIME, EXPIRED_DIGEST_AGE, STALE_DIGEST_AGE},
};
