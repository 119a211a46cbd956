//! Attempts of a request: dispatch, admission, retries and the final outcome.

use std::time::Duration;

use pimentorock_kernel::{
    ids::RequestId,
    queue::QueueEvent,
    reason::DecisionReason,
    request::{RequestSpec, RunOutcome},
    retry::{MAX_ATTEMPTS, RetryCase},
    route::{RouteChoice, RouteEvent},
};

use super::{
    node::index_of,
    request::EndKind,
    simulator::{EventSimulator, SimEvent},
};

/// Time after which the caller of a poison request sends the request again.
const POISON_RESEND_DELAY: Duration = Duration::from_millis(500);

impl EventSimulator<'_> {
    /// Starts an attempt: chooses an endpoint and passes the request to its agent.
    pub(super) fn dispatch(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if request.end.is_some() {
            return;
        }
        request.attempts += 1;
        let (entry, spec) = (request.entry, request.trace.spec.clone());
        let router = &mut self.entries[entry].router;
        let (endpoint, reason) =
            match router.choose(self.now, &spec, self.catalog, &request.excluded) {
                RouteChoice::Endpoint { endpoint, reason } => (endpoint, reason),
                RouteChoice::Refuse { reason, retry_after } => {
                    self.defer_or_refuse(index, &reason, retry_after);
                    return;
                }
            };
        let node = self.node_indices[&endpoint];
        let expected_tokens = router.expected_tokens(&spec);
        request.node = Some(node);
        request.excluded.push(endpoint);
        let sent = RouteEvent::Sent { request: spec.id, endpoint, expected_tokens };
        self.step_router(entry, sent);
        if let Some(ordinal) = self.entries[entry].router.ordinal(spec.id) {
            self.nodes[node].record_sent_ordinal(&self.entries[entry].process, ordinal);
        }
        if let Err(reason) = self.check_admission(node, entry, &spec, &reason) {
            self.end_attempt(spec.id, RunOutcome::NotRun);
            self.handle_refusal(index, &reason);
            return;
        }
        self.nodes[node].adjust_waiting(spec.class, 1);
        self.step_queue(node, QueueEvent::Arrive(spec));
    }

    /// Delays a request that waits for reports about a crash, or refuses the request.
    ///
    /// Only a request that may have run and has attempts left is delayed.
    fn defer_or_refuse(&mut self, index: usize, reason: &DecisionReason, retry_after: Duration) {
        let request = &self.requests[index];
        let waits = matches!(reason, DecisionReason::AwaitingCrashReport);
        if waits && request.may_have_run && request.attempts < MAX_ATTEMPTS {
            self.schedule(self.now + retry_after, SimEvent::Dispatch(index));
        } else {
            self.refuse(index);
        }
    }

    /// Asks the agent's gate to admit a request.
    ///
    /// Requests from naive routers, which keep no suspects, are always admitted.
    fn check_admission(
        &mut self,
        node: usize,
        entry: usize,
        spec: &RequestSpec,
        reason: &DecisionReason,
    ) -> Result<(), DecisionReason> {
        let Some(report) = self.entries[entry].suspects(self.now) else { return Ok(()) };
        let isolated = matches!(reason, DecisionReason::IsolatedAfterCrash);
        let requests = &self.requests;
        let node = &mut self.nodes[node];
        let running = node.runs.values().map(|&index| requests[index].trace.spec.fingerprint);
        let running: Vec<u64> = running.collect();
        if isolated {
            node.gate.merge(self.now, &report);
        }
        node.gate.admit(self.now, spec.fingerprint, isolated, &running)
    }

    /// Ends an attempt: releases the agent's gate and reports the outcome to the entry's router.
    pub(super) fn end_attempt(&mut self, id: RequestId, outcome: RunOutcome) {
        let request = &mut self.requests[index_of(id)];
        let fingerprint = request.trace.spec.fingerprint;
        if let Some(node) = request.node.take() {
            let completed = outcome == RunOutcome::Completed;
            self.nodes[node].gate.release(self.now, fingerprint, completed);
        }
        let (entry, tokens) = (request.entry, request.delivered);
        self.step_router(entry, RouteEvent::Ended { request: id, outcome, tokens });
    }

    /// Retries a request that an agent refused if another endpoint may accept the request;
    /// otherwise refuses the request.
    pub(super) fn handle_refusal(&mut self, index: usize, reason: &DecisionReason) {
        match reason {
            DecisionReason::Draining
            | DecisionReason::EndpointDown
            | DecisionReason::IsolatedAfterCrash => self.retry_or_refuse(index, RunOutcome::NotRun),
            _ => self.refuse(index),
        }
    }

    /// Schedules a retry if the entry's retry policy allows it; otherwise refuses the request.
    pub(super) fn retry_or_refuse(&mut self, index: usize, outcome: RunOutcome) {
        let request = &self.requests[index];
        let spec = &request.trace.spec;
        let case = RetryCase {
            outcome,
            idempotent: spec.idempotent,
            retry_failures: false,
            answer_begun: request.first_token_at.is_some(),
            reached: true,
            attempts: request.attempts,
            unreached: 0,
            time_left: spec.time_left(self.now),
            needed: Duration::ZERO,
        };
        match self.entries[request.entry].retry(&case, index as u64) {
            Some(delay) => self.schedule(self.now + delay, SimEvent::Dispatch(index)),
            None => self.refuse(index),
        }
    }

    /// Ends a request that is not retried: as failed if it may have run, otherwise as refused.
    pub(super) fn refuse(&mut self, index: usize) {
        let may_have_run = self.requests[index].may_have_run;
        self.finish_request(index, if may_have_run { EndKind::Failed } else { EndKind::Refused });
    }

    /// Records the final outcome of a request.
    ///
    /// A second outcome of the same request counts as an invariant violation. If a poison request
    /// did not complete and its caller has sends left, the next send is scheduled.
    pub(super) fn finish_request(&mut self, index: usize, kind: EndKind) {
        let request = &mut self.requests[index];
        if request.end.is_some() {
            self.violations.two_ends += 1;
            return;
        }
        request.end = Some((self.now, kind));
        self.open_requests -= 1;
        let resends_left =
            request.trace.poison_resends.filter(|&left| left > 0 && kind != EndKind::Completed);
        if let Some(left) = resends_left {
            let mut trace = request.trace.clone();
            let span = trace.spec.arrived.until(trace.spec.deadline);
            trace.poison_resends = Some(left - 1);
            trace.spec.arrived = self.now + POISON_RESEND_DELAY;
            trace.spec.deadline = trace.spec.arrived + span;
            self.add_request(trace);
        }
    }

    /// Cancels a request whose deadline has passed and ends it as late.
    pub(super) fn expire_deadline(&mut self, index: usize) {
        if self.requests[index].end.is_some() {
            return;
        }
        let id = self.requests[index].trace.spec.id;
        if let Some(node) = self.requests[index].node {
            if self.requests[index].run.is_none() {
                self.decrement_waiting(node, id);
            }
            self.step_queue(node, QueueEvent::Cancel { request: id });
            self.stop_run(node, id);
            if self.requests[index].node.is_some() {
                self.end_attempt(id, RunOutcome::Cancelled);
            }
        }
        if self.requests[index].end.is_none() {
            self.finish_request(index, EndKind::Late);
        }
    }
}
