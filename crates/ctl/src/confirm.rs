//! Waits until all processes have applied a revision.

use std::time::{Duration, Instant};

use crate::{
    context::ToolContext,
    error::{ErrorKind, ToolError},
    options::ChangeOptions,
    process_client::ProcessClient,
};

/// Time between two polls of the processes that have not applied a revision yet.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until every process has applied `revision`, and returns the number of processes.
///
/// # Errors
///
/// Fails if the processes cannot be determined, or if the time given by `--wait-timeout` passes
/// before all of them have applied the revision.
pub(crate) async fn wait_confirmed(
    context: &ToolContext,
    revision: u64,
    options: &ChangeOptions,
) -> Result<usize, ToolError> {
    let mut waiting = context.processes().await?;
    let total = waiting.len();
    let deadline = Instant::now() + Duration::from_secs(options.wait_timeout);
    let bar = context.progress("");
    let mut names: Vec<Box<str>>;
    loop {
        bar.set_message(format!("waiting for {} of {total} processes", waiting.len()));
        (waiting, names) = unconfirmed(waiting, revision).await;
        if waiting.is_empty() || Instant::now() >= deadline {
            break;
        }
        tokio::time::sleep(CONFIRM_INTERVAL).await;
    }
    bar.finish_and_clear();
    if !waiting.is_empty() {
        return Err(ErrorKind::Unconfirmed { revision, processes: names }.into());
    }
    Ok(total)
}

/// Returns the processes that have not applied `revision`, and a description of each for the error
/// message.
async fn unconfirmed(
    processes: Vec<ProcessClient>,
    revision: u64,
) -> (Vec<ProcessClient>, Vec<Box<str>>) {
    let asked = processes.into_iter().map(|process| async move {
        let status = process.status().await;
        (process, status)
    });
    let (mut left, mut names) = (Vec::new(), Vec::new());
    for task in asked.map(tokio::spawn).collect::<Vec<_>>() {
        let Ok((process, status)) = task.await else { continue };
        let name = match status {
            Ok(status)
                if status.revision >= revision && !has_no_settings(&process, revision).await =>
            {
                continue;
            }
            Ok(status) => format!("{} (at revision {})", status.process.name, status.revision),
            Err(error) => error.to_string(),
        };
        left.push(process);
        names.push(name.into());
    }
    (left, names)
}

/// Reports whether `revision` is 0 and the process has no settings at all.
///
/// Revision 0 is ambiguous: it is the revision of the first change of a new log and also the
/// revision of a process that has not read any record yet.
async fn has_no_settings(process: &ProcessClient, revision: u64) -> bool {
    if revision > 0 {
        return false;
    }
    let settings = process.settings().await;
    settings.is_ok_and(|answer| answer.tree.as_object().is_none_or(serde_json::Map::is_empty))
}
