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
  [`observe`](LeaseHolder::observe)`(now, wall_ms)` on each tick and
  [`read`](LeaseHolder::read)`(now, offset, &record)` for each record of the `state` stream. If
  [`next_append`](LeaseHolder::next_append)`(now)` returns a record, append the record at once.
  For each order or report, call [`begin_act`](LeaseHolder::begin_act)`(now)` right before the
  bytes are written and [`end_act`](LeaseHolder::end_act) when the call has ended;
  [`may_act`](LeaseHolder::may_act) only checks the lease and begins no action.
  [`confirm_relinquished`](LeaseHolder::confirm_relinquished) answers a peer that asks whether
  this process will never act again under a fencing number. Pass evidence that another holder no
  longer acts to [`note_host_list`](LeaseHolder::note_host_list) and
  [`note_relinquished`](LeaseHolder::note_relinquished). After a gap in the log,
  [`restore`](LeaseHolder::restore) replaces the lease's state by that of a snapshot.
  [`resign`](LeaseHolder::resign) begins a planned stop; keep making the calls above until
  [`has_relinquished`](LeaseHolder::has_relinquished) returns `true`.

## Orders

* [`OrderTracker`]: append an [`OrderIntent`](crate::record::OrderIntent) under the lease, pass
  every record to [`apply`](OrderTracker::apply)`(now, &record, fencing of the lease)` and every
  read of the host list to [`note_hosts`](OrderTracker::note_hosts)`(sent, &hosts)`, and execute
  [`next_actions`](OrderTracker::next_actions)`(now, fencing) -> Vec<`[`OrderAction`]`>`. For a
  `Send`, call [`LeaseHolder::begin_act`] and [`OrderTracker::mark_sent`], write the order, then
  call [`LeaseHolder::end_act`] and
  [`OrderTracker::record_reply`]`(id, now, `[`OrderReply`]`)`.

## Usage

* [`UsageMeter`], one for each run of an agent: [`count`](UsageMeter::count) each attempt that
  ended, append [`next_append`](UsageMeter::next_append) every few seconds, and pass each record
  to [`read`](UsageMeter::read). When [`is_fenced`](UsageMeter::is_fenced) returns `true`, begin a
  new run with a higher incarnation.
* [`UsageBackup`], one for each entry: [`begin`](UsageBackup::begin) returns the attempt's number,
  which the entry sends to the agent with the attempt, and [`end`](UsageBackup::end) takes the
  attempt's counts. Call [`agent_lost`](UsageBackup::agent_lost) when the agent's process is gone
  or was restarted, append [`next_appends`](UsageBackup::next_appends), and pass each record to
  [`read`](UsageBackup::read).
* [`UsageLedger`] is built by replay. The holder of [`USAGE_LEASE`] appends
  [`close`](UsageLedger::close) after a window's end, reports
  [`next_report`](UsageLedger::next_report) between [`LeaseHolder::begin_act`] and
  [`LeaseHolder::end_act`], then appends [`reported`](UsageLedger::reported).

## Idempotency keys

* [`ClaimTracker`], one for each entry, ensures that requests with the same `Idempotency-Key` run
  at most once: [`begin`](ClaimTracker::begin)`(`[`claim_key`]`(account, key), attempt,
  fingerprint, log_up, is_alive) -> `[`ClaimDecision`]. Append all records of
  [`next_appends`](ClaimTracker::next_appends) at once every 200 ms and pass each record to
  [`read`](ClaimTracker::read), which returns a [`ClaimEvent`] when a claim is decided. Send no
  byte of the request to the endpoint before `Won`. Call [`settle`](ClaimTracker::settle) when the
  attempt ends, and [`give_up`](ClaimTracker::give_up) at a deadline.
* [`ClaimTable`] holds the claims that are built by replay. [`RepeatAnswer`] is the answer to a
  repeated request.

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
  [`apply`](StateReplay::apply)`(now, offset, at_ms, &record, is_alive) -> `[`StateOutcome`]. Pass
  the same records to each [`LeaseHolder`], [`UsageMeter`] and [`UsageBackup`].
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

mod claim_table;
mod claim_tracker;
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
mod order_tracker;
mod relay_ranking;
mod repeat_answer;
mod snapshot_schedule;
mod state_replay;
mod usage_backup;
mod usage_ledger;
mod usage_meter;

pub use self::{
    claim_table::{ClaimChange, ClaimState, ClaimTable, claim_key},
    claim_tracker::{ClaimDecision, ClaimEvent, ClaimTracker},
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
    order_tracker::{ListedHost, OrderAction, OrderLimits, OrderReply, OrderTracker},
    repeat_answer::RepeatAnswer,
    snapshot_schedule::{SnapshotLimits, SnapshotSchedule},
    state_replay::{ORDER_LEASE, StateOutcome, StateReplay, USAGE_LEASE},
    usage_backup::UsageBackup,
    usage_ledger::{UsageChange, UsageLedger, UsageRun, UsageSnapshot},
    usage_meter::UsageMeter,
};
