//! Limits that endpoints name for the requests of all entries together.

mod limit_word;
mod send_rate;

pub use self::{limit_word::LimitWord, send_rate::SendRate};
