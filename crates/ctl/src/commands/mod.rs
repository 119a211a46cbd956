//! The commands, one per file.

mod account_list;
mod account_set;
mod burn;
mod class_list;
mod endpoint_drain;
mod endpoint_list;
mod explain;
mod explain_logs;
mod key_create;
mod key_list;
mod key_withdraw;
mod settings_apply;
mod settings_check;
mod settings_delete;
mod settings_diff;
mod settings_get;
mod settings_history;
mod settings_set;
mod status;
mod usage;

use crate::{
    context::ToolContext,
    error::ToolError,
    options::{
        AccountCommand, ClassCommand, EndpointCommand, KeyCommand, SettingsCommand, ToolCommand,
    },
    output::ToolOutput,
};

/// Runs one command and collects its output.
pub(crate) async fn run(
    context: &ToolContext,
    command: ToolCommand,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    match command {
        ToolCommand::Settings(command) => run_settings(context, command, output).await,
        ToolCommand::Account(AccountCommand::List) => account_list::run(context, output).await,
        ToolCommand::Account(command) => account_set::run(context, command, output).await,
        ToolCommand::Class(ClassCommand::List) => class_list::run(context, output).await,
        ToolCommand::Key(KeyCommand::Create { label, account }) => {
            key_create::run(context, &account, &label, output).await
        }
        ToolCommand::Key(KeyCommand::Withdraw { key }) => {
            key_withdraw::run(context, &key, output).await
        }
        ToolCommand::Key(KeyCommand::List { account }) => {
            key_list::run(context, account.as_deref(), output).await
        }
        ToolCommand::Endpoint(EndpointCommand::List) => endpoint_list::run(context, output).await,
        ToolCommand::Endpoint(EndpointCommand::Drain { name }) => {
            endpoint_drain::run(context, &name, output).await
        }
        ToolCommand::Status => status::run(context, output).await,
        ToolCommand::Explain { logs, request } if logs.is_empty() => {
            explain::run(context, &request, output).await
        }
        ToolCommand::Explain { logs, request } => {
            explain_logs::run(&request, &logs, context.options.json, output)
        }
        ToolCommand::Burn { plot } => burn::run(context, plot.as_deref(), output).await,
        ToolCommand::Usage { account } => usage::run(context, account.as_deref(), output).await,
    }
}

async fn run_settings(
    context: &ToolContext,
    command: SettingsCommand,
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    match command {
        SettingsCommand::Check { files } => settings_check::run(context, &files, output).await,
        SettingsCommand::Get { path } => settings_get::run(context, &path, output).await,
        SettingsCommand::Set { change_options, path, value } => {
            settings_set::run(context, &path, &value, &change_options, output).await
        }
        SettingsCommand::Delete { change_options, path } => {
            settings_delete::run(context, &path, &change_options, output).await
        }
        SettingsCommand::Diff { file } => settings_diff::run(context, &file, output).await,
        SettingsCommand::History { last, path } => {
            settings_history::run(context, last, &path, output).await
        }
        SettingsCommand::Apply { change_options, file } => {
            settings_apply::run(context, &file, &change_options, output).await
        }
    }
}
