//! Prints the differences between two settings trees.

use pimentorock_kernel::record::ConfigEdit;
use pimentorock_settings::diff::TreeDifference;
use serde_json::Value;

use crate::{change_file::append_subtree_edits, output::ToolOutput};

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
            (None, Some(after)) => print_subtrees('+', path, after, output),
            (Some(before), None) => print_subtrees('-', path, before, output),
            (None, None) => {}
        }
    }
}

/// Prints an added or removed value, one line for each account, class and endpoint in the value.
fn print_subtrees(sign: char, path: &str, value: &Value, output: &mut ToolOutput) {
    let mut edits = Vec::new();
    append_subtree_edits(path.trim_end_matches('/'), value, &mut edits);
    for ConfigEdit { path, value } in edits {
        output.line(&format!("{sign} {path}: {}", value.unwrap_or_default()));
    }
}
