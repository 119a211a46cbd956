//! A request of a caller, as the dispatcher sends it to endpoints.

use std::time::Duration;

use http::{HeaderMap, Method, Uri, request};
use pimentorock_kernel::{
    place::{PlacedRequest, urgency},
    suspect::{fingerprint, part_key},
    time::TimePoint,
};

use crate::{clock, fleet_config::RouteSpec, message_buffers::HeldMessage, wire::CallerHead};

/// Maximum number of prompt parts that a log line names.
const MAX_LOGGED_PARTS: usize = 24;

/// Maximum number of bytes of a stream's name in a log line.
const MAX_LOGGED_NAME: usize = 64;

/// A caller's request with its complete body.
#[derive(Debug)]
pub(crate) struct CallerRequest {
    pub(crate) id: Box<str>,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: HeldMessage,
    pub(crate) route: RouteSpec,
    pub(crate) account: Option<Box<str>>,
    pub(crate) last_event: Option<Box<str>>,
    /// Attempt of the caller that brought the first event of the stream to resume, if the caller
    /// names one.
    pub(crate) resumes: Option<Box<str>>,
    /// Properties of the request that the choice of an endpoint depends on.
    pub(crate) placement: PlacedRequest,
    /// How long the caller waits, over all its tries.
    pub(crate) patience: Duration,
    pub(crate) arrived: TimePoint,
    pub(crate) deadline: TimePoint,
}

impl CallerRequest {
    /// Returns a request that matched `route` and is served by `service`.
    pub(crate) fn new(
        parts: request::Parts,
        body: HeldMessage,
        head: CallerHead,
        route: RouteSpec,
        service: Box<str>,
        arrived: TimePoint,
    ) -> CallerRequest {
        let timeout = head.time_left.unwrap_or(route.timeout).min(route.timeout);
        let output_tokens = head.output_guess.unwrap_or(head.output_tokens).min(head.output_tokens);
        CallerRequest {
            id: head.id.unwrap_or_default(),
            method: parts.method,
            target: parts.uri,
            headers: parts.headers,
            body,
            account: None,
            last_event: head.last_event,
            resumes: head.resumes,
            placement: PlacedRequest {
                service,
                prompt_tokens: head.prompt_tokens,
                output_tokens,
                needed_rate: f64::from(output_tokens) / timeout.as_secs_f64().max(0.1),
                latency_target: route.latency_target,
                strict: route.strict,
                urgency: urgency(route.tier, None),
                parts: head.parts,
                continues: false,
                version: None,
            },
            patience: head.time_left.unwrap_or(route.timeout),
            deadline: arrived + timeout,
            arrived,
            route,
        }
    }

    /// Sets the client account that the request runs for.
    pub(crate) fn with_account(mut self, name: Box<str>, tier: Option<u8>) -> CallerRequest {
        self.account = Some(name);
        self.placement.urgency = urgency(self.route.tier, tier);
        self
    }

    /// Returns a hash that is the same for all repeats of the request, at every entry.
    ///
    /// The identifier, the deadline and the method are left out, because they may differ between
    /// repeats.
    pub(crate) fn fingerprint(&self) -> u64 {
        let path = self.target.path_and_query().map_or("", |path| path.as_str());
        fingerprint(&[self.account.as_deref().unwrap_or_default(), path], &self.body.bytes)
    }

    /// Returns the keys under which crashes are held against the parts of the prompt, in order; the
    /// last part belongs to the request alone.
    pub(crate) fn part_keys(&self) -> Box<[u64]> {
        let PlacedRequest { service, parts, .. } = &self.placement;
        parts.iter().map(|part| part_key(service, part.id)).collect()
    }

    /// Returns the identifiers of the prompt's parts in order, for log lines; those beyond
    /// [`MAX_LOGGED_PARTS`] are counted only.
    pub(crate) fn logged_parts(&self) -> String {
        let parts = &self.placement.parts;
        let logged = parts.iter().take(MAX_LOGGED_PARTS).map(|part| format!("{:x}", part.id));
        let more = parts.len().saturating_sub(MAX_LOGGED_PARTS);
        let more = (more > 0).then(|| format!("{more} more"));
        logged.chain(more).collect::<Vec<_>>().join(",")
    }

    /// Returns the attempt that began the stream which the caller takes up again, for log lines;
    /// empty for a stream that begins, and `unnamed` if the caller names no attempt. Long names are cut
    /// at [`MAX_LOGGED_NAME`].
    pub(crate) fn logged_stream(&self) -> &str {
        let unnamed = if self.last_event.is_some() { "unnamed" } else { "" };
        let name = self.resumes.as_deref().unwrap_or(unnamed);
        name.get(..MAX_LOGGED_NAME).unwrap_or(name)
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        clock::now().until(self.deadline)
    }
}
