//! Requests that are not sent because they, or a part of their prompt, crash endpoints.

use pimentorock_kernel::{suspect::SuspectVerdict, time::TimePoint};

use crate::{dispatch_failure::DispatchFailure, dispatcher::RequestDispatcher, logs::part};

impl RequestDispatcher {
    /// Reports whether the request itself must not run because of its crashes.
    ///
    /// Crashes that a suspected prompt part of other requests explains do not count.
    pub(crate) fn is_refused(&self, now: TimePoint) -> bool {
        let (crashes, limit) = {
            let suspects = self.state.suspects();
            if suspects.verdict(now, self.fingerprint) != SuspectVerdict::Refuse {
                return false;
            }
            let crashes = suspects.table().crashes(self.fingerprint).to_vec();
            (crashes, suspects.table().limits().crashes_of_sole_suspect)
        };
        let part_suspects = self.state.part_suspects();
        let table = part_suspects.table();
        let unexplained = crashes.iter().filter(|crash| {
            crash.counts_against()
                && !table.is_explained(&crash.endpoint, crash.crash_id, &self.parts)
        });
        unexplained.count() >= limit
    }

    /// Returns the failure for a request with a prompt part that crashes the endpoints that run it.
    pub(crate) fn suspect_part_failure(&self, now: TimePoint, part: u64) -> DispatchFailure {
        let (history, refused_for) = {
            let suspects = self.state.part_suspects();
            let table = suspects.table();
            (table.history_at(now, part).unwrap_or_default(), table.refused_for(now, part))
        };
        let evidence: Vec<String> = history
            .counted()
            .map(|crash| {
                format!(
                    "{} run {}, {} ms ago",
                    crash.endpoint,
                    crash.crash_id,
                    crash.age.as_millis()
                )
            })
            .collect();
        let place = self.parts.iter().position(|key| *key == part).unwrap_or_default();
        let id = self.request.placement.parts.get(place).map_or(0, |part| part.id);
        log::warn!(
            target: part::REQUEST,
            request = &*self.request.id, prompt_part = format!("{id:x}"), place = place + 1,
            parts = self.request.logged_parts(), crashes = evidence.len(),
            evidence = evidence.join("; "), proven = history.is_proven(),
            refused_for_s = refused_for.as_secs();
            "request refused because of a prompt part"
        );
        self.state.metrics.note_refused_part();
        let failure =
            self.failure("a part of its prompt was running at endpoints when they crashed".into());
        // Coming back earlier would be in vain.
        DispatchFailure { retry_after: failure.retry_after.map(|_| refused_for), ..failure }
    }

    /// Returns the failure for a request that crashes the endpoints that run it.
    pub(crate) fn suspect_failure(&self, now: TimePoint) -> DispatchFailure {
        let (crashes, refused_for) = {
            let suspects = self.state.suspects();
            let records = suspects.table().crashes(self.fingerprint).iter();
            let endpoints: Vec<String> = records
                .filter(|record| record.counts_against())
                .map(|record| format!("{} run {}", record.endpoint, record.crash_id))
                .collect();
            (endpoints, suspects.refused_for(now, self.fingerprint))
        };
        log::warn!(
            target: part::REQUEST,
            request = &*self.request.id, fingerprint = format!("{:016x}", self.fingerprint),
            crashes = crashes.len(), endpoints = crashes.join(", "),
            refused_for_s = refused_for.as_secs();
            "request refused as the cause of crashes"
        );
        self.state.metrics.note_refused_suspect();
        let reason = "it was running at endpoints when they crashed";
        let failure = self.failure(reason.into());
        // Coming back earlier would be in vain.
        DispatchFailure { retry_after: failure.retry_after.map(|_| refused_for), ..failure }
    }
}
