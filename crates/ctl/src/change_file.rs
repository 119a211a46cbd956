//! Turns a settings file into edits under paths.

use std::path::Path;

use pimentorock_kernel::record::ConfigEdit;
use pimentorock_settings::{
    finding::Finding, position::PositionMap, report::FindingReport, source::parse_jsonc,
    tree::split_path,
};
use serde_json::{Map, Value};

use crate::error::{ErrorKind, ToolError};

/// A settings file as edits, with the position of each value.
pub(crate) struct ChangeFile {
    pub(crate) edits: Vec<ConfigEdit>,
    pub(crate) positions: PositionMap,
    /// The file's value as it stands.
    pub(crate) value: Value,
}

impl ChangeFile {
    /// Reads a file that holds a settings tree, or an object of paths.
    ///
    /// Of a tree, each account, class and endpoint and the policies become one edit each, so
    /// that what the file does not name stays as it is. Of an object of paths, each path
    /// becomes one edit, and `null` deletes.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is no JSON with comments, or mixes both forms.
    pub(crate) fn read(path: &Path) -> Result<ChangeFile, ToolError> {
        let text = read_text(path)?;
        let (value, positions) = parse_jsonc(&text, &path.display().to_string())?;
        let Value::Object(fields) = &value else {
            return Err(finding(&positions, "", "the file must hold an object").into());
        };
        let path_keys = fields.keys().filter(|name| name.starts_with('/')).count();
        let edits = match path_keys {
            0 => tree_edits(fields),
            _ if path_keys == fields.len() => path_edits(fields, &positions)?,
            _ => {
                let problem = "the file mixes paths with a tree";
                return Err(finding(&positions, "", problem).into());
            }
        };
        Ok(ChangeFile { edits, positions, value })
    }
}

/// Reads a text file.
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
        append_entity_edits(&format!("/{name}"), value, &mut edits);
    }
    edits
}

/// Adds an edit for each entity at or below `path`; an empty object above entities adds none.
pub(crate) fn append_entity_edits(path: &str, value: &Value, edits: &mut Vec<ConfigEdit>) {
    match value {
        Value::Object(fields) if !is_entity(path) => {
            for (name, value) in fields {
                append_entity_edits(&format!("{path}/{name}"), value, edits);
            }
        }
        _ => edits.push(ConfigEdit { path: path.into(), value: Some(value.clone()) }),
    }
}

/// Returns whether the value at `path` is changed as a whole.
fn is_entity(path: &str) -> bool {
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
