//! HTTP client for one endpoint.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use reqwest::{Method, Response};

use crate::{
    logs::part,
    run_header::{REQUEST_ID_HEADER, RunHeader},
};

/// Timeout of a call that pauses or resumes a run.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Header that contains the tier of a run for the engine; 0 is the highest tier.
const PRIORITY_HEADER: &str = "x-priority";

/// HTTP client for one endpoint, with the result of the latest probe.
#[derive(Clone, Debug)]
pub(crate) struct EndpointClient {
    name: Box<str>,
    url: Box<str>,
    http: reqwest::Client,
    up: Arc<AtomicBool>,
}

impl EndpointClient {
    /// Returns a client for the endpoint `name` at `url`.
    ///
    /// The endpoint counts as down until the first probe.
    pub(crate) fn new(name: &str, url: &str, http: reqwest::Client) -> EndpointClient {
        EndpointClient {
            name: name.into(),
            url: url.trim_end_matches('/').into(),
            http,
            up: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Returns the endpoint's name.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Returns the URL of the endpoint without its scheme.
    pub(crate) fn address(&self) -> &str {
        self.url.split_once("://").map_or(&*self.url, |(_, address)| address)
    }

    /// Returns whether the endpoint accepted a connection at the latest probe.
    pub(crate) fn is_up(&self) -> bool {
        self.up.load(Ordering::Acquire)
    }

    /// Stores whether the endpoint is up and returns the previous value.
    pub(crate) fn set_up(&self, up: bool) -> bool {
        self.up.swap(up, Ordering::AcqRel)
    }

    /// Sends a request to the endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if no answer was received. The request certainly did not run only if
    /// [`reqwest::Error::is_connect`] returns `true` for the error.
    pub(crate) async fn run(
        &self,
        header: &RunHeader,
        tier: u8,
        body: Bytes,
    ) -> Result<Response, reqwest::Error> {
        let method = Method::from_bytes(header.method.as_bytes()).unwrap_or(Method::POST);
        let mut call = self.http.request(method, format!("{}{}", self.url, header.path));
        for (name, value) in &header.headers {
            call = call.header(&**name, &**value);
        }
        call.header(REQUEST_ID_HEADER, header.attempt_id())
            .header(PRIORITY_HEADER, tier.to_string())
            .body(body)
            .send()
            .await
    }

    /// Asks the engine to pause a run, without waiting for the answer.
    pub(crate) fn pause(&self, attempt_id: &str) {
        self.control(Method::POST, format!("{}/v1/requests/{attempt_id}/pause", self.url));
    }

    /// Asks the engine to resume a run, without waiting for the answer.
    pub(crate) fn resume(&self, attempt_id: &str) {
        self.control(Method::POST, format!("{}/v1/requests/{attempt_id}/resume", self.url));
    }

    fn control(&self, method: Method, url: String) {
        let call = self.http.request(method, &url).timeout(CONTROL_TIMEOUT);
        let name = self.name.clone();
        tokio::spawn(async move {
            if let Err(error) = call.send().await {
                log::warn!(target: part::AGENT, "Call to pause or resume a run at endpoint {name} failed: {error}.");
            }
        });
    }
}
