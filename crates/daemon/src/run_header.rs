//! Headers that entries and agents exchange with a request and its answer.

use pimentorock_kernel::{
    ids::{ProcessId, RequestId},
    reason::DecisionReason,
    suspect::SuspectTable,
};
use serde::{Deserialize, Serialize};

/// Header that carries a [`RunHeader`] from entry to agent.
pub(crate) const RUN_HEADER: &str = "x-pimentorock-run";

/// Header that carries a [`RefusalHeader`] from agent to entry.
pub(crate) const REFUSAL_HEADER: &str = "x-pimentorock-refusal";

/// Header in which the agent repeats the identifier of the attempt that it answers.
pub(crate) const ATTEMPT_HEADER: &str = "x-pimentorock-attempt";

/// Header in which callers, agents and endpoints identify a request.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Describes a request to an agent, except for the body; sent as JSON in one header.
///
/// Accounts, classes and endpoints are given by name, since arena keys differ between processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RunHeader {
    /// Identifier of the request.
    pub(crate) request: RequestId,
    /// Number of this attempt, from 1.
    pub(crate) attempt: u32,
    /// Entry that sends the attempt.
    pub(crate) entry: ProcessId,
    /// Number of attempts that the entry has sent, including this one.
    pub(crate) ordinal: u64,
    /// Run of the agent for which the entry numbers its attempts.
    pub(crate) agent: ProcessId,
    /// Number of this attempt at that run, counted from 1.
    pub(crate) link_number: u64,
    /// Endpoint that should run the request.
    pub(crate) endpoint: Box<str>,
    /// `TEAM/ACCOUNT`.
    pub(crate) account: Box<str>,
    /// `TEAM/CLASS`.
    pub(crate) class: Box<str>,
    /// Name of the model or service.
    pub(crate) model: Box<str>,
    /// Time left until the deadline, in milliseconds.
    pub(crate) left_ms: u64,
    /// Estimated number of tokens of the prompt.
    pub(crate) prompt_tokens: u32,
    /// Maximum number of output tokens that the caller allows; 0 if the caller set no limit.
    pub(crate) max_tokens: u32,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Hash of account, model and body.
    pub(crate) fingerprint: u64,
    /// Whether the request is suspected of crashing endpoints and must run alone.
    pub(crate) isolated: bool,
    /// Suspects that the entry knows; `None` if the agent does not need them for this attempt.
    pub(crate) suspects: Option<SuspectTable>,
    /// Hashes of the prompt's prefix.
    pub(crate) prefix: Vec<u64>,
    /// SHA-256 of the caller's key, so that a withdrawal of the key applies to queued requests.
    pub(crate) key_hash: Box<str>,
    /// HTTP method of the request to the endpoint.
    pub(crate) method: Box<str>,
    /// Path and query of the request to the endpoint.
    pub(crate) path: Box<str>,
    /// Headers that are forwarded to the endpoint.
    pub(crate) headers: Vec<(Box<str>, Box<str>)>,
}

impl RunHeader {
    /// Returns the identifier of this attempt that the endpoint receives.
    pub(crate) fn attempt_id(&self) -> String {
        format!("{}-{}", self.request, self.attempt)
    }
}

/// Describes a refusal by the agent, which replaces the endpoint's answer; sent as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct RefusalHeader {
    /// Whether the endpoint certainly did not begin to run the request.
    pub(crate) not_run: bool,
    /// Whether the endpoint was found to be down.
    pub(crate) endpoint_down: bool,
    /// Reason for the refusal.
    pub(crate) reason: DecisionReason,
    /// Time after which to try again, in milliseconds.
    pub(crate) retry_after_ms: u64,
}
