//! State that entries report to each other, and updates to the router of an entry.

use std::sync::Arc;

use arc_swap::ArcSwap;
use pimentorock_kernel::{limit::SpentReport, route::EndpointDigest, suspect::SuspectTable};
use serde::{Deserialize, Serialize};

/// State that an entry shares with the other entries in each peer report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct EntryReport {
    /// Requests suspected of causing crashes, with ages relative to the time of the report.
    pub(crate) suspects: SuspectTable,
    /// Consumption that this entry has charged to the accounts' limits.
    pub(crate) spent: SpentReport,
}

/// Cell through which the traffic threads pass the latest entry report to the control thread.
///
/// The cell holds `None` until the first report is published.
pub(crate) type EntryReportCell = Arc<ArcSwap<Option<EntryReport>>>;

/// An update that the control thread received from a peer and passes to the router.
#[derive(Clone, Debug)]
pub(crate) enum RouterUpdate {
    /// The digest of an endpoint, received from the endpoint's agent.
    Digest(EndpointDigest),
    /// The report of another entry.
    Entry(EntryReport),
}
