//! Limits that endpoints name: what answers say of them, and their exchange with other entries.

use std::{net::SocketAddr, time::Duration};

use pimentorock_kernel::{
    hub::HubChoice,
    send_limit::{EndpointAnswer, LimitAnswer, LimitReport, LimitScope, LimitWord},
    time::TimePoint,
};

use crate::{clock, logs::part, peer::EntryReport, state::GatewayState, work_guard::WorkGuard};

/// Longest delay of a report that the clocks of two entries show; a longer one is a difference of
/// the clocks.
const MAX_REPORT_DELAY_MS: u64 = 10_000;

impl GatewayState {
    /// Applies what the answer to a request says of its endpoint's limit.
    pub(crate) fn note_limit(&self, request: &str, work: &WorkGuard, word: Option<LimitWord>) {
        let (now, wall_ms) = (clock::now(), self.wall_ms());
        let name = &*work.instance.name;
        if word == Some(LimitWord::Unreadable) {
            log::warn!(
                target: part::REQUEST, request = request, endpoint = name;
                "limit of an endpoint unreadable"
            );
        }
        let answer = EndpointAnswer {
            scope: LimitScope::endpoint(name),
            started_ms: work.instance.started_ms,
            sent_at: work.sent_at,
            word,
        };
        self.table().limits().note_answer(now, wall_ms, answer);
        self.log_limit_changes(request);
    }

    /// Brings the tickets for limited endpoints up to date before an exchange with `hub`.
    pub(crate) fn step_limits(&self, hub: HubChoice, exchange_period: Duration) {
        self.table().limits().step(clock::now(), hub, exchange_period);
        self.log_limit_changes("");
    }

    /// Returns the report on limits for the hub.
    pub(crate) fn limit_report(&self) -> Option<LimitReport> {
        self.table().limits().report(clock::now())
    }

    /// Applies what an asker reports of limits, and returns the answer and the size of the fleet.
    pub(crate) fn answer_limits(&self, report: &EntryReport) -> (Option<LimitAnswer>, u32) {
        let Some(group) = &report.group else { return (None, 0) };
        let (now, wall_ms) = (clock::now(), self.wall_ms());
        let delay_ms = wall_ms.saturating_sub(report.wall_ms);
        let delay_ms = if delay_ms > MAX_REPORT_DELAY_MS { 0 } else { delay_ms };
        let answered = {
            let mut table = self.table();
            let limits = table.limits();
            limits.note_group(now, &report.process, group.load.entries);
            let delay = Duration::from_millis(delay_ms);
            let known = group.limits.as_ref();
            let answer = limits.answer(now, wall_ms, &report.process, known, delay);
            (answer, limits.fleet(now))
        };
        self.log_limit_changes("");
        answered
    }

    /// Applies the hub's answer to a report that was sent at `sent_at`.
    pub(crate) fn apply_limits(
        &self,
        hub: SocketAddr,
        sent_at: TimePoint,
        answer: Option<&LimitAnswer>,
        fleet: u32,
    ) {
        let (now, wall_ms) = (clock::now(), self.wall_ms());
        let hub = HubChoice::Peer(hub);
        self.table().limits().apply_answer(now, wall_ms, hub, sent_at, answer, fleet);
        self.log_limit_changes("");
    }

    /// Logs the limits that began, changed or ended; `request` is the request whose answer said so,
    /// if it was one of this entry.
    fn log_limit_changes(&self, request: &str) {
        let now = clock::now();
        let mut table = self.table();
        let changes = table.limits().take_changes();
        for change in &changes {
            let held = table.limits().held(now, change.scope);
            log::info!(
                target: part::REQUEST,
                endpoint = table.limited_endpoint(change.scope).unwrap_or_default(),
                limit = change.limit.unwrap_or(-1.0), share = held,
                evidence = change.evidence.label(), request = request,
                age_ms = change.age.as_millis() as u64;
                "endpoint limit changed"
            );
        }
        if !changes.is_empty() {
            self.metrics.note_limits(table.limits().in_force());
        }
    }
}
