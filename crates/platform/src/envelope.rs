//! The versioned and checksummed encoding of a log record.

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::error::PlatformError;

/// Version of the envelope format.
const ENVELOPE_VERSION: u32 = 1;

/// Number of leading hexadecimal digits of the SHA-256 digest that form the checksum.
const CHECKSUM_DIGITS: usize = 16;

/// A log record with its identifier and checksum, encoded as one line of JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordEnvelope {
    version: u32,
    id: Box<str>,
    checksum: Box<str>,
    body: Value,
}

impl RecordEnvelope {
    /// Returns an envelope that contains `body`.
    ///
    /// The identifier must be unique in the stream: it is used to find a record whose append got
    /// no answer, and to detect duplicates.
    ///
    /// # Panics
    ///
    /// Panics if `body` cannot be serialised to JSON, such as a map whose keys are not strings.
    pub fn new<T: Serialize>(id: &str, body: &T) -> RecordEnvelope {
        let body = serde_json::to_value(body).expect("the record body serialises to JSON");
        let checksum = checksum(id, &body);
        RecordEnvelope { version: ENVELOPE_VERSION, id: id.into(), checksum, body }
    }

    /// Returns the identifier of the record.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Encodes the envelope as one line of JSON.
    pub fn encode(&self) -> Box<str> {
        serde_json::to_string(self).expect("an envelope serialises to JSON").into()
    }

    /// Decodes a line of the log and verifies its checksum.
    ///
    /// # Errors
    ///
    /// Fails if the line is not an envelope, or has an unsupported version or a wrong checksum.
    pub fn decode(line: &str) -> Result<RecordEnvelope, PlatformError> {
        let envelope: RecordEnvelope = serde_json::from_str(line)
            .map_err(|error| PlatformError::damaged(&error.to_string()))?;
        if envelope.version != ENVELOPE_VERSION {
            return Err(PlatformError::damaged(&format!(
                "unsupported envelope version {}, expected {ENVELOPE_VERSION}",
                envelope.version
            )));
        }
        if envelope.checksum != checksum(&envelope.id, &envelope.body) {
            return Err(PlatformError::damaged(&format!(
                "record \"{}\" does not match its checksum",
                envelope.id
            )));
        }
        Ok(envelope)
    }

    /// Deserialises the body as a `T`.
    ///
    /// # Errors
    ///
    /// Fails if the body is not a valid `T`.
    pub fn body<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        T::deserialize(&self.body).map_err(|error| PlatformError::damaged(&error.to_string()))
    }
}

/// Returns the truncated SHA-256 digest of the identifier, a zero byte and the compact JSON body.
fn checksum(id: &str, body: &Value) -> Box<str> {
    let mut hasher = Sha256::new();
    hasher.update(id.as_bytes());
    hasher.update([0]);
    hasher.update(body.to_string().as_bytes());
    let digest = hasher.finalize();
    let mut text: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    text.truncate(CHECKSUM_DIGITS);
    text.into()
}
