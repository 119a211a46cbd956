//! The command `explain --logs`.

use std::path::PathBuf;

use serde::Serialize;

use crate::{
    error::ToolError,
    output::ToolOutput,
    saved_logs::{LogLine, SavedLogs, conclusion},
    table::TextTable,
    time_text::utc_text,
};

/// How a request was handled, as printed with `--json`.
#[derive(Serialize)]
struct RequestExplanation<'a> {
    request: &'a str,
    /// Sentence that describes how the request ended.
    conclusion: String,
    /// Lines about the request.
    steps: Vec<&'a LogLine>,
    /// Lines that may explain the outcome of the request.
    context: Vec<&'a LogLine>,
}

/// Prints the lines of saved log files about a request, together with related lines about the
/// request's endpoints and processes.
pub(crate) fn run(
    request: &str,
    files: &[PathBuf],
    json: bool,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    let logs = SavedLogs::read(files)?;
    if logs.unparsed > 0 {
        output.error_line(&format!("skipped lines that are not log lines: {}", logs.unparsed));
    }
    let steps = logs.request_lines(request);
    if steps.is_empty() {
        return Err(ToolError::not_found(format!("request \"{request}\" in these files")));
    }
    let context = logs.context(&steps);
    let explanation =
        RequestExplanation { request, conclusion: conclusion(&steps), steps, context };
    if json {
        output.json(&explanation);
        return Ok(());
    }
    let mut lines: Vec<(&LogLine, &str)> =
        explanation.steps.iter().map(|line| (*line, "")).collect();
    lines.extend(explanation.context.iter().map(|line| (*line, "around")));
    lines.sort_by_key(|(line, _)| line.at_ms);
    let mut table = TextTable::new(&["TIME", "PROCESS", "PART", "", "STEP"]);
    for (line, relation) in lines {
        let cells = [utc_text(line.at_ms), line.process.to_string(), line.part.to_string()];
        let rest = [relation.to_owned(), line.text()];
        table.push(cells.into_iter().chain(rest).collect());
    }
    output.line(&table.text());
    output.line(&explanation.conclusion);
    Ok(())
}
