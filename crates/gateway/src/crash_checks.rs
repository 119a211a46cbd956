//! Finds out whether an endpoint crashed after connections to it were lost.
//!
//! A lost connection alone does not tell a crash from a lost answer. An endpoint that still accepts
//! connections lives; one that refuses them has ended. An endpoint that was back within the check
//! is recognised when another instance is found at its address.
//!
//! An answer that ends with its connection looks the same whether it is complete or cut by a crash. Such
//! an answer is complete if its endpoint still lives and, where it states its start, is the run that
//! answered. It counts as evidence for its request only once the endpoint has outlived it.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, MutexGuard},
    time::Duration,
};

use pimentorock_kernel::{
    suspect::{CrashEvidence, EndpointCrash, LostRun},
    time::TimePoint,
};
use tokio::sync::oneshot;

use crate::{
    clock,
    connection::{ConnectionError, HttpConnection},
    logs::part,
    state::GatewayState,
    state_lock::StateLock,
};

/// Time from the loss of a connection to the check. A process that ends may close its connections
/// before its listening socket.
const CHECK_DELAY: Duration = Duration::from_millis(50);

/// Time after a check within which a new instance at the endpoint's address shows that the checked
/// one had ended. Endpoints need seconds to start.
const REPLACEMENT_TIME: Duration = Duration::from_secs(10);

/// A process instance of an endpoint that a request was sent to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct EndpointInstance {
    pub(crate) name: Box<str>,
    pub(crate) address: SocketAddr,
    /// Wall-clock time of the start in milliseconds since 1970, if known.
    pub(crate) started_ms: Option<u64>,
    /// Version of its software.
    pub(crate) software: Box<str>,
}

impl EndpointInstance {
    /// Returns the identifier of the crash that ends this instance, unique for the endpoint's name.
    fn crash_id(&self) -> u64 {
        self.started_ms.unwrap_or(0)
    }
}

/// A check in which the instance accepted a connection.
#[derive(Clone, Debug)]
struct PassedCheck {
    at: TimePoint,
    instance: EndpointInstance,
    service: Box<str>,
    /// Runs that were lost before the check.
    lost: Vec<LostRun>,
}

/// A check that is about to be made.
#[derive(Debug, Default)]
struct DueCheck {
    service: Box<str>,
    /// Runs that were lost.
    lost: Vec<LostRun>,
    /// Runs whose answers ended with their connections, and who waits for the verdict.
    ended: Vec<(LostRun, oneshot::Sender<InstanceState>)>,
}

/// What a check found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InstanceState {
    /// The instance accepted a connection.
    Alive,
    /// The instance refused a connection, or another one answered at its address.
    Crashed,
    /// The instance did not answer; its host may have lost its power, or its link.
    Unknown,
}

impl InstanceState {
    /// Returns the name of the state in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            InstanceState::Alive => "alive",
            InstanceState::Crashed => "crashed",
            InstanceState::Unknown => "unknown",
        }
    }
}

/// The checks of an entry.
#[derive(Debug, Default)]
pub(crate) struct CrashChecks {
    state: StateLock<ChecksState>,
}

#[derive(Debug, Default)]
struct ChecksState {
    /// Checks that are due.
    due: HashMap<EndpointInstance, DueCheck>,
    /// Recent checks that an instance passed, the oldest first.
    passed: VecDeque<PassedCheck>,
    /// Times at which connections to an instance were last refused, as no process listened.
    refused: HashMap<EndpointInstance, TimePoint>,
}

impl CrashChecks {
    /// Applies `note` to the check of an instance that is due, and reports whether it has to be
    /// started.
    fn note_due(
        &self,
        instance: &EndpointInstance,
        service: &str,
        note: impl FnOnce(&mut DueCheck),
    ) -> bool {
        let mut state = self.lock();
        let is_due = state.due.contains_key(instance);
        let check = state.due.entry(instance.clone()).or_default();
        check.service = service.into();
        note(check);
        !is_due
    }

    /// Returns the runs that a check of `instance` explains.
    fn take_due(&self, instance: &EndpointInstance) -> DueCheck {
        self.lock().due.remove(instance).unwrap_or_default()
    }

    /// Notes that a connection to `instance` was refused, as no process listened.
    pub(crate) fn note_refused(&self, now: TimePoint, instance: &EndpointInstance) {
        let mut state = self.lock();
        state.refused.retain(|_, at| now.since(*at) < REPLACEMENT_TIME);
        state.refused.insert(instance.clone(), now);
    }

    /// Reports whether a connection to `instance` was refused after `began`, so that what listens at its
    /// address now is another process.
    fn was_refused_since(&self, instance: &EndpointInstance, began: TimePoint) -> bool {
        self.lock().refused.get(instance).is_some_and(|at| *at >= began)
    }

    fn note_passed(&self, check: PassedCheck) {
        let mut state = self.lock();
        state.passed.retain(|passed| check.at.since(passed.at) < REPLACEMENT_TIME);
        state.passed.push_back(check);
    }

    /// Removes and returns the recent checks of instances that `is_replaced` selects.
    fn take_replaced(
        &self,
        now: TimePoint,
        is_replaced: impl Fn(&EndpointInstance) -> bool,
    ) -> Vec<PassedCheck> {
        let mut state = self.lock();
        state.passed.retain(|check| now.since(check.at) < REPLACEMENT_TIME);
        let (replaced, kept) =
            state.passed.drain(..).partition(|check| is_replaced(&check.instance));
        state.passed = kept;
        Vec::from(replaced as VecDeque<PassedCheck>)
    }

    fn lock(&self) -> MutexGuard<'_, ChecksState> {
        self.state.lock()
    }
}

/// Notes that a run of a request at an instance ended without an answer, and checks the instance.
///
/// The request becomes a suspect only if the instance has not survived.
pub(crate) fn note_lost_run(
    state: &Arc<GatewayState>,
    instance: &EndpointInstance,
    service: &str,
    run: LostRun,
) {
    if state.crash_checks.note_due(instance, service, |check| check.lost.push(run)) {
        tokio::spawn(check(Arc::clone(state), instance.clone()));
    }
}

/// Checks the instance that sent an answer which ended with its connection, and returns whether the
/// instance outlives the answer, as far as is known.
pub(crate) async fn outlives_answer(
    state: &Arc<GatewayState>,
    instance: &EndpointInstance,
    service: &str,
    run: LostRun,
) -> bool {
    let (found, finding) = oneshot::channel();
    if state.crash_checks.note_due(instance, service, |check| check.ended.push((run, found))) {
        tokio::spawn(check(Arc::clone(state), instance.clone()));
    }
    // The check ends without a verdict only if the process stops.
    finding.await.is_ok_and(|found| found != InstanceState::Crashed)
}

async fn check(state: Arc<GatewayState>, instance: EndpointInstance) {
    tokio::time::sleep(CHECK_DELAY).await;
    let opened = HttpConnection::open(instance.address).await;
    let DueCheck { service, mut lost, ended } = state.crash_checks.take_due(&instance);
    let found = match opened {
        Ok(connection) if ended.is_empty() => {
            state.pool.put(&instance, connection);
            InstanceState::Alive
        }
        Ok(connection) => {
            let began = ended.iter().map(|(run, _)| run.began).min().unwrap_or_else(clock::now);
            let has_ended = state.crash_checks.was_refused_since(&instance, began)
                || state.is_other_run(&instance, connection).await;
            if has_ended { InstanceState::Crashed } else { InstanceState::Alive }
        }
        Err(ConnectionError::Refused) => InstanceState::Crashed,
        Err(_) => InstanceState::Unknown,
    };
    log::info!(
        target: part::REQUEST,
        endpoint = &*instance.name, started_ms = instance.crash_id(), lost_runs = lost.len(),
        ended_answers = ended.len(), verdict = found.label();
        "endpoint checked after lost runs"
    );
    state.metrics.note_crash_check(found.label());
    let (ended, waiting): (Vec<LostRun>, Vec<_>) = ended.into_iter().unzip();
    match found {
        InstanceState::Alive => state.withdraw_crash(&instance),
        InstanceState::Crashed => {
            lost.extend(ended.iter().cloned());
            state.record_crash(&instance, &service, CrashEvidence::Confirmed, &lost);
        }
        InstanceState::Unknown => {
            state.record_crash(&instance, &service, CrashEvidence::Unconfirmed, &lost);
        }
    }
    for waiter in waiting {
        // The caller may have left meanwhile.
        let _ = waiter.send(found);
    }
    if found == InstanceState::Alive {
        let (at, checked) = (clock::now(), instance.clone());
        let check = PassedCheck { at, instance: checked, service: service.clone(), lost };
        state.crash_checks.note_passed(check);
        if !ended.is_empty() {
            tokio::time::sleep(REPLACEMENT_TIME).await;
            state.note_outlived_answers(&instance, &service, &ended);
        }
    }
}

impl GatewayState {
    /// Records that recently passed checks were of instances which had ended after all, because
    /// another one was found in their place; `is_replaced` selects them.
    pub(crate) fn note_replaced_instances(&self, is_replaced: impl Fn(&EndpointInstance) -> bool) {
        for check in self.crash_checks.take_replaced(clock::now(), is_replaced) {
            let instance = check.instance;
            log::info!(
                target: part::REQUEST,
                endpoint = &*instance.name, started_ms = instance.crash_id(),
                lost_runs = check.lost.len(), verdict = "crashed";
                "endpoint was replaced soon after lost runs"
            );
            self.record_crash(&instance, &check.service, CrashEvidence::Confirmed, &check.lost);
        }
    }

    /// Records that an instance ended, or may have ended, while these runs were there.
    fn record_crash(
        &self,
        instance: &EndpointInstance,
        service: &str,
        evidence: CrashEvidence,
        lost: &[LostRun],
    ) {
        let (now, endpoint, crash_id) = (clock::now(), &*instance.name, instance.crash_id());
        let fingerprints: Vec<u64> = lost.iter().map(|run| run.fingerprint).collect();
        if evidence == CrashEvidence::Confirmed {
            self.suspects().record_crash(now, endpoint, crash_id, &fingerprints);
        } else {
            self.suspects().record_unconfirmed_crash(now, endpoint, crash_id, &fingerprints);
        }
        let crash = EndpointCrash { endpoint, crash_id, service, evidence };
        self.part_suspects().record_crash(now, crash, lost);
    }

    /// Records that an instance answers, so that an unconfirmed crash did not happen.
    fn withdraw_crash(&self, instance: &EndpointInstance) {
        let (now, endpoint, crash_id) = (clock::now(), &*instance.name, instance.crash_id());
        self.suspects().withdraw(now, endpoint, crash_id);
        self.part_suspects().withdraw(now, endpoint, crash_id);
    }

    /// Records that requests completed whose answers ended with their connections, unless their
    /// instance has ended since.
    fn note_outlived_answers(&self, instance: &EndpointInstance, service: &str, runs: &[LostRun]) {
        let is_listed = self.directory().entry(&instance.name).is_some_and(|endpoint| {
            endpoint.address == instance.address && endpoint.started_ms == instance.started_ms
        });
        if !is_listed {
            return;
        }
        let now = clock::now();
        for run in runs {
            self.suspects().note_completed(now, run.fingerprint);
            self.part_suspects().note_completed(now, service, &run.parts);
        }
    }
}
