//! The command `settings check`.

use std::path::{Path, PathBuf};

use pimentorock_settings::{process::ProcessSettings, report::FindingReport, tree::SettingsTree};
use serde_json::json;

use crate::{
    change_file::{ChangeFile, read_text},
    config_session::ConfigSession,
    context::ToolContext,
    error::ToolError,
    output::ToolOutput,
    submit::edited_tree,
};

/// Checks files in order and reports the findings of all files together.
///
/// Each file is applied to the tree that results from the files before it.
pub(crate) async fn run(
    context: &ToolContext,
    files: &[PathBuf],
    output: &mut ToolOutput,
) -> Result<(), ToolError> {
    let mut tree = match &context.options.platform {
        Some(_) => ConfigSession::load(context).await?.tree(),
        None => SettingsTree::new(),
    };
    let mut findings = Vec::new();
    for path in files {
        match check_file(path, &tree) {
            Ok(edited) => {
                tree = edited;
                if !context.options.json {
                    output.line(&format!("{}: no findings", path.display()));
                }
            }
            Err(error) => findings.extend(error.into_findings()?),
        }
    }
    if !findings.is_empty() {
        return Err(FindingReport::new(findings).into());
    }
    if context.options.json {
        output.json(&json!({ "findings": [] }));
    }
    Ok(())
}

fn check_file(path: &Path, tree: &SettingsTree) -> Result<SettingsTree, ToolError> {
    let file = ChangeFile::read(path)?;
    // Only the process settings of a daemon have the field `role`.
    if file.value.get("role").is_some() {
        let parsed: Result<_, FindingReport> =
            ProcessSettings::parse(&read_text(path)?, &path.display().to_string());
        parsed?;
        return Ok(tree.clone());
    }
    edited_tree(tree, &file.edits, Some(&file.positions))
}
