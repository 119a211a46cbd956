//! Replays usage from the `state` stream.

use std::{collections::HashSet, time::Duration};

use pimentorock_kernel::{
    control::{UsageChange, UsageLedger},
    record::{STATE_STREAM, StateRecord, UsageLine, WindowClosed},
};
use pimentorock_platform::{log_reader::LogReader, read_event::ReadEvent};

use crate::{context::ToolContext, error::ToolError, stream_read::read_until};

/// Maximum time that one read waits for its first record.
const READ_WAIT: Duration = Duration::from_millis(500);

/// The usage in the `state` stream, up to its end at the time of reading.
#[derive(Default)]
pub(crate) struct UsageSession {
    /// Lowest offset that the log still contains; `None` if no records were trimmed.
    pub(crate) trimmed: Option<u64>,
    /// Closed windows that the log still contains, in the order in which they were closed.
    pub(crate) closed: Vec<ClosedWindow>,
    /// Numbers of the windows whose figures were reported to the platform.
    pub(crate) reported: HashSet<u64>,
    ledger: UsageLedger,
}

/// The record that closed a window, and the record's offset.
pub(crate) struct ClosedWindow {
    offset: u64,
    pub(crate) record: WindowClosed,
}

impl UsageSession {
    /// Reads the stream up to its current end.
    ///
    /// # Errors
    ///
    /// Fails if no platform is given or the log cannot be read in time.
    pub(crate) async fn load(context: &ToolContext) -> Result<UsageSession, ToolError> {
        let client = context.log(STATE_STREAM, context.platform()?);
        let end = client.end().await?;
        let mut reader = LogReader::new(client, 0).with_wait(READ_WAIT);
        let mut session = UsageSession::default();
        let on_event = |event| {
            match event {
                ReadEvent::Entry { offset, body, .. } => session.apply(offset, &body),
                ReadEvent::Trimmed { head, .. } => session.trimmed = Some(head),
                _ => {}
            }
            None
        };
        read_until(context, &mut reader, end, on_event).await?;
        Ok(session)
    }

    /// Returns the counts that are not part of a closed window.
    ///
    /// Returns nothing if records were trimmed from the log, since the trimmed records may have
    /// closed the windows of some of these counts.
    pub(crate) fn open(&self) -> Vec<UsageLine> {
        if self.trimmed.is_some() { Vec::new() } else { self.ledger.pending().collect() }
    }

    /// Reports whether the log contains no usage and no records were trimmed from it.
    pub(crate) fn is_empty(&self) -> bool {
        self.trimmed.is_none() && self.closed.is_empty() && self.ledger.pending().next().is_none()
    }

    /// Applies a record, and adds it to `closed` if it is the accepted closing record of a window.
    fn apply(&mut self, offset: u64, record: &StateRecord) {
        let change = self.ledger.apply(offset, record);
        match record {
            StateRecord::WindowClosed(closed) => {
                let accepted = match self.trimmed {
                    None => matches!(change, UsageChange::Closed { .. }),
                    Some(head) => self.continues_chain(head, closed),
                };
                if accepted {
                    self.closed.push(ClosedWindow { offset, record: closed.clone() });
                }
            }
            StateRecord::WindowReported(reported) => _ = self.reported.insert(reported.window),
            _ => {}
        }
    }

    /// Reports whether a record closes a window, according to the chain of closing records alone.
    ///
    /// Each closing record refers to the offset of the previous one. If the chain shows that the
    /// first known record was rejected in favour of a trimmed record, the first known record is
    /// removed from `closed`.
    fn continues_chain(&mut self, head: u64, closed: &WindowClosed) -> bool {
        let Some(last) = self.closed.last() else { return true };
        if closed.previous == Some(last.offset) {
            return true;
        }
        let trimmed_winner = closed.previous.is_some_and(|offset| offset < head)
            && closed.previous != last.record.previous;
        if self.closed.len() == 1 && trimmed_winner {
            self.closed.clear();
            return true;
        }
        false
    }
}
