//! The shares by which the versions of a service begin streams.

use serde::{Deserialize, Serialize};

use crate::{
    route::mix,
    stream_origin::{StreamKey, VersionKey},
};

/// Factor by which a version's share of the slots may change before it counts as another share.
const SHARE_TOLERANCE: f64 = 4.0 / 3.0;

/// A version that serves, with the slots of its endpoints.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VersionShare {
    /// The version of the software.
    pub software: Box<str>,
    /// Slots of all its endpoints that take new work.
    pub slots: u32,
}

/// Returns the version of `service` that begins `stream`, by rendezvous hashing weighted by slots;
/// `None` if there are no shares.
///
/// Processes with the same shares agree, and a change of one version's slots moves no stream between
/// two other versions.
pub(super) fn pick(
    service: &str,
    shares: &[VersionShare],
    stream: StreamKey,
) -> Option<VersionKey> {
    let score = |share: &VersionShare| {
        let version = VersionKey::new(service, &share.software);
        // A number in (0, 1] of 53 bits.
        let drawn = ((mix(stream.0, version.0) >> 11) + 1) as f64 / (1_u64 << 53) as f64;
        -drawn.ln() / f64::from(share.slots.max(1))
    };
    let picked = shares.iter().min_by(|a, b| score(a).total_cmp(&score(b)))?;
    Some(VersionKey::new(service, &picked.software))
}

/// Reports whether both have the same versions with nearly the same shares of the slots; both are in the
/// order of the versions.
pub(super) fn are_alike(known: &[VersionShare], other: &[VersionShare]) -> bool {
    let total = |shares: &[VersionShare]| -> f64 {
        shares.iter().map(|share| f64::from(share.slots.max(1))).sum()
    };
    let (of_known, of_other) = (total(known), total(other));
    let is_alike = |(known, other): (&VersionShare, &VersionShare)| {
        let before = f64::from(known.slots.max(1)) / of_known;
        let now = f64::from(other.slots.max(1)) / of_other;
        known.software == other.software
            && now <= before * SHARE_TOLERANCE
            && before <= now * SHARE_TOLERANCE
    };
    known.len() == other.len() && known.iter().zip(other).all(is_alike)
}
