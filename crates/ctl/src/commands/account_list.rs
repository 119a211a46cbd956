//! The command `account list`.

use std::fmt::Display;

use crate::{
    config_session::ConfigSession, context::ToolContext, error::ToolError, output::ToolOutput,
    table::TextTable,
};

/// Lists client accounts with their weights and limits.
pub(crate) async fn run(context: &ToolContext, output: &mut ToolOutput) -> Result<(), ToolError> {
    let session = ConfigSession::load(context).await?;
    let accounts = &session.replay.catalog().accounts;
    if context.options.json {
        output.json(accounts);
        return Ok(());
    }
    let header = ["ACCOUNT", "WEIGHT", "REQUESTS/S", "TOKENS/S", "CONCURRENCY", "MODELS"];
    let mut table = TextTable::new(&header);
    for account in accounts {
        table.push(vec![
            account.name.to_string(),
            account.weight.to_string(),
            limit(account.limits.requests_per_second),
            limit(account.limits.tokens_per_second),
            limit(account.limits.concurrency),
            names_text(&account.models),
        ]);
    }
    output.line(&table.text());
    Ok(())
}

/// Formats a limit for a table cell; `None` means that there is no limit.
fn limit<T: Display>(limit: Option<T>) -> String {
    limit.map_or("-".into(), |limit| limit.to_string())
}

/// Formats names for a table cell; an empty list means that there is no restriction.
pub(crate) fn names_text(names: &[Box<str>]) -> String {
    if names.is_empty() { "all".into() } else { names.join(",") }
}
