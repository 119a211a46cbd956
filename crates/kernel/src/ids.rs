//! Keys of the catalog arenas and identifiers that processes exchange.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

slotmap::new_key_type! {
    /// Key of a client account in the [`ServiceCatalog`](crate::catalog::ServiceCatalog).
    pub struct AccountKey;
    /// Key of a request class in the [`ServiceCatalog`](crate::catalog::ServiceCatalog).
    pub struct ClassKey;
    /// Key of an endpoint in the [`ServiceCatalog`](crate::catalog::ServiceCatalog).
    pub struct EndpointKey;
    /// Key of a model or plain service in the [`ServiceCatalog`](crate::catalog::ServiceCatalog).
    pub struct ModelKey;
}

/// Identifier of a request, unique in the fleet; displayed as 32 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{:x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<RequestId, Self::Err> {
        u128::from_str_radix(text, 16).map(RequestId)
    }
}

impl Serialize for RequestId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for RequestId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<RequestId, D::Error> {
        let text = <Box<str>>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Identifies one run of a process; a restart keeps the name and increases the incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProcessId {
    /// Name from the settings of the process, unique in the fleet.
    pub name: Box<str>,
    /// Wall-clock time at the start of this run, in milliseconds.
    pub incarnation: u64,
}

impl fmt::Display for ProcessId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

/// Log offset of the claim that acquired a lease; each later lease holder has a higher number.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

impl fmt::Display for FencingNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}
