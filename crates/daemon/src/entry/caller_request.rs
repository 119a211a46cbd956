//! Parsing and validation of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use pimentorock_kernel::{
    catalog::{ClassSpec, ServiceCatalog},
    ids::{AccountKey, ClassKey, RequestId},
    suspect::fingerprint,
};
use poem::http::{HeaderMap, StatusCode};
use serde_json::Value;
use sha2::{Digest, Sha256};

use crate::{entry::api_error::ApiError, key_hash::KeyHash};

/// Header that names the request class.
const CLASS_HEADER: &str = "x-request-class";

/// Header that shortens the deadline of the class, with values such as `1500ms` or `2s`.
const DEADLINE_HEADER: &str = "x-request-deadline";

/// Header with the idempotency key, which makes it safe to repeat a request.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Maximum length of an idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 255;

/// Number of bytes of prompt text that are estimated as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Size of one prefix block of the prompt text, in bytes.
const PREFIX_BLOCK_BYTES: usize = 1024;

/// Maximum number of prefix blocks that are hashed.
const MAX_PREFIX_BLOCKS: usize = 32;

/// The format of the answer to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerFormat {
    /// A stream of server-sent events from a model.
    Stream {
        /// Whether the caller requested the final usage event.
        with_usage: bool,
    },
    /// A single JSON body from a model.
    Json,
    /// The unmodified answer of a plain service.
    Service,
}

/// A parsed and validated request from a caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub(crate) id: RequestId,
    pub(crate) account: AccountKey,
    pub(crate) class: ClassKey,
    pub(crate) key_hash: KeyHash,
    /// Name of the model or plain service.
    pub(crate) model: Box<str>,
    pub(crate) format: AnswerFormat,
    pub(crate) method: Box<str>,
    /// Path and query that are forwarded to the endpoint.
    pub(crate) path: Box<str>,
    /// Headers that are forwarded to the endpoint.
    pub(crate) headers: Vec<(Box<str>, Box<str>)>,
    pub(crate) body: Bytes,
    /// Estimated number of prompt tokens; 0 for a plain service.
    pub(crate) prompt_tokens: u32,
    /// Maximum number of output tokens; 0 if the caller sets no limit.
    pub(crate) max_tokens: u32,
    /// Whether the request may run more than once, according to its class.
    pub(crate) idempotent: bool,
    pub(crate) idempotency_key: Option<Box<str>>,
    /// Time from arrival to the deadline.
    pub(crate) time_allowed: Duration,
    /// Hash of account, model, path and body, equal for repeats of the same request.
    pub(crate) fingerprint: u64,
    /// Chained hashes of the full prefix blocks of the prompt; empty for a plain service.
    pub(crate) prefix: Box<[u64]>,
}

/// The parts of a request that do not depend on its model.
#[derive(Debug)]
pub(crate) struct RequestParts<'a> {
    pub(crate) id: RequestId,
    pub(crate) account: AccountKey,
    pub(crate) key_hash: KeyHash,
    pub(crate) method: &'a str,
    pub(crate) path: String,
    pub(crate) headers: &'a HeaderMap,
    /// Headers that are forwarded to the endpoint.
    pub(crate) forwarded: Vec<(Box<str>, Box<str>)>,
}

impl CallerRequest {
    /// Parses a request to a model.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if the body or a header is invalid.
    pub(crate) fn for_model(
        parts: RequestParts<'_>,
        body: &[u8],
        catalog: &ServiceCatalog,
    ) -> Result<CallerRequest, ApiError> {
        let mut value: Value = serde_json::from_slice(body)
            .map_err(|error| invalid_request(format!("the body is not valid JSON: {error}")))?;
        let Some(fields) = value.as_object_mut() else {
            return Err(invalid_request("the body is not a JSON object".to_owned()));
        };
        let model = string_field(fields, "model")?;
        let prompt = prompt_text(fields)?;
        let max_tokens = max_tokens(fields)?;
        let format = answer_format(fields)?;
        if let AnswerFormat::Stream { .. } = format {
            fields.insert("stream_options".to_owned(), serde_json::json!({"include_usage": true}));
        }
        let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN) as u32;
        let prefix = prefix_hashes(&model, prompt.as_bytes());
        let body = Bytes::from(value.to_string());
        let mut request = CallerRequest::build(parts, model, format, body, catalog)?;
        request.prompt_tokens = prompt_tokens;
        request.max_tokens = max_tokens;
        request.prefix = prefix;
        Ok(request)
    }

    /// Parses a request to a plain service.
    ///
    /// # Errors
    ///
    /// Returns the error for the caller if a header is invalid.
    pub(crate) fn for_service(
        parts: RequestParts<'_>,
        service: &str,
        body: Bytes,
        catalog: &ServiceCatalog,
    ) -> Result<CallerRequest, ApiError> {
        CallerRequest::build(parts, service.into(), AnswerFormat::Service, body, catalog)
    }

    fn build(
        parts: RequestParts<'_>,
        model: Box<str>,
        format: AnswerFormat,
        body: Bytes,
        catalog: &ServiceCatalog,
    ) -> Result<CallerRequest, ApiError> {
        check_model(&parts, &model, catalog)?;
        let label = header_text(parts.headers, CLASS_HEADER)?;
        let class = catalog.classify(parts.account, &model, label).ok_or_else(|| {
            let message = format!("no class of the account takes a request for \"{model}\"");
            ApiError::new(StatusCode::BAD_REQUEST, "no_class", message)
        })?;
        let spec = &catalog.classes[class];
        let time_allowed = time_allowed(parts.headers, spec)?;
        let idempotency_key = idempotency_key(parts.headers)?;
        let account_name = &catalog.accounts[parts.account].name;
        let fingerprint = fingerprint(&[account_name, &model, &parts.path], &body);
        Ok(CallerRequest {
            id: parts.id,
            account: parts.account,
            class,
            key_hash: parts.key_hash,
            model,
            format,
            method: parts.method.into(),
            path: parts.path.into(),
            headers: parts.forwarded,
            body,
            prompt_tokens: 0,
            max_tokens: 0,
            idempotent: spec.idempotent,
            idempotency_key,
            time_allowed,
            fingerprint,
            prefix: Box::default(),
        })
    }
}

/// Returns the error for an invalid request.
pub(crate) fn invalid_request(message: String) -> ApiError {
    ApiError::new(StatusCode::BAD_REQUEST, "invalid_request", message)
}

fn check_model(
    parts: &RequestParts<'_>,
    model: &str,
    catalog: &ServiceCatalog,
) -> Result<(), ApiError> {
    // For a model that the account may not use, the answer is the same as for a model that does
    // not exist.
    let known = catalog.model(model).is_some() && catalog.may_use(parts.account, model);
    if known && catalog.endpoints_of(model).next().is_some() {
        return Ok(());
    }
    let message = format!("model \"{model}\" does not exist");
    Err(ApiError::new(StatusCode::NOT_FOUND, "model_not_found", message))
}

fn string_field(fields: &serde_json::Map<String, Value>, name: &str) -> Result<Box<str>, ApiError> {
    match fields.get(name) {
        Some(Value::String(text)) if !text.is_empty() => Ok(text.as_str().into()),
        Some(_) => Err(invalid_request(format!("field \"{name}\" is not a text"))),
        None => Err(invalid_request(format!("field \"{name}\" is missing"))),
    }
}

/// Returns the prompt text, taken from `messages` for a chat request and from `prompt` otherwise.
fn prompt_text(fields: &serde_json::Map<String, Value>) -> Result<String, ApiError> {
    match (fields.get("messages"), fields.get("prompt")) {
        (Some(Value::Array(messages)), _) => {
            Ok(messages.iter().map(Value::to_string).collect::<Vec<_>>().join("\n"))
        }
        (Some(_), _) => Err(invalid_request("field \"messages\" is not a list".to_owned())),
        (None, Some(Value::String(prompt))) => Ok(prompt.clone()),
        (None, Some(prompt)) => Ok(prompt.to_string()),
        (None, None) => {
            Err(invalid_request("field \"messages\" or \"prompt\" is missing".to_owned()))
        }
    }
}

fn max_tokens(fields: &serde_json::Map<String, Value>) -> Result<u32, ApiError> {
    let value = fields.get("max_completion_tokens").or_else(|| fields.get("max_tokens"));
    match value {
        None | Some(Value::Null) => Ok(0),
        Some(value) => {
            value.as_u64().and_then(|count| u32::try_from(count).ok()).ok_or_else(|| {
                invalid_request("field \"max_tokens\" is not a whole number".to_owned())
            })
        }
    }
}

fn answer_format(fields: &serde_json::Map<String, Value>) -> Result<AnswerFormat, ApiError> {
    match fields.get("stream") {
        None | Some(Value::Null) | Some(Value::Bool(false)) => Ok(AnswerFormat::Json),
        Some(Value::Bool(true)) => {
            let requested =
                fields.get("stream_options").and_then(|options| options.get("include_usage"));
            Ok(AnswerFormat::Stream { with_usage: requested == Some(&Value::Bool(true)) })
        }
        Some(_) => Err(invalid_request("field \"stream\" is not true or false".to_owned())),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ApiError> {
    match headers.get(name).map(|value| value.to_str()) {
        None => Ok(None),
        Some(Ok(text)) => Ok(Some(text)),
        Some(Err(_)) => Err(invalid_request(format!("header \"{name}\" is not plain text"))),
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<Box<str>>, ApiError> {
    match header_text(headers, IDEMPOTENCY_HEADER)? {
        None => Ok(None),
        Some(text) if text.is_empty() || text.len() > MAX_IDEMPOTENCY_KEY => Err(invalid_request(
            format!("header \"{IDEMPOTENCY_HEADER}\" is not 1 to {MAX_IDEMPOTENCY_KEY} bytes long"),
        )),
        Some(text) => Ok(Some(text.into())),
    }
}

fn time_allowed(headers: &HeaderMap, class: &ClassSpec) -> Result<Duration, ApiError> {
    let Some(text) = header_text(headers, DEADLINE_HEADER)? else { return Ok(class.deadline) };
    let span = pimentorock_settings::units::parse_duration(text).ok_or_else(|| {
        invalid_request(format!(
            "header \"{DEADLINE_HEADER}\" is not a duration such as \"1500ms\": \"{text}\""
        ))
    })?;
    Ok(span.min(class.deadline))
}

/// Returns one hash per full block of the prompt.
///
/// Each hash covers the model and all blocks up to and including its own. At most
/// [`MAX_PREFIX_BLOCKS`] blocks are hashed.
fn prefix_hashes(model: &str, prompt: &[u8]) -> Box<[u64]> {
    let mut last = leading_u64(&Sha256::digest(model.as_bytes()));
    prompt
        .chunks_exact(PREFIX_BLOCK_BYTES)
        .take(MAX_PREFIX_BLOCKS)
        .map(|block| {
            let mut hasher = Sha256::new();
            hasher.update(last.to_be_bytes());
            hasher.update(block);
            last = leading_u64(&hasher.finalize());
            last
        })
        .collect()
}

fn leading_u64(digest: &[u8]) -> u64 {
    digest.iter().take(8).fold(0, |word, &byte| word << 8 | u64::from(byte))
}
