//! The information that entries exchange about the existence of entries.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// An entry with the time since its last known contact.
///
/// The age is passed on with the entry. Otherwise entries that repeat each other's lists would keep
/// a lost entry alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownEntry {
    /// Address at which other entries reach the entry.
    pub address: SocketAddr,
    /// Failure domain of the entry; `None` if unknown.
    pub domain: Option<Box<str>>,
    /// Milliseconds since the last contact with the entry.
    pub age_ms: u32,
}
