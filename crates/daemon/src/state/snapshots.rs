//! Reads and appends the snapshots of the log's streams.

use std::time::Duration;

use pimentorock_kernel::record::{
    CONFIG_SNAPSHOT_STREAM, ConfigRecord, ConfigSnapshot, STATE_SNAPSHOT_STREAM, StateRecord,
    StateSnapshot,
};
use pimentorock_platform::{envelope::RecordEnvelope, error::PlatformError, log_client::LogClient};
use serde::{Serialize, de::DeserializeOwned};

/// Number of records read from the end of a snapshot stream, in case the last one is damaged.
const LAST_RECORDS: u64 = 4;

/// Client of the snapshot streams of the platform's log.
#[derive(Clone, Debug)]
pub(crate) struct SnapshotLog {
    config: LogClient,
    state: LogClient,
}

impl SnapshotLog {
    /// Returns a client of the platform URL `base`.
    pub(crate) fn new(http: reqwest::Client, base: &str) -> SnapshotLog {
        SnapshotLog {
            config: LogClient::new(http.clone(), base, CONFIG_SNAPSHOT_STREAM),
            state: LogClient::new(http, base, STATE_SNAPSHOT_STREAM),
        }
    }

    /// Returns the last readable snapshot of the `config` stream; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if a call to the platform fails.
    pub(crate) async fn config(&self) -> Result<Option<ConfigSnapshot>, PlatformError> {
        let snapshot = |record| match record {
            ConfigRecord::Snapshot(snapshot) => Some(*snapshot),
            _ => None,
        };
        last(&self.config, snapshot).await
    }

    /// Returns the last readable snapshot of the `state` stream; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if a call to the platform fails.
    pub(crate) async fn state(&self) -> Result<Option<StateSnapshot>, PlatformError> {
        let snapshot = |record| match record {
            StateRecord::Snapshot(snapshot) => Some(*snapshot),
            _ => None,
        };
        last(&self.state, snapshot).await
    }

    /// Appends a snapshot of the `config` stream.
    ///
    /// # Errors
    ///
    /// Fails if a call to the platform fails.
    pub(crate) async fn append_config(
        &self,
        process: &str,
        snapshot: ConfigSnapshot,
    ) -> Result<(), PlatformError> {
        let id = snapshot_id(process, snapshot.next);
        append(&self.config, &id, &ConfigRecord::Snapshot(Box::new(snapshot))).await
    }

    /// Appends a snapshot of the `state` stream.
    ///
    /// # Errors
    ///
    /// Fails if a call to the platform fails.
    pub(crate) async fn append_state(
        &self,
        process: &str,
        snapshot: StateSnapshot,
    ) -> Result<(), PlatformError> {
        let id = snapshot_id(process, snapshot.next);
        append(&self.state, &id, &StateRecord::Snapshot(Box::new(snapshot))).await
    }
}

fn snapshot_id(process: &str, next: u64) -> String {
    format!("snapshot-{process}-{next}")
}

async fn append<T: Serialize>(log: &LogClient, id: &str, record: &T) -> Result<(), PlatformError> {
    log.append(id, record).await.map(|_| ())
}

/// Returns the result of `take` for the last readable record from which it extracts a snapshot.
async fn last<T: DeserializeOwned, S>(
    log: &LogClient,
    take: impl Fn(T) -> Option<S>,
) -> Result<Option<S>, PlatformError> {
    let end = log.end().await?;
    let answer = log.read(end.saturating_sub(LAST_RECORDS), Duration::ZERO).await?;
    let found = answer.entries.iter().rev().find_map(|entry| {
        let envelope = RecordEnvelope::decode(&entry.record).ok()?;
        take(envelope.body::<T>().ok()?)
    });
    Ok(found)
}
