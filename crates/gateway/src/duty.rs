//! Shares what this entry counted, and takes part in reporting usage.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use pimentorock_kernel::{
    duty::{DutyHolder, DutyRecord, UsageShare, WindowBook},
    time::TimePoint,
};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    logs::part,
    state::GatewayState,
    store::{StoreError, StoreRecord, StoreTopic},
};

/// Time between shares while requests are counted.
const SHARE_PERIOD: Duration = Duration::from_millis(1_000);

/// Time behind the end of a window after which its last counts are shared.
const SHARE_DELAY: Duration = Duration::from_millis(150);

/// Time between looks at the duty.
const DUTY_PERIOD: Duration = Duration::from_millis(500);

/// Longest time that one report may be on its way.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Windows before the current one whose reports may still be due.
const DUE_WINDOWS: u64 = 3;

/// Key of the only record of the duty.
const DUTY_KEY: &str = "usage";

/// What an entry shares with the others.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct EntryShare {
    /// Where peers reach it.
    peer: SocketAddr,
    /// What it counted.
    usage: UsageShare,
}

/// Shares what was counted, until `stop` is cancelled and once more then.
pub(crate) async fn share(state: Arc<GatewayState>, stop: CancellationToken) {
    let mut last: Option<UsageShare> = None;
    while !stop.is_cancelled() {
        tokio::select! {
            () = stop.cancelled() => {}
            () = sleep(next_share(&state)) => {}
        }
        let share = state.tally().share(clock::wall_ms());
        if is_news(&state, last.as_ref(), &share) && send_share(&state, &share).await {
            last = Some(share);
        }
    }
}

/// Returns the time to the next share: a period, or right behind the end of a window.
fn next_share(state: &GatewayState) -> Duration {
    let window = state.settings.usage_window.as_millis() as u64;
    let to_end = window - clock::wall_ms() % window.max(1);
    SHARE_PERIOD.min(Duration::from_millis(to_end) + SHARE_DELAY)
}

/// Returns whether counts changed, or a window ended since the last share.
fn is_news(state: &GatewayState, last: Option<&UsageShare>, share: &UsageShare) -> bool {
    let window = state.settings.usage_window.as_millis() as u64;
    last.is_none_or(|last| {
        last.counts != share.counts || last.until_ms / window != share.until_ms / window
    })
}

async fn send_share(state: &GatewayState, usage: &UsageShare) -> bool {
    let share = EntryShare { peer: state.settings.peers, usage: usage.clone() };
    let value = match serde_json::to_vec(&share) {
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
pub(crate) async fn report(state: Arc<GatewayState>, stop: CancellationToken) {
    let mut task = DutyTask::new(state);
    while !stop.is_cancelled() {
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(DUTY_PERIOD) => {}
        }
        task.step().await;
    }
}

/// Drives the duty's holder.
struct DutyTask {
    state: Arc<GatewayState>,
    holder: DutyHolder,
    book: WindowBook,
    /// Whether the newest record was read since the start.
    opened: bool,
    /// When shares were read last.
    read_shares: TimePoint,
}

impl DutyTask {
    fn new(state: Arc<GatewayState>) -> DutyTask {
        let window_ms = state.settings.usage_window.as_millis() as u64;
        DutyTask {
            holder: DutyHolder::new(clock::now(), state.process.clone()),
            book: WindowBook::new(window_ms),
            opened: false,
            read_shares: TimePoint::ZERO,
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

    fn window_ms(&self) -> u64 {
        self.state.settings.usage_window.as_millis() as u64
    }

    fn oldest_due(&self) -> u64 {
        (clock::wall_ms() / self.window_ms()).saturating_sub(DUE_WINDOWS)
    }

    /// Returns whether a window may have to be closed or reported, or peers may be unknown.
    ///
    /// Entries that do not hold the duty look seldom.
    fn is_due(&self) -> bool {
        let current = clock::wall_ms() / self.window_ms();
        let open = self.holder.last_closed().is_none_or(|last| last + 1 < current);
        let mine = self.holder.holder().is_some_and(|(holder, _)| *holder == self.state.process);
        let seldom = clock::now().since(self.read_shares) >= 5 * DUTY_PERIOD;
        !self.opened || (open && (mine || seldom))
    }

    /// Reads the duty's newest record and what other entries share.
    async fn read(&mut self) -> Result<(), StoreError> {
        let now = clock::now();
        let newest = (self.state.store.newest)(StoreTopic::Duty).await;
        self.state.metrics.note_store_call("duty", newest.is_ok());
        let newest = newest?;
        for record in &newest.records {
            self.take_duty(now, record);
        }
        self.holder.skip_to(now, newest.end);
        self.opened = true;
        let shares = (self.state.store.newest)(StoreTopic::Shares).await;
        self.state.metrics.note_store_call("shares", shares.is_ok());
        self.take_shares(&shares?.records);
        self.read_shares = now;
        Ok(())
    }

    fn take_duty(&mut self, now: TimePoint, record: &StoreRecord) {
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

    fn take_shares(&mut self, records: &[StoreRecord]) {
        let mut peers: HashMap<Box<str>, (u64, SocketAddr)> = HashMap::new();
        for record in records {
            let Some(value) = &record.value else { continue };
            match serde_json::from_slice::<EntryShare>(value) {
                Ok(share) => {
                    let process = &share.usage.process;
                    let newest = peers.entry(process.name.clone()).or_insert((0, share.peer));
                    if process.incarnation >= newest.0 {
                        *newest = (process.incarnation, share.peer);
                    }
                    self.book.take(share.usage);
                }
                Err(error) => {
                    let error = error.to_string();
                    log::warn!(target: part::DUTY, error = error; "share unreadable");
                }
            }
        }
        self.state.set_live_entries(self.book.live(clock::wall_ms()));
        self.state.set_peers(peers.into_values().map(|(_, peer)| peer).collect());
    }

    /// Closes the windows that may be closed, or claims what a lost holder left.
    async fn close_windows(&mut self) {
        let sent = clock::now();
        if !self.holder.may_close(sent) {
            return;
        }
        let windows = self.book.closable(clock::wall_ms(), self.holder.last_closed());
        let renewal = self.holder.needs_renewal(sent, REPORT_TIMEOUT, self.oldest_due());
        if windows.is_empty() && !renewal {
            return;
        }
        let numbers: Vec<u64> = windows.iter().map(|closed| closed.window).collect();
        let record = self.holder.record(windows);
        let value = match serde_json::to_vec(&record) {
            Ok(value) => Bytes::from(value),
            Err(error) => {
                log::warn!(target: part::DUTY, error = error.to_string(); "record has no JSON form");
                return;
            }
        };
        let end = self.holder.end();
        let appending =
            (self.state.store.append)(StoreTopic::Duty, DUTY_KEY.into(), value, Some(end));
        let appended = appending.await;
        self.state.metrics.note_store_call("close", appended.is_ok());
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

    async fn send_reports(&mut self) {
        let oldest = self.oldest_due();
        while let Some(report) = self.holder.next_report(clock::now(), REPORT_TIMEOUT, oldest) {
            let window = report.closed.window;
            let fencing = report.fencing.0;
            let latest = clock::now() + REPORT_TIMEOUT;
            let name = self.state.process.name.clone();
            let sent = (self.state.store.report)(name, report, latest).await;
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
