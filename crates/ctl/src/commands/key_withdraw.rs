//! The command `key withdraw`.

use std::time::Duration;

use pimentorock_kernel::{
    control::KeyTable,
    record::{ConfigRecord, KeyCreated, KeyWithdrawn},
};
use pimentorock_platform::operator_wire::WithdrawRequest;
use serde_json::json;
use tokio::time::timeout;

use super::key_list::key_id;
use crate::{
    config_session::ConfigSession,
    context::ToolContext,
    error::{ErrorKind, ToolError},
    output::ToolOutput,
    submit::append_record,
};

/// Time to wait for the log before a process is asked instead, so that the key becomes invalid
/// within seconds.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum number of leading hash digits that select a key.
const MIN_ID_DIGITS: usize = 8;

/// Number of hexadecimal digits of a complete hash.
const HASH_DIGITS: usize = 64;

/// Withdraws a key by appending a record to the log.
///
/// If the log does not answer, a process is asked instead; the process forwards the withdrawal to
/// its peers and appends it to the log later.
pub(crate) async fn run(
    context: &ToolContext,
    key: &str,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    let (hash, failure) = match ConfigSession::load(context).await {
        Ok(session) => {
            let hash = find_key(session.replay.keys(), key)?;
            check_team(context, session.replay.keys(), &hash)?;
            let append = append_withdrawal(context, session, &hash);
            let failure = match timeout(LOG_TIMEOUT, append).await {
                Ok(appended) => appended.err(),
                Err(_) => Some(ErrorKind::Timeout { seconds: LOG_TIMEOUT.as_secs() }.into()),
            };
            (hash, failure)
        }
        // Without the log, only a complete hash identifies a key, and the key's team is unknown.
        Err(error) if is_hash(key) && context.options.team.is_none() => (key.into(), Some(error)),
        Err(error) => return Err(error),
    };
    let withdrawn_by = match failure {
        None => "by the log",
        Some(error) => {
            withdraw_by_process(context, &hash, error, output).await?;
            "by a process"
        }
    };
    if context.options.json {
        output.json(&json!({ "id": key_id(&hash), "hash": hash, "withdrawn": withdrawn_by }));
    } else {
        output.line(&format!("key {} is withdrawn {withdrawn_by}", key_id(&hash)));
    }
    Ok(())
}

async fn append_withdrawal(
    context: &ToolContext,
    mut session: ConfigSession,
    hash: &str,
) -> Result<(), ToolError> {
    if session.replay.keys().is_withdrawn(hash) {
        return Ok(());
    }
    let author = context.author().into();
    let record = ConfigRecord::KeyWithdrawn(KeyWithdrawn { hash: hash.into(), author });
    let operation = format!("withdrawing key {}", key_id(hash));
    let id = format!("key-withdrawn-{hash}");
    append_record(context, &mut session, &id, record, &operation).await.map(|_| ())
}

/// Asks the first process that answers to withdraw a key, after the log failed with `failure`.
///
/// # Errors
///
/// Returns `failure` if no process accepts the withdrawal.
async fn withdraw_by_process(
    context: &ToolContext,
    hash: &str,
    failure: ToolError,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    let Ok(processes) = context.processes().await else { return Err(failure) };
    let request = WithdrawRequest { hash: hash.into(), author: context.author().into() };
    for process in processes {
        match process.withdraw(&request).await {
            Ok(()) => {
                output.error_line(&failure.to_string());
                let url = process.url();
                output.error_line(&format!(
                    "process {url} forwards the withdrawal to its peers and the log"
                ));
                return Ok(());
            }
            Err(error) => output.error_line(&error.to_string()),
        }
    }
    Err(failure)
}

/// Checks that the account of a key belongs to the team given by `--team`.
///
/// # Errors
///
/// Fails if a team is given and the account does not belong to it.
fn check_team(context: &ToolContext, keys: &KeyTable, hash: &str) -> Result<(), ToolError> {
    match keys.created().find(|key| &*key.hash == hash) {
        Some(key) => context.check_account_team(&key.account),
        // A key that is not in the log belongs to no team.
        None => context.check_account_team(""),
    }
}

/// Returns the hash of the only key that `text` identifies by id, hash or label.
///
/// # Errors
///
/// Fails if no key or more than one key matches.
fn find_key(keys: &KeyTable, text: &str) -> Result<Box<str>, ToolError> {
    if is_hash(text) {
        return Ok(text.into());
    }
    let is_id = text.len() >= MIN_ID_DIGITS;
    let named: Vec<&KeyCreated> = keys
        .created()
        .filter(|key| &*key.label == text || (is_id && key.hash.starts_with(text)))
        .collect();
    match named[..] {
        [] => Err(ToolError::not_found(format!("key \"{text}\""))),
        [key] => Ok(key.hash.clone()),
        _ => {
            let mut ids: Vec<&str> = named.iter().map(|key| key_id(&key.hash)).collect();
            ids.sort_unstable();
            let problem = format!("\"{text}\" matches several keys: {}", ids.join(", "));
            Err(ToolError::invalid(problem))
        }
    }
}

fn is_hash(text: &str) -> bool {
    text.len() == HASH_DIGITS && text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
}
