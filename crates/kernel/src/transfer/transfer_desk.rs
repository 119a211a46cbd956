//! Which entries may fetch records from this one at the same time.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use crate::time::TimePoint;

/// Number of askers that are served at the same time.
const MAX_SERVED: usize = 4;

/// Time after its last question for which an asker is counted as being served.
const SERVICE_TIME: Duration = Duration::from_millis(250);

/// Admits a few askers at a time, so that the first of them soon have whole records and serve others.
#[derive(Clone, Debug, Default)]
pub struct TransferDesk {
    served: BTreeMap<SocketAddr, TimePoint>,
}

impl TransferDesk {
    /// Returns a desk without askers.
    pub fn new() -> TransferDesk {
        TransferDesk::default()
    }

    /// Reports whether the entry at `asker` is served now.
    pub fn admit(&mut self, now: TimePoint, asker: SocketAddr) -> bool {
        self.served.retain(|_, asked_at| now.since(*asked_at) < SERVICE_TIME);
        let is_admitted = self.served.contains_key(&asker) || self.served.len() < MAX_SERVED;
        if is_admitted {
            self.served.insert(asker, now);
        }
        is_admitted
    }

    /// Notes that the entry at `asker` has the record.
    pub fn release(&mut self, asker: SocketAddr) {
        self.served.remove(&asker);
    }
}
