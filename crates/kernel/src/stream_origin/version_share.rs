//! The shares by which versions begin streams while the store is away.

use serde::{Deserialize, Serialize};

use crate::{
    route::mix,
    stream_origin::{StreamKey, VersionKey},
};

/// A version that serves, with the slots of its endpoints.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionShare {
    /// The service.
    pub service: Box<str>,
    /// The version of its software.
    pub software: Box<str>,
    /// Slots of all its endpoints that take new work.
    pub slots: u32,
}

/// Returns the version of `service` that begins `stream`, by rendezvous hashing weighted by slots;
/// `None` if `shares` has no version of the service.
///
/// Processes with the same shares agree, and a change of one version's slots moves no stream between
/// two other versions.
pub(super) fn pick<'a>(
    shares: &'a [VersionShare],
    service: &str,
    stream: StreamKey,
) -> Option<&'a VersionShare> {
    let score = |share: &VersionShare| {
        let version = VersionKey::new(&share.service, &share.software);
        // A number in (0, 1] of 53 bits.
        let drawn = ((mix(stream.0, version.0) >> 11) + 1) as f64 / (1_u64 << 53) as f64;
        -drawn.ln() / f64::from(share.slots.max(1))
    };
    let of_service = shares.iter().filter(|share| *share.service == *service);
    of_service.min_by(|a, b| score(a).total_cmp(&score(b)))
}
