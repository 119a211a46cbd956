//! Which endpoint an entry sends a request to when it speaks to endpoints itself.
//!
//! Without an agent beside each endpoint, an entry knows what it has sent, what endpoints say of
//! their load in their answers, and which of its sends failed. [`PlacementTable`] weighs four
//! things, all in prompt tokens that an engine would have to read: the work in front of the
//! request, shared prompt parts that the endpoint does not hold, the distance, and long prompts
//! beside short streams, whose tokens they delay. Which endpoints there are, [`EndpointBook`] says.

mod cost;
mod division;
mod endpoint;
mod endpoint_book;
mod outlook;
mod part_homes;
mod request;
mod spread;
mod table;
mod work;

pub use self::{
    division::strict_pauses,
    endpoint::{EndpointSample, LoadRow, PlacedEndpoint},
    endpoint_book::{BookChange, EndpointBook, EndpointEntry, LAPSE_GRACE},
    outlook::PlaceOutlook,
    request::{PlacedRequest, PromptPart, urgency},
    table::{PlaceChoice, PlacementTable},
    work::WorkTicket,
};
