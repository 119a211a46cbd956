//! Interface to the platform's store and to its usage reports, implemented by an adapter.

use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use pimentorock_kernel::{
    duty::UsageReport,
    log_position::LogPosition,
    place::{EndpointRecord, KeyedRecord},
};

use crate::{byte_meter::ByteMeter, fleet_config::FleetConfig};

/// A topic of the store; each topic retains the newest record of each key indefinitely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StoreTopic {
    /// Configurations and orders to evacuate failure domains, written by operators.
    Config,
    /// Endpoints; each endpoint writes its own record.
    Endpoints,
    /// Request counts of each process and the address where peers reach the process.
    Shares,
    /// Holder of the usage duty and the closed usage windows.
    Duty,
    /// Requests that may crash the endpoints that run them, by fingerprint.
    Suspects,
    /// Software versions that began streams, and those that have served lately.
    Origins,
}

/// A record of a topic.
pub type StoreRecord = KeyedRecord<Bytes>;

/// A record to append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewRecord {
    /// Key; the record replaces those with the same key.
    pub key: Box<str>,
    /// Value; an empty value removes the key.
    pub value: Bytes,
}

/// Records returned by one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordBatch {
    /// Era of the store in which the records were read; 0 if the store states none.
    pub era: u64,
    /// Offset after the last record of the topic at the time of the read.
    pub end: u64,
    /// Records, by ascending offset in a read from an offset.
    pub records: Vec<StoreRecord>,
}

impl RecordBatch {
    /// Returns the offset after the records; `None` if there are none.
    pub(crate) fn next_offset(&self) -> Option<u64> {
        self.records.iter().map(|record| record.offset + 1).max()
    }

    /// Reports whether the topic has more records than an answer to a read from an offset holds.
    pub(crate) fn is_cut(&self) -> bool {
        self.next_offset().is_some_and(|next| next < self.end)
    }
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum StoreError {
    /// No complete response arrived; the call may have been executed.
    #[error("no answer: {0}")]
    NoResponse(Box<str>),
    /// The platform refused the call with this status and did not execute it.
    #[error("turned away with status {0}")]
    Refused(u16),
    /// The topic did not end at the offset that the append expected.
    #[error("the topic ends elsewhere")]
    Conflict,
    /// The requested records are no longer retained, or were lost with the end of the topic.
    #[error("the records are gone")]
    Trimmed,
    /// The answer is of an earlier era of the store than one that was seen before.
    #[error("the answer is of an earlier era of the store")]
    Outdated,
    /// The data could not be decoded or encoded.
    #[error("the answer makes no sense: {0}")]
    Malformed(Box<str>),
}

/// Future result of a call to the platform.
pub type StoreResult<T> = BoxFuture<'static, Result<T, StoreError>>;

/// Size in bytes at which the answer to a read ends where all records are of use.
pub(crate) const MAX_READ_BYTES: usize = 1 << 20;

/// A read of the records of a topic from an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogRead {
    /// Topic to read.
    pub topic: StoreTopic,
    /// Offset of the first record.
    pub from: u64,
    /// Maximum time to wait for the first record.
    pub wait: Duration,
    /// Size in bytes at which the answer ends; it has at least one record, of any size.
    pub max_bytes: usize,
}

/// Reads records of a topic.
pub type ReadCall = Box<dyn Fn(LogRead) -> StoreResult<RecordBatch> + Send + Sync>;

/// Reads the newest record of each key of a topic.
pub type NewestCall = Box<dyn Fn(StoreTopic) -> StoreResult<RecordBatch> + Send + Sync>;

/// Appends records, all or none, and returns the position of the first one; if an offset is given,
/// the append succeeds only if the topic ends there.
pub type AppendCall =
    Box<dyn Fn(StoreTopic, Vec<NewRecord>, Option<u64>) -> StoreResult<LogPosition> + Send + Sync>;

/// Sends a usage report on behalf of the named process; fails after [`REPORT_TIMEOUT`].
pub type ReportCall = Box<dyn Fn(Box<str>, UsageReport) -> StoreResult<()> + Send + Sync>;

/// Maximum duration of one usage report call. A report that takes longer could arrive after a
/// report of a new holder.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(900);

/// Meters of the bytes that arrive from the store, by topic.
#[derive(Clone, Debug, Default)]
pub struct StoreMeters([ByteMeter; 6]);

impl StoreMeters {
    /// Returns meters that have counted nothing.
    pub fn new() -> StoreMeters {
        StoreMeters::default()
    }

    /// Returns the meter of a topic.
    pub fn topic(&self, topic: StoreTopic) -> &ByteMeter {
        &self.0[topic as usize]
    }
}

/// Calls to the platform's store, and decoders for its records.
pub struct FleetStore {
    /// What arrives in answer to reads.
    pub received: StoreMeters,
    /// Key of configurations in [`StoreTopic::Config`].
    pub config_key: &'static str,
    /// Reads records from an offset.
    pub read: ReadCall,
    /// Reads the newest record of each key.
    pub newest: NewestCall,
    /// Appends records.
    pub append: AppendCall,
    /// Sends a usage report.
    pub report: ReportCall,
    /// Decodes a record of [`StoreTopic::Config`]; returns `None` for a record that is not a
    /// configuration.
    pub decode_config: fn(&StoreRecord) -> Result<Option<FleetConfig>, StoreError>,
    /// Returns the failure domain that a record of [`StoreTopic::Config`] with this key orders to be
    /// evacuated; `None` if the record is no such order. A removed record takes the order back.
    pub evacuated_domain: fn(&str) -> Option<&str>,
    /// Decodes a record of [`StoreTopic::Endpoints`].
    pub decode_endpoint: fn(&StoreRecord) -> Result<EndpointRecord, StoreError>,
}

impl std::fmt::Debug for FleetStore {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FleetStore").finish_non_exhaustive()
    }
}
