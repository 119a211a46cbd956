//! Asks endpoints that may have left whether they leave, before they get requests.
//!
//! The store executes some writes seconds late. The record of an endpoint that has left may then come again, and
//! an entry that has not seen all of its heartbeats cannot tell that it is an older one. A record that is gone after
//! an outage of the store may have expired, or its endpoint may have left. An endpoint that leaves says so in all
//! its answers.

use std::{mem, sync::Arc, time::Duration};

use pimentorock_kernel::time::TimePoint;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    clock, connection::HttpConnection, crash_checks::EndpointInstance,
    dispatcher::RequestDispatcher, logs::part, run_checks::REPORT_TIMEOUT,
    run_statement::RunStatement, state::GatewayState, state_lock::StateLock, work_guard::WorkGuard,
};

/// Maximum time for which an endpoint that is listed again and does not answer gets no requests. The store removes
/// the record of one that has ended before.
const MAX_HOLD: Duration = Duration::from_secs(4);

/// Time between two questions to an endpoint that does not answer.
const ASK_PERIOD: Duration = Duration::from_millis(250);

/// What an endpoint that may have left answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListingVerdict {
    /// It does not leave.
    Stays,
    /// It leaves.
    Leaves,
    /// Another run of it answers.
    Other,
}

impl ListingVerdict {
    /// Returns the name of the verdict in logs and metrics, and as the reason why nothing is sent.
    fn label(self) -> &'static str {
        match self {
            ListingVerdict::Stays => "stays",
            ListingVerdict::Leaves => "leaves",
            ListingVerdict::Other => "other",
        }
    }
}

/// Endpoints that are to be asked whether they leave.
#[derive(Debug)]
pub(crate) struct ListingChecks {
    pending: StateLock<Vec<EndpointInstance>>,
    added: Notify,
}

impl ListingChecks {
    /// Returns checks of which none is pending.
    pub(crate) fn new() -> ListingChecks {
        ListingChecks { pending: StateLock::new(Vec::new()), added: Notify::new() }
    }

    fn add(&self, instance: EndpointInstance) {
        self.pending.lock().push(instance);
        self.added.notify_one();
    }
}

impl GatewayState {
    /// Lets the endpoint `name`, which is listed again, get requests only once it has answered that it does not
    /// leave.
    pub(crate) fn check_listing(&self, name: &str) {
        let Some(instance) = self.instance(name) else { return };
        self.table().hold(name, clock::now() + MAX_HOLD);
        self.listing_checks.add(instance);
    }

    /// Asks an endpoint until it answers or the time for which it gets no requests is over.
    async fn ask_listed(self: Arc<Self>, instance: EndpointInstance) {
        let end = clock::now() + MAX_HOLD;
        let mut verdict = self.ask_whether_leaving(&instance, REPORT_TIMEOUT).await;
        while verdict.is_none() && clock::now() < end {
            sleep(ASK_PERIOD).await;
            verdict = self.ask_whether_leaving(&instance, REPORT_TIMEOUT).await;
        }
        log::info!(
            target: part::FOLLOW,
            endpoint = &*instance.name, verdict = verdict.map_or("unanswered", ListingVerdict::label);
            "endpoint is listed again"
        );
        let is_listed = self.instance(&instance.name).as_ref() == Some(&instance);
        if verdict == Some(ListingVerdict::Stays) && is_listed {
            self.table().hold(&instance.name, TimePoint::ZERO);
        }
    }

    /// Asks an endpoint on a new connection; `None` if it does not answer within `limit`.
    async fn ask_whether_leaving(
        &self,
        instance: &EndpointInstance,
        limit: Duration,
    ) -> Option<ListingVerdict> {
        let asking = async {
            let connection = HttpConnection::open(instance.address).await.ok()?;
            self.ask_run(instance, connection).await.ok()
        };
        let answer = timeout(limit, asking).await.ok().flatten();
        let verdict = answer.map(|answer| match (answer.run, instance.started_ms) {
            _ if answer.leaving => ListingVerdict::Leaves,
            (RunStatement::Started(stated_ms), Some(listed_ms)) if stated_ms != listed_ms => {
                ListingVerdict::Other
            }
            _ => ListingVerdict::Stays,
        });
        self.metrics.note_listing_check(verdict.map_or("unanswered", ListingVerdict::label));
        verdict
    }
}

impl RequestDispatcher {
    /// Asks the endpoint of `work` whether it leaves, if its record in the store expired.
    ///
    /// # Errors
    ///
    /// Returns why nothing is sent to the endpoint.
    pub(crate) async fn ask_lapsed(&self, work: &WorkGuard) -> Result<(), Box<str>> {
        let endpoint = work.ticket.endpoint;
        if !self.state.table().must_ask(endpoint) {
            return Ok(());
        }
        let limit = REPORT_TIMEOUT.min(self.request.time_left());
        match self.state.ask_whether_leaving(&work.instance, limit).await {
            Some(ListingVerdict::Stays) => {
                self.state.table().note_answered(endpoint);
                Ok(())
            }
            Some(ListingVerdict::Leaves) => Err("the endpoint leaves".into()),
            Some(ListingVerdict::Other) => Err("the endpoint was started again".into()),
            None => {
                self.state.note_unreached(work.sent_at, endpoint, &work.instance.name);
                Err("the endpoint, whose record expired, does not answer".into())
            }
        }
    }
}

/// Asks endpoints that are listed again whether they leave, until `stop` is cancelled.
pub(crate) async fn check_listings(state: Arc<GatewayState>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = state.listing_checks.added.notified() => {}
        }
        let pending = mem::take(&mut *state.listing_checks.pending.lock());
        for instance in pending {
            let asking = Arc::clone(&state).ask_listed(instance);
            tokio::spawn(stop.clone().run_until_cancelled_owned(asking));
        }
    }
}
