//! Prints the differences between two settings trees.

use pimentorock_kernel::record::ConfigEdit;
use pimentorock_settings::diff::TreeDifference;
use serde_json::Value;

use crate::{change_file::append_entity_edits, output::ToolOutput};

/// Prints the differences that an accepted change made, and its revision.
pub(crate) fn print_change(revision: u64, differences: &[TreeDifference], output: &mut ToolOutput) {
    if differences.is_empty() {
        output.line(&format!("nothing to change at revision {revision}"));
        return;
    }
    print_differences(differences, output);
    output.line(&format!("accepted as revision {revision}"));
}

/// Prints the differences between two trees, one path per line.
pub(crate) fn print_differences(differences: &[TreeDifference], output: &mut ToolOutput) {
    for TreeDifference { path, before, after } in differences {
        match (before, after) {
            (Some(before), Some(after)) => output.line(&format!("~ {path}: {before} -> {after}")),
            (None, Some(after)) => print_entities('+', path, after, output),
            (Some(before), None) => print_entities('-', path, before, output),
            (None, None) => {}
        }
    }
}

/// Prints an added or removed value, one line for each account, class and endpoint in the value.
fn print_entities(sign: char, path: &str, value: &Value, output: &mut ToolOutput) {
    let mut entities = Vec::new();
    append_entity_edits(path.trim_end_matches('/'), value, &mut entities);
    for ConfigEdit { path, value } in entities {
        output.line(&format!("{sign} {path}: {}", value.unwrap_or_default()));
    }
}
