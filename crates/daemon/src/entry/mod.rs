//! The entry role: authenticates callers, chooses endpoints and relays answers.

mod api_error;
mod attempt;
mod caller_channel;
mod caller_request;
mod claim;
mod dispatcher;
pub(crate) mod entry_report;
mod final_answer;
mod header_filter;
pub(crate) mod server;
pub(crate) mod state;
