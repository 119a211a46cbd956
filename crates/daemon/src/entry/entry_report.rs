//! What entries tell each other and hear from agents.

use std::sync::Arc;

use arc_swap::ArcSwap;
use pimentorock_kernel::{limit::SpentReport, route::EndpointDigest, suspect::SuspectTable};
use serde::{Deserialize, Serialize};

/// What one entry tells the others with each report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct EntryReport {
    /// Requests suspected of crashes, with ages as of the report.
    pub(crate) suspects: SuspectTable,
    /// What this entry has spent of the accounts' limits.
    pub(crate) spent: SpentReport,
}

/// The cell through which news pass from the traffic threads to the control thread.
pub(crate) type EntryReportCell = Arc<ArcSwap<Option<EntryReport>>>;

/// Something that the control thread heard for the router.
#[derive(Clone, Debug)]
pub(crate) enum RouterUpdate {
    /// An agent's digest of an endpoint.
    Digest(EndpointDigest),
    /// Another entry's news.
    Entry(EntryReport),
}
