//! The fingerprint by which a request and its repeats are recognised.

use sha2::{Digest, Sha256};

/// Returns a hash that is the same for all repeats of a request, in every process.
///
/// `parts` names what identifies the request besides its body, such as the client account and the
/// path. A caller cannot choose a body whose fingerprint is that of another account's request.
pub fn fingerprint(parts: &[&str], body: &[u8]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update([0]);
    }
    hasher.update(body);
    hasher.finalize().iter().take(8).fold(0, |word, &byte| word << 8 | u64::from(byte))
}
