//! The answers of the engine stand-in.
//!
//! Each token is a pure function of the model, the prompt and the token's index, so that clients
//! can compute the expected answer and compare it byte for byte.

use serde_json::Value;
use sha2::{Digest, Sha256};

/// Minimum length, in tokens, of an answer whose prompt does not contain `tokens=N`.
const MIN_ANSWER_TOKENS: u32 = 8;

/// Number of different lengths of answers whose prompts do not contain `tokens=N`.
const ANSWER_TOKENS_RANGE: u64 = 56;

/// Bytes of prompt text per prompt token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Text in a prompt that precedes the requested number of answer tokens.
const LENGTH_MARKER: &str = "tokens=";

/// Returns the text of the answer token at `index`.
///
/// Every token except the first begins with a space.
pub fn token_text(model: &str, prompt: &str, index: u32) -> String {
    let digits = hash(&[model.as_bytes(), prompt.as_bytes(), &index.to_be_bytes()]) & 0xff_ffff;
    let gap = if index == 0 { "" } else { " " };
    format!("{gap}{digits:06x}")
}

/// Returns the concatenated first `tokens` tokens of the answer.
pub fn expected_text(model: &str, prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token_text(model, prompt, index)).collect()
}

/// Returns the number of tokens of the complete answer; a `max_tokens` of 0 means no limit.
///
/// A prompt that contains `tokens=N` is answered with N tokens. For any other prompt the length
/// depends only on the model and the prompt.
pub fn expected_tokens(model: &str, prompt: &str, max_tokens: u32) -> u32 {
    let wanted = requested_tokens(prompt).unwrap_or_else(|| {
        MIN_ANSWER_TOKENS
            + (hash(&[model.as_bytes(), prompt.as_bytes()]) % ANSWER_TOKENS_RANGE) as u32
    });
    if max_tokens == 0 { wanted } else { wanted.min(max_tokens) }
}

/// Returns the number of prompt tokens that usage reports for a prompt, at least 1.
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN).max(1) as u32
}

/// Returns the prompt text of a request body.
///
/// The text is the field `prompt` of a completion request, or the contents of all messages of a
/// chat request joined by line feeds. Returns `None` if the body has neither or if one of them
/// is not text.
pub fn prompt_text(body: &Value) -> Option<String> {
    if let Some(prompt) = body.get("prompt") {
        return prompt.as_str().map(str::to_owned);
    }
    let messages = body.get("messages")?.as_array()?;
    let contents: Option<Vec<&str>> =
        messages.iter().map(|message| message.get("content")?.as_str()).collect();
    contents.map(|contents| contents.join("\n"))
}

/// Returns the first 64 bits of a SHA-256 hash of `parts`.
///
/// Each part is hashed after its length, so that moving bytes from one part to the next changes
/// the hash.
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
