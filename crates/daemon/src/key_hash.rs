//! The hash under which caller keys are stored and compared.

use std::fmt;

use sha2::{Digest, Sha256};

/// SHA-256 of a caller's key, in lowercase hexadecimal digits.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct KeyHash(Box<str>);

impl KeyHash {
    /// Returns the hash of `key`.
    pub(crate) fn of(key: &str) -> KeyHash {
        let digest = Sha256::digest(key.as_bytes());
        KeyHash(digest.iter().map(|byte| format!("{byte:02x}")).collect::<String>().into())
    }

    /// Returns the 64 hexadecimal digits of the hash.
    pub(crate) fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // A log line may show only a part of a key's hash.
        write!(f, "key {}…", &self.0[..8])
    }
}
