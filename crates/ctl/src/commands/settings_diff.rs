//! The command `settings diff`.

use std::path::Path;

use pimentorock_settings::diff::diff_trees;
use serde_json::json;

use crate::{
    change_file::ChangeFile, config_session::ConfigSession, context::ToolContext,
    difference_text::print_differences, error::ToolError, output::ToolOutput, submit::edited_tree,
};

/// Prints the changes that applying a file would make.
pub(crate) async fn run(
    context: &ToolContext,
    path: &Path,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    let file = ChangeFile::read(path)?;
    let session = ConfigSession::load(context).await?;
    let before = session.tree();
    let after = edited_tree(&before, &file.edits, Some(&file.positions))?;
    let differences = diff_trees(&before, &after);
    if context.options.json {
        output.json(&json!({ "base": session.replay.base(), "differences": differences }));
        return Ok(());
    }
    if differences.is_empty() {
        output.line(&format!("nothing to change at revision {}", session.replay.revision()));
        return Ok(());
    }
    print_differences(&differences, output);
    output.line(&format!("from base {}", session.replay.base()));
    Ok(())
}
