/*!
Decisions on state that processes share through the platform's log.

Nothing here does I/O. A driver reads the log and peers, hands in what it read with its
monotonic time, and appends or sends what comes out.

# Guided tour

## Configuration and keys

* [`ConfigReplay`]`::new(check).with_name(process)` replays the `config` stream:
  [`apply`](ConfigReplay::apply)`(offset, &record) -> `[`ReplayOutcome`];
  [`skip`](ConfigReplay::skip)`(offset)` for a record that cannot be read;
  [`snapshot`](ConfigReplay::snapshot) and [`restore`](ConfigReplay::restore) heal a gap and
  carry the configuration between peers; [`next_offset`](ConfigReplay::next_offset) says where
  to read on and [`base`](ConfigReplay::base) what a new change names as its base.
* [`KeyTable`], reached by [`ConfigReplay::keys`] and [`ConfigReplay::keys_mut`]:
  [`account_of`](KeyTable::account_of)`(hash)`; [`withdraw`](KeyTable::withdraw) takes an
  operator's withdrawal, [`merge`](KeyTable::merge) those of a peer,
  [`withdrawn_from`](KeyTable::withdrawn_from) gives what a peer lacks and
  [`due_appends`](KeyTable::due_appends) what the log lacks.
* [`ConfirmationClock`] says whether this process may still accept keys:
  [`log_read`](ConfirmationClock::log_read), [`peer_heard`](ConfirmationClock::peer_heard),
  [`may_accept`](ConfirmationClock::may_accept).

## Leases

* [`LeaseTable`]: who holds each lease;
  [`apply`](LeaseTable::apply)`(offset, &record) -> `[`LeaseChange`].
* [`LeaseHolder`], one for each lease that this process may hold:
  `new(process, lease, limits, now, wall_ms)`. Call
  [`observe`](LeaseHolder::observe)`(now, wall_ms)` on each tick,
  [`read`](LeaseHolder::read)`(now, offset, &record)` for each record of the `state` stream, and
  append what [`next_append`](LeaseHolder::next_append)`(now)` gives, at once. Around each order
  or report call [`begin_act`](LeaseHolder::begin_act)`(now)` right before the bytes are written
  and [`end_act`](LeaseHolder::end_act) when the call has ended;
  [`may_act`](LeaseHolder::may_act) only asks. A peer that wants to know whether this process is
  out calls [`confirm_relinquished`](LeaseHolder::confirm_relinquished); evidence about another
  holder goes into
  [`note_host_list`](LeaseHolder::note_host_list) and
  [`note_relinquished`](LeaseHolder::note_relinquished). [`restore`](LeaseHolder::restore) heals
  a gap of the log. [`resign`](LeaseHolder::resign) begins a planned stop; drive on until
  [`has_relinquished`](LeaseHolder::has_relinquished).

## Orders

* [`OrderTracker`]: append an [`OrderIntent`](crate::record::OrderIntent) under the lease, feed
  every record to [`apply`](OrderTracker::apply)`(now, &record, fencing of the lease)`, reads of the
  host list to [`note_hosts`](OrderTracker::note_hosts)`(sent, &hosts)`, and carry out
  [`next_actions`](OrderTracker::next_actions)`(now, fencing) -> Vec<`[`OrderAction`]`>`. For a
  `Send`: [`LeaseHolder::begin_act`], [`OrderTracker::mark_sent`], write, [`LeaseHolder::end_act`],
  [`OrderTracker::record_reply`]`(id, now, `[`OrderReply`]`)`.

## Usage

* [`UsageMeter`], one for each run of an agent: [`count`](UsageMeter::count) each attempt that
  ended, append [`next_append`](UsageMeter::next_append) every few seconds, feed each record to
  [`read`](UsageMeter::read). When [`is_fenced`](UsageMeter::is_fenced), begin a new run with a
  higher incarnation.
* [`UsageBackup`], one for each entry: [`begin`](UsageBackup::begin) gives the number to send
  with an attempt beside the agent's run, [`end`](UsageBackup::end) its counts; say
  [`agent_lost`](UsageBackup::agent_lost) when the agent is out, append
  [`next_appends`](UsageBackup::next_appends), feed each record to [`read`](UsageBackup::read).
* [`UsageLedger`] by replay: the lease's holder appends [`close`](UsageLedger::close) after a
  window's end, reports [`next_report`](UsageLedger::next_report) within
  [`LeaseHolder::begin_act`], then appends [`reported`](UsageLedger::reported).

## At most once

* [`ClaimTracker`], one for each entry, for requests with an `Idempotency-Key`:
  [`begin`](ClaimTracker::begin)`(`[`claim_key`]`(account, key), attempt, fingerprint, log_up,
  lives) -> `[`ClaimDecision`]; append all of [`next_appends`](ClaimTracker::next_appends) at once
  every 200 ms; [`read`](ClaimTracker::read) gives a [`ClaimEvent`]; only after `Won` may a byte
  reach the endpoint; [`settle`](ClaimTracker::settle) at the end; at a deadline
  [`give_up`](ClaimTracker::give_up).
* [`ClaimTable`] and [`RepeatAnswer`]: the claims by replay, and what a repeat gets.

## Membership

* [`MemberTable`]: once a round [`targets`](MemberTable::targets)`(now)` says whom to exchange
  with; send [`question`](MemberTable::question)`(now, target)`, give the answer to
  [`receive`](MemberTable::receive)`(sent, &answer)`, or call
  [`failed`](MemberTable::failed). Who is asked calls `receive`, then
  [`answer`](MemberTable::answer).
  Withdrawals travel ahead of the rounds: on [`KeyTable::withdraw`], and whenever
  [`KeyTable::merge`] returns new ones, send them to [`push_targets`](MemberTable::push_targets);
  [`MemberMessage::withdrawals`] that differ from one's own ask for all of them.
  [`status`](MemberTable::status), [`lives`](MemberTable::lives),
  [`reach`](MemberTable::reach) and [`lagging`](MemberTable::lagging) read the table;
  [`MemberEvent`]s come from `receive` and [`take_events`](MemberTable::take_events).

## Replay and snapshots

* [`StateReplay`] holds leases, orders, usage and claims and feeds each record to them:
  [`apply`](StateReplay::apply)`(now, offset, at_ms, &record, lives) -> `[`StateOutcome`]. Feed
  the same records to each [`LeaseHolder`], [`UsageMeter`] and [`UsageBackup`].
* [`SnapshotSchedule`], one for each stream: when [`due`](SnapshotSchedule::due), append
  [`ConfigReplay::snapshot`] or [`StateReplay::snapshot`] to the stream's
  [snapshot stream](crate::record::STATE_SNAPSHOT_STREAM). A new process restores the last record
  of the snapshot stream and reads on from its `next`.

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
mod domain_order;
mod key_table;
mod lease_holder;
mod lease_table;
mod member_message;
mod member_roster;
mod member_state;
mod member_table;
mod order_tracker;
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
    confirmation_clock::{ConfirmationClock, ConfirmationLapse, ConfirmationLimits, PeerVouch},
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
