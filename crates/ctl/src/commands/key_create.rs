//! The command `key create`.

use pimentorock_kernel::{
    control::ReplayOutcome,
    record::{ConfigRecord, KeyCreated},
};
use serde_json::json;
use sha2::{Digest, Sha256};

use super::key_list::key_id;
use crate::{
    config_session::ConfigSession, context::ToolContext, error::ToolError, output::ToolOutput,
    submit::append_record,
};

/// Prefix of every caller key, by which secret scanners can recognize leaked keys.
const KEY_PREFIX: &str = "pmr-";

/// Creates a caller key of 256 random bits and prints it.
///
/// The log stores only the hash of the key, so the key cannot be shown again.
pub(crate) async fn run(
    context: &ToolContext,
    account: &str,
    label: &str,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    let mut session = ConfigSession::load(context).await?;
    if !session.replay.catalog().accounts.iter().any(|spec| &*spec.name == account) {
        return Err(ToolError::not_found(format!("account \"{account}\"")));
    }
    context.check_account_team(account)?;
    let key = format!("{KEY_PREFIX}{:032x}{:032x}", rand::random::<u128>(), rand::random::<u128>());
    let digest = Sha256::digest(key.as_bytes());
    let hash: Box<str> = digest.iter().map(|byte| format!("{byte:02x}")).collect::<String>().into();
    let record = ConfigRecord::KeyCreated(KeyCreated {
        hash: hash.clone(),
        account: account.into(),
        label: label.into(),
    });
    let id = key_id(&hash);
    let record_id = format!("key-created-{hash}");
    let operation = format!("creating key {id}");
    match append_record(context, &mut session, &record_id, record, &operation).await? {
        ReplayOutcome::KeyCreated { .. } => {}
        outcome => return Err(ToolError::invalid(format!("the key was refused: {outcome:?}"))),
    }
    if context.options.json {
        output.json(&json!({ "key": key, "id": id, "account": account, "label": label }));
        return Ok(());
    }
    output.line(&format!("key {id} of account {account}, shown only now:"));
    output.line(&key);
    Ok(())
}
