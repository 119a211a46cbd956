//! The name of a software version among entries.

use serde::{Deserialize, Serialize};

use crate::suspect::fingerprint;

/// Identifies a software version of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionKey(pub u64);

impl VersionKey {
    /// Returns the key of the version `software` of `service`.
    pub fn new(service: &str, software: &str) -> VersionKey {
        VersionKey(fingerprint(&["version", service, software], &[]))
    }
}
