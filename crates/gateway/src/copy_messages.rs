//! What entries tell each other of their copies of the store.

use std::{net::SocketAddr, time::Duration};

use pimentorock_kernel::{
    hub::{KnownEntry, PositionClaim},
    log_position::{LogPosition, MAX_ERA},
    place::{CopyUpdate, EvacuationUpdate},
    time::TimePoint,
};
use serde::{Deserialize, Serialize};

use crate::{
    clock,
    config_copy::{ConfigNews, HeldConfig},
    logs::part,
    shared_view::{EraChange, age_ms},
    state::GatewayState,
    store::StoreTopic,
};

/// Size in bytes up to which a list of endpoints is sent to an entry that asks many others as well.
const SHORT_LIST_BYTES: usize = 4 << 10;

/// A question for a newer copy of the store than that of the asking entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct CopyQuestion {
    /// Address where peers reach the asking entry.
    pub(crate) peer: SocketAddr,
    /// Failure domain of the asking entry.
    pub(crate) domain: Box<str>,
    /// What the asking entry has.
    pub(crate) state: CopyState,
    /// Whether the answer may have a long list of endpoints. An entry asks many others for news, but only
    /// one at a time for such a list.
    pub(crate) takes_list: bool,
}

/// How much of the store an entry has.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct CopyState {
    /// Highest era of the store that the entry has seen.
    pub(crate) era: u64,
    /// Age of the entry's configuration and endpoints, in milliseconds.
    pub(crate) store_age_ms: u64,
    /// Version of the entry's configuration; `None` if the entry has none.
    pub(crate) config_version: Option<u64>,
    /// Position up to which the entry has the endpoints; `None` if it has none.
    pub(crate) endpoints_next: Option<LogPosition>,
    /// Position up to which the entry knows the orders to evacuate failure domains.
    pub(crate) evacuations_known: Option<LogPosition>,
}

/// What an entry lacks of the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct CopyAnswer {
    /// Age of the answering entry's configuration and endpoints, in milliseconds.
    pub(crate) store_age_ms: u64,
    /// The entry that read them from the store, if known.
    pub(crate) reader: Option<SocketAddr>,
    /// Highest era of the store that the answering entry has seen; the configuration is of this era.
    pub(crate) era: u64,
    /// How far the answering entry has the topic of the configuration and of the orders to evacuate failure
    /// domains.
    pub(crate) claim: Option<PositionClaim>,
    /// Newer configurations than that of the question.
    pub(crate) config: ConfigNews,
    /// What the asking entry lacks of the endpoints; `None` if it lacks nothing.
    pub(crate) endpoints: Option<CopyUpdate<Vec<u8>>>,
    /// Whether the asking entry lacks more of the endpoints than the answer may have.
    pub(crate) has_list: bool,
    /// Orders to evacuate failure domains; `None` if the asking entry knows them.
    pub(crate) evacuations: Option<EvacuationUpdate>,
    /// Time since the end of the last outage of the store, in milliseconds; `None` if it is long ago.
    pub(crate) outage_age_ms: Option<u64>,
}

impl CopyAnswer {
    /// Reports whether an entry can have sent the answer.
    pub(crate) fn is_readable(&self) -> bool {
        self.era <= MAX_ERA
            && self.claim.as_ref().is_none_or(PositionClaim::is_readable)
            && self.endpoints.as_ref().is_none_or(CopyUpdate::is_readable)
            && self.evacuations.as_ref().is_none_or(EvacuationUpdate::is_readable)
    }
}

impl GatewayState {
    /// Returns how much of the store this entry has.
    pub(crate) fn copy_state(&self) -> CopyState {
        let endpoints_next = self.endpoints().position();
        let evacuations_known = self.evacuations().position();
        let view = self.view();
        CopyState {
            era: view.era,
            store_age_ms: age_ms(clock::now(), view.follower.current_at()),
            config_version: view.config_version(),
            endpoints_next,
            evacuations_known,
        }
    }

    /// Returns the question for a newer copy of the store than this entry's, whose answer may have a long
    /// list of endpoints if `takes_list` is true.
    pub(crate) fn copy_question(&self, takes_list: bool) -> CopyQuestion {
        let (peer, domain) = (self.settings.peers, self.settings.domain.clone());
        CopyQuestion { peer, domain, state: self.copy_state(), takes_list }
    }

    /// Answers the question of another entry with what that one lacks. Parts of this entry's copy may be newer
    /// although its copy as a whole is older.
    pub(crate) fn answer_copy_question(&self, question: &CopyQuestion) -> CopyAnswer {
        let now = clock::now();
        let era_change = self.note_era(question.state.era, "peer");
        let answer = self.copy_for(&question.state);
        {
            let mut view = self.view();
            let (address, domain) = (question.peer, Some(question.domain.clone()));
            view.roster.note_entry(now, &KnownEntry { address, domain, age_ms: 0 });
            view.note_copy_of(now, question.peer, &question.state);
        }
        if era_change == EraChange::Entered {
            // What this entry has is of an earlier era.
            let CopyAnswer { store_age_ms, reader, era, .. } = answer;
            return CopyAnswer { store_age_ms, reader, era, ..CopyAnswer::default() };
        }
        let is_long = answer
            .endpoints
            .as_ref()
            .is_some_and(|update| update.value_bytes(Vec::len) > SHORT_LIST_BYTES);
        let has_list = is_long && !question.takes_list;
        let endpoints = answer.endpoints.filter(|_| !has_list);
        CopyAnswer { endpoints, has_list, ..answer }
    }

    /// Returns what an entry lacks that has `known` of the store.
    pub(crate) fn copy_for(&self, known: &CopyState) -> CopyAnswer {
        let now = clock::now();
        // The endpoints of the answer may be newer than it says, never older.
        // The same holds for the configuration and the orders before the position of the claim.
        let (current_at, reader, claim) = {
            let view = self.view();
            (view.follower.current_at(), view.follower.reader(), view.config_claim())
        };
        let (endpoints, outage_end) = {
            let copy = self.endpoints();
            (copy.update_for(known.endpoints_next), copy.directory().outage_end(now))
        };
        let (evacuations, has_unconfirmed) = {
            let orders = self.evacuations();
            (orders.update_for(known.evacuations_known), orders.has_unconfirmed())
        };
        // Who continues at the position of the claim does not see that the store has lost an order.
        let claim = claim.filter(|_| !has_unconfirmed);
        let view = self.view();
        CopyAnswer {
            store_age_ms: age_ms(now, current_at),
            reader,
            era: view.era,
            claim,
            config: view.configs.news_for(known.config_version),
            endpoints: endpoints.map(|update| update.map_values(|value| value.to_vec())),
            has_list: false,
            evacuations,
            outage_age_ms: outage_end.map(|end| age_ms(now, end)),
        }
    }

    /// Applies what the entry at `from` answered to a question that was sent at `sent_at`; `source` is `hub`
    /// or `peer`.
    pub(crate) fn apply_copy(
        &self,
        from: SocketAddr,
        sent_at: TimePoint,
        answer: CopyAnswer,
        source: &'static str,
    ) {
        let now = clock::now();
        // What a peer knows of an earlier era of the store may be lost.
        if self.note_era(answer.era, "peer") == EraChange::Outdated {
            return;
        }
        if let Some(evacuations) = answer.evacuations {
            self.adopt_evacuations(evacuations);
        }
        self.apply_config_news(now, from, answer.config);
        if let Some(claim) = answer.claim {
            self.view().note_config_claim(claim);
        }
        if let Some(age_ms) = answer.outage_age_ms {
            let end = sent_at - Duration::from_millis(age_ms);
            self.endpoints().note_outage_end(end);
        }
        let is_whole = answer
            .endpoints
            .is_none_or(|endpoints| self.apply_endpoints(endpoints.map_values(Into::into), "peer"));
        // A configuration that does not arrive from here has to be looked for elsewhere.
        if !is_whole || answer.has_list || self.view().lacks_config(now) {
            return;
        }
        let before = self.view().follower.current_at();
        let current_at = sent_at - Duration::from_millis(answer.store_age_ms);
        self.view().note_passed_on(now, from, current_at, answer.reader);
        self.note_renewal(before, source);
    }

    fn apply_config_news(&self, now: TimePoint, from: SocketAddr, news: ConfigNews) {
        let withdrawn = self.view().configs.take_withdrawn(&news.withdrawn);
        if withdrawn > 0 {
            log::info!(
                target: part::FOLLOW, keys = withdrawn, peer = from.to_string();
                "keys withdrawn ahead of their configuration"
            );
        }
        let offered = match news.held {
            Some(HeldConfig::Record(record)) => {
                self.apply_record(StoreTopic::Config, &record.into(), "peer");
                None
            }
            Some(HeldConfig::Offer(stamp)) => Some((stamp, Some(from))),
            None => None,
        };
        let offers = offered.into_iter().chain(news.heard.map(|stamp| (stamp, None)));
        for (stamp, source) in offers {
            self.view().configs.take_offer(now, stamp, source);
            self.copy_calls.note_offer();
        }
    }

    /// Logs and measures a renewal of this entry's copy of the store, which matched it at `before` until now,
    /// if the copy had been too old; `source` is `store`, `hub` or `peer`.
    pub(crate) fn note_renewal(&self, before: TimePoint, source: &'static str) {
        let now = clock::now();
        let (current_at, max_age) = {
            let view = self.view();
            (view.follower.current_at(), view.roster.max_store_age(now))
        };
        let age = now.since(before);
        if current_at == before || before == TimePoint::ZERO || age <= max_age {
            return;
        }
        log::info!(
            target: part::FOLLOW,
            source = source, age_ms = age.as_millis() as u64, new_age_ms = age_ms(now, current_at);
            "old copy of the store renewed"
        );
        self.metrics.note_late_renewal(age, source);
    }
}
