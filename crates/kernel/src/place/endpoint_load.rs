//! The load of endpoints: requests of this entry, of other entries, and what endpoints report.

use crate::{
    ids::EndpointKey,
    place::{
        EndpointSample, LoadRow, PlacedRequest, PlacementTable, WorkTicket, request::total_tokens,
    },
    time::TimePoint,
};

impl PlacementTable {
    /// Notes that `request` was sent to `endpoint`, and returns the ticket that tracks it.
    pub fn sent(
        &mut self,
        now: TimePoint,
        endpoint: EndpointKey,
        request: &PlacedRequest,
    ) -> WorkTicket {
        let memory = request.memory_tokens();
        let mut ticket = WorkTicket {
            endpoint,
            prefill: 0.0,
            memory,
            sent_at: now,
            latency_target: request.latency_target,
            started: false,
        };
        let Some(state) = self.endpoints.get_mut(endpoint) else { return ticket };
        let held = request.shared_parts().iter().take_while(|part| state.holds(now, part.id));
        let held = total_tokens(held);
        ticket.prefill = f64::from(request.prompt_tokens.saturating_sub(held));
        state.prefill += ticket.prefill;
        state.in_flight = state.in_flight.saturating_add(1);
        state.memory = state.memory.saturating_add(memory);
        state.note_sent();
        for part in request.shared_parts() {
            state.note_part(now, part.id);
        }
        self.pools.note_work(now, request, ticket.prefill);
        ticket
    }

    /// Notes the first token of an answer; further calls have no effect.
    pub fn started(&mut self, ticket: &mut WorkTicket) {
        if ticket.started {
            return;
        }
        ticket.started = true;
        if let Some(state) = self.endpoints.get_mut(ticket.endpoint) {
            state.prefill = (state.prefill - ticket.prefill).max(0.0);
            state.note_success();
        }
    }

    /// Notes that a request ended and no longer loads its endpoint.
    pub fn ended(&mut self, ticket: &mut WorkTicket) {
        let Some(state) = self.endpoints.get_mut(ticket.endpoint) else { return };
        if !ticket.started {
            state.prefill = (state.prefill - ticket.prefill).max(0.0);
        }
        ticket.started = true;
        state.note_ended();
        state.in_flight = state.in_flight.saturating_sub(1);
        state.memory = state.memory.saturating_sub(ticket.memory);
    }

    /// Stores the load that an endpoint reported about itself.
    pub fn note_sample(&mut self, now: TimePoint, endpoint: EndpointKey, sample: EndpointSample) {
        if let Some(state) = self.endpoints.get_mut(endpoint) {
            state.note_sample(now, sample);
        }
    }

    /// Returns the load that this entry has placed on its endpoints, for other entries.
    pub fn own_load(&self) -> Vec<LoadRow> {
        let busy = self.endpoints.values().filter(|state| state.in_flight > 0);
        busy.map(|state| LoadRow {
            endpoint: state.hash as u32,
            in_flight: state.in_flight,
            prefill: state.prefill as u32,
            memory: state.memory.min(u64::from(u32::MAX)) as u32,
        })
        .collect()
    }

    /// Stores the load of all other entries.
    ///
    /// `rows` must be sorted by endpoint hash. Endpoints without a row have no load.
    pub fn note_others(&mut self, now: TimePoint, rows: &[LoadRow]) {
        for state in self.endpoints.values_mut() {
            let endpoint = state.hash as u32;
            let row = rows.binary_search_by_key(&endpoint, |row| row.endpoint);
            let row = row.ok().map(|index| rows[index]);
            state.others = Some((now, row.unwrap_or(LoadRow::none(endpoint))));
        }
    }
}
