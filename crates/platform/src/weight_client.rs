//! Fetches model weights from the platform's rate-limited weight store.

use std::time::Duration;

use crate::{
    error::PlatformError,
    log_client::{CALL_TIMEOUT, check_status},
};

/// Retry delay if a throttled answer has no readable `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An answer of the weight store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WeightAnswer {
    /// The content of the weights.
    Bytes(Vec<u8>),
    /// The store rejected the call because of its rate limit.
    Throttled {
        /// Time to wait before the next call.
        retry_after: Duration,
    },
}

/// A client of the platform's weight store.
#[derive(Clone, Debug)]
pub struct WeightClient {
    http: reqwest::Client,
    base: Box<str>,
}

impl WeightClient {
    /// Returns a client that calls the platform at the URL `base`.
    pub fn new(http: reqwest::Client, base: &str) -> WeightClient {
        WeightClient { http, base: base.trim_end_matches('/').into() }
    }

    /// Fetches the weights of `model`.
    ///
    /// # Errors
    ///
    /// Fails if the call fails or the store answers with an error status other than 429.
    pub async fn fetch(&self, model: &str) -> Result<WeightAnswer, PlatformError> {
        let url = format!("{}/weights/{model}", self.base);
        let sent = self.http.get(url).timeout(CALL_TIMEOUT).send().await;
        if let Ok(answer) = &sent
            && answer.status() == reqwest::StatusCode::TOO_MANY_REQUESTS
        {
            let header = answer.headers().get(reqwest::header::RETRY_AFTER);
            let seconds = header.and_then(|value| value.to_str().ok()?.trim().parse().ok());
            let retry_after = seconds.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs);
            return Ok(WeightAnswer::Throttled { retry_after });
        }
        let answer = check_status("weights", sent).await?;
        let bytes = answer.bytes().await.map_err(|error| PlatformError::call("weights", error))?;
        Ok(WeightAnswer::Bytes(bytes.to_vec()))
    }
}
