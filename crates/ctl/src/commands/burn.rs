//! The command `burn`.

use std::path::Path;

use crate::{
    burn_plot::plot_burn,
    burn_report::BurnReport,
    context::ToolContext,
    error::{ErrorKind, ToolError},
    output::ToolOutput,
    table::TextTable,
    time_text::duration_text,
};

/// Prints the burn rates of service-level targets as a table or JSON, and writes a plot to the file
/// `plot` if one is given.
pub(crate) async fn run(
    context: &ToolContext,
    plot: Option<&Path>,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    let mut answers = Vec::new();
    let mut failures = Vec::new();
    for process in context.processes().await? {
        match process.burn().await {
            Ok(answer) => answers.push(answer),
            Err(error) => failures.push(error),
        }
    }
    if answers.is_empty()
        && let Some(error) = failures.pop()
    {
        return Err(error);
    }
    for error in failures {
        output.error_line(&format!("not included in the report: {error}"));
    }
    let report = BurnReport::new(&answers);
    if let Some(path) = plot {
        std::fs::write(path, plot_burn(&report)).map_err(|source| ErrorKind::File {
            action: "written",
            path: path.to_owned(),
            source,
        })?;
    }
    if context.options.json {
        output.json(&report);
        return Ok(());
    }
    output.line(&report_table(&report).text());
    if let Some(path) = plot {
        output.line(&format!("plot written to {}", path.display()));
    }
    Ok(())
}

fn report_table(report: &BurnReport) -> TextTable {
    let header = [
        "WINDOW",
        "CLASS",
        "ACCOUNT",
        "REQUESTS",
        "REFUSED",
        "FIRST TOKEN",
        "BETWEEN TOKENS",
        "DEADLINE",
        "TARGET",
        "BURN",
    ];
    let mut table = TextTable::new(&header);
    let percent = |share: f64| format!("{:.1}%", share * 100.0);
    for entry in &report.entries {
        table.push(vec![
            duration_text(entry.window_s),
            entry.class.to_string(),
            entry.account.to_string(),
            entry.requests.to_string(),
            entry.refused.to_string(),
            percent(entry.attainment.first_token),
            percent(entry.attainment.between_tokens),
            percent(entry.attainment.deadline),
            percent(entry.target),
            format!("{:.2}", entry.burn),
        ]);
    }
    table
}
