//! Reads a stream up to an offset.

use pimentorock_platform::{log_reader::LogReader, read_event::ReadEvent};
use serde::de::DeserializeOwned;
use tokio_util::sync::CancellationToken;

use crate::{context::ToolContext, error::ToolError};

/// Passes all events below offset `end` to `on_event`.
///
/// `on_event` returns the offset at which to continue reading, or `None` for the next offset.
///
/// # Errors
///
/// Fails if the events do not arrive within the time given by `--timeout`.
pub(crate) async fn read_until<T: DeserializeOwned>(
    context: &ToolContext,
    reader: &mut LogReader<T>,
    end: u64,
    on_event: impl FnMut(ReadEvent<T>) -> Option<u64>,
) -> Result<(), ToolError> {
    let bar = context.progress("reading the log");
    let result = context.within_timeout(read_events_until(reader, end, on_event)).await;
    bar.finish_and_clear();
    result
}

async fn read_events_until<T: DeserializeOwned>(
    reader: &mut LogReader<T>,
    end: u64,
    mut on_event: impl FnMut(ReadEvent<T>) -> Option<u64>,
) {
    let never = CancellationToken::new();
    let mut reached = 0;
    while reached < end {
        let Some(event) = reader.next(&never).await else { return };
        reached = match &event {
            ReadEvent::Entry { offset, .. }
            | ReadEvent::Duplicate { offset, .. }
            | ReadEvent::Damaged { offset, .. } => offset + 1,
            ReadEvent::Trimmed { head, .. } => *head,
            ReadEvent::CaughtUp { .. } => reached,
        };
        if let Some(next) = on_event(event) {
            reader.seek(next);
            reached = next;
        }
    }
}
