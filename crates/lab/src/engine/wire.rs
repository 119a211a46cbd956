//! Request and answer bodies in the format of the OpenAI API.

use serde_json::{Value, json};

use super::batch::StepToken;
use crate::answer;

/// Interface that received a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interface {
    Chat,
    Completion,
}

/// The fields of a request that the engine uses.
#[derive(Clone, Debug)]
pub(crate) struct EngineRequest {
    pub(crate) interface: Interface,
    pub(crate) id: Box<str>,
    pub(crate) model: Box<str>,
    pub(crate) prompt: Box<str>,
    pub(crate) max_tokens: u32,
    pub(crate) stream: bool,
    pub(crate) include_usage: bool,
}

impl EngineRequest {
    /// Parses a request body.
    ///
    /// # Errors
    ///
    /// Returns a message that names the missing or malformed field.
    pub(crate) fn new(
        interface: Interface,
        id: &str,
        body: &Value,
        max_tokens_default: u32,
    ) -> Result<EngineRequest, &'static str> {
        let max_tokens = body.get("max_completion_tokens").or(body.get("max_tokens"));
        let options = &body["stream_options"];
        Ok(EngineRequest {
            interface,
            id: id.into(),
            model: body["model"].as_str().ok_or("field \"model\" is no text")?.into(),
            prompt: answer::prompt_text(body).ok_or("the prompt is no text")?.into(),
            max_tokens: match max_tokens {
                None | Some(Value::Null) => max_tokens_default,
                Some(number) => number
                    .as_u64()
                    .and_then(|number| u32::try_from(number).ok())
                    .filter(|&number| number > 0)
                    .ok_or("field \"max_tokens\" is no positive number")?,
            },
            stream: body["stream"].as_bool().unwrap_or(false),
            include_usage: options["include_usage"].as_bool().unwrap_or(false),
        })
    }

    /// Returns the number of tokens of the complete answer.
    pub(crate) fn tokens(&self) -> u32 {
        answer::expected_tokens(&self.model, &self.prompt, self.max_tokens)
    }

    /// Returns the body of an answer that is not streamed.
    pub(crate) fn completion_body(&self) -> Value {
        let text = answer::expected_text(&self.model, &self.prompt, self.tokens());
        let finish = self.finish_reason();
        let choice = match self.interface {
            Interface::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": finish,
            }),
            Interface::Completion => json!({ "index": 0, "text": text, "finish_reason": finish }),
        };
        let mut body = self.envelope(false, json!([choice]));
        body["usage"] = self.usage();
        body
    }

    /// Returns the data of the server-sent events for one token; the last token adds the closing
    /// events.
    pub(crate) fn events(&self, token: StepToken) -> Vec<String> {
        let text = answer::token_text(&self.model, &self.prompt, token.index);
        let mut events = vec![self.chunk(Some(&text), None)];
        if token.last {
            events.push(self.chunk(None, Some(self.finish_reason())));
            if self.include_usage {
                let mut body = self.envelope(true, json!([]));
                body["usage"] = self.usage();
                events.push(body);
            }
        }
        let mut events: Vec<String> = events.iter().map(Value::to_string).collect();
        if token.last {
            events.push("[DONE]".to_owned());
        }
        events
    }

    fn chunk(&self, text: Option<&str>, finish: Option<&str>) -> Value {
        let choice = match (self.interface, text) {
            (Interface::Chat, Some(text)) => json!({
                "index": 0,
                "delta": { "role": "assistant", "content": text },
                "finish_reason": finish,
            }),
            (Interface::Chat, None) => json!({ "index": 0, "delta": {}, "finish_reason": finish }),
            (Interface::Completion, text) => {
                json!({ "index": 0, "text": text.unwrap_or_default(), "finish_reason": finish })
            }
        };
        self.envelope(true, json!([choice]))
    }

    fn envelope(&self, chunk: bool, choices: Value) -> Value {
        let object = match (self.interface, chunk) {
            (Interface::Chat, true) => "chat.completion.chunk",
            (Interface::Chat, false) => "chat.completion",
            (Interface::Completion, _) => "text_completion",
        };
        json!({
            "id": format!("run-{}", self.id),
            "object": object,
            "created": 0,
            "model": self.model,
            "choices": choices,
        })
    }

    fn finish_reason(&self) -> &'static str {
        let unbounded = answer::expected_tokens(&self.model, &self.prompt, 0);
        if self.tokens() < unbounded { "length" } else { "stop" }
    }

    fn usage(&self) -> Value {
        let prompt_tokens = answer::prompt_tokens(&self.prompt);
        json!({
            "prompt_tokens": prompt_tokens,
            "completion_tokens": self.tokens(),
            "total_tokens": prompt_tokens + self.tokens(),
        })
    }
}

/// Returns the body of an error answer.
pub(crate) fn error_body(message: &str, kind: &str) -> Value {
    json!({ "error": { "message": message, "type": kind, "code": null, "param": null } })
}
