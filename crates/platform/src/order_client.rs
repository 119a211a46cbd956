//! Sends orders to start or stop endpoints to the platform.

use crate::{
    error::PlatformError,
    log_client::{CALL_TIMEOUT, check_status},
    wire::{OrderAnswer, OrderRequest},
};

/// A client of the platform's order interface.
#[derive(Clone, Debug)]
pub struct OrderClient {
    http: reqwest::Client,
    url: Box<str>,
}

impl OrderClient {
    /// Returns a client that calls the platform at the URL `base`.
    pub fn new(http: reqwest::Client, base: &str) -> OrderClient {
        OrderClient { http, url: format!("{}/orders", base.trim_end_matches('/')).into() }
    }

    /// Sends one order, without retries.
    ///
    /// # Errors
    ///
    /// Fails if the call fails, or the platform answers with an error status or a malformed
    /// body. If the platform
    /// [may have accepted the order](PlatformError::may_have_taken_effect), the caller must look
    /// for the order's identifier in the host list before it sends the order again.
    pub async fn send(&self, order: &OrderRequest) -> Result<OrderAnswer, PlatformError> {
        let call = self.http.post(&*self.url).timeout(CALL_TIMEOUT).json(order);
        let answer = check_status("orders", call.send().await).await?;
        answer.json().await.map_err(|error| PlatformError::call("orders", error))
    }
}
