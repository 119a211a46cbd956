//! A request as placement sees it.

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

    /// Returns the tokens of all shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }
}
