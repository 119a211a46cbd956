//! The command `settings get`.

use pimentorock_settings::tree::SettingsTree;

use crate::{
    config_session::ConfigSession, context::ToolContext, error::ToolError, output::ToolOutput,
};

/// Prints the value at a path as JSON, with or without `--json`.
///
/// Without a platform, the value comes from the first process given by `--process`.
pub(crate) async fn run(
    context: &ToolContext,
    path: &str,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    let tree = match (&context.options.platform, context.options.processes.is_empty()) {
        (None, false) => {
            let processes = context.processes().await?;
            SettingsTree::with_root(processes[0].settings().await?.tree)
        }
        _ => ConfigSession::load(context).await?.tree(),
    };
    match tree.get(path)? {
        Some(value) => output.json(value),
        None => return Err(ToolError::not_found(format!("path \"{path}\""))),
    }
    Ok(())
}
