//! Role of a daemon process.

use crate::{reader::ObjectReader, sink::FindingSink};

/// Role of a daemon process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    /// Accepts requests from callers and sends them to agents.
    Entry,
    /// Runs beside endpoints and is the only process that sends requests to them.
    Agent,
}

impl ProcessRole {
    /// Returns the name of the role in settings.
    pub fn as_str(self) -> &'static str {
        match self {
            ProcessRole::Entry => "entry",
            ProcessRole::Agent => "agent",
        }
    }
}

/// Reads the role in the field `name`.
pub(crate) fn read_role(
    reader: &mut ObjectReader<'_>,
    sink: &mut FindingSink<'_>,
    name: &'static str,
) -> Option<ProcessRole> {
    let roles = [ProcessRole::Entry, ProcessRole::Agent];
    reader.choice(sink, name, &roles.map(|role| (role.as_str(), role)))
}
