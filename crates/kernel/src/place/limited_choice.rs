//! The choice among endpoints of which some name a limit.

use crate::{
    ids::EndpointKey,
    place::{PlaceChoice, PlacedRequest, PlacementTable},
    send_limit::{LimitScope, LimitTable},
    time::TimePoint,
};

/// Number of limited endpoints for which one request asks for tickets. A request that none of them
/// can take goes to any other endpoint, but asks for no more.
const MAX_TICKET_WANTS: usize = 2;

/// An endpoint that accepts a request, with its cost and what is preferred before the cost.
pub(super) struct RankedEndpoint {
    /// Whether the endpoint's record expired, and whether it failed lately.
    pub(super) order: (bool, bool),
    pub(super) cost: f64,
    pub(super) key: EndpointKey,
}

impl PlacementTable {
    /// Returns the limits that endpoints name.
    pub fn limits(&mut self) -> &mut LimitTable {
        &mut self.limits
    }

    /// Returns the name of the endpoint with a limit, if the endpoint is known.
    pub fn limited_endpoint(&self, scope: LimitScope) -> Option<&str> {
        let state = self.endpoints.values().find(|state| state.limit_scope() == scope)?;
        Some(&state.spec.name)
    }

    /// Reports whether a request that was placed may be sent now. A limit may have been named
    /// meanwhile, or the ticket may have expired.
    pub fn may_send(&mut self, now: TimePoint, choice: &PlaceChoice, urgency: Option<u8>) -> bool {
        let Some(state) = self.endpoints.get(choice.endpoint) else { return true };
        if now < state.excluded_until || state.evacuated {
            return false;
        }
        if choice.send_by.is_some_and(|send_by| now < send_by) {
            return true;
        }
        let urgency = urgency.unwrap_or(u8::MAX);
        let scopes = self.limits_of(now, choice.endpoint);
        scopes.into_iter().all(|scope| self.limits.take(now, scope, urgency).is_some())
    }

    /// Returns the cheapest endpoint that has no limit, or whose limit leaves a send for the request,
    /// with the time until which the request must be sent; and the endpoints before it that have a
    /// limit which leaves none.
    pub(super) fn first_unlimited(
        &mut self,
        now: TimePoint,
        request: &PlacedRequest,
        mut accepting: Vec<RankedEndpoint>,
    ) -> (Option<(RankedEndpoint, Option<TimePoint>)>, Vec<LimitScope>) {
        let mut limited = Vec::new();
        loop {
            let best = accepting
                .iter()
                .enumerate()
                .min_by(|(_, a), (_, b)| a.order.cmp(&b.order).then(a.cost.total_cmp(&b.cost)));
            let Some(index) = best.map(|(index, _)| index) else { return (None, limited) };
            let endpoint = accepting.swap_remove(index);
            let asks = limited.len() < MAX_TICKET_WANTS;
            let mut send_by = TimePoint::FAR;
            let missing = self.limits_of(now, endpoint.key).into_iter().find(|scope| {
                let urgency = request.urgency.unwrap_or(u8::MAX);
                let taken = match asks {
                    true => self.limits.take(now, *scope, urgency),
                    false => self.limits.take_spare(now, *scope, urgency),
                };
                send_by = send_by.min(taken.unwrap_or(send_by));
                taken.is_none()
            });
            match missing {
                Some(scope) => limited.push(scope),
                None => {
                    let send_by = (send_by != TimePoint::FAR).then_some(send_by);
                    return (Some((endpoint, send_by)), limited);
                }
            }
        }
    }
}
