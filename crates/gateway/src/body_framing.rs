//! How the end of a response's body is marked.

use http::{HeaderMap, Method, StatusCode, header, response};

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// By a length or by chunks, or there is no body.
    Marked,
    /// By the end of the connection, which is also what a crash of the endpoint looks like.
    Connection,
}

impl BodyFraming {
    /// Returns the framing of a response to a request with `method`.
    pub(crate) fn new(method: &Method, parts: &response::Parts) -> BodyFraming {
        let status = parts.status;
        let is_bodiless = method == Method::HEAD
            || status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let has_length = parts.headers.contains_key(header::CONTENT_LENGTH);
        if is_bodiless || has_length || is_chunked(&parts.headers) {
            BodyFraming::Marked
        } else {
            BodyFraming::Connection
        }
    }

    /// Returns the name of the framing in logs.
    pub(crate) fn label(self) -> &'static str {
        match self {
            BodyFraming::Marked => "marked",
            BodyFraming::Connection => "connection",
        }
    }
}

/// Reports whether the last transfer coding is `chunked`.
fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let last = codings.and_then(|codings| codings.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
