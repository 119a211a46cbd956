//! Endpoints whose run may have ended, as they failed.

use std::{collections::HashMap, sync::MutexGuard, time::Duration};

use pimentorock_kernel::time::TimePoint;

use crate::{crash_checks::EndpointInstance, state_lock::StateLock};

/// Time from the first connection to a run until the store lists it.
pub(crate) const LISTING_TIME: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct RunDoubt {
    /// Start of the run that was listed when the endpoint failed.
    started_ms: Option<u64>,
    failed_at: TimePoint,
    /// When the endpoint first accepted a connection after the failure.
    reached_at: Option<TimePoint>,
}

/// Endpoints whose run may have ended. Until the store would list another run, a list that shows the run
/// does not prove that a connection leads to it.
#[derive(Debug, Default)]
pub(crate) struct RunDoubts {
    doubts: StateLock<HashMap<Box<str>, RunDoubt>>,
}

impl RunDoubts {
    /// Notes that the endpoint `name` failed, of which the run that started at `started_ms` is listed.
    pub(crate) fn note_failure(&self, now: TimePoint, name: &str, started_ms: Option<u64>) {
        let doubt = RunDoubt { started_ms, failed_at: now, reached_at: None };
        self.lock().insert(name.into(), doubt);
    }

    /// Reports whether a list of endpoints that matched the store at `listed_at` proves that a
    /// connection which was opened at `opened_at` leads to `instance`, which it shows.
    pub(crate) fn is_proof(
        &self,
        instance: &EndpointInstance,
        opened_at: TimePoint,
        listed_at: TimePoint,
    ) -> bool {
        let mut doubts = self.lock();
        let doubt = doubts
            .get_mut(&instance.name)
            .filter(|doubt| doubt.started_ms == instance.started_ms && doubt.failed_at < opened_at);
        let Some(doubt) = doubt else { return listed_at > opened_at };
        let reached_at = *doubt.reached_at.get_or_insert(opened_at);
        if listed_at < reached_at + LISTING_TIME {
            return false;
        }
        doubts.remove(&instance.name);
        true
    }

    /// Forgets an endpoint that has left.
    pub(crate) fn forget(&self, name: &str) {
        self.lock().remove(name);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Box<str>, RunDoubt>> {
        self.doubts.lock()
    }
}
