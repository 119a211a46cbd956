/*!
Decisions on state that processes share through the platform's log.

This module does no I/O. A driver reads the log and the messages of peers, passes them in with its
monotonic time, and appends or sends the records and messages that are returned.

# Guided tour

## Configuration and keys

* [`ConfigReplay`]`::new(compile).with_name(process)` replays the `config` stream:
  [`apply`](ConfigReplay::apply)`(offset, &record) -> `[`ReplayOutcome`];
  [`skip`](ConfigReplay::skip)`(offset)` for a record that cannot be read;
  [`snapshot`](ConfigReplay::snapshot) and [`restore`](ConfigReplay::restore) replace missing
  records and transfer the configuration between peers;
  [`next_offset`](ConfigReplay::next_offset) returns the offset to read next and
  [`base`](ConfigReplay::base) the base of a new change.
* [`KeyTable`], reached by [`ConfigReplay::keys`] and [`ConfigReplay::keys_mut`]:
  [`account_of`](KeyTable::account_of)`(hash)`; [`withdraw`](KeyTable::withdraw) applies an
  operator's withdrawal and [`merge`](KeyTable::merge) those of a peer;
  [`withdrawals_since`](KeyTable::withdrawals_since) returns the withdrawals that a peer lacks and
  [`due_appends`](KeyTable::due_appends) those to append to the log.
* [`ConfirmationClock`] decides whether this process may still accept keys:
  [`log_read`](ConfirmationClock::log_read), [`peer_heard`](ConfirmationClock::peer_heard),
  [`may_accept`](ConfirmationClock::may_accept).

## Leases

* [`LeaseTable`] records the holder of each lease:
  [`apply`](LeaseTable::apply)`(offset, &record) -> `[`LeaseChange`].
* [`LeaseHolder`], one for each lease that this process may hold:
  `new(process, lease, limits, now, wall_ms)`. Call
  [`observe`](LeaseHolder::observe)`(now, wall_ms)` on each tick,
  [`read`](LeaseHolder::read)`(now, offset, &record)` for each record of the `state` stream, and
  append the record that [`next_append`](LeaseHolder::next_append)`(now)` returns, if any,
  at once. Around each order
  or report call [`begin_act`](LeaseHolder::begin_act)`(now)` right before the bytes are written
  and [`end_act`](LeaseHolder::end_act) when the call has ended;
  [`may_act`](LeaseHolder::may_act) only checks. A peer that wants to know whether this process is
  out calls [`answer_out`](LeaseHolder::answer_out); evidence about another holder goes into
  [`note_host_list`](LeaseHolder::note_host_list) and
  [`note_answer`](LeaseHolder::note_answer). [`restore`](LeaseHolder::restore) replaces
  missing records of the log. [`resign`](LeaseHolder::resign) begins a planned stop; continue
  to drive the holder until
  [`is_out`](LeaseHolder::is_out).

## Orders

* [`OrderBook`]: append an [`OrderIntent`](crate::record::OrderIntent) under the lease, pass
  every record to [`apply`](OrderBook::apply)`(now, &record, fencing of the lease)`, reads of the
  host list to [`note_hosts`](OrderBook::note_hosts)`(sent, &hosts)`, and carry out
  [`next_actions`](OrderBook::next_actions)`(now, fencing) -> Vec<`[`OrderAction`]`>`. For a
  `Send`: [`LeaseHolder::begin_act`], [`OrderBook::sent`], write, [`LeaseHolder::end_act`],
  [`OrderBook::replied`]`(id, now, `[`OrderReply`]`)`.

## Usage

* [`UsageMeter`], one for each run of an agent: [`count`](UsageMeter::count) each attempt that
  ended, append [`next_append`](UsageMeter::next_append) every few seconds, pass each record to
  [`read`](UsageMeter::read). When [`is_fenced`](UsageMeter::is_fenced), begin a new run with a
  higher incarnation.
* [`UsageWitness`], one for each entry: [`begin`](UsageWitness::begin) returns the number to send
  with an attempt beside the agent's run, and [`end`](UsageWitness::end) takes its counts. Call
  [`agent_lost`](UsageWitness::agent_lost) when the agent is out, append
  [`next_appends`](UsageWitness::next_appends), and pass each record to [`read`](UsageWitness::read).
* [`UsageLedger`] by replay: the lease's holder appends [`close`](UsageLedger::close) after a
  window's end, reports [`next_report`](UsageLedger::next_report) within
  [`LeaseHolder::begin_act`], then appends [`reported`](UsageLedger::reported).

## At most once

* [`ClaimKeeper`], one for each entry, for requests with an `Idempotency-Key`:
  [`begin`](ClaimKeeper::begin)`(`[`claim_key`]`(account, key), attempt, fingerprint, log_up,
  lives) -> `[`ClaimDecision`]; append all of [`next_appends`](ClaimKeeper::next_appends) at once
  every 200 ms; [`read`](ClaimKeeper::read) returns a [`ClaimEvent`]. No byte of the request may be
  sent to the endpoint before `Won`. Call [`settle`](ClaimKeeper::settle) at the end, and
  [`give_up`](ClaimKeeper::give_up) at a deadline.
* [`ClaimTable`] holds the claims that result from replay, and [`RepeatAnswer`] is the answer to
  a repeated request.

## Membership

* [`MemberTable`]: once per round, [`targets`](MemberTable::targets)`(now)` returns the processes
  to contact. Send each the [`request`](MemberTable::request)`(now, target)` and pass its response
  to [`receive`](MemberTable::receive)`(sent, &response)`, or call
  [`exchange_failed`](MemberTable::exchange_failed). The receiver of a request calls `receive`, then
  sends the [`response`](MemberTable::response).
  Withdrawals do not wait for a round: on [`KeyTable::withdraw`], and whenever [`KeyTable::merge`]
  returns new ones, send them to [`push_targets`](MemberTable::push_targets). If
  [`MemberMessage::withdrawals`] differs from this process's own digest, request all of them.
  [`status`](MemberTable::status), [`is_live`](MemberTable::is_live),
  [`reachable_fraction`](MemberTable::reachable_fraction) and
  [`lagging`](MemberTable::lagging) read the table;
  [`MemberEvent`]s come from `receive` and [`take_events`](MemberTable::take_events).

## Replay and snapshots

* [`StateReplay`] holds leases, orders, usage and claims and applies each record to them:
  [`apply`](StateReplay::apply)`(now, offset, at_ms, &record, lives) -> `[`StateOutcome`]. Pass
  the same records to each [`LeaseHolder`], [`UsageMeter`] and [`UsageWitness`].
* [`SnapshotSchedule`], one for each stream: when [`due`](SnapshotSchedule::due), append
  [`ConfigReplay::snapshot`] or [`StateReplay::snapshot`] to the stream's
  [snapshot stream](crate::record::STATE_SNAPSHOT_STREAM). A new process restores the last record
  of the snapshot stream and continues to read the stream from the snapshot's `next`.

# Example

```
use pimentorock_kernel::{
    catalog::CatalogSpec,
    control::{ConfigReplay, ReplayOutcome},
    record::{ConfigChange, ConfigEdit, ConfigRecord},
};

let mut replay = ConfigReplay::new(|_tree| Ok(CatalogSpec::default())).with_name("e1");
let change = ConfigRecord::Change(ConfigChange {
    change_id: "c1".into(),
    base: 0,
    author: "ana".into(),
    edits: vec![ConfigEdit { path: "/teams/north".into(), value: Some(serde_json::json!({})) }],
});
let outcome = replay.apply(0, &change);
assert_eq!(outcome, ReplayOutcome::Accepted { change_id: "c1".into(), revision: 0 });
```
*/

mod claim_keeper;
mod claim_table;
mod config_path;
mod config_replay;
mod confirmation_clock;
mod domain_ages;
mod key_table;
mod lease_holder;
mod lease_table;
mod member_message;
mod member_roster;
mod member_state;
mod member_table;
mod order_book;
mod relay_ranking;
mod repeat_answer;
mod snapshot_schedule;
mod state_replay;
mod usage_ledger;
mod usage_meter;
mod usage_witness;

pub use self::{
    claim_keeper::{ClaimDecision, ClaimEvent, ClaimKeeper},
    claim_table::{ClaimChange, ClaimState, ClaimTable, claim_key},
    config_replay::{ConfigReplay, ReplayOutcome},
    confirmation_clock::{ConfirmationClock, ConfirmationError, ConfirmationLimits, PeerFreshness},
    key_table::{KeyCreation, KeyTable, WithdrawalDigest},
    lease_holder::{LeaseHolder, LeaseLimits, SuccessionRule},
    lease_table::{LeaseChange, LeaseTable},
    member_message::{
        HostHint, MemberDigest, MemberEntry, MemberEvent, MemberMessage, MemberStatus, MemberTarget,
    },
    member_state::MemberLimits,
    member_table::MemberTable,
    order_book::{HostSighting, OrderAction, OrderBook, OrderLimits, OrderReply},
    repeat_answer::RepeatAnswer,
    snapshot_schedule::{SnapshotLimits, SnapshotSchedule},
    state_replay::{ORDER_LEASE, StateOutcome, StateReplay, USAGE_LEASE},
    usage_ledger::{UsageChange, UsageLedger, UsageRun, UsageSnapshot},
    usage_meter::UsageMeter,
    usage_witness::UsageWitness,
};
