//! Which endpoint a request is sent to.
//!
//! An entry sees endpoints through digests that lag, and corrects them by what it has sent
//! itself since.

mod candidates;
mod completed;
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
