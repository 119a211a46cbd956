//! Remote procedure calls between the processes of the fleet.

mod client;
mod counted_stream;
mod server;
mod service;

pub(crate) use self::{
    client::{PeerPoller, fetch_answer, retire_endpoint},
    counted_stream::ByteCount,
    server::serve,
    service::PeerReport,
};
