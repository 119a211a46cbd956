//! The request that a response belongs to.

use crate::wire::{NamedRequest, ResponseHead};

/// Which request a response belongs to, as far as can be known.
///
/// A faulty endpoint may write an earlier response once more where the next one is expected, so a
/// response that names no request belongs to the request that was sent last only if the connection
/// has carried no other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseOwner {
    /// The request that was sent.
    Sent,
    /// The request that was sent or one before it on the connection.
    Unknown,
    /// Another request.
    Other,
}

impl ResponseOwner {
    /// Returns the owner of the response with this head to the request `sent`, which `is_first` on
    /// its connection.
    pub(crate) fn new(head: &ResponseHead, sent: &str, is_first: bool) -> ResponseOwner {
        match &head.request {
            NamedRequest::One(id) if **id == *sent => ResponseOwner::Sent,
            NamedRequest::One(_) | NamedRequest::Unclear => ResponseOwner::Other,
            NamedRequest::None if is_first => ResponseOwner::Sent,
            NamedRequest::None => ResponseOwner::Unknown,
        }
    }

    /// Returns the name of the owner in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            ResponseOwner::Sent => "sent",
            ResponseOwner::Unknown => "unknown",
            ResponseOwner::Other => "other",
        }
    }

    /// Returns why the response does not count as one to the request that was sent.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            ResponseOwner::Sent => "the answer belongs to this request",
            ResponseOwner::Unknown => {
                "the answer names no request and may belong to an earlier one"
            }
            ResponseOwner::Other => "the answer belongs to another request",
        }
    }
}
