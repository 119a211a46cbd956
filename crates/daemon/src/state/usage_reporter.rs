//! Closes usage windows and reports them to the platform, under the lease.

use std::{sync::Arc, time::Duration};

use pimentorock_kernel::{
    ids::FencingNumber,
    record::{AccountFigures, STATE_STREAM, StateRecord, WindowClosed},
};
use pimentorock_platform::{
    error::PlatformError, log_client::LogClient, usage_client::UsageClient, wire::UsageReport,
};
use tokio_util::sync::CancellationToken;

use crate::{
    control::ControlCore,
    logs::part,
    state::{
        StateReplica, lease_task,
        usage_counts::{open_window, window_ms},
    },
};

/// Time between checks for a window to close or to report.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time after the end of a window for its last counts to reach the log.
const LATE_COUNT_GRACE: Duration = Duration::from_secs(6);

/// Closes usage windows and reports them while this process holds the lease.
#[derive(Debug)]
pub(crate) struct UsageReporter {
    core: Arc<ControlCore>,
    replica: Arc<StateReplica>,
    log: LogClient,
    usage: UsageClient,
}

impl UsageReporter {
    /// Returns a reporter to the platform URL `base`.
    pub(crate) fn new(
        core: Arc<ControlCore>,
        replica: Arc<StateReplica>,
        http: reqwest::Client,
        base: &str,
    ) -> UsageReporter {
        let log = LogClient::new(http.clone(), base, STATE_STREAM);
        UsageReporter { core, replica, log, usage: UsageClient::new(http, base) }
    }

    /// Closes and reports windows until `stop` is cancelled.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let task = async |_| {
            self.close_one().await;
            self.report_one().await;
        };
        lease_task::perform(&self.replica, CHECK_PERIOD, stop, task).await;
    }

    /// Appends the record that closes the next window that is due.
    async fn close_one(&self) {
        let length = self.core.usage_window();
        let Some(complete) = open_window(length, LATE_COUNT_GRACE).checked_sub(1) else { return };
        let Some(record) = self.replica.close_window(complete) else { return };
        self.append("close", &record).await;
    }

    /// Reports the figures of the next closed window, account by account.
    async fn report_one(&self) {
        let Some(closed) = self.replica.next_report() else { return };
        for figures in &closed.figures {
            let Some(fencing) = self.replica.begin_act() else { return };
            let sent = self.usage.send(&self.report(&closed, figures, fencing)).await;
            self.replica.end_act();
            if let Err(error) = sent {
                // The same figures are sent again, whether or not the platform received them.
                log::warn!(target: part::USAGE, "Usage window {} is not reported yet: {error}.", closed.window);
                return;
            }
        }
        let Some(fencing) = self.replica.may_act() else { return };
        let record = self.replica.reported(closed.window, fencing);
        self.append("reported", &record).await;
        log::info!(target: part::USAGE, "Usage window {} is reported.", closed.window);
    }

    fn report(
        &self,
        closed: &WindowClosed,
        figures: &AccountFigures,
        fencing: FencingNumber,
    ) -> UsageReport {
        let mut counts = figures.served;
        counts += figures.adjustment;
        let length = window_ms(self.core.usage_window());
        UsageReport {
            account: figures.account.clone(),
            window_start_ms: closed.window * length,
            window_end_ms: (closed.window + 1) * length,
            requests: counts.requests,
            prompt_tokens: counts.prompt_tokens,
            output_tokens: counts.output_tokens,
            sender: self.core.identity().process.name.clone(),
            fencing: fencing.0,
        }
    }

    async fn append(&self, prefix: &str, record: &StateRecord) {
        let id =
            format!("{prefix}-{}-{:032x}", self.core.identity().process, rand::random::<u128>());
        let appended: Result<u64, PlatformError> = self.log.append(&id, record).await;
        if let Err(error) = appended {
            log::warn!(target: part::USAGE, "The append of usage record {id} was not confirmed: {error}.");
        }
    }
}
