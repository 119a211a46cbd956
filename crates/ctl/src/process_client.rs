//! A client of the operator interface of one daemon process.

use std::time::Duration;

use pimentorock_platform::operator_wire::{
    BurnAnswer, ExplainAnswer, SettingsAnswer, StatusAnswer, WithdrawRequest,
};
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;

use crate::error::{ErrorKind, ToolError};

/// Timeout of one call to a process.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum length of a process's answer in an error message, in characters.
const MAX_ERROR_BODY_CHARS: usize = 200;

/// A client of the operator interface of one daemon process.
#[derive(Clone, Debug)]
pub(crate) struct ProcessClient {
    http: reqwest::Client,
    url: Box<str>,
}

impl ProcessClient {
    /// Returns a client for the process at `url`; the scheme defaults to `http`.
    pub(crate) fn new(http: reqwest::Client, url: &str) -> ProcessClient {
        let url = url.trim_end_matches('/');
        let url = if url.contains("://") { url.into() } else { format!("http://{url}").into() };
        ProcessClient { http, url }
    }

    /// Returns the URL, which identifies the process in messages when its name is not known.
    pub(crate) fn url(&self) -> &str {
        &self.url
    }

    /// Returns the status of the process: its revision, its endpoints, and the members of the fleet
    /// that it knows.
    pub(crate) async fn status(&self) -> Result<StatusAnswer, ToolError> {
        self.get("status").await
    }

    /// Returns the counts of met and missed service-level targets.
    pub(crate) async fn burn(&self) -> Result<BurnAnswer, ToolError> {
        self.get("burn").await
    }

    /// Returns the settings that the process has applied.
    pub(crate) async fn settings(&self) -> Result<SettingsAnswer, ToolError> {
        self.get("settings").await
    }

    /// Returns the steps of a request, or `None` if the process does not know the request.
    pub(crate) async fn explain(&self, request: &str) -> Result<Option<ExplainAnswer>, ToolError> {
        let call = self.http.get(self.interface_url(&format!("explain/{request}")));
        match self.send(call).await? {
            answer if answer.status() == StatusCode::NOT_FOUND => Ok(None),
            answer => self.decode_json(self.require_success(answer).await?).await.map(Some),
        }
    }

    /// Drains an endpoint; returns false if the process does not manage the endpoint.
    pub(crate) async fn drain(&self, endpoint: &str) -> Result<bool, ToolError> {
        let call = self.http.post(self.interface_url(&format!("endpoints/{endpoint}/drain")));
        match self.send(call).await? {
            answer if answer.status() == StatusCode::NOT_FOUND => Ok(false),
            answer => self.require_success(answer).await.map(|_| true),
        }
    }

    /// Asks the process to withdraw a key.
    pub(crate) async fn withdraw(&self, request: &WithdrawRequest) -> Result<(), ToolError> {
        let call = self.http.post(self.interface_url("keys/withdraw")).json(request);
        let answer = self.send(call).await?;
        self.require_success(answer).await.map(|_| ())
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ToolError> {
        let answer = self.send(self.http.get(self.interface_url(path))).await?;
        self.decode_json(self.require_success(answer).await?).await
    }

    fn interface_url(&self, path: &str) -> String {
        format!("{}/{path}", self.url)
    }

    async fn send(&self, call: RequestBuilder) -> Result<Response, ToolError> {
        let sent = call.timeout(CALL_TIMEOUT).send().await;
        sent.map_err(|error| self.error(&failure_reason(&error)))
    }

    async fn require_success(&self, answer: Response) -> Result<Response, ToolError> {
        let status = answer.status();
        if status.is_success() {
            return Ok(answer);
        }
        let text = answer.text().await.unwrap_or_default();
        let text: String = text.trim().chars().take(MAX_ERROR_BODY_CHARS).collect();
        Err(self.error(&format!("answered {}: {text}", status.as_u16())))
    }

    async fn decode_json<T: DeserializeOwned>(&self, answer: Response) -> Result<T, ToolError> {
        let read = answer.json().await;
        read.map_err(|error| self.error(&format!("sent an answer that cannot be decoded: {error}")))
    }

    fn error(&self, problem: &str) -> ToolError {
        ErrorKind::Process { url: self.url.clone(), problem: problem.into() }.into()
    }
}

/// Describes why a call was not answered. An error other than a failed connection or a timeout is
/// described as a lost connection.
fn failure_reason(error: &reqwest::Error) -> Box<str> {
    if error.is_connect() {
        "cannot be reached".into()
    } else if error.is_timeout() {
        format!("did not answer within {} s", CALL_TIMEOUT.as_secs()).into()
    } else {
        "lost the connection during the call".into()
    }
}
