//! Consistent hashing over the endpoints that offer one model.

use crate::{catalog::ServiceCatalog, ids::EndpointKey};

/// Number of points on the hash ring for each endpoint.
const POINTS_PER_ENDPOINT: u32 = 32;

/// The endpoints of the active configuration that offer one model, with their hash ring.
///
/// The ring depends only on the catalog, so all entries at the same revision map a key to the same
/// endpoint.
#[derive(Debug, Default)]
pub(crate) struct ModelPool {
    members: Vec<EndpointKey>,
    ring: Vec<RingPoint>,
}

/// A point on the ring and the index of the member that owns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RingPoint {
    hash: u32,
    member: u32,
}

impl ModelPool {
    /// Returns the pool of `members`; the names of the endpoints determine their ring points.
    pub(crate) fn new(mut members: Vec<EndpointKey>, catalog: &ServiceCatalog) -> ModelPool {
        members
            .sort_unstable_by(|a, b| catalog.endpoints[*a].name.cmp(&catalog.endpoints[*b].name));
        let mut ring = Vec::with_capacity(members.len() * POINTS_PER_ENDPOINT as usize);
        for (member, &key) in members.iter().enumerate() {
            let name = hash_text(&catalog.endpoints[key].name);
            for point in 0..POINTS_PER_ENDPOINT {
                let hash = mix(name, u64::from(point)) as u32;
                ring.push(RingPoint { hash, member: member as u32 });
            }
        }
        ring.sort_unstable();
        ModelPool { members, ring }
    }

    /// Returns the members, sorted by name.
    pub(crate) fn members(&self) -> &[EndpointKey] {
        &self.members
    }

    /// Returns the endpoint of probe number `probe` for `key`, or `None` if the pool is empty.
    ///
    /// Different probe numbers may return the same endpoint.
    pub(crate) fn probe(&self, key: u64, probe: u64) -> Option<EndpointKey> {
        let hash = mix(key, probe) as u32;
        let at = self.ring.partition_point(|point| point.hash < hash);
        let point = self.ring.get(at).or_else(|| self.ring.first())?;
        Some(self.members[point.member as usize])
    }

    /// Returns the bytes of heap memory in use.
    pub(crate) fn heap_bytes(&self) -> usize {
        self.members.capacity() * size_of::<EndpointKey>()
            + self.ring.capacity() * size_of::<RingPoint>()
    }
}

/// Returns a uniformly distributed hash of two numbers (the finalizer of SplitMix64).
pub(crate) fn mix(key: u64, salt: u64) -> u64 {
    let mut hash = key ^ salt.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Returns a hash of `text` that is the same in every process (FNV-1a).
pub(crate) fn hash_text(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
