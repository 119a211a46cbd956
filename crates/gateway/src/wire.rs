//! Contents of request and response heads, and the functions by which an adapter decodes and
//! encodes them.

use std::time::Duration;

use http::HeaderMap;
use pimentorock_kernel::{
    place::{EndpointNotice, EndpointSample, PromptPart},
    send_limit::LimitWord,
};

/// Decoded head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// Identifier of this attempt of the caller, unique in the deployment.
    pub id: Option<Box<str>>,
    /// API key of the caller.
    pub key: Option<Box<str>>,
    /// How long the caller waits; `None` if the caller has stated no limit.
    pub time_left: Option<Duration>,
    /// Number of tokens in the prompt; 0 if unknown.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the answer; 0 if unknown.
    pub output_tokens: u32,
    /// The caller's estimate of the number of tokens in the answer.
    pub output_guess: Option<u32>,
    /// Parts of the prompt, for placement by cached prefix.
    pub parts: Vec<PromptPart>,
    /// Identifier of the last event that the caller received, if the caller resumes a stream.
    pub last_event: Option<Box<str>>,
    /// Identifier of the attempt that brought the first event of the stream that the caller takes up
    /// again; `None` if the caller names none, or more than one.
    pub resumes: Option<Box<str>>,
}

/// Information that the entry adds to a request for the endpoint.
#[derive(Clone, Debug)]
pub struct ForwardSpec<'a> {
    /// Name of the endpoint's process instance that must serve the request.
    pub endpoint: &'a str,
    /// Client account that the request runs for.
    pub account: Option<&'a str>,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Urgency of the request; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// Identifier of the last event that the caller received, if the stream is to continue after
    /// that event.
    pub last_event: Option<&'a str>,
}

/// The request that the head of a response names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum NamedRequest {
    /// The response names no request.
    #[default]
    None,
    /// The response names the request with this identifier.
    One(Box<str>),
    /// The identifier cannot be read, or the response bears several that differ.
    Unclear,
}

/// Decoded head of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// The request that the response names.
    pub request: NamedRequest,
    /// Whether the response carries an endpoint's signature.
    pub signed: bool,
    /// Whether the endpoint states that the request has not run.
    pub not_run: bool,
    /// Load of the endpoint, if the response states it.
    pub sample: Option<EndpointSample>,
    /// Time after which the endpoint closes the connection if it is idle.
    pub idle_limit: Option<Duration>,
    /// Whether the endpoint closes the connection after this response.
    pub closes: bool,
    /// Whether the endpoint states that it leaves.
    pub leaving: bool,
    /// Time for which the endpoint wants no requests if it refused this one as overloaded.
    pub rest: Option<EndpointNotice>,
    /// Limit on the requests of all entries together; `None` if the endpoint names none.
    pub limit: Option<LimitWord>,
}

/// Functions that decode and encode request and response heads.
#[derive(Clone, Copy, Debug)]
pub struct WireCodec {
    /// Decodes the head of a caller's request.
    pub caller_head: fn(&HeaderMap) -> CallerHead,
    /// Converts a caller's request headers into the headers of the request to the endpoint.
    pub request_headers: fn(&HeaderMap, &ForwardSpec<'_>) -> HeaderMap,
    /// Decodes the head of an endpoint's response.
    pub response_head: fn(&HeaderMap) -> ResponseHead,
    /// Converts an endpoint's response headers into the headers of the response to the caller.
    pub response_headers: fn(&HeaderMap) -> HeaderMap,
    /// Adds the header that states after which delay a refused caller may retry.
    pub retry_after: fn(&mut HeaderMap, Duration),
    /// Path at which an endpoint reports on itself.
    pub report_path: &'static str,
    /// Decodes the wall-clock time of the endpoint's start, in milliseconds since 1970, from the body of its report;
    /// `None` if the report states none.
    pub report_started: fn(&[u8]) -> Option<u64>,
    /// Path of the load balancer's readiness checks.
    pub ready_path: &'static str,
}
