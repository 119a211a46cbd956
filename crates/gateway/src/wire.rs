//! Heads of requests and answers, as an adapter decodes and writes them.

use std::time::Duration;

use http::HeaderMap;
use pimentorock_kernel::place::{EndpointSample, PromptPart};

/// What a caller's head says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// Identifier of this try of the caller, unique over the deployment.
    pub id: Option<Box<str>>,
    /// Key that the caller shows.
    pub key: Option<Box<str>>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// The caller's own guess of the answer's length in tokens.
    pub output_guess: Option<u32>,
    /// Parts of the prompt.
    pub parts: Vec<PromptPart>,
    /// The last event that the caller has, if it resumes a stream.
    pub last_event: Option<Box<str>>,
}

/// What the system adds to a request for its endpoint.
#[derive(Clone, Debug)]
pub struct ForwardSpec<'a> {
    /// Run of the endpoint that must take it.
    pub endpoint: &'a str,
    /// Client account that it runs for.
    pub account: Option<&'a str>,
    /// Time left for the answer.
    pub time_left: Duration,
    /// How urgent the request is, 0 first.
    pub urgency: Option<u8>,
    /// The last event that the caller has, if the stream goes on from there.
    pub last_event: Option<&'a str>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Identifier of the request that it answers.
    pub id: Option<Box<str>>,
    /// Whether it bears an endpoint's signature.
    pub signed: bool,
    /// Whether the endpoint promises that the request has not run.
    pub not_run: bool,
    /// The endpoint's load.
    pub sample: Option<EndpointSample>,
    /// Time after which the endpoint closes the connection if it is not used.
    pub idle_limit: Option<Duration>,
    /// Whether the connection closes behind this answer.
    pub closes: bool,
}

/// Functions that decode and write heads.
#[derive(Clone, Copy, Debug)]
pub struct WireCodec {
    /// Decodes a caller's head.
    pub caller_head: fn(&HeaderMap) -> CallerHead,
    /// Returns the headers that an endpoint gets for a caller's.
    pub request_headers: fn(&HeaderMap, &ForwardSpec<'_>) -> HeaderMap,
    /// Decodes the head of an endpoint's answer.
    pub response_head: fn(&HeaderMap) -> ResponseHead,
    /// Returns the headers that a caller gets for an endpoint's.
    pub response_headers: fn(&HeaderMap) -> HeaderMap,
    /// Writes when a refused caller may come back.
    pub retry_after: fn(&mut HeaderMap, Duration),
    /// Path that the balancer asks whether this host takes connections.
    pub ready_path: &'static str,
}
