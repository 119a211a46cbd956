//! The command `settings apply`.

use std::path::Path;

use crate::{
    change_file::ChangeFile, config_session::ConfigSession, context::ToolContext, error::ToolError,
    options::ChangeOptions, output::ToolOutput, submit::submit_change,
};

/// Applies a settings file as one change.
pub(crate) async fn run(
    context: &ToolContext,
    path: &Path,
    options: &ChangeOptions,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    let file = ChangeFile::read(path)?;
    let session = ConfigSession::load(context).await?;
    let tree = session.tree();
    // Edits that change nothing are left out: they would only add paths that may conflict.
    let differs = |path: &str, value: &Option<serde_json::Value>| {
        tree.get(path).ok().flatten() != value.as_ref()
    };
    let edits = file.edits.into_iter().filter(|edit| differs(&edit.path, &edit.value)).collect();
    submit_change(context, session, edits, Some(&file.positions), options, output).await
}
