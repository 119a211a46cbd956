//! The platform's store and its interface for usage reports, as an adapter provides them.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use pimentorock_kernel::{duty::UsageReport, place::EndpointEntry};

use crate::fleet_config::FleetConfig;

/// What the store holds; each topic keeps the newest record of each key for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreTopic {
    /// Configurations, written by operators.
    Config,
    /// Endpoints, written by themselves.
    Endpoints,
    /// What each process counted, and where its peers reach it.
    Shares,
    /// Who reports usage, and closed windows.
    Duty,
}

/// A record of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRecord {
    /// Number of the record.
    pub offset: u64,
    /// Key.
    pub key: Box<str>,
    /// Value; none if the key was removed.
    pub value: Option<Bytes>,
}

/// Records that were read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordBatch {
    /// Where the topic ended.
    pub end: u64,
    /// The records.
    pub records: Vec<StoreRecord>,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum StoreError {
    /// No whole answer came; the call may have been carried out.
    #[error("no answer: {0}")]
    NoResponse(Box<str>),
    /// The call was turned away and not carried out.
    #[error("turned away with status {0}")]
    Refused(u16),
    /// The topic did not end where the append expected it to.
    #[error("the topic ends elsewhere")]
    Conflict,
    /// The records asked for are gone.
    #[error("the records are gone")]
    Trimmed,
    /// The answer could not be decoded.
    #[error("the answer makes no sense: {0}")]
    Malformed(Box<str>),
}

/// Result of a call.
pub type StoreResult<T> = BoxFuture<'static, Result<T, StoreError>>;

/// Reads records of a topic from an offset, waiting for the first for a while.
pub type ReadCall =
    Box<dyn Fn(StoreTopic, u64, Duration) -> StoreResult<RecordBatch> + Send + Sync>;

/// Reads the newest record of each key of a topic.
pub type NewestCall = Box<dyn Fn(StoreTopic) -> StoreResult<RecordBatch> + Send + Sync>;

/// Appends a value under a key, if the topic ends at the given offset; returns its offset.
pub type AppendCall =
    Box<dyn Fn(StoreTopic, Box<str>, Bytes, Option<u64>) -> StoreResult<u64> + Send + Sync>;

/// Sends a usage report in the name of a process; gives up within [`REPORT_TIMEOUT`].
pub type ReportCall = Box<dyn Fn(Box<str>, UsageReport) -> StoreResult<()> + Send + Sync>;

/// Longest time that one report may be on its way; a later one could cross a new holder's.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(900);

/// The calls and formats of the platform's store.
pub struct FleetStore {
    /// Reads on.
    pub read: ReadCall,
    /// Reads from anew.
    pub newest: NewestCall,
    /// Appends.
    pub append: AppendCall,
    /// Reports usage.
    pub report: ReportCall,
    /// Decodes a record of [`StoreTopic::Config`]; `None` if it is no configuration.
    pub decode_config: fn(&StoreRecord) -> Result<Option<FleetConfig>, StoreError>,
    /// Decodes a record of [`StoreTopic::Endpoints`].
    pub decode_endpoint: fn(&StoreRecord) -> Result<EndpointEntry, StoreError>,
}

impl std::fmt::Debug for FleetStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FleetStore").finish_non_exhaustive()
    }
}
