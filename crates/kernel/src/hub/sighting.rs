//! What entries tell each other of entries.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// An entry, and how long ago it was heard of.
///
/// The age travels along, so that entries which repeat each other's word do not keep a lost one
/// alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntrySighting {
    /// Where other entries reach it.
    pub address: SocketAddr,
    /// Its failure domain, if known.
    pub domain: Option<Box<str>>,
    /// Milliseconds since it was heard.
    pub age_ms: u32,
}
