//! Execution of one attempt at a local endpoint.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use pimentorock_kernel::{
    catalog::EndpointKind,
    ids::RequestId,
    reason::DecisionReason,
    request::{RequestSpec, RunOutcome},
};
use poem::Response;
use tokio_util::sync::CancellationToken;

use crate::{
    agent::{
        driver_handle::{Admission, AttemptOrigin},
        relay::AnswerRelay,
        run_guard::RunGuard,
        server::{not_run_refusal, refusal_response},
        state::AgentState,
    },
    event_stream::TokenUsage,
    run_header::{RefusalHeader, RunHeader},
    view::ControlView,
};

/// Retry delay sent when an endpoint is unavailable.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// One attempt at a local endpoint, as received from an entry.
#[derive(Debug)]
pub(crate) struct EndpointRun {
    state: Arc<AgentState>,
    header: RunHeader,
}

impl EndpointRun {
    /// Returns an attempt that has not been queued yet.
    pub(crate) fn new(state: Arc<AgentState>, header: RunHeader) -> EndpointRun {
        EndpointRun { state, header }
    }

    /// Queues and runs the request, and returns the endpoint's answer or a refusal.
    pub(crate) async fn answer(self, body: Bytes) -> Response {
        let attempt_id = self.header.attempt_id();
        match self.run(body).await {
            Ok(response) => response,
            Err(header) => refusal_response(&attempt_id, &header),
        }
    }

    async fn run(self, body: Bytes) -> Result<Response, RefusalHeader> {
        let view = self.state.views.load();
        let no_endpoint = || not_run_refusal(DecisionReason::NoEndpoint, UNAVAILABLE_RETRY_AFTER);
        let endpoint = self.state.endpoints.get(&self.header.endpoint).ok_or_else(no_endpoint)?;
        let spec = self.request_spec(&view).ok_or_else(no_endpoint)?;
        let tier = view.catalog.classes[spec.class].tier;
        let abort = CancellationToken::new();
        if self.header.agent != self.state.counter.run() {
            return Err(not_run_refusal(DecisionReason::AgentRestarted, UNAVAILABLE_RETRY_AFTER));
        }
        let driver = endpoint.driver.clone();
        let mut guard = RunGuard::new(Arc::clone(&self.state), driver, &self.header, spec.id);
        let admission = endpoint.driver.enqueue(spec, self.attempt_origin(), abort.clone()).await;
        match admission.await {
            Ok(Admission::Run) => guard.start(),
            Ok(Admission::Refused { reason, retry_after }) => {
                guard.refuse();
                return Err(not_run_refusal(reason, retry_after));
            }
            Err(_) => {
                return Err(not_run_refusal(DecisionReason::Draining, UNAVAILABLE_RETRY_AFTER));
            }
        }
        match endpoint.client.run(&self.header, tier, body).await {
            Ok(response) => {
                let tracker = self.state.tracker.clone();
                let relay = AnswerRelay::new(self.header, guard, abort);
                Ok(relay.start(response, &tracker))
            }
            Err(error) => Err(self.endpoint_failure(&mut guard, &error)),
        }
    }

    fn attempt_origin(&self) -> AttemptOrigin {
        AttemptOrigin {
            entry: self.header.entry.clone(),
            ordinal: self.header.ordinal,
            caller_request: self.header.request,
            attempt_id: self.header.attempt_id().into(),
            isolated: self.header.isolated,
            suspects: self.header.suspects.clone(),
            key_hash: self.header.key_hash.clone(),
        }
    }

    /// Ends the run of a request that got no answer from the endpoint and returns the refusal.
    fn endpoint_failure(&self, guard: &mut RunGuard, error: &reqwest::Error) -> RefusalHeader {
        // No byte of the request was written if the connection was never established.
        let not_run = error.is_connect();
        let outcome = if not_run { RunOutcome::NotRun } else { RunOutcome::Lost };
        guard.finish(outcome, TokenUsage::default());
        RefusalHeader {
            not_run,
            endpoint_down: true,
            reason: DecisionReason::NoEndpoint,
            retry_after_ms: UNAVAILABLE_RETRY_AFTER.as_millis() as u64,
        }
    }

    fn request_spec(&self, view: &ControlView) -> Option<RequestSpec> {
        let header = &self.header;
        let catalog = &view.catalog;
        let endpoint = &catalog.endpoints[catalog.endpoint(&header.endpoint)?];
        let now = self.state.clock.now();
        Some(RequestSpec {
            // Each attempt has its own identifier, because an earlier attempt of the same request
            // may still be running.
            id: RequestId(header.request.0.wrapping_add(u128::from(header.attempt))),
            account: catalog.account(&header.account)?,
            class: catalog.class(&header.class)?,
            model: catalog.model(&header.model)?,
            prompt_tokens: header.prompt_tokens,
            max_tokens: header.max_tokens,
            arrived: now,
            deadline: now + Duration::from_millis(header.left_ms),
            // A plain service cannot pause a call, and this agent does not call it twice.
            idempotent: header.idempotent && endpoint.kind == EndpointKind::Engine,
            resumable: endpoint.kind == EndpointKind::Engine,
            fingerprint: header.fingerprint,
            prefix: header.prefix.clone().into(),
        })
    }
}
