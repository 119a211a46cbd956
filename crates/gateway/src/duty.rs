//! Shares what this entry counted, and takes part in reporting usage.

use std::{collections::HashMap, sync::Arc, time::Duration};

use bytes::Bytes;
use pimentorock_kernel::{
    duty::{DutyHolder, DutyLimits, DutyRecord, WindowAggregator},
    hub::{HubChoice, KnownEntry},
    time::TimePoint,
};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    logs::part,
    peer::EntryShare,
    state::GatewayState,
    store::{REPORT_TIMEOUT, StoreError, StoreRecord, StoreTopic},
};

/// Time between shares while requests are counted.
const SHARE_PERIOD: Duration = Duration::from_millis(450);

/// Age at which a share can matter to no window that is still open.
const SHARE_MAX_AGE: Duration = Duration::from_secs(30);

/// Time between looks at the duty.
const DUTY_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time between looks of an entry that is not the hub, and that may have to take over.
const STANDBY_CHECK_PERIOD: Duration = Duration::from_secs(2);

/// Key of the only record of the duty.
const DUTY_KEY: &str = "usage";

impl GatewayState {
    /// Returns the counts of this entry and of its askers that the hub does not have yet.
    pub(crate) fn due_shares(&self) -> Vec<EntryShare> {
        let own = self.due_share();
        let view = self.view();
        let reported = view.shares.iter().filter(|(key, share)| {
            view.forwarded_until_ms
                .get(*key)
                .is_none_or(|until_ms| *until_ms < share.usage.until_ms)
        });
        reported.map(|(_, share)| share.clone()).chain(own).collect()
    }

    /// Returns what this entry counted, if that is due to be shared.
    ///
    /// It is due when counts changed some time ago, and right behind the end of a window.
    fn due_share(&self) -> Option<EntryShare> {
        let now = clock::now();
        let wall_ms = self.wall_ms();
        let window = self.window_ms();
        let usage = self.usage_counter().share(wall_ms);
        let last_shared = self.last_shared();
        let due = last_shared.as_ref().is_none_or(|(at, last)| {
            let changed = last.counts != usage.counts && now.since(*at) >= SHARE_PERIOD;
            changed || last.until_ms / window != wall_ms / window
        });
        due.then_some(EntryShare { peer: self.settings.peers, usage })
    }

    /// Notes that the hub, or the store, has these counts.
    pub(crate) fn note_shared(&self, shares: Vec<EntryShare>) {
        for share in shares {
            if share.usage.process == self.process {
                *self.last_shared() = Some((clock::now(), share.usage));
            } else {
                let key = share.usage.process.to_string().into();
                self.view().forwarded_until_ms.insert(key, share.usage.until_ms);
            }
        }
    }

    fn window_ms(&self) -> u64 {
        (self.settings.usage_window.as_millis() as u64).max(1)
    }
}

/// Writes what this entry and those that ask it counted to the store, as the root hub until
/// `stop` is cancelled, and in any case once more then.
pub(crate) async fn publish_shares(state: Arc<GatewayState>, stop: CancellationToken) {
    let mut written: HashMap<Box<str>, EntryShare> = HashMap::new();
    let mut stopping = false;
    while !stopping {
        tokio::select! {
            () = stop.cancelled() => stopping = true,
            () = sleep(SHARE_PERIOD) => {}
        }
        let shares = recent_shares(&state);
        let is_hub = state.roster().hub(clock::now()) == HubChoice::Own;
        if !is_hub && !stopping {
            continue;
        }
        let own = state.due_share();
        let shares = add_own_share(shares, own.clone(), &written, &state);
        if shares != written && !shares.is_empty() && write_shares(&state, &shares).await {
            state.note_shared(own.into_iter().collect());
            written = shares;
        }
    }
}

/// Adds this entry's own share to those of its askers: a new one, or the one written last.
fn add_own_share(
    mut shares: HashMap<Box<str>, EntryShare>,
    own: Option<EntryShare>,
    written: &HashMap<Box<str>, EntryShare>,
    state: &GatewayState,
) -> HashMap<Box<str>, EntryShare> {
    let key: Box<str> = state.process.to_string().into();
    if let Some(own) = own.or_else(|| written.get(&key).cloned()) {
        shares.insert(key, own);
    }
    shares
}

/// Returns the askers' shares that may still matter, and forgets the others.
fn recent_shares(state: &GatewayState) -> HashMap<Box<str>, EntryShare> {
    let oldest = state.wall_ms().saturating_sub(SHARE_MAX_AGE.as_millis() as u64);
    let mut view = state.view();
    view.shares.retain(|_, share| share.usage.until_ms >= oldest);
    view.forwarded_until_ms.retain(|_, until_ms| *until_ms >= oldest);
    view.shares.clone()
}

async fn write_shares(state: &GatewayState, shares: &HashMap<Box<str>, EntryShare>) -> bool {
    let shares: Vec<&EntryShare> = shares.values().collect();
    let value = match serde_json::to_vec(&shares) {
        Ok(value) => Bytes::from(value),
        Err(error) => {
            log::warn!(target: part::DUTY, error = error.to_string(); "counts have no JSON form");
            return false;
        }
    };
    let key = state.process.to_string().into();
    let sent = (state.store.append)(StoreTopic::Shares, key, value, None).await;
    state.metrics.note_store_call("share", sent.is_ok());
    if let Err(error) = &sent {
        log::warn!(target: part::DUTY, error = error.to_string(); "counts not shared");
    }
    sent.is_ok()
}

/// Takes part in the duty until `stop` is cancelled.
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

/// Drives the duty's holder.
struct DutyTask {
    state: Arc<GatewayState>,
    holder: DutyHolder,
    aggregator: WindowAggregator,
    /// Whether the newest record was read since the start.
    has_read: bool,
    /// When shares were read last.
    shares_read_at: TimePoint,
}

impl DutyTask {
    fn new(state: Arc<GatewayState>) -> DutyTask {
        let limits = DutyLimits::new(state.settings.usage_lease, state.settings.usage_due);
        DutyTask {
            holder: DutyHolder::new(clock::now(), state.process.clone(), limits),
            aggregator: WindowAggregator::new(state.window_ms(), limits),
            has_read: false,
            shares_read_at: TimePoint::ZERO,
            state,
        }
    }

    async fn step(&mut self) {
        if !self.is_due() {
            return;
        }
        if let Err(error) = self.read().await {
            log::warn!(target: part::DUTY, error = error.to_string(); "duty not read");
            return;
        }
        self.close_windows().await;
        self.send_reports().await;
    }

    fn oldest_due(&self) -> u64 {
        let due = self.state.settings.usage_due.as_millis() as u64 / self.state.window_ms();
        (self.state.wall_ms() / self.state.window_ms()).saturating_sub(due + 1)
    }

    /// Returns whether a window may have to be closed or reported, or peers may be unknown.
    ///
    /// An entry that neither holds the duty nor is the hub looks seldom.
    fn is_due(&self) -> bool {
        let now = clock::now();
        let current = self.state.wall_ms() / self.state.window_ms();
        let open = self.holder.last_closed().is_none_or(|last| last + 1 < current);
        let is_holder =
            self.holder.holder().is_some_and(|(holder, _)| *holder == self.state.process);
        let hub = self.state.roster().hub(now) == HubChoice::Own;
        let standby = self.state.roster().is_standby(now);
        let standby_check_due = now.since(self.shares_read_at) >= STANDBY_CHECK_PERIOD;
        !self.has_read || (open && (is_holder || (standby_check_due && (hub || standby))))
    }

    /// Reads the duty's newest record and what other entries share.
    async fn read(&mut self) -> Result<(), StoreError> {
        let now = clock::now();
        let newest = (self.state.store.newest)(StoreTopic::Duty).await;
        self.state.metrics.note_store_call("duty", newest.is_ok());
        let newest = newest?;
        for record in &newest.records {
            self.apply_duty(now, record);
        }
        self.holder.skip_to(now, newest.end);
        self.has_read = true;
        let shares = (self.state.store.newest)(StoreTopic::Shares).await;
        self.state.metrics.note_store_call("shares", shares.is_ok());
        self.apply_shares(&shares?.records);
        self.shares_read_at = now;
        Ok(())
    }

    fn apply_duty(&mut self, now: TimePoint, record: &StoreRecord) {
        let Some(value) = &record.value else { return };
        match serde_json::from_slice::<DutyRecord>(value) {
            Ok(duty) => {
                let before = self.holder.holder().map(|(holder, _)| holder.clone());
                let holder = duty.holder.clone();
                self.holder.read(now, record.offset, duty);
                if before.as_ref() != Some(&holder) {
                    log::info!(
                        target: part::DUTY,
                        holder = holder.to_string(), offset = record.offset;
                        "usage duty changed hands"
                    );
                }
            }
            Err(error) => {
                log::warn!(target: part::DUTY, error = error.to_string(); "duty record unreadable");
            }
        }
    }

    fn apply_shares(&mut self, records: &[StoreRecord]) {
        let now = clock::now();
        for record in records {
            let Some(value) = &record.value else { continue };
            match serde_json::from_slice::<Vec<EntryShare>>(value) {
                Ok(shares) => {
                    for share in shares {
                        self.note_peer(now, &share);
                        self.aggregator.take(share.usage);
                    }
                }
                Err(error) => {
                    let error = error.to_string();
                    log::warn!(target: part::DUTY, error = error; "share unreadable");
                }
            }
        }
    }

    /// Notes an entry that shared lately, so that one that has just started finds its hub.
    fn note_peer(&self, now: TimePoint, share: &EntryShare) {
        let age_ms = self.state.wall_ms().saturating_sub(share.usage.until_ms);
        let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
        let entry = KnownEntry { address: share.peer, domain: None, age_ms };
        self.state.roster().note_entry(now, &entry);
    }

    /// Closes the windows that may be closed, or claims what a lost holder left.
    async fn close_windows(&mut self) {
        let sent = clock::now();
        if !self.holder.may_close(sent) {
            return;
        }
        let windows = self.aggregator.closable(self.state.wall_ms(), self.holder.last_closed());
        let renewal = self.holder.needs_renewal(sent, REPORT_TIMEOUT, self.oldest_due());
        if windows.is_empty() && !renewal {
            return;
        }
        let numbers: Vec<u64> = windows.iter().map(|closed| closed.window).collect();
        let record = self.holder.record(windows);
        let end = self.holder.end();
        let appended = self.append(&record).await;
        match appended {
            Ok(offset) => {
                self.holder.appended(clock::now(), sent, offset, record);
                log::info!(
                    target: part::DUTY,
                    windows = format!("{numbers:?}"), offset = offset, end = end;
                    "usage windows closed"
                );
            }
            Err(error) => {
                log::info!(target: part::DUTY, error = error.to_string(), end = end; "windows not closed");
            }
        }
    }

    /// Gives the duty up at the end of the process, so that another one need not wait for long.
    async fn release(&mut self) {
        let Some(record) = self.holder.release() else { return };
        let appended = self.append(&record).await;
        log::info!(target: part::DUTY, given_up = appended.is_ok(); "usage duty given up");
    }

    /// Appends a record where the topic ends as far as it was read.
    async fn append(&self, record: &DutyRecord) -> Result<u64, StoreError> {
        let value = serde_json::to_vec(record)
            .map_err(|error| StoreError::Malformed(error.to_string().into()))?;
        let (key, end) = (DUTY_KEY.into(), Some(self.holder.end()));
        let appended = (self.state.store.append)(StoreTopic::Duty, key, value.into(), end).await;
        self.state.metrics.note_store_call("close", appended.is_ok());
        appended
    }

    async fn send_reports(&mut self) {
        let oldest = self.oldest_due();
        while let Some(report) = self.holder.next_report(clock::now(), REPORT_TIMEOUT, oldest) {
            let window = report.closed.window;
            let fencing = report.fencing.0;
            let name = self.state.process.name.clone();
            let sent = (self.state.store.report)(name, report).await;
            match sent {
                Ok(()) => {
                    log::info!(target: part::DUTY, window = window, fencing = fencing; "usage reported");
                    self.holder.note_reported(window);
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
