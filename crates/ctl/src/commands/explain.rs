//! The command `explain`.

use pimentorock_platform::operator_wire::{ExplainAnswer, ExplainStep};

use crate::{
    context::ToolContext, error::ToolError, output::ToolOutput, table::TextTable,
    time_text::utc_text,
};

/// Prints the steps of a request in order of time, merged from all processes that handled it.
pub(crate) async fn run(
    context: &ToolContext,
    request: &str,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    let digits = request.len() == 32 && request.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !digits {
        let problem =
            format!("\"{request}\" is not a request id: a request id has 32 hexadecimal digits");
        return Err(ToolError::usage(problem));
    }
    let mut steps: Vec<ExplainStep> = Vec::new();
    let mut failures = Vec::new();
    for process in context.processes().await? {
        match process.explain(request).await {
            Ok(answer) => steps.extend(answer.into_iter().flat_map(|answer| answer.steps)),
            Err(error) => failures.push(error),
        }
    }
    if steps.is_empty() {
        let absent = || ToolError::not_found(format!("request \"{request}\""));
        return Err(failures.pop().unwrap_or_else(absent));
    }
    steps.sort_by_key(|step| step.at_ms);
    for error in failures {
        output.error_line(&error.to_string());
    }
    if context.options.json {
        output.json(&ExplainAnswer { request: request.into(), steps });
        return Ok(());
    }
    let mut table = TextTable::new(&["TIME", "PART", "STEP"]);
    for step in steps {
        table.push(vec![utc_text(step.at_ms), step.part.into(), step.text.into()]);
    }
    output.line(&table.text());
    Ok(())
}
