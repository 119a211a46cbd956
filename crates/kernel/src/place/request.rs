//! The properties of a request that placement needs.

use std::time::Duration;

use crate::stream_origin::VersionKey;

/// Tokens per second of each stream at an endpoint whose slots are all in use and that prefills
/// prompts between the output tokens.
const FULL_LOAD_RATE: f64 = 14.5;

/// Largest share of an endpoint's slots that entries use. The rest is kept free because each entry
/// learns of the others' requests with a delay.
const MAX_SLOT_SHARE: f64 = 0.95;

/// A part of a prompt, either shared with other requests or belonging to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier that is derived from the part's text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Describes a request for placement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacedRequest {
    /// Service that must run the request.
    pub service: Box<str>,
    /// Tokens of the prompt; 0 for a service that is not a model engine.
    pub prompt_tokens: u32,
    /// Largest number of tokens of the answer; 0 for a service that is not a model engine.
    pub output_tokens: u32,
    /// Tokens per second that the answer needs to be complete in time; 0 for a service that is not
    /// a model engine.
    pub needed_rate: f64,
    /// Time within which the first token is on time; `None` if the class has no such target.
    pub latency_target: Option<Duration>,
    /// Whether the request's class allows only short pauses; see
    /// [`strict_pauses`](super::strict_pauses).
    pub strict: bool,
    /// Urgency of the request, 0 for the most urgent; `None` counts as the least urgent.
    pub urgency: Option<u8>,
    /// Parts of the prompt in order; the last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// Whether the caller holds a part of the answer already.
    pub continues: bool,
    /// Version that must run the request, because it began the answer or follows from the request's
    /// identifier; `None` if any version may.
    pub version: Option<VersionKey>,
}

impl PlacedRequest {
    /// Returns the parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Marks the request as one whose caller holds a part of the answer already; it goes before
    /// others of its class.
    pub fn with_continuation(self, version: Option<VersionKey>) -> PlacedRequest {
        let urgency = self.urgency.map(|urgency| urgency - urgency % URGENCY_PER_TIER);
        PlacedRequest { continues: true, version, urgency, ..self }
    }

    /// Returns the last shared part, by which the request's home endpoints are chosen.
    pub fn affinity_part(&self) -> Option<PromptPart> {
        self.shared_parts().last().copied()
    }

    /// Returns the tokens that the request occupies in an endpoint's memory, without shared parts.
    pub fn memory_tokens(&self) -> u64 {
        let own = self.prompt_tokens.saturating_sub(self.shared_tokens());
        u64::from(own) + u64::from(self.output_tokens)
    }

    /// Returns the number of requests at an endpoint below which the endpoint accepts this request.
    ///
    /// `slots` is the endpoint's number of slots, and `strict` tells whether the endpoint is
    /// reserved for strict classes. Each stream gets slower as more streams run and more prompts
    /// are prefilled between their tokens. With all slots in use, an answer of several hundred
    /// tokens takes longer than its caller waits, and the work of all these requests is wasted.
    pub fn load_limit(&self, slots: u32, strict: bool) -> f64 {
        if self.needed_rate <= 0.0 {
            return f64::INFINITY;
        }
        // Less than the whole answer is left, and a caller that is refused loses what it holds.
        if self.continues {
            return MAX_SLOT_SHARE * f64::from(slots);
        }
        let share =
            if self.strict && strict { MAX_SLOT_SHARE } else { FULL_LOAD_RATE / self.needed_rate };
        share.min(MAX_SLOT_SHARE) * f64::from(slots)
    }

    /// Returns the total tokens of all shared parts.
    pub fn shared_tokens(&self) -> u32 {
        total_tokens(self.shared_parts().iter())
    }
}

/// Returns the total tokens of `parts`, at most what the type holds.
pub(super) fn total_tokens<'a>(parts: impl Iterator<Item = &'a PromptPart>) -> u32 {
    parts.fold(0, |sum, part| sum.saturating_add(part.tokens))
}

/// Number of urgencies of each tier.
const URGENCY_PER_TIER: u8 = 2;

/// Largest value that [`urgency`] returns, for the least urgent requests.
const LEAST_URGENCY: u8 = 9;

/// Returns the urgency of a request from the tiers of its class and of its client account.
///
/// 0 is the most urgent; `None` stands for a request without any tier. The class dominates: no
/// request is preempted for a request of a less urgent class, regardless of the accounts. Within a
/// class, a request whose account is at least as urgent as the class goes before the others.
pub fn urgency(class: Option<u8>, account: Option<u8>) -> Option<u8> {
    let Some(class) = class else {
        return account.map(|account| account.saturating_mul(URGENCY_PER_TIER).min(LEAST_URGENCY));
    };
    let yields = u8::from(account.is_none_or(|account| account > class));
    Some(class.saturating_mul(URGENCY_PER_TIER).saturating_add(yields).min(LEAST_URGENCY))
}
