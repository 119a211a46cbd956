//! Sends the request counts of this entry to the hub or the store, and reports usage while this
//! entry holds the usage duty.
//!
//! A usage share is a message with the request counts of one entry up to a point in time. Every
//! entry sends its shares to its hub. The root hub, which is the entry that reads the store on
//! behalf of all others, writes the shares to the store.
//!
//! At most one entry at a time acts on the duty. The holder adds up the shares of all entries,
//! closes each usage window and sends its report; the kernel's `duty` module decides which entry
//! holds the duty.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use pimentorock_kernel::{
    duty::{DutyHolder, DutyLimits, DutyRecord, DutySighting, WindowAggregator},
    hub::KnownEntry,
    log_position::LogPosition,
    time::TimePoint,
};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    logs::part,
    peer::EntryShare,
    shared_view::EraChange,
    state::GatewayState,
    store::{NewRecord, REPORT_TIMEOUT, StoreError, StoreRecord, StoreTopic},
};

/// Minimum time between two shares whose counts differ.
pub(crate) const SHARE_PERIOD: Duration = Duration::from_millis(450);

/// Age from which a share is no longer forwarded.
///
/// A share of this age cannot affect any window that is still open, as long as the usage window and
/// the time within which its report is due are together shorter than this age.
const SHARE_MAX_AGE: Duration = Duration::from_secs(30);

/// Size in bytes from which on the shares are split into several records. A record of the store may
/// have 256 KiB.
const MAX_RECORD_BYTES: usize = 200 << 10;

/// Time between checks whether a window has to be closed or reported.
const DUTY_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time after the start of the process after which the duty record is read for the first time. Most
/// entries have a hub by then, and need not read it.
const FIRST_READ_DELAY: Duration = Duration::from_secs(1);

/// Minimum time between two reads of the duty record by an entry that does not hold the duty but
/// may have to take it over.
const STANDBY_CHECK_PERIOD: Duration = Duration::from_secs(2);

/// Key of the only record in the topic of the duty.
const DUTY_KEY: &str = "usage";

impl GatewayState {
    /// Returns the shares of this entry, and of those that pass theirs to it, that the entry at
    /// `receiver` does not have yet.
    pub(crate) fn shares_to_send(&self, receiver: SocketAddr) -> Vec<EntryShare> {
        self.refresh_own_share();
        let view = self.view();
        let forwarded = view.forwarded_until_ms.get(&receiver);
        let unsent = view.shares.iter().filter(|(key, share)| {
            let until_ms = forwarded.and_then(|forwarded| forwarded.get(*key));
            until_ms.is_none_or(|until_ms| *until_ms < share.usage.until_ms)
        });
        unsent.map(|(_, share)| share.clone()).collect()
    }

    /// Updates the share of this entry if its counts changed and [`SHARE_PERIOD`] has passed since the
    /// last update, and immediately after the end of a window.
    fn refresh_own_share(&self) {
        let now = clock::now();
        let wall_ms = self.wall_ms();
        let window = self.window_ms();
        let usage = self.usage_counter().share(wall_ms);
        let mut last_share = self.last_share();
        let is_due = last_share.as_ref().is_none_or(|(at, last)| {
            let changed = last.counts != usage.counts && now.since(*at) >= SHARE_PERIOD;
            changed || last.until_ms / window != wall_ms / window
        });
        if is_due {
            *last_share = Some((now, usage.clone()));
            self.view().take_share(EntryShare { peer: self.settings.peers, usage });
        }
    }

    /// Records that the entry at `receiver` has received `shares`.
    pub(crate) fn note_shared(&self, receiver: SocketAddr, shares: Vec<EntryShare>) {
        let mut view = self.view();
        let forwarded = view.forwarded_until_ms.entry(receiver).or_default();
        for share in shares {
            forwarded.insert(share.usage.process.to_string().into(), share.usage.until_ms);
        }
    }

    fn window_ms(&self) -> u64 {
        (self.settings.usage_window.as_millis() as u64).max(1)
    }
}

/// Writes the shares of this entry and of those that pass theirs to it to the store, as long as this
/// entry serves others and until `stop` is cancelled.
///
/// Writes the shares once more after `stop`, even if this entry does not serve others.
pub(crate) async fn publish_shares(state: Arc<GatewayState>, stop: CancellationToken) {
    let mut written: HashMap<Box<str>, EntryShare> = HashMap::new();
    let mut written_era = 0;
    let mut stopping = false;
    while !stopping {
        tokio::select! {
            () = stop.cancelled() => stopping = true,
            () = sleep(SHARE_PERIOD) => {}
        }
        drop_old_shares(&state);
        let serves_others = state.view().serves_others(clock::now());
        if !serves_others && !stopping {
            continue;
        }
        state.refresh_own_share();
        let shares = state.view().shares.clone();
        // A store that came back from an older copy may have lost the shares.
        let is_new = shares != written || written_era != state.view().era;
        if !is_new || shares.is_empty() {
            continue;
        }
        if let Some(era) = write_shares(&state, &shares).await {
            (written, written_era) = (shares, era);
        }
    }
}

/// Drops the shares that cannot affect an open window any more.
fn drop_old_shares(state: &GatewayState) {
    let oldest = state.wall_ms().saturating_sub(SHARE_MAX_AGE.as_millis() as u64);
    let mut view = state.view();
    view.shares.retain(|_, share| share.usage.until_ms >= oldest);
    for forwarded in view.forwarded_until_ms.values_mut() {
        forwarded.retain(|_, until_ms| *until_ms >= oldest);
    }
    view.forwarded_until_ms.retain(|_, forwarded| !forwarded.is_empty());
}

/// Writes shares to the store and returns the era in which the store has them.
async fn write_shares(state: &GatewayState, shares: &HashMap<Box<str>, EntryShare>) -> Option<u64> {
    let records = match share_records(&state.process.to_string(), shares.values()) {
        Ok(records) => records,
        Err(error) => {
            log::warn!(
                target: part::DUTY, error = error.to_string();
                "cannot encode the usage shares as JSON"
            );
            return None;
        }
    };
    let sent = (state.store.append)(StoreTopic::Shares, records, None).await;
    state.metrics.note_store_call("share", sent.is_ok());
    match sent {
        Ok(position) => {
            state.note_era(position.era, "store");
            Some(position.era)
        }
        Err(error) => {
            log::warn!(target: part::DUTY, error = error.to_string(); "counts not shared");
            None
        }
    }
}

/// Returns records with all `shares`, as many as needed for the size that a record may have.
fn share_records<'a>(
    process: &str,
    shares: impl Iterator<Item = &'a EntryShare>,
) -> serde_json::Result<Vec<NewRecord>> {
    let mut groups: Vec<String> = Vec::new();
    for share in shares {
        let text = serde_json::to_string(share)?;
        match groups.last_mut().filter(|group| group.len() + text.len() < MAX_RECORD_BYTES) {
            Some(group) => group.extend([",", &text]),
            None => groups.push(text),
        }
    }
    let record = |(number, group): (usize, String)| {
        let key = if number == 0 { process.into() } else { format!("{process}/{number}").into() };
        NewRecord { key, value: format!("[{group}]").into() }
    };
    Ok(groups.into_iter().enumerate().map(record).collect())
}

/// Closes and reports usage windows while this entry holds the duty, and takes the duty over from a
/// lost holder; releases the duty when `stop` is cancelled.
pub(crate) async fn report_usage(state: Arc<GatewayState>, stop: CancellationToken) {
    let mut task = DutyTask::new(state);
    while !stop.is_cancelled() {
        tokio::select! {
            () = stop.cancelled() => return task.release().await,
            () = sleep(DUTY_CHECK_PERIOD) => {}
        }
        task.step().await;
    }
}

/// Runs the kernel's [`DutyHolder`] against the store.
struct DutyTask {
    state: Arc<GatewayState>,
    /// State of the duty as this process knows it, also while another process holds the duty.
    duty: DutyHolder,
    aggregator: WindowAggregator,
    /// Whether the duty record was read at least once since the start.
    has_read: bool,
    /// Time of the last read of the shares.
    shares_read_at: TimePoint,
}

impl DutyTask {
    fn new(state: Arc<GatewayState>) -> DutyTask {
        let limits = DutyLimits::new(state.settings.usage_lease, state.settings.usage_due);
        DutyTask {
            duty: DutyHolder::new(clock::now(), state.process.clone(), limits),
            aggregator: WindowAggregator::new(state.window_ms(), limits),
            has_read: false,
            shares_read_at: TimePoint::ZERO,
            state,
        }
    }

    async fn step(&mut self) {
        if !self.must_read() {
            return;
        }
        if let Err(error) = self.read().await {
            log::warn!(target: part::DUTY, error = error.to_string(); "cannot read the usage duty");
            return;
        }
        self.close_windows().await;
        self.send_reports().await;
    }

    /// Returns the number of the oldest window whose report can still be sent in time.
    fn oldest_reportable_window(&self) -> u64 {
        let due = self.state.settings.usage_due.as_millis() as u64 / self.state.window_ms();
        (self.state.wall_ms() / self.state.window_ms()).saturating_sub(due.saturating_add(1))
    }

    /// Reports whether the duty record has to be read now, because a window may have to be closed or
    /// reported, or because nothing was read yet and peers may be unknown.
    ///
    /// The holder of the duty reads whenever a window has ended and is not closed yet. The entries that
    /// serve others and the standby entry, which is the first in line to replace the root hub, read in the same
    /// case, but at most once per [`STANDBY_CHECK_PERIOD`].
    fn must_read(&mut self) -> bool {
        let now = clock::now();
        let serves_others = self.state.view().serves_others(now);
        let first_is_due =
            !self.has_read && now.since(self.state.started) >= FIRST_READ_DELAY && serves_others;
        let current = self.state.wall_ms() / self.state.window_ms();
        let has_unclosed_window =
            self.duty.last_closed().is_none_or(|last| last.saturating_add(1) < current);
        let is_holder = self.duty.holder().is_some_and(|(holder, _)| *holder == self.state.process);
        let is_standby = self.state.roster().is_standby(now);
        let standby_check_due = now.since(self.shares_read_at) >= STANDBY_CHECK_PERIOD;
        let has_lost_records = is_holder && self.duty.end().era < self.state.view().era;
        first_is_due
            || has_lost_records
            || self.duty.must_repeat()
            || (has_unclosed_window
                && (is_holder || (standby_check_due && (serves_others || is_standby))))
    }

    /// Reads the newest duty record and the shares of other entries.
    ///
    /// # Errors
    ///
    /// Fails if either topic cannot be read.
    async fn read(&mut self) -> Result<(), StoreError> {
        let now = clock::now();
        let newest = (self.state.store.newest)(StoreTopic::Duty).await;
        self.state.metrics.note_store_call("duty", newest.is_ok());
        let newest = newest?;
        if self.state.note_era(newest.era, "store") == EraChange::Outdated {
            return Err(StoreError::Outdated);
        }
        let current = self.state.wall_ms() / self.state.window_ms();
        let has_returned = self.has_read && newest.era > self.duty.end().era;
        self.duty.enter_era(now, newest.era, current);
        let metrics = self.state.metrics.clone();
        for record in &newest.records {
            let apply = || self.apply_duty(now, newest.era, record);
            metrics.shield_record("duty", &record.key, apply);
        }
        self.duty.skip_to(now, LogPosition { era: newest.era, offset: newest.end });
        let seen = DutySighting::new(self.duty.end(), self.duty.known_since());
        let seen = self.state.view().note_duty_seen(seen);
        self.duty.note_known_since(seen.end(), seen.at());
        if has_returned
            && self.duty.last_closed().is_some_and(|last| last.saturating_add(1) >= current)
        {
            log::warn!(
                target: part::DUTY, era = newest.era, before_window = current;
                "usage windows left out"
            );
        }
        self.has_read = true;
        let shares = (self.state.store.newest)(StoreTopic::Shares).await;
        self.state.metrics.note_store_call("shares", shares.is_ok());
        for record in &shares?.records {
            metrics.shield_record("shares", &record.key, || self.apply_shares(record));
        }
        self.shares_read_at = now;
        Ok(())
    }

    fn apply_duty(&mut self, now: TimePoint, era: u64, record: &StoreRecord) {
        let Some(value) = &record.value else { return };
        match serde_json::from_slice::<DutyRecord>(value) {
            Ok(duty) if !duty.is_readable(self.state.window_ms()) => {
                self.state.metrics.note_unreadable("duty");
                log::warn!(
                    target: part::DUTY, offset = record.offset;
                    "usage duty record with impossible figures left out"
                );
            }
            Ok(duty) => {
                let before = self.duty.holder().map(|(holder, _)| holder.clone());
                let holder = duty.holder.clone();
                let position = LogPosition { era, offset: record.offset };
                if duty.era < era && position >= self.duty.end() {
                    log::info!(
                        target: part::DUTY,
                        holder = holder.to_string(), era = era, made_in_era = duty.era,
                        offset = record.offset, repeats = self.duty.must_repeat();
                        "usage duty record of an earlier era"
                    );
                }
                self.duty.read(now, position, duty);
                if before.as_ref() != Some(&holder) {
                    log::info!(
                        target: part::DUTY,
                        holder = holder.to_string(), offset = record.offset;
                        "usage duty changed hands"
                    );
                }
            }
            Err(error) => {
                self.state.metrics.note_unreadable("duty");
                log::warn!(
                    target: part::DUTY, error = error.to_string();
                    "cannot decode the usage duty record"
                );
            }
        }
    }

    fn apply_shares(&mut self, record: &StoreRecord) {
        let now = clock::now();
        let Some(value) = &record.value else { return };
        match serde_json::from_slice::<Vec<EntryShare>>(value) {
            Ok(shares) => {
                let count = shares.len();
                let readable: Vec<EntryShare> =
                    shares.into_iter().filter(|share| share.usage.is_readable()).collect();
                if readable.len() < count {
                    self.state.metrics.note_unreadable("shares");
                    log::warn!(
                        target: part::DUTY, key = &*record.key, offset = record.offset,
                        shares = count - readable.len();
                        "usage shares with impossible figures left out"
                    );
                }
                for share in readable {
                    self.note_peer(now, &share);
                    self.aggregator.take(share.usage);
                }
            }
            Err(error) => {
                self.state.metrics.note_unreadable("shares");
                let error = error.to_string();
                log::warn!(target: part::DUTY, error = error; "cannot decode the usage shares");
            }
        }
    }

    /// Adds the entry of a share to the roster, so that a process that has just started finds its
    /// hub.
    fn note_peer(&self, now: TimePoint, share: &EntryShare) {
        let age_ms = self.state.wall_ms().saturating_sub(share.usage.until_ms);
        let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
        let entry = KnownEntry { address: share.peer, domain: None, age_ms };
        self.state.roster().note_entry(now, &entry);
    }

    /// Closes the windows that may be closed, renews the duty, or takes it over from a lost holder.
    async fn close_windows(&mut self) {
        let sent = clock::now();
        if !self.duty.may_close(sent) {
            return;
        }
        let windows = self.aggregator.closable(self.state.wall_ms(), self.duty.last_closed());
        let renewal =
            self.duty.needs_renewal(sent, REPORT_TIMEOUT, self.oldest_reportable_window());
        if windows.is_empty() && !renewal && !self.duty.must_repeat() {
            return;
        }
        let numbers: Vec<u64> = windows.iter().map(|closed| closed.window).collect();
        let record = self.duty.record(windows);
        let end = self.duty.end();
        let appended = self.append(&record).await;
        match appended {
            Ok(position) => {
                self.state.note_era(position.era, "store");
                self.duty.appended(clock::now(), sent, position, record);
                log::info!(
                    target: part::DUTY,
                    windows = format!("{numbers:?}"), era = position.era, offset = position.offset,
                    end = end.offset;
                    "usage windows closed"
                );
            }
            Err(error) => {
                log::info!(
                    target: part::DUTY, error = error.to_string(), end = end.offset;
                    "windows not closed"
                );
            }
        }
    }

    /// Releases the duty at the end of the process, so that another process can take the duty over
    /// without waiting for the lease to expire.
    async fn release(&mut self) {
        let Some(record) = self.duty.release() else { return };
        let appended = self.append(&record).await;
        log::info!(target: part::DUTY, given_up = appended.is_ok(); "usage duty released");
    }

    /// Appends a record to the topic of the duty, only if no record was added to the topic since the
    /// last read.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Conflict`] if another process has appended since the last read.
    /// Fails with another error if the record cannot be encoded, or if the store refuses the call or
    /// does not answer.
    async fn append(&self, record: &DutyRecord) -> Result<LogPosition, StoreError> {
        let value = serde_json::to_vec(record)
            .map_err(|error| StoreError::Malformed(error.to_string().into()))?;
        let records = vec![NewRecord { key: DUTY_KEY.into(), value: value.into() }];
        let end = Some(self.duty.end().offset);
        let appended = (self.state.store.append)(StoreTopic::Duty, records, end).await;
        self.state.metrics.note_store_call("close", appended.is_ok());
        appended
    }

    async fn send_reports(&mut self) {
        let oldest = self.oldest_reportable_window();
        while let Some(report) = self.duty.next_report(clock::now(), REPORT_TIMEOUT, oldest) {
            let window = report.closed.window;
            let fencing = report.fencing.0;
            let name = self.state.process.name.clone();
            let sent = (self.state.store.report)(name, report).await;
            match sent {
                Ok(()) => {
                    log::info!(target: part::DUTY, window = window, fencing = fencing; "usage reported");
                    self.duty.note_reported(window);
                }
                Err(error) => {
                    let error = error.to_string();
                    log::warn!(target: part::DUTY, window = window, error = error; "usage not reported");
                    return;
                }
            }
        }
    }
}
