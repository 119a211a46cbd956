//! What the head of an answer says of the stream in its body.

use std::fmt;

use http::{HeaderMap, HeaderValue, StatusCode, header, response};

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Status and content coding of a stream of events, which the caller learns from the head of the first
/// answer.
///
/// The body of another answer continues the stream only if its head says the same of it. A head without a
/// media type does not contradict that the body is a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StreamForm {
    status: StatusCode,
    codings: Box<[HeaderValue]>,
}

/// How the head of an answer differs from that of the stream which it was to continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FormMismatch {
    Status(StatusCode),
    MediaType,
    Coding,
}

impl FormMismatch {
    /// Returns the name of the difference in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            FormMismatch::Status(_) => "status",
            FormMismatch::MediaType => "media_type",
            FormMismatch::Coding => "coding",
        }
    }
}

impl fmt::Display for FormMismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FormMismatch::Status(status) => write!(f, "the endpoint answered {status}"),
            FormMismatch::MediaType => f.write_str("the answer has another media type"),
            FormMismatch::Coding => f.write_str("the answer has another content coding"),
        }
    }
}

impl StreamForm {
    /// Returns what a head says of its stream, or `None` if its body is no stream of events.
    pub(crate) fn new(parts: &response::Parts) -> Option<StreamForm> {
        let has_body = !matches!(parts.status, StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT);
        let media_type = media_type(&parts.headers);
        let is_stream = media_type.as_deref().is_none_or(|media_type| media_type == EVENT_STREAM);
        let codings = parts.headers.get_all(header::CONTENT_ENCODING).iter().cloned().collect();
        let is_begun = parts.status.is_success() && has_body && is_stream;
        is_begun.then_some(StreamForm { status: parts.status, codings })
    }

    /// Returns how the answer with this head differs from the stream.
    pub(crate) fn mismatch(&self, parts: &response::Parts) -> Option<FormMismatch> {
        if parts.status != self.status {
            return Some(FormMismatch::Status(parts.status));
        }
        match StreamForm::new(parts) {
            Some(form) if form.codings != self.codings => Some(FormMismatch::Coding),
            Some(_) => None,
            None => Some(FormMismatch::MediaType),
        }
    }
}

fn media_type(headers: &HeaderMap) -> Option<Box<str>> {
    let value = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    let (media_type, _) = value.split_once(';').unwrap_or((value, ""));
    Some(media_type.trim().to_ascii_lowercase().into())
}
