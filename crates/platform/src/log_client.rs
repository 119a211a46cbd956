//! Makes single append and read calls to the platform's log.

use std::time::Duration;

use serde::Serialize;

use crate::{
    envelope::RecordEnvelope,
    error::PlatformError,
    wire::{AppendAnswer, AppendRequest, ReadAnswer},
};

/// Default timeout of one call, in addition to the wait that a read asks for.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of records in the answer to one read.
const READ_BATCH: u64 = 512;

/// Offset above the end of any log; a read from this offset returns only the end offset.
const BEYOND_END: u64 = 1 << 62;

/// A client of one stream of the log.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: reqwest::Client,
    base: Box<str>,
    stream: Box<str>,
    timeout: Duration,
}

impl LogClient {
    /// Returns a client of `stream` that calls the platform at the URL `base`.
    pub fn new(http: reqwest::Client, base: &str, stream: &str) -> LogClient {
        let base = base.trim_end_matches('/').into();
        LogClient { http, base, stream: stream.into(), timeout: CALL_TIMEOUT }
    }

    /// Sets the timeout of one call, in addition to the wait that a read asks for.
    pub fn with_timeout(mut self, timeout: Duration) -> LogClient {
        self.timeout = timeout;
        self
    }

    /// Returns the name of the stream.
    pub fn stream(&self) -> &str {
        &self.stream
    }

    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// Fails if the call fails, or the platform answers with an error status or a malformed
    /// body. The record may be in the log nevertheless, see
    /// [`PlatformError::may_have_taken_effect`].
    pub async fn append<T: Serialize>(&self, id: &str, body: &T) -> Result<u64, PlatformError> {
        self.append_all(vec![RecordEnvelope::new(id, body).encode()]).await
    }

    /// Appends encoded records atomically and returns the offset of the first one.
    ///
    /// # Errors
    ///
    /// Fails in the same cases as [`append`](LogClient::append).
    pub async fn append_all(&self, records: Vec<Box<str>>) -> Result<u64, PlatformError> {
        let url = format!("{}/log/{}/append", self.base, self.stream);
        let call = self.http.post(url).timeout(self.timeout).json(&AppendRequest { records });
        let answer = check_status("append", call.send().await).await?;
        let answer: AppendAnswer =
            answer.json().await.map_err(|error| PlatformError::call("append", error))?;
        Ok(answer.first)
    }

    /// Returns the end offset of the stream, which is the offset of the next appended record.
    ///
    /// # Errors
    ///
    /// Fails if the call fails, or the platform answers with an error status or a malformed body.
    pub async fn end(&self) -> Result<u64, PlatformError> {
        Ok(self.read(BEYOND_END, Duration::ZERO).await?.end)
    }

    /// Reads records from offset `from` on and waits up to `wait` if there are none yet.
    ///
    /// # Errors
    ///
    /// Fails if the call fails, or the platform answers with an error status or a malformed body.
    pub async fn read(&self, from: u64, wait: Duration) -> Result<ReadAnswer, PlatformError> {
        let url = format!("{}/log/{}/read", self.base, self.stream);
        let query = [("from", from), ("max", READ_BATCH), ("wait_ms", wait.as_millis() as u64)];
        let call = self.http.get(url).query(&query).timeout(self.timeout + wait);
        let answer = check_status("read", call.send().await).await?;
        answer.json().await.map_err(|error| PlatformError::call("read", error))
    }
}

/// Returns the answer of a call to `interface`, or an error if the call failed or the answer has
/// an error status.
pub(crate) async fn check_status(
    interface: &'static str,
    sent: Result<reqwest::Response, reqwest::Error>,
) -> Result<reqwest::Response, PlatformError> {
    let answer = sent.map_err(|error| PlatformError::call(interface, error))?;
    let status = answer.status().as_u16();
    if answer.status().is_success() {
        return Ok(answer);
    }
    let text = answer.text().await.unwrap_or_default();
    Err(PlatformError::status(interface, status, &text))
}
