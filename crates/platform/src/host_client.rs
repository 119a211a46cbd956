//! Fetches the platform's list of hosts.

use crate::{
    error::PlatformError,
    log_client::{CALL_TIMEOUT, check_status},
    wire::HostList,
};

/// A client of the platform's host list.
#[derive(Clone, Debug)]
pub struct HostClient {
    http: reqwest::Client,
    url: Box<str>,
}

impl HostClient {
    /// Returns a client that calls the platform at the URL `base`.
    pub fn new(http: reqwest::Client, base: &str) -> HostClient {
        HostClient { http, url: format!("{}/hosts", base.trim_end_matches('/')).into() }
    }

    /// Returns the hosts as the platform last saw them, which may lag behind their real state.
    ///
    /// # Errors
    ///
    /// Fails if the call fails, or the platform answers with an error status or a malformed body.
    pub async fn list(&self) -> Result<HostList, PlatformError> {
        let call = self.http.get(&*self.url).timeout(CALL_TIMEOUT);
        let answer = check_status("hosts", call.send().await).await?;
        answer.json().await.map_err(|error| PlatformError::call("hosts", error))
    }
}
