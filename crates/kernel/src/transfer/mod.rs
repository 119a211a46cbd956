//! Transfer of large records between entries.
//!
//! A record that is too large to travel with small news is announced by its [`RecordStamp`] only. An
//! entry that lacks it asks one source at a time, for a few chunks at a time ([`RecordTransfer`],
//! [`PartPace`]). What has arrived is kept, whoever sent it and whichever version it belonged to: the
//! chunks of a record are named by their contents ([`RecordOutline`]), so that a newer version costs
//! only the chunks that differ. An entry serves a few askers at a time ([`TransferDesk`]), and names
//! others that have the record ([`HolderTable`]) to the rest. Withdrawn keys do not wait for the
//! configuration that withdraws them ([`WithdrawnKeys`]).

mod holder_table;
mod part_pace;
mod record_outline;
mod record_shelf;
mod record_stamp;
mod record_transfer;
mod transfer_desk;
mod withdrawn_keys;

pub use self::{
    holder_table::HolderTable,
    part_pace::PartPace,
    record_outline::{MAX_CHUNK_BYTES, RecordChunk, RecordOutline},
    record_shelf::{RecordShelf, ShelfRecord},
    record_stamp::{MAX_RECORD_BYTES, RecordStamp},
    record_transfer::{RecordTransfer, TransferStep},
    transfer_desk::TransferDesk,
    withdrawn_keys::WithdrawnKeys,
};
