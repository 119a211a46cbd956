//! The messages on limits between an entry and its hub.

use std::time::Duration;

use crate::{
    hub::HubChoice,
    ids::ProcessId,
    send_limit::{
        GrantRow, HoldingRow, LimitAnswer, LimitEvidence, LimitReport, LimitRow, LimitScope,
        LimitTable,
        limit_record::{AgeBase, LimitRecord},
    },
    suspect::LedgerPosition,
    time::TimePoint,
};

/// Maximum number of limits in one message; the others follow with the next ones.
const MAX_NEWS: usize = 512;

/// Maximum number of limits for which one report asks for tickets; the most urgent wants go first.
const MAX_HOLDINGS: usize = 128;

impl LimitTable {
    /// Returns the report for the hub; `None` if this entry knows no limit.
    pub fn report(&mut self, now: TimePoint) -> Option<LimitReport> {
        if self.limits.is_empty() {
            return None;
        }
        let (reported, keys) = self.answers.since(self.by_hub, MAX_NEWS);
        self.reported = reported;
        Some(LimitReport {
            term: self.term,
            seen: self.of_hub,
            is_full: self.by_hub.changes == 0 && keys.len() < MAX_NEWS,
            news: self.rows(now, &keys),
            holdings: self.holdings(now),
        })
    }

    fn rows(&self, now: TimePoint, keys: &[u64]) -> Vec<LimitRow> {
        let scopes = keys.iter().map(|key| LimitScope::from_hash(*key));
        let row = |scope| Some(self.limits.get(&scope)?.record.row(now, scope));
        scopes.filter_map(row).collect()
    }

    fn holdings(&mut self, now: TimePoint) -> Vec<HoldingRow> {
        let (term, horizon, mut rows) = (self.term, self.horizon, Vec::new());
        for (scope, state) in &mut self.limits {
            state.pool.enter_term(term, false);
            state.pool.expire(now);
            let wants = state.pool.wants(now, &state.own_wants(now, horizon)).rows();
            let (used, returned) = state.pool.totals();
            let row = HoldingRow { scope: *scope, used, returned, wants };
            // Most endpoints are warm, so nothing is told of a standing limit that was never used.
            let is_unused =
                state.standing.is_some() && state.told.is_none() && (used, returned) == (0, 0);
            if !row.wants.is_empty() || (!is_unused && state.told.as_ref() != Some(&row)) {
                rows.push(row);
            }
        }
        rows.sort_by_key(|row| row.wants.first().map_or(u8::MAX, |(rank, _)| *rank));
        rows.truncate(MAX_HOLDINGS);
        for row in &rows {
            if let Some(state) = self.limits.get_mut(&row.scope) {
                state.told = Some(row.clone());
            }
        }
        rows
    }

    /// Applies the report of an asker and returns the answer; `None` if there is no limit.
    ///
    /// `delay` is the time that the report was under way, as far as it is known, and `knows` tells
    /// whether the asker knows the limits that the fleet knows.
    pub fn answer(
        &mut self,
        now: TimePoint,
        wall_ms: u64,
        asker: &ProcessId,
        report: Option<&LimitReport>,
        knows: bool,
        delay: Duration,
    ) -> Option<LimitAnswer> {
        self.note_met(knows, report.is_none_or(|report| report.is_full));
        let base = AgeBase { at: now - delay, wall_ms };
        for row in report.map_or(&[][..], |report| &report.news) {
            self.note_row(now, row, base);
        }
        if self.limits.is_empty() {
            return None;
        }
        let seen = report.map(|report| report.seen).unwrap_or_default();
        let (position, keys) = self.states.since(seen, MAX_NEWS);
        self.serial += 1;
        Some(LimitAnswer {
            position,
            serial: self.serial,
            news: self.rows(now, &keys),
            grants: report.map_or_else(Vec::new, |report| self.grants(now, asker, report)),
        })
    }

    /// Returns what this entry knows of limits, for an entry that is not one of its askers.
    pub fn news(&self, now: TimePoint) -> Vec<LimitRow> {
        let (_, keys) = self.answers.since(LedgerPosition::default(), MAX_NEWS);
        self.rows(now, &keys)
    }

    /// Applies what an entry that is not the hub knows of limits, as of `sent_at`.
    pub fn apply_news(
        &mut self,
        now: TimePoint,
        wall_ms: u64,
        sent_at: TimePoint,
        news: &[LimitRow],
        knows: bool,
    ) {
        self.note_met(knows, true);
        let wall_ms = wall_ms.saturating_sub(now.since(sent_at).as_millis() as u64);
        for row in news {
            self.note_row(now, row, AgeBase { at: sent_at, wall_ms });
        }
    }

    /// Applies what an asker or another entry that is not the hub knows of a limit.
    fn note_row(&mut self, now: TimePoint, row: &LimitRow, base: AgeBase) {
        let record = LimitRecord::from_row(row, base);
        let known = self.limits.get(&row.scope).map(|state| state.record.clone());
        // An end is decided by the root hub, so an asker's word of it is of an earlier one.
        if !row.ended {
            self.note_named(now, row.scope, &record, LimitEvidence::Peer);
        }
        if let Some(state) = self.limits.get_mut(&row.scope)
            && let Some(age) = row.unnamed_age_ms
        {
            state.record.note_unnamed(base.at - Duration::from_millis(age.into()));
        }
        let is_new = self.limits.get(&row.scope).map(|state| &state.record) != known.as_ref();
        if is_new {
            self.answers.note(row.scope.number());
        }
        self.decide_end(now, row.scope, LimitEvidence::Peer);
    }

    fn grants(&mut self, now: TimePoint, asker: &ProcessId, report: &LimitReport) -> Vec<GrantRow> {
        let (horizon, mut grants) = (self.horizon, Vec::new());
        for row in &report.holdings {
            self.refresh(now, row.scope);
            let Some(state) = self.limits.get_mut(&row.scope) else { continue };
            state.pool.settle(now, asker, report.term, row);
            let own_wants = state.own_wants(now, horizon);
            let lots = state.pool.issue(now, asker, &own_wants);
            let wanted = state.pool.wanted(now, &own_wants).max(state.wanted);
            if !lots.is_empty() || !row.wants.is_empty() {
                grants.push(GrantRow { scope: row.scope, lots, wanted });
            }
        }
        grants
    }

    /// Applies the hub's answer to the report that was sent at `sent_at`; `fleet` is the size of the
    /// fleet that the hub told, or 0, and `knows` tells whether the hub knows the limits that the fleet
    /// knows.
    ///
    /// Answers of another entry than the hub, and answers that come twice or late, are ignored.
    pub fn apply_answer(
        &mut self,
        now: TimePoint,
        wall_ms: u64,
        hub: HubChoice,
        sent_at: TimePoint,
        answer: Option<&LimitAnswer>,
        (fleet, knows): (u32, bool),
    ) {
        if hub != self.role || hub == HubChoice::Own {
            return;
        }
        self.note_met(knows, true);
        if fleet > 0 {
            self.told = Some((now, fleet));
            self.share.note_told(now, fleet);
        }
        let Some(answer) = answer else {
            // The hub knows no limit, so it is another run than the one that was told of some.
            self.by_hub = LedgerPosition::default();
            return;
        };
        if self.of_hub.incarnation != answer.position.incarnation {
            // Another run of the hub does not have what was reported to the one before.
            self.by_hub = LedgerPosition::default();
        } else if answer.serial <= self.hub_serial {
            return;
        } else {
            self.by_hub = self.reported;
        }
        self.of_hub = answer.position;
        self.hub_serial = answer.serial;
        let wall_ms = wall_ms.saturating_sub(now.since(sent_at).as_millis() as u64);
        for row in &answer.news {
            self.note_hub_row(now, row, AgeBase { at: sent_at, wall_ms });
        }
        for grant in &answer.grants {
            let Some(state) = self.limits.get_mut(&grant.scope) else { continue };
            state.pool.enter_term(self.term, false);
            state.wanted = grant.wanted;
            for lot in &grant.lots {
                let expires = sent_at + Duration::from_millis(lot.life_ms.into());
                state.pool.receive(lot.rank, lot.count, expires);
            }
        }
    }

    fn note_hub_row(&mut self, now: TimePoint, row: &LimitRow, base: AgeBase) {
        let record = LimitRecord::from_row(row, base);
        // The next hub may not know of it.
        self.answers.note(row.scope.number());
        if !row.ended {
            return self.note_named(now, row.scope, &record, LimitEvidence::Peer);
        }
        let Some(state) = self.limits.get_mut(&row.scope) else { return };
        let was_ended = state.record.ended;
        state.record.note_ended(&record);
        if state.record.ended && !was_ended {
            self.note_change(now, row.scope, LimitEvidence::Peer);
        }
    }
}
