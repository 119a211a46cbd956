//! Replays usage from the `state` stream.

use std::{collections::HashSet, time::Duration};

use pimentorock_kernel::{
    control::{UsageChange, UsageLedger},
    record::{STATE_STREAM, StateRecord, UsageLine, WindowClosed},
};
use pimentorock_platform::{log_reader::LogReader, read_event::ReadEvent};

use crate::{context::ToolContext, error::ToolError, stream_read::read_until};

/// Longest wait of one read for a first record.
const READ_WAIT: Duration = Duration::from_millis(500);

/// Usage in the `state` stream up to now.
#[derive(Default)]
pub(crate) struct UsageSession {
    /// Lowest offset that the log still holds, if it has lost records.
    pub(crate) trimmed: Option<u64>,
    /// Closed windows that the log still holds, in their order.
    pub(crate) closed: Vec<ClosedWindow>,
    /// Windows whose figures have reached the platform.
    pub(crate) reported: HashSet<u64>,
    ledger: UsageLedger,
}

/// A closed window and the offset of the record that closed it.
pub(crate) struct ClosedWindow {
    offset: u64,
    pub(crate) record: WindowClosed,
}

impl UsageSession {
    /// Reads the stream to its end.
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

    /// Returns counts that no closed window holds; none if the log has lost records, since
    /// some of them may be closed already.
    pub(crate) fn open(&self) -> Vec<UsageLine> {
        if self.trimmed.is_some() { Vec::new() } else { self.ledger.pending().collect() }
    }

    /// Returns whether the log holds no usage, and never held any that it has lost.
    pub(crate) fn is_empty(&self) -> bool {
        self.trimmed.is_none() && self.closed.is_empty() && self.ledger.pending().next().is_none()
    }

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

    /// Returns whether a record closes a window, judged by the chain of closing records alone.
    ///
    /// Drops the first record known if the chain shows that it lost against one that the log
    /// no longer holds.
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
