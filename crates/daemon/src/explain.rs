//! A bounded log of the decisions on recent requests, for operators.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
    sync::{Arc, Mutex},
};

use pimentorock_kernel::ids::RequestId;
use pimentorock_platform::operator_wire::ExplainStep;

use crate::clock::wall_ms;

/// Number of requests whose steps are kept.
const MAX_REQUESTS: usize = 4096;

/// Number of steps kept for each request; later steps are dropped.
const MAX_STEPS: usize = 64;

/// Holds the steps of the most recent requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExplainLog {
    steps: Arc<Mutex<StepTable>>,
}

#[derive(Debug, Default)]
struct StepTable {
    by_request: HashMap<RequestId, Vec<ExplainStep>>,
    /// Requests in the order of their first step.
    order: VecDeque<RequestId>,
}

impl ExplainLog {
    /// Returns an empty log.
    pub(crate) fn new() -> ExplainLog {
        ExplainLog::default()
    }

    /// Adds a step of `request`; `part` names the part of the process that took the step.
    pub(crate) fn note(&self, request: RequestId, part: &'static str, text: impl fmt::Display) {
        let step =
            ExplainStep { at_ms: wall_ms(), part: part.into(), text: text.to_string().into() };
        let mut table = self.steps.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        table.add(request, step);
    }

    /// Returns the steps of `request`, or `None` if the request is unknown or no longer kept.
    pub(crate) fn steps(&self, request: RequestId) -> Option<Vec<ExplainStep>> {
        let table = self.steps.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        table.by_request.get(&request).cloned()
    }
}

impl StepTable {
    fn add(&mut self, request: RequestId, step: ExplainStep) {
        if !self.by_request.contains_key(&request) {
            self.order.push_back(request);
        }
        let steps = self.by_request.entry(request).or_default();
        if steps.len() < MAX_STEPS {
            steps.push(step);
        }
        while self.order.len() > MAX_REQUESTS {
            if let Some(oldest) = self.order.pop_front() {
                self.by_request.remove(&oldest);
            }
        }
    }
}
