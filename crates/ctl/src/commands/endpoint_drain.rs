//! The command `endpoint drain`.

use serde_json::json;

use crate::{context::ToolContext, error::ToolError, output::ToolOutput};

/// Drains an endpoint through the first process that manages it.
pub(crate) async fn run(
    context: &ToolContext,
    name: &str,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    let mut failure = None;
    for process in context.processes().await? {
        match process.drain(name).await {
            Ok(false) => {}
            Ok(true) => {
                if context.options.json {
                    output.json(&json!({ "endpoint": name, "process": process.url() }));
                } else {
                    output.line(&format!("endpoint {name} is draining at {}", process.url()));
                }
                return Ok(());
            }
            Err(error) => failure = Some(error),
        }
    }
    // A process that did not answer may be the agent of the endpoint.
    Err(failure.unwrap_or_else(|| ToolError::not_found(format!("endpoint \"{name}\""))))
}
