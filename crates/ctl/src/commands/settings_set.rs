//! The command `settings set`.

use pimentorock_kernel::record::ConfigEdit;
use pimentorock_settings::source::parse_jsonc;
use serde_json::Value;

use crate::{
    config_session::ConfigSession, context::ToolContext, error::ToolError, options::ChangeOptions,
    output::ToolOutput, submit::submit_change,
};

/// Sets the value at a path.
pub(crate) async fn run(
    context: &ToolContext,
    path: &str,
    text: &str,
    options: &ChangeOptions,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    let value = parse_value(text)?;
    let edits = vec![ConfigEdit { path: path.into(), value: Some(value) }];
    let session = ConfigSession::load(context).await?;
    submit_change(context, session, edits, None, options, output).await
}

/// Parses JSON with comments; other text, such as `770ms`, becomes a string.
///
/// # Errors
///
/// Fails if the value is `null`, or if the text begins like an object, a list or a quoted string
/// but is not valid.
fn parse_value(text: &str) -> Result<Value, ToolError> {
    match parse_jsonc(text, "VALUE") {
        Ok((Value::Null, _)) => {
            Err(ToolError::usage("null is not a value: use \"settings delete\" to delete"))
        }
        Ok((value, _)) => Ok(value),
        // Text that begins like an object, a list or a string was probably meant to be one.
        Err(report) if text.trim_start().starts_with(['{', '[', '"']) => Err(report.into()),
        Err(_) => Ok(Value::String(text.to_owned())),
    }
}
