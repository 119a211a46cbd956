//! Waits until processes have a revision in force.

use std::time::{Duration, Instant};

use crate::{
    context::ToolContext,
    error::{ErrorKind, ToolError},
    options::ChangeOptions,
    process_client::ProcessClient,
};

/// Time between two questions whether a process has confirmed a revision.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until every process has `revision` in force, and returns their number.
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
        bar.set_message(format!("{} of {total} processes to confirm", waiting.len()));
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

/// Returns the processes that do not have `revision` in force, and what to call them.
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

/// Returns whether a process that is asked for revision 0 has no settings at all.
///
/// The first change of a new log has revision 0, and so has a process that read nothing yet.
async fn has_no_settings(process: &ProcessClient, revision: u64) -> bool {
    if revision > 0 {
        return false;
    }
    let settings = process.settings().await;
    settings.is_ok_and(|answer| answer.tree.as_object().is_none_or(serde_json::Map::is_empty))
}
