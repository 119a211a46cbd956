//! Checks of the head of an endpoint's response.

use http::{Response, StatusCode, response};
use hyper::body::Incoming;
use pimentorock_kernel::place::{EndpointNotice, PlaceChoice};

use crate::{
    body_framing::BodyFraming,
    clock,
    connection::{ConnectionBody, HttpConnection},
    crash_checks::EndpointInstance,
    dispatcher::RequestDispatcher,
    endpoint_response::EndpointResponse,
    head_fault::HeadFault,
    logs::part,
    response_owner::ResponseOwner,
    send_outcome::SendOutcome,
    wire::{NamedRequest, ResponseHead},
    work_guard::WorkGuard,
};

impl RequestDispatcher {
    /// Checks that the head of a response belongs to this request and that the request ran.
    ///
    /// A response that may belong to another request tells nothing of this one. A response with a
    /// success status needs the request's identifier and a signature.
    pub(crate) fn check_head(
        &self,
        choice: &PlaceChoice,
        mut connection: HttpConnection,
        response: Response<Incoming>,
        work: WorkGuard,
    ) -> SendOutcome {
        let (parts, body) = response.into_parts();
        if let Some(fault) = HeadFault::find(&parts) {
            self.note_head_fault(&work.instance, &parts, fault);
            return SendOutcome::Lost(fault.to_string().into());
        }
        let head = (self.state.codec.response_head)(&parts.headers);
        let owner = ResponseOwner::new(&head, &self.request.id, connection.is_first_use());
        self.note_notices(&work.instance, owner, &parts, &head);
        if owner != ResponseOwner::Sent {
            self.note_foreign(&work.instance, owner, &parts, &head);
            return SendOutcome::Lost(owner.reason().into());
        }
        let names_request = head.request != NamedRequest::None;
        let is_misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
        // Bytes that no endpoint vouches for say nothing of a limit.
        if (names_request || head.signed || head.not_run) && !is_misdirected {
            self.state.note_limit(&self.request.id, &work, head.limit);
        }
        if let Some(sample) = head.sample {
            self.state.table().note_sample(clock::now(), choice.endpoint, sample);
        }
        if is_misdirected {
            self.state.note_replaced(choice.endpoint, &choice.name);
        }
        if is_misdirected || (head.not_run && !parts.status.is_success()) {
            return SendOutcome::NotRun(format!("turned away with status {}", parts.status).into());
        }
        if parts.status.is_success() && (head.not_run || !head.signed || !names_request) {
            return SendOutcome::Lost("the answer bears no signature".into());
        }
        if let Some(limit) = head.idle_limit {
            connection.set_idle_limit(limit);
        }
        let framing = BodyFraming::new(&self.request.method, &parts);
        let body = ConnectionBody::new(connection, body);
        SendOutcome::Answered(Box::new(EndpointResponse { parts, head, framing, body, work }))
    }

    /// Logs and counts a head that is none.
    fn note_head_fault(
        &self,
        instance: &EndpointInstance,
        parts: &response::Parts,
        fault: HeadFault,
    ) {
        log::warn!(
            target: part::REQUEST,
            request = &*self.request.id, endpoint = &*instance.name,
            status = parts.status.as_u16(), reason = fault.to_string();
            "response head discarded"
        );
        self.state.metrics.note_head_fault(fault.label());
    }

    /// Applies what an instance asked for in a response. A misdirected request was answered by
    /// another instance.
    ///
    /// An instance that has said that it leaves does so, whatever the response belongs to. A time
    /// without requests was said to the sender of the response's own request.
    fn note_notices(
        &self,
        instance: &EndpointInstance,
        owner: ResponseOwner,
        parts: &response::Parts,
        head: &ResponseHead,
    ) {
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let is_refusal = parts.status == StatusCode::SERVICE_UNAVAILABLE;
        let rest = head.rest.filter(|_| is_refusal && owner == ResponseOwner::Sent);
        let leaving = head.leaving.then_some(EndpointNotice::Leaving);
        for notice in rest.into_iter().chain(leaving) {
            self.state.note_notice(&self.request.id, instance, notice);
        }
    }

    /// Logs and counts a response that may belong to another request, and closes the idle
    /// connections to its endpoint: on new ones, its next responses can belong to no other request.
    fn note_foreign(
        &self,
        instance: &EndpointInstance,
        owner: ResponseOwner,
        parts: &response::Parts,
        head: &ResponseHead,
    ) {
        let named = match &head.request {
            NamedRequest::One(id) => id,
            NamedRequest::None | NamedRequest::Unclear => "",
        };
        log::warn!(
            target: part::REQUEST,
            request = &*self.request.id, endpoint = &*instance.name, owner = owner.label(),
            named = logged_name(named), status = parts.status.as_u16(), not_run = head.not_run;
            "response of another request"
        );
        self.state.metrics.note_foreign(owner.label());
        self.state.pool.forget(&instance.name);
    }
}

/// Maximum number of bytes of a foreign identifier in a log line.
const MAX_LOGGED_NAME: usize = 64;

/// Returns the beginning of an identifier that an endpoint sent.
fn logged_name(name: &str) -> &str {
    name.get(..MAX_LOGGED_NAME).unwrap_or(name)
}
