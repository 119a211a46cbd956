//! Sends usage reports to the platform.

use crate::{
    error::PlatformError,
    log_client::{CALL_TIMEOUT, check_status},
    wire::UsageReport,
};

/// A client of the platform's usage interface.
#[derive(Clone, Debug)]
pub struct UsageClient {
    http: reqwest::Client,
    url: Box<str>,
}

impl UsageClient {
    /// Returns a client that calls the platform at the URL `base`.
    pub fn new(http: reqwest::Client, base: &str) -> UsageClient {
        UsageClient { http, url: format!("{}/usage", base.trim_end_matches('/')).into() }
    }

    /// Sends one report, without retries.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or the platform answers with an error status. The platform may
    /// have accepted the report all the same, so a retry must carry the same figures.
    pub async fn send(&self, report: &UsageReport) -> Result<(), PlatformError> {
        let call = self.http.post(&*self.url).timeout(CALL_TIMEOUT).json(report);
        check_status("usage", call.send().await).await.map(|_| ())
    }
}
