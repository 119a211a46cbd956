//! The command `account set`.

use pimentorock_kernel::record::ConfigEdit;
use serde_json::{Map, Value, json};

use crate::{
    config_session::ConfigSession, context::ToolContext, error::ToolError, options::AccountCommand,
    output::ToolOutput, submit::submit_change,
};

/// Creates an account, or sets the given fields of an existing one.
pub(crate) async fn run(
    context: &ToolContext,
    command: AccountCommand,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    let AccountCommand::Set {
        weight,
        requests_per_second,
        tokens_per_second,
        concurrency,
        models,
        change_options,
        account,
    } = command
    else {
        return Ok(());
    };
    let path = account_path(&account)?;
    let models = Some(models).filter(|models| !models.is_empty());
    let fields = [
        ("weight", weight.map(|weight| json!(weight))),
        ("limits/requests_per_second", requests_per_second.map(|rate| json!(rate))),
        ("limits/tokens_per_second", tokens_per_second.map(|rate| json!(rate))),
        ("limits/concurrency", concurrency.map(|count| json!(count))),
        ("models", models.map(|models| json!(models))),
    ];
    let session = ConfigSession::load(context).await?;
    let mut edits = Vec::new();
    if session.tree().get(&path)?.is_none() {
        let value = Some(Value::Object(Map::new()));
        edits.push(ConfigEdit { path: path.as_str().into(), value });
    }
    for (name, value) in fields {
        if value.is_some() {
            edits.push(ConfigEdit { path: format!("{path}/{name}").into(), value });
        }
    }
    submit_change(context, session, edits, None, &change_options, output).await
}

/// Returns the settings path of the account `TEAM/ACCOUNT`.
///
/// # Errors
///
/// Fails if `account` does not have this form.
fn account_path(account: &str) -> Result<String, ToolError> {
    match account.split_once('/') {
        Some((team, name)) if !team.is_empty() && !name.is_empty() && !name.contains('/') => {
            Ok(format!("/teams/{team}/accounts/{name}"))
        }
        _ => {
            Err(ToolError::usage(format!("account \"{account}\" is not of the form TEAM/ACCOUNT")))
        }
    }
}
