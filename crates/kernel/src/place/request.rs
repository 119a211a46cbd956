//! A request as placement sees it.

/// Tokens a second of each stream at an endpoint whose slots are all in use and whose prompts
/// are read between the tokens.
const SLOTS_RATE: f64 = 14.5;

/// Most of an endpoint's slots that entries use, as their knowledge of each other lags.
const MOST_SLOTS: f64 = 0.95;

/// A part of a prompt, shared with other requests or the request's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part's text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What placement knows of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacedRequest {
    /// Service that must run it.
    pub service: Box<str>,
    /// Tokens of the prompt; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Most tokens of the answer; 0 for a plain service.
    pub output_tokens: u32,
    /// Tokens a second that the answer must come at, so as to be whole in time; 0 for a plain
    /// service.
    pub needed_rate: f64,
    /// Whether its class allows only short pauses, see [`strict_pauses`](super::strict_pauses).
    pub strict: bool,
    /// Parts of the prompt in their order; the last one belongs to the request alone.
    pub parts: Vec<PromptPart>,
}

impl PlacedRequest {
    /// Returns the parts that other requests have too.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the last part that other requests have too: what its endpoint should hold.
    pub fn affinity_part(&self) -> Option<PromptPart> {
        self.shared_parts().last().copied()
    }

    /// Returns the tokens that the request takes of an endpoint's memory beside shared parts.
    pub fn memory_tokens(&self) -> u64 {
        let own = self.prompt_tokens.saturating_sub(self.shared_tokens());
        u64::from(own) + u64::from(self.output_tokens)
    }

    /// Returns the requests that an endpoint with `slots` may have for this one to join them.
    ///
    /// The more streams run and the more prompts are read between their tokens, the slower each
    /// stream is. With all slots in use an answer of several hundred tokens takes longer than
    /// its caller waits, and all of them come to nothing.
    pub fn load_limit(&self, slots: u32, strict: bool) -> f64 {
        if self.needed_rate <= 0.0 {
            return f64::INFINITY;
        }
        let share = if self.strict && strict { MOST_SLOTS } else { SLOTS_RATE / self.needed_rate };
        share.min(MOST_SLOTS) * f64::from(slots)
    }

    /// Returns the tokens of all shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }
}

/// Least urgent value of [`urgency`].
const LEAST_URGENT: u8 = 9;

/// Returns how urgent a request is to an endpoint, 0 first, by the tiers of its class and of its
/// client account.
///
/// No request is stopped for one of a class of a lower tier, whoever sent it; within a tier, an
/// account that is as urgent as the class goes before others.
pub fn urgency(class: Option<u8>, account: Option<u8>) -> Option<u8> {
    let Some(class) = class else {
        return account.map(|account| account.saturating_mul(2).min(LEAST_URGENT));
    };
    let behind = u8::from(account.is_none_or(|account| account > class));
    Some(class.saturating_mul(2).saturating_add(behind).min(LEAST_URGENT))
}
