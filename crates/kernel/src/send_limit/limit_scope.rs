//! The key of what a limit holds for.

use serde::{Deserialize, Serialize};

use crate::route::{hash_text, mix};

/// Mixed with the hash of an endpoint's name for the scope of its warm-up.
const WARMUP_SALT: u64 = 0x7761_726d_2d75_7000;

/// Identifies what a limit holds for, the same at all entries.
///
/// Today this is an endpoint, or an endpoint while it warms up. A service or a host would get a
/// constructor of its own with another prefix of the hashed text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LimitScope(u64);

impl LimitScope {
    /// Returns the scope of the endpoint named `name`.
    pub fn endpoint(name: &str) -> LimitScope {
        LimitScope(hash_text(name))
    }

    /// Returns the scope of the endpoint whose name has this hash.
    pub(crate) fn from_hash(hash: u64) -> LimitScope {
        LimitScope(hash)
    }

    /// Returns the scope of the warm-up of the endpoint whose name has this hash.
    pub(crate) fn warmup(hash: u64) -> LimitScope {
        LimitScope(mix(hash, WARMUP_SALT))
    }

    /// Returns the key as a number.
    pub(crate) fn number(self) -> u64 {
        self.0
    }
}
