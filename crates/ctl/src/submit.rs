//! Appends records to the `config` stream and reads back whether they were accepted.

use std::time::Duration;

use pimentorock_kernel::{
    control::ReplayOutcome,
    record::{ConfigChange, ConfigEdit, ConfigRecord},
};
use pimentorock_platform::{
    append_budget::AppendBudget, backoff::RetryBackoff, log_appender::LogAppender,
};
use pimentorock_settings::{
    compile::compile_with_positions,
    diff::diff_trees,
    position::PositionMap,
    tree::{SettingsTree, team_of_path},
};
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::{
    config_session::ConfigSession,
    confirm::wait_confirmed,
    context::ToolContext,
    difference_text::print_change,
    error::{ErrorKind, ToolError},
    options::ChangeOptions,
    output::ToolOutput,
    usage_session::UsageSession,
};

/// Path of the setting for the length of a usage window.
const USAGE_WINDOW_PATH: &str = "/fleet/usage/window";

/// Applies `edits` to a copy of `tree` and returns the copy.
///
/// `positions` are the positions of the values in the settings file, if the edits come from one.
///
/// # Errors
///
/// Fails if an edit cannot be applied, or with all findings if the edited tree is invalid.
pub(crate) fn edited_tree(
    tree: &SettingsTree,
    edits: &[ConfigEdit],
    positions: Option<&PositionMap>,
) -> Result<SettingsTree, ToolError> {
    let mut edited = tree.clone();
    for edit in edits {
        match &edit.value {
            Some(value) => edited.set(&edit.path, value.clone())?,
            None => _ = edited.delete(&edit.path)?,
        }
    }
    compile_with_positions(edited.root(), positions)?;
    Ok(edited)
}

/// Checks edits, appends them as one change and prints the result.
///
/// With `--wait`, also waits until all processes have applied the change. Edits that change nothing
/// are not appended.
pub(crate) async fn submit_change(
    context: &ToolContext,
    mut session: ConfigSession,
    edits: Vec<ConfigEdit>,
    positions: Option<&PositionMap>,
    options: &ChangeOptions,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    check_team(context, &edits)?;
    let before = session.tree();
    let after = edited_tree(&before, &edits, positions)?;
    check_usage_window(context, &before, &after).await?;
    let differences = diff_trees(&before, &after);
    let revision = if differences.is_empty() {
        session.replay.revision()
    } else {
        append_change(context, &mut session, edits, options).await?
    };
    if !context.options.json {
        print_change(revision, &differences, output);
    }
    let confirmed = match options.wait {
        true => Some(wait_confirmed(context, revision, options).await?),
        false => None,
    };
    if context.options.json {
        output.json(&json!({
            "revision": revision, "differences": differences, "confirmed": confirmed,
        }));
    } else if let Some(count) = confirmed {
        output.line(&format!("confirmed by {count} processes"));
    }
    Ok(())
}

/// Checks that all edits are inside the team given by `--team`.
///
/// # Errors
///
/// Fails if a team is given and an edit is outside of it.
fn check_team(context: &ToolContext, edits: &[ConfigEdit]) -> Result<(), ToolError> {
    let Some(team) = &context.options.team else { return Ok(()) };
    match edits.iter().find(|edit| team_of_path(&edit.path) != Some(team)) {
        None => Ok(()),
        Some(edit) => {
            let path = &edit.path;
            Err(ToolError::invalid(format!("path \"{path}\" is outside team \"{team}\"")))
        }
    }
}

/// Checks that the length of usage windows does not change once the log contains usage.
///
/// The number of a window is its start time since 1970 divided by the length, so a new length would
/// assign the numbers of closed windows to other times.
///
/// # Errors
///
/// Fails if the length changes and the log contains usage, or if the log cannot be read.
async fn check_usage_window(
    context: &ToolContext,
    before: &SettingsTree,
    after: &SettingsTree,
) -> Result<(), ToolError> {
    if before.get(USAGE_WINDOW_PATH)? == after.get(USAGE_WINDOW_PATH)? {
        return Ok(());
    }
    let usage = UsageSession::load(context).await?;
    if usage.is_empty() {
        return Ok(());
    }
    let problem =
        "the length of usage windows cannot change because the log already contains usage";
    Err(ToolError::invalid(format!("{USAGE_WINDOW_PATH}: {problem}")))
}

/// Appends `edits` as one change and returns its revision.
async fn append_change(
    context: &ToolContext,
    session: &mut ConfigSession,
    edits: Vec<ConfigEdit>,
    options: &ChangeOptions,
) -> Result<u64, ToolError> {
    let base = options.base.unwrap_or(session.replay.base());
    if session.replay.next_offset() == 0 {
        append_initial_change(context, session).await?;
    }
    let change_id: Box<str> = format!("{:032x}", rand::random::<u128>()).into();
    let change =
        ConfigChange { change_id: change_id.clone(), base, author: context.author().into(), edits };
    let operation = format!("change {change_id}");
    let outcome =
        append_record(context, session, &change_id, ConfigRecord::Change(change), &operation)
            .await?;
    match outcome {
        ReplayOutcome::Accepted { revision, .. } => Ok(revision),
        ReplayOutcome::Refused { reason, .. } => Err(ErrorKind::Refused(reason).into()),
        outcome => Err(outcome_unknown(
            &operation,
            &format!("replaying the record resulted in {outcome:?}"),
        )),
    }
}

/// Appends a change without edits to an empty log.
///
/// A change at offset 0 would have revision 0, which is also the base of an operator who read an
/// empty log. The conflict between two concurrent first changes would therefore not be detected.
async fn append_initial_change(
    context: &ToolContext,
    session: &mut ConfigSession,
) -> Result<(), ToolError> {
    let change_id: Box<str> = format!("{:032x}", rand::random::<u128>()).into();
    let initial_change = ConfigChange {
        change_id: change_id.clone(),
        base: 0,
        author: context.author().into(),
        edits: Vec::new(),
    };
    let operation = "the first change of the log";
    append_record(context, session, &change_id, ConfigRecord::Change(initial_change), operation)
        .await?;
    Ok(())
}

/// Appends one record, reads the stream up to the record and returns the outcome of replaying it.
///
/// `id` identifies the record in the log; `operation` names the operation in error messages.
///
/// # Errors
///
/// Fails if the record was not appended, or if the outcome is unknown because an answer was lost or
/// the record could not be read back.
pub(crate) async fn append_record(
    context: &ToolContext,
    session: &mut ConfigSession,
    id: &str,
    record: ConfigRecord,
    operation: &str,
) -> Result<ReplayOutcome, ToolError> {
    let budget = AppendBudget { interval: Duration::ZERO, ..AppendBudget::default() };
    let cancel = CancellationToken::new();
    let (appender, _worker) =
        LogAppender::spawn(context.config_log()?, budget, RetryBackoff::default(), cancel.clone());
    let bar = context.progress("appending to the log");
    let append_result = context.within_timeout(appender.append(id, &record)).await;
    bar.finish_and_clear();
    cancel.cancel();
    let offset = match append_result {
        Ok(Ok(offset)) => offset,
        Ok(Err(error)) if !error.may_have_taken_effect() => return Err(error.into()),
        Ok(Err(error)) => return Err(outcome_unknown(operation, &error.to_string())),
        Err(timeout) => return Err(outcome_unknown(operation, &timeout.to_string())),
    };
    let read_back = session.read_until(context, offset + 1).await;
    read_back.map_err(|error| outcome_unknown(operation, &error.to_string()))?;
    let entry = session.history.iter().rev().find(|entry| entry.offset == offset);
    match entry {
        Some(entry) => Ok(entry.outcome.clone()),
        None => Err(outcome_unknown(operation, "the record is missing from the log")),
    }
}

fn outcome_unknown(operation: &str, cause: &str) -> ToolError {
    ErrorKind::OutcomeUnknown { operation: operation.into(), cause: cause.into() }.into()
}
