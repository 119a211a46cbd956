//! A caller that compares each answer with the expected text.

use futures::StreamExt;
use pimentorock_lab::answer::{expected_text, expected_tokens};
use reqwest::{RequestBuilder, Response};
use serde_json::{Value, json};

use crate::stack::{MODEL, Process, SHOP_KEY, Stack};

/// A chat request to the deployment under test.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    pub prompt: String,
    pub class: &'static str,
    pub key: &'static str,
    pub stream: bool,
    pub headers: Vec<(&'static str, String)>,
}

/// The answer to a [`ChatRequest`].
#[derive(Clone, Debug)]
pub struct ChatAnswer {
    /// HTTP status; 0 if the connection failed.
    pub status: u16,
    pub request_id: String,
    pub text: String,
    /// Whether the answer has its regular end.
    pub complete: bool,
    /// Error object of the answer; null if there is none.
    pub error: Value,
    pub retry_after: Option<String>,
}

impl ChatRequest {
    /// Returns a streamed request of the class `chat` that asks for an answer of `tokens` tokens.
    pub fn new(label: &str, tokens: u32) -> ChatRequest {
        ChatRequest {
            prompt: format!("{label} tokens={tokens}"),
            class: "chat",
            key: SHOP_KEY,
            stream: true,
            headers: Vec::new(),
        }
    }

    /// Sets the request class.
    pub fn with_class(mut self, class: &'static str) -> ChatRequest {
        self.class = class;
        self
    }

    /// Requests a single JSON body instead of a stream.
    pub fn without_streaming(mut self) -> ChatRequest {
        self.stream = false;
        self
    }

    /// Sets the caller's key.
    pub fn with_key(mut self, key: &'static str) -> ChatRequest {
        self.key = key;
        self
    }

    /// Adds a request header.
    pub fn with_header(mut self, name: &'static str, value: &str) -> ChatRequest {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Returns the HTTP call for the request without sending it.
    pub fn call(&self, stack: &Stack, entry: &Process) -> RequestBuilder {
        let body = json!({
            "model": MODEL,
            "stream": self.stream,
            "messages": [{"role": "user", "content": self.prompt}],
        });
        let mut call = stack
            .http
            .post(format!("{}/v1/chat/completions", entry.url("listen")))
            .bearer_auth(self.key)
            .header("x-request-class", self.class)
            .json(&body);
        for (name, value) in &self.headers {
            call = call.header(*name, value);
        }
        call
    }

    /// Sends the request and reads the answer to its end.
    pub async fn send(&self, stack: &Stack, entry: &Process) -> ChatAnswer {
        match self.call(stack, entry).send().await {
            Ok(response) => read_answer(response, self.stream).await,
            Err(error) => ChatAnswer {
                status: 0,
                request_id: String::new(),
                text: error.to_string(),
                complete: false,
                error: Value::Null,
                retry_after: None,
            },
        }
    }

    /// Returns the answer text that is expected for this request only.
    pub fn expected_text(&self) -> String {
        expected_text(MODEL, &self.prompt, expected_tokens(MODEL, &self.prompt, 0))
    }

    /// Panics unless `answer` is complete and belongs to this request.
    pub async fn assert_complete(&self, answer: &ChatAnswer, stack: &Stack) {
        if answer.status == 200 && answer.complete && answer.text == self.expected_text() {
            return;
        }
        let explanation = stack.explain(&answer.request_id).await;
        panic!("{self:?} got {answer:?}\n{explanation}\n{}", stack.logs());
    }
}

async fn read_answer(response: Response, stream: bool) -> ChatAnswer {
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let mut answer = ChatAnswer {
        status: response.status().as_u16(),
        request_id: header("x-request-id").unwrap_or_default(),
        text: String::new(),
        complete: false,
        error: Value::Null,
        retry_after: header("retry-after"),
    };
    if !stream || !response.status().is_success() {
        let body: Value = response.json().await.unwrap_or(Value::Null);
        answer.error = body["error"].clone();
        let text = body.pointer("/choices/0/message/content").and_then(Value::as_str);
        answer.complete = text.is_some();
        answer.text = text.unwrap_or_default().to_owned();
        return answer;
    }
    let mut chunks = response.bytes_stream();
    let mut body = Vec::new();
    while let Some(Ok(chunk)) = chunks.next().await {
        body.extend_from_slice(&chunk);
    }
    for data in
        String::from_utf8_lossy(&body).lines().filter_map(|line| line.strip_prefix("data: "))
    {
        if data == "[DONE]" {
            answer.complete = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        if !event["error"].is_null() {
            answer.error = event["error"].clone();
        }
        let text = event.pointer("/choices/0/delta/content").and_then(Value::as_str);
        answer.text.push_str(text.unwrap_or_default());
    }
    answer
}
