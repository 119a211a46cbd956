//! What entries tell each other of the newest record of the usage duty.

use pimentorock_kernel::{
    duty::{DutySighting, SightingRow},
    time::TimePoint,
};

use crate::shared_view::SharedView;

impl SharedView {
    /// Takes over when the newest record of the usage duty was read, and returns what is known then.
    pub(crate) fn note_duty_seen(&mut self, seen: DutySighting) -> DutySighting {
        let merged = self.duty_seen.map_or(seen, |known| known.merged(seen));
        self.duty_seen = Some(merged);
        merged
    }

    /// Applies the word of another entry on the newest record of the usage duty.
    pub(crate) fn note_duty_row(&mut self, now: TimePoint, row: Option<SightingRow>) {
        if let Some(row) = row.filter(SightingRow::is_readable) {
            self.note_duty_seen(DutySighting::from_row(now, row));
        }
    }
}
