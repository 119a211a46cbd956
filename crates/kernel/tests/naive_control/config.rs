//! Reference implementation of the configuration replay that processes the whole log at once.

use std::collections::BTreeMap;

use pimentorock_kernel::record::{ConfigChange, ConfigRecord};
use serde_json::{Value, json};

/// State that results from a whole log.
#[derive(Debug, Default, PartialEq)]
pub struct NaiveConfig {
    pub tree: Value,
    pub revision: u64,
    /// Whether each change was accepted, by identifier of the change.
    pub accepted: BTreeMap<String, bool>,
    /// Account of each key in force, by hash of the key.
    pub keys: BTreeMap<String, String>,
}

/// Rule by which a change conflicts with edits after its base. Only `Overlap` is correct; the
/// others show that the tests detect a wrong rule.
#[derive(Clone, Copy, PartialEq)]
pub enum BaseRule {
    Overlap,
    WholeTree,
    None,
}

/// Replays a log; `valid` reports whether a tree may come into force.
pub fn replay(log: &[ConfigRecord], rule: BaseRule, valid: fn(&Value) -> bool) -> NaiveConfig {
    let mut state = NaiveConfig { tree: json!({}), ..NaiveConfig::default() };
    let mut accepted: Vec<(u64, &ConfigChange)> = Vec::new();
    for (offset, record) in log.iter().enumerate() {
        let offset = offset as u64;
        match record {
            ConfigRecord::Change(change) => {
                if state.accepted.contains_key(&*change.change_id) {
                    continue;
                }
                let stale = accepted.iter().any(|(at, other)| {
                    *at > change.base
                        && match rule {
                            BaseRule::Overlap => conflicts(change, other),
                            BaseRule::WholeTree => true,
                            BaseRule::None => false,
                        }
                });
                let tree = edited(&state.tree, change).filter(valid);
                let ahead = change.base >= offset && change.base > 0;
                let good = !stale && !ahead && tree.is_some();
                state.accepted.insert(change.change_id.to_string(), good);
                if good {
                    state.tree = tree.unwrap();
                    state.revision = offset;
                    accepted.push((offset, change));
                }
            }
            ConfigRecord::KeyCreated(created) => {
                state.keys.entry(created.hash.to_string()).or_insert(created.account.to_string());
            }
            _ => {}
        }
    }
    for record in log {
        if let ConfigRecord::KeyWithdrawn(withdrawn) = record {
            state.keys.remove(&*withdrawn.hash);
        }
    }
    state
}

/// Reports whether an edited path of one change equals or is a prefix of one of the other.
fn conflicts(a: &ConfigChange, b: &ConfigChange) -> bool {
    a.edits.iter().any(|x| {
        b.edits.iter().any(|y| {
            let (x, y) = (format!("{}/", x.path), format!("{}/", y.path));
            x.starts_with(&y) || y.starts_with(&x)
        })
    })
}

/// Returns the tree after all edits of a change, or `None` if an edit is not possible.
fn edited(tree: &Value, change: &ConfigChange) -> Option<Value> {
    let mut tree = tree.clone();
    for edit in &change.edits {
        let (parent, name) = edit.path.rsplit_once('/')?;
        if edit.value.is_some() {
            let mut upto = String::new();
            for step in parent.split('/').skip(1) {
                let above = tree.pointer_mut(&upto)?.as_object_mut()?;
                above.entry(step).or_insert(json!({}));
                upto = format!("{upto}/{step}");
            }
        }
        let object = tree.pointer_mut(parent)?.as_object_mut()?;
        match &edit.value {
            Some(value) => drop(object.insert(name.into(), value.clone())),
            None => drop(object.remove(name)?),
        }
    }
    Some(tree)
}
