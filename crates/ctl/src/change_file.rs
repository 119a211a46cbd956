//! Turns a settings file into edits of paths.

use std::path::Path;

use pimentorock_kernel::record::ConfigEdit;
use pimentorock_settings::{
    finding::Finding, position::PositionMap, report::FindingReport, source::parse_jsonc,
    tree::split_path,
};
use serde_json::{Map, Value};

use crate::error::{ErrorKind, ToolError};

/// The edits of a settings file, with the position of each value in the file.
pub(crate) struct ChangeFile {
    pub(crate) edits: Vec<ConfigEdit>,
    pub(crate) positions: PositionMap,
    /// The parsed value of the whole file.
    pub(crate) value: Value,
}

impl ChangeFile {
    /// Reads a file that contains a settings tree or an object whose keys are paths.
    ///
    /// A tree becomes one edit for each account, class and endpoint and one for each other setting
    /// of the fleet, such as the policies, so that settings that the file does not contain stay
    /// unchanged. An object of paths becomes one edit for each path; the value `null` deletes the
    /// path.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not an object in JSON with comments, contains an
    /// invalid path, or mixes both forms.
    pub(crate) fn read(path: &Path) -> Result<ChangeFile, ToolError> {
        let text = read_text(path)?;
        let (value, positions) = parse_jsonc(&text, &path.display().to_string())?;
        let Value::Object(fields) = &value else {
            return Err(finding(&positions, "", "the file must contain an object").into());
        };
        let path_key_count = fields.keys().filter(|name| name.starts_with('/')).count();
        let edits = match path_key_count {
            0 => tree_edits(fields),
            _ if path_key_count == fields.len() => path_edits(fields, &positions)?,
            _ => {
                let problem = "the file mixes paths with the keys of a settings tree";
                return Err(finding(&positions, "", problem).into());
            }
        };
        Ok(ChangeFile { edits, positions, value })
    }
}

/// Reads a text file.
///
/// # Errors
///
/// Fails if the file cannot be read or is not UTF-8.
pub(crate) fn read_text(path: &Path) -> Result<String, ToolError> {
    std::fs::read_to_string(path)
        .map_err(|source| ErrorKind::File { action: "read", path: path.to_owned(), source }.into())
}

fn path_edits(
    fields: &Map<String, Value>,
    positions: &PositionMap,
) -> Result<Vec<ConfigEdit>, FindingReport> {
    let mut edits = Vec::with_capacity(fields.len());
    for (path, value) in fields {
        if let Err(error) = split_path(path) {
            return Err(finding(positions, path, &error.to_string()));
        }
        let value = Some(value.clone()).filter(|value| !value.is_null());
        edits.push(ConfigEdit { path: path.as_str().into(), value });
    }
    Ok(edits)
}

fn tree_edits(fields: &Map<String, Value>) -> Vec<ConfigEdit> {
    let mut edits = Vec::new();
    for (name, value) in fields {
        append_subtree_edits(&format!("/{name}"), value, &mut edits);
    }
    edits
}

/// Appends an edit for each account, class, endpoint and other fleet setting at or below `path`;
/// each of these subtrees is edited as a whole.
///
/// An empty object above the level of these subtrees adds no edit.
pub(crate) fn append_subtree_edits(path: &str, value: &Value, edits: &mut Vec<ConfigEdit>) {
    match value {
        Value::Object(fields) if !is_edit_unit(path) => {
            for (name, value) in fields {
                append_subtree_edits(&format!("{path}/{name}"), value, edits);
            }
        }
        _ => edits.push(ConfigEdit { path: path.into(), value: Some(value.clone()) }),
    }
}

/// Reports whether the subtree at `path`, such as an account, is edited as a whole.
fn is_edit_unit(path: &str) -> bool {
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match parts[..] {
        ["teams", ..] => parts.len() == 4,
        ["fleet", "endpoints", ..] => parts.len() == 3,
        ["fleet", ..] => parts.len() == 2,
        _ => true,
    }
}

fn finding(positions: &PositionMap, path: &str, problem: &str) -> FindingReport {
    let position = positions.find(path);
    FindingReport::new(vec![Finding {
        file: positions.file().into(),
        line: position.map(|position| position.line),
        column: position.map(|position| position.column),
        path: path.into(),
        problem: problem.into(),
        hint: None,
    }])
}
