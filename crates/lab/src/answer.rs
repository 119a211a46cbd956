//! The answers of the engine stand-in: a pure function of model, prompt and position.

use serde_json::Value;
use sha2::{Digest, Sha256};

/// Shortest answer that the prompt does not ask for by `tokens=N`.
const MIN_ANSWER_TOKENS: u32 = 8;

/// Lengths of answers that the prompt does not ask for differ by less than this.
const ANSWER_TOKENS_RANGE: u64 = 56;

/// Bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// A word in a prompt that sets the length of its answer.
const LENGTH_MARKER: &str = "tokens=";

/// Returns the text of the token at `index` of the answer; all but the first begin with a
/// space.
pub fn token_text(model: &str, prompt: &str, index: u32) -> String {
    let digits = hash(&[model.as_bytes(), prompt.as_bytes(), &index.to_be_bytes()]) & 0xff_ffff;
    let gap = if index == 0 { "" } else { " " };
    format!("{gap}{digits:06x}")
}

/// Returns the first `tokens` tokens of the answer as one text.
pub fn expected_text(model: &str, prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token_text(model, prompt, index)).collect()
}

/// Returns how many tokens the whole answer has; `max_tokens` of 0 means no bound.
///
/// A prompt that holds `tokens=N` gets N tokens, any other a length that depends on model
/// and prompt alone.
pub fn expected_tokens(model: &str, prompt: &str, max_tokens: u32) -> u32 {
    let wanted = requested_tokens(prompt).unwrap_or_else(|| {
        MIN_ANSWER_TOKENS
            + (hash(&[model.as_bytes(), prompt.as_bytes()]) % ANSWER_TOKENS_RANGE) as u32
    });
    if max_tokens == 0 { wanted } else { wanted.min(max_tokens) }
}

/// Returns how many tokens a prompt counts for in usage.
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u32
}

/// Returns the prompt text of a chat or completion body: the contents of all messages
/// joined by line feeds, or the field `prompt`.
pub fn prompt_text(body: &Value) -> Option<String> {
    if let Some(prompt) = body.get("prompt") {
        return prompt.as_str().map(str::to_owned);
    }
    let messages = body.get("messages")?.as_array()?;
    let contents: Option<Vec<&str>> =
        messages.iter().map(|message| message.get("content")?.as_str()).collect();
    contents.map(|contents| contents.join("\n"))
}

/// Returns a short hash of `parts`, each kept apart from the next.
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    digest.iter().take(8).fold(0, |number, &byte| number << 8 | u64::from(byte))
}

fn requested_tokens(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(LENGTH_MARKER)?;
    let digits = rest.split(|letter: char| !letter.is_ascii_digit()).next()?;
    digits.parse().ok()
}
