//! The command `usage`.

use pimentorock_kernel::record::{AccountFigures, UsageCounts};
use serde_json::{Value, json};

use crate::{
    config_session::ConfigSession, context::ToolContext, error::ToolError, output::ToolOutput,
    table::TextTable, time_text::utc_text, usage_session::UsageSession,
};

/// Prints the usage of closed windows and the counts that are not part of a closed window.
pub(crate) async fn run(
    context: &ToolContext,
    account: Option<&str>,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    let length = ConfigSession::load(context).await?.replay.catalog().usage_window;
    let start_ms = |window: u64| window.saturating_mul(length.as_millis() as u64);
    let session = UsageSession::load(context).await?;
    if let Some(head) = session.trimmed {
        output.error_line(&format!(
            "the log begins at offset {head}: earlier windows and open counts are not shown"
        ));
    }
    let wanted = |name: &str| account.is_none_or(|account| account == name);
    if context.options.json {
        output.json(&to_json(&session, start_ms, wanted));
        return Ok(());
    }
    let header = [
        "WINDOW",
        "BEGINS",
        "STATE",
        "ACCOUNT",
        "REQUESTS",
        "PROMPT TOKENS",
        "OUTPUT TOKENS",
        "ADJUSTMENT",
    ];
    let mut table = TextTable::new(&header);
    for closed in session.closed.iter().map(|closed| &closed.record) {
        let reported = session.reported.contains(&closed.window);
        let state = if reported { "reported" } else { "closed" };
        for figures in closed.figures.iter().filter(|figures| wanted(&figures.account)) {
            let adjustment = counts_text(figures.adjustment);
            let begins = utc_text(start_ms(closed.window));
            let mut row = vec![closed.window.to_string(), begins, state.into()];
            row.extend(counts_cells(&figures.account, figures.served));
            row.push(adjustment);
            table.push(row);
        }
    }
    for line in session.open().into_iter().filter(|line| wanted(&line.account)) {
        let begins = utc_text(start_ms(line.window));
        let mut row = vec![line.window.to_string(), begins, "open".into()];
        row.extend(counts_cells(&line.account, line.counts));
        table.push(row);
    }
    output.line(&table.text());
    Ok(())
}

fn counts_cells(account: &str, counts: UsageCounts) -> [String; 4] {
    [
        account.to_owned(),
        counts.requests.to_string(),
        counts.prompt_tokens.to_string(),
        counts.output_tokens.to_string(),
    ]
}

/// Formats late counts as requests, prompt tokens and output tokens, or a dash if there are none.
fn counts_text(counts: UsageCounts) -> String {
    if counts == UsageCounts::default() {
        return "-".into();
    }
    format!("{} + {} + {}", counts.requests, counts.prompt_tokens, counts.output_tokens)
}

fn to_json(
    session: &UsageSession,
    start_ms: impl Fn(u64) -> u64,
    wanted: impl Fn(&str) -> bool,
) -> Value {
    let figures = |figures: &[AccountFigures]| -> Vec<AccountFigures> {
        figures.iter().filter(|figures| wanted(&figures.account)).cloned().collect()
    };
    let closed: Vec<Value> = session
        .closed
        .iter()
        .map(|closed| &closed.record)
        .map(|closed| {
            json!({
                "window": closed.window,
                "start_ms": start_ms(closed.window),
                "reported": session.reported.contains(&closed.window),
                "figures": figures(&closed.figures),
            })
        })
        .collect();
    let open: Vec<_> = session.open().into_iter().filter(|line| wanted(&line.account)).collect();
    json!({ "closed": closed, "open": open })
}
