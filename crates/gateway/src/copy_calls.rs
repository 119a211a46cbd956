//! What the tasks that fetch newer copies of the store share.

use tokio::sync::{Mutex, MutexGuard, Notify};

use crate::peer_pool::PeerPool;

/// Wakes the tasks that fetch newer copies of the store, and orders what they fetch.
#[derive(Debug, Default)]
pub(crate) struct CopyCalls {
    newer: Notify,
    offered: Notify,
    /// Connections to the entries that are asked for copies.
    pub(crate) pool: PeerPool,
    whole: Mutex<()>,
}

impl CopyCalls {
    /// Notes that another entry has a newer copy.
    pub(crate) fn note_newer(&self) {
        self.newer.notify_one();
    }

    /// Waits until another entry has a newer copy.
    pub(crate) async fn newer_copy(&self) {
        self.newer.notified().await;
    }

    /// Notes that another entry knows of a newer configuration.
    pub(crate) fn note_offer(&self) {
        self.offered.notify_one();
    }

    /// Waits until another entry knows of a newer configuration.
    pub(crate) async fn config_offered(&self) {
        self.offered.notified().await;
    }

    /// Waits until no other task of this entry fetches a whole list of endpoints.
    pub(crate) async fn whole_turn(&self) -> MutexGuard<'_, ()> {
        self.whole.lock().await
    }
}
