//! Periodic work of the lease holder.

use std::time::Duration;

use pimentorock_kernel::ids::FencingNumber;
use tokio_util::sync::CancellationToken;

use crate::state::StateReplica;

/// Runs `task` every `period` while this process holds the lease, until `stop` is cancelled.
///
/// The task must check the lease again before each order or report that it writes.
pub(crate) async fn perform(
    replica: &StateReplica,
    period: Duration,
    stop: CancellationToken,
    task: impl AsyncFn(FencingNumber),
) {
    if !replica.is_candidate() {
        return;
    }
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(period) => {}
        }
        if let Some(fencing) = replica.may_act() {
            task(fencing).await;
        }
    }
}
