//! Isolation and refusal of requests that may crash every endpoint that runs them.
//!
//! Each request that runs at an endpoint when the endpoint crashes becomes a suspect, identified
//! by its fingerprint. A suspect is isolated: it runs at one endpoint of the fleet and never
//! together with another suspect. A request that was present at two crashes is refused everywhere
//! until the crash records expire. A request that completes is no longer a suspect. Entries
//! exchange their tables; merging is a semilattice join, so the order and the repetition of
//! exchanges do not matter.
//!
//! The cause may be a part of the prompt that requests share which are otherwise no two alike. So
//! entries without agents file each crash under the parts of the prompts too ([`PartLedger`]). A
//! part is present at crashes that something else caused, so its evidence is what the company does
//! not explain: separate crashes, at which no other suspected part ran, since a request with it last
//! completed.

mod archive;
mod change_log;
mod completed;
mod crash_record;
mod fingerprint;
mod gate;
mod ledger;
mod limits;
mod part_archive;
mod part_crash;
mod part_history;
mod part_ledger;
mod part_table;
mod table;

pub use self::{
    archive::{ArchivedSuspect, StoredCrash, SuspectArchive},
    change_log::LedgerPosition,
    crash_record::{CrashEvidence, CrashRecord},
    fingerprint::fingerprint,
    gate::SuspectGate,
    ledger::{MAX_DELTA, SuspectDelta, SuspectLedger},
    limits::{CRASH_RECORD_TTL, SuspectLimits},
    part_archive::{ArchivedPart, PartArchive, StoredHistory, StoredPartCrash},
    part_crash::PartCrash,
    part_history::{MAX_PART_CRASHES, PartHistory},
    part_ledger::{
        EndpointCrash, LostRun, MAX_PART_DELTA, MAX_RUN_PARTS, PartDelta, PartLedger, part_key,
    },
    part_table::{MAX_PART_ROWS, PROVEN_CRASHES, PartTable, PartVerdict, UNPROVEN_CRASHES},
    table::{MAX_SUSPECTS, SuspectTable, SuspectVerdict},
};
pub(crate) use self::{
    change_log::ChangeLog,
    completed::CompletedSet,
    part_history::{contrasted_crashes, separate_crashes},
};
