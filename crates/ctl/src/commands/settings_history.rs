//! The command `settings history`.

use pimentorock_kernel::{
    control::ReplayOutcome,
    record::{ConfigChange, ConfigRecord},
};
use pimentorock_settings::tree::split_path;
use serde_json::{Value, json};

use crate::{
    config_session::{ConfigSession, HistoryEntry},
    context::ToolContext,
    error::ToolError,
    output::ToolOutput,
    table::TextTable,
    time_text::utc_text,
};

/// Maximum number of paths of a change that a table row shows.
const MAX_SHOWN_PATHS: usize = 2;

/// Lists changes in order, including refused ones.
pub(crate) async fn run(
    context: &ToolContext,
    last: Option<usize>,
    path: &str,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    split_path(path)?;
    let session = ConfigSession::load(context).await?;
    let mut rows: Vec<(&HistoryEntry, &ConfigChange)> = session
        .history
        .iter()
        .filter_map(|entry| match &entry.record {
            ConfigRecord::Change(change) => Some((entry, change)),
            _ => None,
        })
        .filter(|(_, change)| change.edits.iter().any(|edit| paths_overlap(&edit.path, path)))
        .collect();
    rows.drain(..rows.len().saturating_sub(last.unwrap_or(usize::MAX)));
    if context.options.json {
        let changes: Vec<Value> =
            rows.iter().map(|(entry, change)| to_json(entry, change)).collect();
        output.json(&json!({ "changes": changes }));
        return Ok(());
    }
    let mut table = TextTable::new(&["REVISION", "TIME", "AUTHOR", "PATHS", "VERDICT"]);
    for (entry, change) in rows {
        table.push(vec![
            entry.offset.to_string(),
            utc_text(entry.at_ms),
            change.author.to_string(),
            shown_paths(change),
            verdict(&entry.outcome),
        ]);
    }
    output.line(&table.text());
    Ok(())
}

/// Returns the first paths of a change and the number of further paths.
fn shown_paths(change: &ConfigChange) -> String {
    let mut paths: Vec<&str> = change.edits.iter().map(|edit| &*edit.path).collect();
    let more = paths.len().saturating_sub(MAX_SHOWN_PATHS);
    paths.truncate(MAX_SHOWN_PATHS);
    let text = paths.join(" ");
    if more > 0 { format!("{text} and {more} more") } else { text }
}

/// Reports whether the paths are equal or one is an ancestor of the other.
fn paths_overlap(left: &str, right: &str) -> bool {
    let (Ok(left), Ok(right)) = (split_path(left), split_path(right)) else { return false };
    left.iter().zip(&right).all(|(a, b)| a == b)
}

fn verdict(outcome: &ReplayOutcome) -> String {
    match outcome {
        ReplayOutcome::Accepted { .. } => "accepted".into(),
        ReplayOutcome::Refused { reason, .. } => format!("refused: {reason}"),
        ReplayOutcome::Gap { .. } => "before the log's head".into(),
        _ => "no effect".into(),
    }
}

fn to_json(entry: &HistoryEntry, change: &ConfigChange) -> Value {
    json!({
        "revision": entry.offset,
        "at_ms": entry.at_ms,
        "author": change.author,
        "change_id": change.change_id,
        "base": change.base,
        "verdict": verdict(&entry.outcome),
        "edits": change.edits,
    })
}
