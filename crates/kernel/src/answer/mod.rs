//! Bounds on what an endpoint or a caller may send before a complete message has arrived.
//!
//! A peer in trouble may send bytes that never become a message. [`AnswerProgress`] recognises such
//! bytes by their number and their pace, and [`BufferLedger`] bounds the memory of all messages that
//! are incomplete, whatever their number.

mod buffer_ledger;
mod progress;

pub use self::{
    buffer_ledger::{BufferKey, BufferLedger},
    progress::{AnswerFault, AnswerLimits, AnswerProgress},
};
