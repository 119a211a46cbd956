//! The endpoints that should cache a shared prompt part, chosen by rendezvous hashing.

use crate::ids::EndpointKey;

/// Holds the two endpoints with the highest scores for a part, which are the part's homes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PartHomes {
    first: Option<(u64, EndpointKey)>,
    second: Option<(u64, EndpointKey)>,
}

impl PartHomes {
    /// Considers an endpoint with its score.
    pub(super) fn offer(&mut self, score: u64, endpoint: EndpointKey) {
        let offered = Some((score, endpoint));
        if self.first.is_none_or(|(first, _)| score > first) {
            self.second = self.first;
            self.first = offered;
        } else if self.second.is_none_or(|(second, _)| score > second) {
            self.second = offered;
        }
    }

    /// Returns 0 for the endpoint with the highest score, 1 for the second, and `None` otherwise.
    pub(super) fn rank(&self, endpoint: EndpointKey) -> Option<usize> {
        let homes = [self.first, self.second];
        homes.iter().position(|home| home.is_some_and(|(_, key)| key == endpoint))
    }
}
