//! The command `key list`.

use serde_json::{Value, json};

use crate::{
    config_session::ConfigSession, context::ToolContext, error::ToolError, output::ToolOutput,
    table::TextTable,
};

/// Number of leading digits of a key's hash that form the key id.
const ID_DIGITS: usize = 12;

/// Returns the id under which a key is listed: the first digits of its hash.
pub(crate) fn key_id(hash: &str) -> &str {
    hash.get(..ID_DIGITS).unwrap_or(hash)
}

/// Lists caller keys, including withdrawn ones.
pub(crate) async fn run(
    context: &ToolContext,
    account: Option<&str>,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    let session = ConfigSession::load(context).await?;
    let table = session.replay.keys();
    let mut keys: Vec<_> = table
        .created()
        .filter(|key| account.is_none_or(|account| &*key.account == account))
        .collect();
    keys.sort_by_key(|key| (&key.account, &key.label, &key.hash));
    let state = |hash: &str| if table.is_withdrawn(hash) { "withdrawn" } else { "valid" };
    if context.options.json {
        let rows: Vec<Value> = keys
            .iter()
            .map(|key| {
                json!({
                    "id": key_id(&key.hash), "hash": key.hash, "account": key.account,
                    "label": key.label, "state": state(&key.hash),
                })
            })
            .collect();
        output.json(&json!({ "keys": rows }));
        return Ok(());
    }
    let mut rows = TextTable::new(&["KEY", "ACCOUNT", "LABEL", "STATE"]);
    for key in keys {
        rows.push(vec![
            key_id(&key.hash).into(),
            key.account.to_string(),
            key.label.to_string(),
            state(&key.hash).into(),
        ]);
    }
    output.line(&rows.text());
    Ok(())
}
