//! Simulated fleets in which entries begin streams, die and are taken up again elsewhere.

mod origin_fleet;
mod origin_plan;
mod simulated_entry;
mod simulated_store;

pub use self::{origin_fleet::OriginFleet, origin_plan::OriginPlan};
