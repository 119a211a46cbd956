//! The command `class list`.

use pimentorock_kernel::catalog::ClassSpec;
use pimentorock_settings::units::format_duration;

use super::account_list::names_text;
use crate::{
    config_session::ConfigSession, context::ToolContext, error::ToolError, output::ToolOutput,
    table::TextTable,
};

/// Lists request classes by team, in the order in which requests are matched against them.
pub(crate) async fn run(context: &ToolContext, output: &mut ToolOutput) -> Result<(), ToolError> {
    let session = ConfigSession::load(context).await?;
    let mut classes: Vec<&ClassSpec> = session.replay.catalog().classes.iter().collect();
    classes.sort_by_key(|class| {
        let team = class.name.split('/').next().unwrap_or_default();
        (team, class.order, &*class.name)
    });
    if context.options.json {
        output.json(&classes);
        return Ok(());
    }
    let header = [
        "CLASS",
        "TIER",
        "ORDER",
        "ACCOUNTS",
        "MODELS",
        "LABELS",
        "FIRST TOKEN",
        "BETWEEN TOKENS",
        "DEADLINE",
        "FLOOR",
        "RUNS",
    ];
    let mut table = TextTable::new(&header);
    for class in classes {
        table.push(vec![
            class.name.to_string(),
            class.tier.to_string(),
            class.order.to_string(),
            names_text(&class.matches.accounts),
            names_text(&class.matches.models),
            names_text(&class.matches.labels),
            format_duration(class.first_token).into(),
            format_duration(class.between_tokens).into(),
            format_duration(class.deadline).into(),
            format!("{}%", (class.floor * 1e5).round() / 1e3),
            execution_text(class).into(),
        ]);
    }
    output.line(&table.text());
    Ok(())
}

/// Describes how often a request of the class may run and whether it may be preempted.
fn execution_text(class: &ClassSpec) -> &'static str {
    match (class.idempotent, class.preemptible) {
        (false, false) => "once",
        (false, true) => "once, may pause",
        (true, false) => "may repeat",
        (true, true) => "may repeat, may pause",
    }
}
