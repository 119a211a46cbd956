//! Limits that endpoints name: what answers say of them, and their exchange with other entries.

use std::{net::SocketAddr, time::Duration};

use pimentorock_kernel::{
    hub::HubChoice,
    send_limit::{EndpointAnswer, LimitAnswer, LimitScope, LimitWord},
    time::TimePoint,
};

use crate::{
    clock,
    logs::part,
    peer::{EntryReport, LimitUpdate},
    state::GatewayState,
    work_guard::WorkGuard,
};

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

    /// Applies what an asker reports of limits, and returns what it lacks.
    pub(crate) fn answer_limits(&self, report: &EntryReport) -> LimitUpdate {
        let (now, wall_ms) = (clock::now(), self.wall_ms());
        let Some(group) = &report.group else {
            let mut table = self.table();
            let (news, knows) = (table.limits().news(now), table.limits().knows());
            let answer = (!news.is_empty()).then(|| LimitAnswer { news, ..Default::default() });
            return LimitUpdate { answer, fleet: 0, knows };
        };
        let delay_ms = wall_ms.saturating_sub(report.wall_ms);
        let delay_ms = if delay_ms > MAX_REPORT_DELAY_MS { 0 } else { delay_ms };
        let answered = {
            let mut table = self.table();
            let limits = table.limits();
            let delay = Duration::from_millis(delay_ms);
            limits.note_group(now, &report.process, group.present, delay);
            let known = group.limits.as_ref();
            let knows = group.knows_limits;
            let answer = limits.answer(now, wall_ms, &report.process, known, knows, delay);
            LimitUpdate { answer, fleet: limits.fleet(now), knows: limits.knows() }
        };
        self.log_limit_changes("");
        answered
    }

    /// Applies the answer of an entry to a report that was sent at `sent_at`; only a hub gives tickets.
    pub(crate) fn apply_limits(
        &self,
        from: SocketAddr,
        sent_at: TimePoint,
        update: &LimitUpdate,
        from_hub: bool,
    ) {
        let (now, wall_ms) = (clock::now(), self.wall_ms());
        let answer = update.answer.as_ref();
        if from_hub {
            let (hub, told) = (HubChoice::Peer(from), (update.fleet, update.knows));
            self.table().limits().apply_answer(now, wall_ms, hub, sent_at, answer, told);
        } else {
            let news = answer.map_or(&[][..], |answer| &answer.news);
            self.table().limits().apply_news(now, wall_ms, sent_at, news, update.knows);
        }
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
                evidence = change.evidence.label(), answer_to = request,
                age_ms = change.age.as_millis() as u64;
                "endpoint limit changed"
            );
        }
        if !changes.is_empty() {
            self.metrics.note_limits(table.limits().in_force());
        }
    }
}
