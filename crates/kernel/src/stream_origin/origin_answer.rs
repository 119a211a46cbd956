//! Questions for the version that began a stream, and their answers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::stream_origin::{StreamKey, VersionKey};

/// Asks for the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuestion {
    /// The stream; `None` if the caller does not name it.
    pub stream: Option<StreamKey>,
    /// Services that run requests of the stream's route.
    pub services: Vec<Box<str>>,
}

/// How an entry knows the version that began a stream, or why it does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginEvidence {
    /// The entry that answers began the stream.
    Own,
    /// Another entry noted it.
    Peer,
    /// The store has it.
    Store,
    /// Streams without a record can have begun at this version only.
    Sole,
    /// The version follows from the identifier of the stream, whose record may have died with an entry.
    Derived,
    /// Entries noted different versions.
    Conflict,
    /// There is no record, and several versions may have begun it.
    Unknown,
    /// There is no record yet, and the entry that answers does not know all records.
    Incomplete,
}

impl OriginEvidence {
    /// Returns the name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            OriginEvidence::Own => "own",
            OriginEvidence::Peer => "peer",
            OriginEvidence::Store => "store",
            OriginEvidence::Sole => "sole",
            OriginEvidence::Derived => "derived",
            OriginEvidence::Conflict => "conflict",
            OriginEvidence::Unknown => "unknown",
            OriginEvidence::Incomplete => "incomplete",
        }
    }
}

/// The version that began a stream, as far as an entry knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// The version; `None` if it is not known.
    pub version: Option<VersionKey>,
    /// How the version is known, or why it is not.
    pub evidence: OriginEvidence,
    /// Age of the evidence.
    pub age: Duration,
}

impl OriginAnswer {
    /// Returns an answer without a version.
    pub(super) fn without(evidence: OriginEvidence, age: Duration) -> OriginAnswer {
        OriginAnswer { version: None, evidence, age }
    }

    /// Reports whether the answer rests on a record, so that no other entry need be asked.
    pub fn is_recorded(&self) -> bool {
        !matches!(
            self.evidence,
            OriginEvidence::Sole
                | OriginEvidence::Derived
                | OriginEvidence::Unknown
                | OriginEvidence::Incomplete
        )
    }

    /// Returns what this answer and that of the entry which was asked next say together; `asked` is
    /// `None` if that entry did not answer.
    pub fn or_asked(self, asked: Option<OriginAnswer>) -> OriginAnswer {
        // An entry that has not read the store may know less of it than this one.
        asked.filter(|asked| asked.evidence != OriginEvidence::Incomplete).unwrap_or(self)
    }
}
