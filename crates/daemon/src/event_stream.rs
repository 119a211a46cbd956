//! Parses server-sent events of an engine while they are relayed.

use bytes::{Bytes, BytesMut};
use serde_json::Value;

/// Data of the event that ends a stream.
const DONE: &str = "[DONE]";

/// One event with its unchanged bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StreamEvent {
    /// Bytes of the event, including the blank line that ends it.
    pub(crate) bytes: Bytes,
    /// Content of the event, as far as the router reads it.
    pub(crate) content: EventContent,
}

/// The content of an event that concerns the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EventContent {
    /// Output text or a tool call, which counts as one token.
    Token,
    /// The engine's token counts.
    Usage(TokenUsage),
    /// The end of the stream.
    Done,
    /// An error of the engine after the stream began.
    Error,
    /// Any other content, such as a role or a finish reason.
    Other,
}

/// Token counts that an engine reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TokenUsage {
    /// Number of tokens of the prompt.
    pub(crate) prompt: u64,
    /// Number of tokens of the output.
    pub(crate) output: u64,
}

impl TokenUsage {
    /// Returns the `usage` member of an answer or event, or `None` if it is missing or incomplete.
    pub(crate) fn from_answer(answer: &Value) -> Option<TokenUsage> {
        let usage = answer.get("usage")?;
        let prompt = usage.get("prompt_tokens")?.as_u64()?;
        let output = usage.get("completion_tokens")?.as_u64()?;
        Some(TokenUsage { prompt, output })
    }
}

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub(crate) struct EventReader {
    /// Bytes of the incomplete event.
    buffer: BytesMut,
}

impl EventReader {
    /// Returns a reader at the start of a stream.
    pub(crate) fn new() -> EventReader {
        EventReader::default()
    }

    /// Appends bytes of the stream and returns the events that they complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Vec<StreamEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = event_end(&self.buffer) {
            let bytes = self.buffer.split_to(end).freeze();
            let content = read_content(&bytes);
            events.push(StreamEvent { bytes, content });
        }
        events
    }

    /// Returns the number of buffered bytes of an incomplete event.
    pub(crate) fn pending(&self) -> usize {
        self.buffer.len()
    }
}

/// Returns the offset after the blank line that ends the first event; `None` if it is incomplete.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let lf = buffer.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = buffer.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

/// Classifies the content of one complete event.
fn read_content(bytes: &[u8]) -> EventContent {
    let Ok(text) = std::str::from_utf8(bytes) else { return EventContent::Other };
    let data: String = text
        .lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .map(|line| line.strip_prefix(' ').unwrap_or(line))
        .collect();
    if data == DONE {
        return EventContent::Done;
    }
    let Ok(value) = serde_json::from_str::<Value>(&data) else { return EventContent::Other };
    if value.get("error").is_some() {
        return EventContent::Error;
    }
    if has_output(&value) {
        return EventContent::Token;
    }
    match TokenUsage::from_answer(&value) {
        Some(usage) => EventContent::Usage(usage),
        None => EventContent::Other,
    }
}

/// Reports whether any choice of an event has output text or a tool call.
fn has_output(value: &Value) -> bool {
    let Some(choices) = value.get("choices").and_then(Value::as_array) else { return false };
    choices.iter().any(|choice| {
        let text = choice.get("text").or_else(|| choice.pointer("/delta/content"));
        text.and_then(Value::as_str).is_some_and(|text| !text.is_empty())
            || choice.pointer("/delta/tool_calls").is_some()
    })
}
