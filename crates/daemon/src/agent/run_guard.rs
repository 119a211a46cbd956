//! A guard that reports the end of a run exactly once, regardless of how the run ends.

use std::sync::Arc;

use pimentorock_kernel::{
    ids::{ProcessId, RequestId},
    queue::QueueEvent,
    request::RunOutcome,
};

use crate::{
    agent::{driver_handle::DriverHandle, state::AgentState},
    event_stream::TokenUsage,
    run_header::RunHeader,
    state::billed,
};

/// Reports the end of a run to the queue and the usage counter, even if the run is dropped early.
#[derive(Debug)]
pub(crate) struct RunGuard {
    state: Arc<AgentState>,
    driver: DriverHandle,
    request: RequestId,
    account: Box<str>,
    entry: ProcessId,
    link_number: u64,
    prompt_tokens: u32,
    started: bool,
    reported: bool,
}

impl RunGuard {
    /// Returns the guard for an attempt that is about to be queued as `request`.
    pub(crate) fn new(
        state: Arc<AgentState>,
        driver: DriverHandle,
        header: &RunHeader,
        request: RequestId,
    ) -> RunGuard {
        RunGuard {
            state,
            driver,
            request,
            account: header.account.clone(),
            entry: header.entry.clone(),
            link_number: header.link_number,
            prompt_tokens: header.prompt_tokens,
            started: false,
            reported: false,
        }
    }

    /// Returns the identifier of the run in the queue.
    pub(crate) fn request(&self) -> RequestId {
        self.request
    }

    /// Returns the handle of the driver that owns the queue.
    pub(crate) fn driver(&self) -> &DriverHandle {
        &self.driver
    }

    /// Records that the queue started the request.
    pub(crate) fn start(&mut self) {
        self.started = true;
    }

    /// Records that the queue refused the request.
    pub(crate) fn refuse(&mut self) {
        self.report(RunOutcome::NotRun, TokenUsage::default());
    }

    /// Reports the outcome of the run and its token usage.
    pub(crate) fn finish(&mut self, outcome: RunOutcome, usage: TokenUsage) {
        self.report(outcome, usage);
        self.driver.spawn_send_event(QueueEvent::Finish { request: self.request, outcome });
    }

    fn report(&mut self, outcome: RunOutcome, usage: TokenUsage) {
        self.reported = true;
        let counts = billed(outcome, usage, self.prompt_tokens);
        let window = self.state.views.load().catalog.usage_window;
        self.state.counter.count(&self.entry, self.link_number, window, &self.account, counts);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if self.reported {
            return;
        }
        if self.started {
            self.finish(RunOutcome::Cancelled, TokenUsage::default());
            return;
        }
        self.refuse();
        self.driver.spawn_send_event(QueueEvent::Cancel { request: self.request });
    }
}
