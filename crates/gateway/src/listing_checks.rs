//! Asks endpoints that are listed again whether they leave, before they get requests.
//!
//! The store executes some writes seconds late. The record of an endpoint that has left may then come again, and
//! an entry that has not seen all of its heartbeats cannot tell that it is an older one. An endpoint that leaves
//! says so in all its answers.

use std::{mem, sync::Arc, time::Duration};

use pimentorock_kernel::time::TimePoint;
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    clock, connection::HttpConnection, crash_checks::EndpointInstance, logs::part,
    run_checks::REPORT_TIMEOUT, run_statement::RunStatement, state::GatewayState,
    state_lock::StateLock,
};

/// Maximum time for which an endpoint that is listed again and does not answer gets no requests. The store removes
/// the record of one that has ended before.
const MAX_HOLD: Duration = Duration::from_secs(4);

/// Time between two questions to an endpoint that does not answer.
const ASK_PERIOD: Duration = Duration::from_millis(250);

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
        let verdict = loop {
            let asked = timeout(REPORT_TIMEOUT, self.ask_new_connection(&instance)).await;
            if let Ok(Some(verdict)) = asked {
                break verdict;
            }
            if clock::now() >= end {
                break "unanswered";
            }
            sleep(ASK_PERIOD).await;
        };
        log::info!(
            target: part::FOLLOW, endpoint = &*instance.name, verdict = verdict;
            "endpoint is listed again"
        );
        self.metrics.note_listing_check(verdict);
        if verdict == "stays" && self.instance(&instance.name).as_ref() == Some(&instance) {
            self.table().hold(&instance.name, TimePoint::ZERO);
        }
    }

    /// Asks an endpoint on a new connection; `None` if it does not answer.
    async fn ask_new_connection(&self, instance: &EndpointInstance) -> Option<&'static str> {
        let connection = HttpConnection::open(instance.address).await.ok()?;
        let answer = self.ask_run(instance, connection).await.ok()?;
        match (answer.run, instance.started_ms) {
            _ if answer.leaving => Some("leaves"),
            (RunStatement::Started(stated_ms), Some(listed_ms)) if stated_ms != listed_ms => {
                Some("other")
            }
            _ => Some("stays"),
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
