//! The command `settings delete`.

use pimentorock_kernel::record::ConfigEdit;

use crate::{
    config_session::ConfigSession, context::ToolContext, error::ToolError, options::ChangeOptions,
    output::ToolOutput, submit::submit_change,
};

/// Deletes the value at a path.
pub(crate) async fn run(
    context: &ToolContext,
    path: &str,
    options: &ChangeOptions,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    let edits = vec![ConfigEdit { path: path.into(), value: None }];
    let session = ConfigSession::load(context).await?;
    submit_change(context, session, edits, None, options, output).await
}
