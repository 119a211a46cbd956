//! Requests that may crash each endpoint that runs them.
//!
//! Whatever runs at an endpoint when it crashes is a suspect, known by its fingerprint. A
//! suspect runs apart from other suspects, at one endpoint of the fleet; one that ran at two
//! crashes is refused everywhere for a time. A completion proves innocence. Entries exchange
//! their tables, which merge as a join, so order and repetition of the exchange do not matter.

mod crash_record;
mod gate;
mod table;

pub use self::{
    crash_record::{CrashEvidence, CrashRecord},
    gate::SuspectGate,
    table::{CRASH_RECORD_TTL, MAX_SUSPECTS, SuspectTable, SuspectVerdict},
};
