//! Execution of queue actions and of engine steps.

use std::time::Duration;

use pimentorock_kernel::{
    ids::RequestId,
    queue::{QueueAction, QueueEvent},
    request::RunOutcome,
    route::RouteEvent,
};

use super::{
    node::index_of,
    request::EndKind,
    simulator::{EventSimulator, SimEvent},
};
use crate::engine::{BatchRun, StepToken};

impl EventSimulator<'_> {
    /// Passes an event to the queue of a node, executes the resulting actions, and begins a step of
    /// the engine if the engine is up and no step is under way.
    pub(super) fn step_queue(&mut self, node: usize, event: QueueEvent) {
        let mut actions = Vec::new();
        self.nodes[node].queue.step(self.now, event, self.catalog, &mut actions);
        for action in actions {
            self.apply_action(node, action);
        }
        self.begin_step(node);
    }

    fn apply_action(&mut self, node: usize, action: QueueAction) {
        self.violations.check(&action, &self.nodes[node], &self.requests, self.catalog);
        match action {
            QueueAction::Start { request, resume, .. } => self.start_run(node, request, resume),
            QueueAction::Refuse { request, reason, .. } => {
                if !self.requests[index_of(request)].has_begun() {
                    self.decrement_waiting(node, request);
                }
                self.stop_run(node, request);
                self.end_attempt(request, RunOutcome::NotRun);
                self.handle_refusal(index_of(request), &reason);
            }
            QueueAction::Preempt { request, .. } => {
                let spec = &self.requests[index_of(request)].trace.spec;
                self.nodes[node].adjust_waiting(spec.class, 1);
                if let Some(run) = self.requests[index_of(request)].run {
                    self.nodes[node].batch.set_paused(run, true);
                }
            }
            QueueAction::Abort { request, .. } => {
                self.stop_run(node, request);
                self.end_attempt(request, RunOutcome::Cancelled);
                self.finish_request(index_of(request), EndKind::Late);
            }
        }
    }

    /// Starts a request at the engine, or resumes its paused run.
    fn start_run(&mut self, node: usize, id: RequestId, resume: bool) {
        let request = &mut self.requests[index_of(id)];
        let spec = &request.trace.spec;
        self.nodes[node].adjust_waiting(spec.class, -1);
        let node = &mut self.nodes[node];
        match request.run {
            Some(run) if resume => node.batch.set_paused(run, false),
            earlier => {
                if let Some(run) = earlier {
                    node.batch.remove(run);
                    node.runs.remove(run);
                }
                let tier = self.catalog.classes[spec.class].tier;
                let run = BatchRun::new(tier, spec.prompt_tokens, request.trace.tokens);
                let run = node.batch.add(run);
                node.runs.insert(run, index_of(id));
                request.run = Some(run);
                request.starts += 1;
            }
        }
        if request.starts > 1 && !request.trace.spec.idempotent {
            self.violations.run_twice += 1;
        }
    }

    fn begin_step(&mut self, node: usize) {
        if self.nodes[node].step_in_progress || !self.nodes[node].up {
            return;
        }
        let Some(time) = self.nodes[node].batch.begin_step() else { return };
        self.nodes[node].step_in_progress = true;
        let engine_run = self.nodes[node].engine_run;
        self.schedule(self.now + time, SimEvent::StepEnd { node, engine_run });
    }

    /// Ends a step of the engine, unless the engine has crashed since the step began.
    pub(super) fn end_step(&mut self, node: usize, engine_run: u64) {
        if self.nodes[node].engine_run != engine_run {
            return;
        }
        let tokens = self.nodes[node].batch.finish_step();
        // All tokens are mapped to their requests first, because a run that starts while a token is
        // handled may reuse the slot map entry of a run that has ended.
        let tokens: Vec<(StepToken, Option<usize>)> = tokens
            .into_iter()
            .map(|token| (token, self.nodes[node].request_for_token(token)))
            .collect();
        for (token, index) in tokens {
            let Some(index) = index else { continue };
            let is_current_run =
                |simulator: &Self| simulator.requests[index].run == Some(token.run);
            if is_current_run(self) {
                self.deliver_token(node, index);
            }
            if token.last && is_current_run(self) {
                self.complete_request(node, index);
            }
        }
        if self.nodes[node].engine_run == engine_run {
            self.nodes[node].step_in_progress = false;
            self.begin_step(node);
        }
    }

    /// Counts a token of an engine and reports it to the router and the queue; tokens of plain
    /// services are not counted. The first token of a poison request crashes the engine before the
    /// token is reported to the queue.
    fn deliver_token(&mut self, node: usize, index: usize) {
        let request = &mut self.requests[index];
        let (id, entry) = (request.trace.spec.id, request.entry);
        if !self.nodes[node].is_engine() {
            return;
        }
        request.produced += 1;
        request.delivered += 1;
        let is_first = request.first_token_at.is_none();
        request.first_token_at.get_or_insert(self.now);
        self.nodes[node].add_tokens(request.trace.spec.class, 1);
        if is_first {
            self.step_router(entry, RouteEvent::FirstToken { request: id });
        }
        self.step_router(entry, RouteEvent::Progress { request: id, tokens: 1 });
        if is_first && self.requests[index].trace.poison_resends.is_some() {
            self.poison_crashes += 1;
            let restart = self.scenario.poison.as_ref().map_or(0, |poison| poison.restart_ms);
            self.crash_node(node, Duration::from_millis(restart));
            return;
        }
        self.step_queue(node, QueueEvent::Progress { request: id, tokens: 1 });
    }

    fn complete_request(&mut self, node: usize, index: usize) {
        let request = &mut self.requests[index];
        request.run = None;
        request.first_token_at.get_or_insert(self.now);
        let id = request.trace.spec.id;
        self.end_attempt(id, RunOutcome::Completed);
        self.finish_request(index, EndKind::Completed);
        self.step_queue(node, QueueEvent::Finish { request: id, outcome: RunOutcome::Completed });
    }

    pub(super) fn decrement_waiting(&mut self, node: usize, id: RequestId) {
        let class = self.requests[index_of(id)].trace.spec.class;
        self.nodes[node].adjust_waiting(class, -1);
    }

    /// Removes the run of a request, if there is one, from the engine.
    pub(super) fn stop_run(&mut self, node: usize, id: RequestId) {
        if let Some(run) = self.requests[index_of(id)].run.take() {
            let paused = self.nodes[node].batch.is_paused(run);
            self.nodes[node].batch.remove(run);
            self.nodes[node].runs.remove(run);
            if paused {
                self.decrement_waiting(node, id);
            }
        }
    }

    /// Crashes an endpoint, schedules its restart, and ends the attempts of its requests as lost.
    pub(super) fn crash_node(&mut self, node: usize, restart: Duration) {
        let requests = &self.requests;
        let lost = self.nodes[node].crash(self.now, |index| requests[index].trace.spec.fingerprint);
        let endpoint = self.nodes[node].key;
        self.schedule(self.now + restart, SimEvent::Restart(node));
        self.step_queue(node, QueueEvent::Resize { slots: 0, kv_tokens: 0 });
        for index in lost {
            let request = &mut self.requests[index];
            request.run = None;
            request.may_have_run = true;
            let (id, entry) = (request.trace.spec.id, request.entry);
            if request.end.is_some() {
                continue;
            }
            self.step_queue(node, QueueEvent::Finish { request: id, outcome: RunOutcome::Lost });
            self.end_attempt(id, RunOutcome::Lost);
            self.step_router(entry, RouteEvent::Unreachable { endpoint });
            self.retry_or_refuse(index, RunOutcome::Lost);
        }
    }
}
