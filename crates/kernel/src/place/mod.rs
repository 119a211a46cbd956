//! Placement of requests on endpoints by entries that connect to endpoints directly.
//!
//! Without an agent for each endpoint, an entry knows only the requests that it has sent, the load
//! that endpoints report in their answers, and which of its requests failed. [`PlacementTable`]
//! chooses the endpoint with the lowest cost. The cost is measured in prompt tokens to prefill and
//! has four terms: the work ahead of the request, shared prompt parts that the endpoint does not
//! have cached, the distance, and the delay that long prompts cause to streams of strict classes.
//! [`EndpointDirectory`] tracks which endpoints exist, [`EndpointCopy`] passes them on to other entries,
//! [`ExclusionTable`] tracks which of them asked in an answer to get no requests, and
//! [`EvacuationOrders`] which failure domains operators keep free of requests. While an endpoint warms
//! up after its start, a [`WarmupLimit`] holds for the requests of all entries together. How many
//! requests an endpoint gets after a start follows from how it answers (`start_ramp`).
//!
//! A prompt consists of parts. All parts but the last may be shared with other requests, and an
//! endpoint caches the shared parts that it has prefilled. The homes of a part are the two
//! endpoints that should have the part cached.

mod copy_update;
mod cost;
mod diagnosis;
mod domain_order;
mod endpoint;
mod endpoint_copy;
mod endpoint_directory;
mod endpoint_load;
mod evacuation;
mod evacuation_orders;
mod exclusion;
mod known_spans;
mod limited_choice;
mod part_homes;
mod partition;
mod pools;
mod request;
mod start_ramp;
mod table;
mod warmup;
mod work_ticket;

pub use self::{
    copy_update::{CopyUpdate, KeyedRecord},
    diagnosis::PlacementDiagnosis,
    endpoint::{EndpointSample, LoadRow, PlacedEndpoint},
    endpoint_copy::{EndpointCopy, UpdateGap},
    endpoint_directory::{
        DirectoryChange, EndpointDirectory, EndpointEntry, EndpointRecord, LAPSE_GRACE,
    },
    evacuation_orders::{EvacuationOrders, EvacuationUpdate},
    exclusion::{EndpointNotice, ExclusionTable, MAX_REST, UNREADABLE_REST},
    partition::strict_pauses,
    request::{PlacedRequest, PromptPart, urgency},
    table::{PlaceChoice, PlacementTable},
    warmup::{WarmupAllowance, WarmupLimit},
    work_ticket::WorkTicket,
};
