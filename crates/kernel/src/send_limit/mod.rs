//! Limits that endpoints name for the requests of all entries together.
//!
//! A limit that an endpoint names in its answers is the number of requests a second that it takes
//! from the whole fleet. It holds for all entries as soon as they know of it, and ends for all with
//! an answer that no longer names it ([`LimitRow`] has what entries tell each other of it).
//!
//! A request goes to a limited endpoint only with a ticket, which allows one send. The root hub mints
//! tickets at the rate of the limit. Tickets travel down the tree of hubs, to the entries whose
//! requests want to go to the endpoint, the most urgent ones first; the word on which of them were
//! used travels up with the next reports. Entries ask for tickets ahead, by the requests of the last
//! second, so no request waits for one: without a ticket it goes to another endpoint, or is refused
//! with the time after which another attempt is worthwhile.
//!
//! # Bound
//!
//! Let `r` be a limit and `b = 1 + 2 s * r`, see [`SendRate::burst`]. In any window of length `w` in
//! which all entries know of the limit, the fleet sends at most
//!
//! ```text
//! b + r * w
//! ```
//!
//! requests to the endpoint. The number of entries does not occur in it: an entry without a ticket
//! sends nothing, and the tickets that were minted and are not known to be used or to have expired
//! never exceed `b`. A ticket expires 2 s after it was minted, on the holder's clock no later than
//! on the root hub's, since a holder counts from the sending of the report that brought it. A ticket
//! whose holder dies, or whose grant or use is never heard of, counts as used. All counts are totals,
//! so messages that come twice or out of order change nothing.
//!
//! While entries cannot reach each other, each part of the fleet has a root hub of its own. Each
//! scales rate and burst by its part of the entries that it remembers from the last 15 minutes, so
//! the parts together keep the bound. What the bound does not cover:
//!
//! * When another root hub appears while the old one lives, an entry that changes between them may
//!   count at both for up to 2 s: at most `2 s * r` more each time. A root hub that was suspended or
//!   cut off adds the tickets that it holds; these sends are its own, since its askers have left it.
//! * An entry that has just started knows of no limit until its first exchange with its hub, or its
//!   first answer from the endpoint. If it cannot reach the others then, it takes the fleet for as
//!   large as the number of entries that its settings name.
//! * When a limit is lowered to less than half, entries give up tickets as the word reaches them;
//!   those of a smaller change are used up within 2 s.
//! * Limits below 0.1 a second, such as 0, count as 0.1: without an answer now and then the fleet
//!   could not learn that the limit has ended.
//!
//! # Standing limits
//!
//! A [`StandingRate`] follows from the configuration in place of an answer, so every entry knows it and
//! it is neither passed on nor ended. Its tickets are the same, and the bound holds with its burst.
//!
//! # Other limits
//!
//! A limit has a [`LimitScope`], which says what it holds for, and comes from a [`LimitWord`], which
//! says what is limited. A limit on a service is a further scope; a limit on tokens a second is a
//! further word, whose tickets stand for a number of tokens; one on concurrent requests is a word
//! whose tickets come back when the request ends instead of expiring.

mod demand_meter;
mod endpoint_answer;
mod fleet_share;
mod group_count;
mod holder_account;
mod limit_answer;
mod limit_change;
mod limit_exchange;
mod limit_record;
mod limit_report;
mod limit_scope;
mod limit_table;
mod limit_word;
mod send_rate;
mod standing_rate;
mod ticket_batch;
mod ticket_pool;
mod want_list;

pub use self::{
    endpoint_answer::EndpointAnswer,
    limit_answer::{GrantRow, LimitAnswer, TicketLot},
    limit_change::{LimitChange, LimitEvidence},
    limit_report::{HoldingRow, LimitReport, LimitRow},
    limit_scope::LimitScope,
    limit_table::LimitTable,
    limit_word::LimitWord,
    send_rate::SendRate,
    standing_rate::StandingRate,
};
