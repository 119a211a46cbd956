//! Differences between two settings trees.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{source::join_path, tree::SettingsTree};

/// One difference between two settings trees.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TreeDifference {
    /// Deepest path that contains the whole difference; `/` is the root.
    pub path: Box<str>,
    /// Value in the first tree, or `None` if the path does not exist there.
    pub before: Option<Value>,
    /// Value in the second tree, or `None` if the path does not exist there.
    pub after: Option<Value>,
}

/// Returns the differences between two trees, in the order of their paths.
pub fn diff_trees(before: &SettingsTree, after: &SettingsTree) -> Vec<TreeDifference> {
    let mut differences = Vec::new();
    diff_values("", Some(before.root()), Some(after.root()), &mut differences);
    differences
}

fn diff_values(
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    differences: &mut Vec<TreeDifference>,
) {
    if before == after {
        return;
    }
    if let (Some(Value::Object(left)), Some(Value::Object(right))) = (before, after) {
        let mut names: Vec<&String> = left.keys().chain(right.keys()).collect();
        names.sort_unstable();
        names.dedup();
        for name in names {
            diff_values(&join_path(path, name), left.get(name), right.get(name), differences);
        }
        return;
    }
    differences.push(TreeDifference {
        path: if path.is_empty() { "/".into() } else { path.into() },
        before: before.cloned(),
        after: after.cloned(),
    });
}
