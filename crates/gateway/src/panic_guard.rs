//! Bounds what a panic ends: one record, or one run of a task.

use std::{
    any::Any,
    panic::{self, AssertUnwindSafe},
    time::Duration,
};

use crate::{logs::part, metrics::GatewayMetrics};

/// Time until a task that ended by a panic is started again.
const RESTART_DELAY: Duration = Duration::from_millis(200);

impl GatewayMetrics {
    /// Applies one record of `topic` with `apply`; a panic leaves the rest of the record out, and is logged
    /// and counted.
    ///
    /// What `apply` changes is behind locks that outlive a panic.
    pub(crate) fn shield_record(&self, topic: &'static str, key: &str, apply: impl FnOnce()) {
        if let Err(panic) = panic::catch_unwind(AssertUnwindSafe(apply)) {
            self.note_panic(topic);
            log::error!(
                target: part::FOLLOW, topic = topic, key = key, error = message(&*panic);
                "record left out after a panic"
            );
        }
    }

    /// Runs the task that `start` returns to its end; a run that ends by a panic is logged and counted, and
    /// another one is started.
    pub(crate) async fn run_task<F>(self, name: &'static str, start: impl Fn() -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        loop {
            match tokio::spawn(start()).await {
                Err(error) if error.is_panic() => {
                    self.note_panic(name);
                    log::error!(
                        target: part::PROCESS, task = name, error = message(&*error.into_panic());
                        "task started again after a panic"
                    );
                }
                _ => return,
            }
            tokio::time::sleep(RESTART_DELAY).await;
        }
    }
}

/// Returns the text of a panic.
fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("no message")
}
