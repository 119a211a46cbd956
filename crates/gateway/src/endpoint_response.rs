//! The response of an endpoint to a send.

use http::response;

use crate::{
    body_framing::BodyFraming, connection::ConnectionBody, wire::ResponseHead,
    work_guard::WorkGuard,
};

/// An endpoint's response whose head was read and whose body is still to be read.
#[derive(Debug)]
pub(crate) struct EndpointResponse {
    pub(crate) parts: response::Parts,
    /// Decoded head.
    pub(crate) head: ResponseHead,
    pub(crate) framing: BodyFraming,
    pub(crate) body: ConnectionBody,
    pub(crate) work: WorkGuard,
}
