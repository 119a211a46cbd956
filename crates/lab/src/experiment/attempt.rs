//! The attempts of a request, from its arrival to its final answer.

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
    world::{SimEvent, SimWorld},
};

/// Time after which the caller of a poison request sends it again.
const RESEND_AFTER: Duration = Duration::from_millis(500);

impl SimWorld<'_> {
    /// Chooses an endpoint and hands the request to the agent beside it.
    pub(super) fn send(&mut self, index: usize) {
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
                    self.wait_for_news(index, &reason, retry_after);
                    return;
                }
            };
        let node = self.places[&endpoint];
        let expected_tokens = router.expected_tokens(&spec);
        request.node = Some(node);
        request.excluded.push(endpoint);
        let sent = RouteEvent::Sent { request: spec.id, endpoint, expected_tokens };
        self.route_step(entry, sent);
        if let Some(ordinal) = self.entries[entry].router.ordinal(spec.id) {
            self.nodes[node].note_send(&self.entries[entry].process, ordinal);
        }
        if let Err(reason) = self.pass_gate(node, entry, &spec, &reason) {
            self.end_attempt(spec.id, RunOutcome::NotRun);
            self.after_refusal(index, &reason);
            return;
        }
        self.nodes[node].add_waiting(spec.class, 1);
        self.queue_step(node, QueueEvent::Arrive(spec));
    }

    /// Lets a request wait at its entry until it is known what crashed an endpoint.
    fn wait_for_news(&mut self, index: usize, reason: &DecisionReason, retry_after: Duration) {
        let request = &self.requests[index];
        let waits = matches!(reason, DecisionReason::AwaitingCrashReport);
        if waits && request.may_have_run && request.attempts < MAX_ATTEMPTS {
            self.schedule(self.now + retry_after, SimEvent::Send(index));
        } else {
            self.refuse(index);
        }
    }

    /// Lets the agent's gate check a request that comes from one of our entries.
    fn pass_gate(
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

    /// Tells the entry how an attempt ended.
    pub(super) fn end_attempt(&mut self, id: RequestId, outcome: RunOutcome) {
        let request = &mut self.requests[index_of(id)];
        let fingerprint = request.trace.spec.fingerprint;
        if let Some(node) = request.node.take() {
            let completed = outcome == RunOutcome::Completed;
            self.nodes[node].gate.release(self.now, fingerprint, completed);
        }
        let (entry, tokens) = (request.entry, request.delivered);
        self.route_step(entry, RouteEvent::Ended { request: id, outcome, tokens });
    }

    pub(super) fn after_refusal(&mut self, index: usize, reason: &DecisionReason) {
        match reason {
            DecisionReason::Draining
            | DecisionReason::EndpointDown
            | DecisionReason::IsolatedAfterCrash => self.try_again(index, RunOutcome::NotRun),
            _ => self.refuse(index),
        }
    }

    /// Sends a request again if that is safe, or gives its final answer.
    pub(super) fn try_again(&mut self, index: usize, outcome: RunOutcome) {
        let request = &self.requests[index];
        let spec = &request.trace.spec;
        let case = RetryCase {
            outcome,
            idempotent: spec.idempotent,
            retry_failures: false,
            answer_begun: request.first.is_some(),
            reached: true,
            attempts: request.attempts,
            unreached: 0,
            time_left: spec.time_left(self.now),
            needed: Duration::ZERO,
        };
        match self.entries[request.entry].retry(&case, index as u64) {
            Some(delay) => self.schedule(self.now + delay, SimEvent::Send(index)),
            None => self.refuse(index),
        }
    }

    /// Gives the final answer to a request that found no place.
    pub(super) fn refuse(&mut self, index: usize) {
        let may_have_run = self.requests[index].may_have_run;
        self.resolve(index, if may_have_run { EndKind::Failed } else { EndKind::Refused });
    }

    pub(super) fn resolve(&mut self, index: usize, kind: EndKind) {
        let request = &mut self.requests[index];
        if request.end.is_some() {
            self.broken.two_ends += 1;
            return;
        }
        request.end = Some((self.now, kind));
        self.open -= 1;
        let again = request.trace.poison.filter(|&left| left > 0 && kind != EndKind::Completed);
        if let Some(left) = again {
            let mut trace = request.trace.clone();
            let span = trace.spec.arrived.until(trace.spec.deadline);
            trace.poison = Some(left - 1);
            trace.spec.arrived = self.now + RESEND_AFTER;
            trace.spec.deadline = trace.spec.arrived + span;
            self.expect(trace);
        }
    }

    /// The caller waits no longer.
    pub(super) fn pass_deadline(&mut self, index: usize) {
        if self.requests[index].end.is_some() {
            return;
        }
        let id = self.requests[index].trace.spec.id;
        if let Some(node) = self.requests[index].node {
            if self.requests[index].run.is_none() {
                self.leave_queue(node, id);
            }
            self.queue_step(node, QueueEvent::Cancel { request: id });
            self.stop_run(node, id);
            if self.requests[index].node.is_some() {
                self.end_attempt(id, RunOutcome::Cancelled);
            }
        }
        if self.requests[index].end.is_none() {
            self.resolve(index, EndKind::Late);
        }
    }
}
