//! The settings tree and access to its values by path.

use serde_json::{Map, Value};
use thiserror::Error;

/// A path that is invalid or does not exist in a tree.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum PathError {
    /// The path does not begin with `/` or has an empty component.
    #[error("invalid path \"{path}\": write it like \"/teams/TEAM/accounts/ACCOUNT\"")]
    Invalid {
        /// The path.
        path: Box<str>,
    },
    /// A component before the last one leads to a value that is not an object.
    #[error("path \"{path}\" passes through a value that is not an object")]
    NotObject {
        /// The path.
        path: Box<str>,
    },
    /// There is no value at the path.
    #[error("path \"{path}\" does not exist")]
    Absent {
        /// The path.
        path: Box<str>,
    },
}

/// The settings of the whole fleet, which are read and edited by path.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsTree {
    root: Value,
}

impl Default for SettingsTree {
    fn default() -> SettingsTree {
        SettingsTree::new()
    }
}

impl SettingsTree {
    /// Returns an empty tree.
    pub fn new() -> SettingsTree {
        SettingsTree { root: Value::Object(Map::new()) }
    }

    /// Returns a tree with the given root value.
    pub fn with_root(root: Value) -> SettingsTree {
        SettingsTree { root }
    }

    /// Returns the root value, which contains the whole tree.
    pub fn root(&self) -> &Value {
        &self.root
    }

    /// Returns the value at `path`, or `None` if the path does not exist; `/` is the root.
    ///
    /// # Errors
    ///
    /// Fails if the path is invalid.
    pub fn get(&self, path: &str) -> Result<Option<&Value>, PathError> {
        let mut value = &self.root;
        for part in split_path(path)? {
            match value.as_object().and_then(|fields| fields.get(part)) {
                Some(field) => value = field,
                None => return Ok(None),
            }
        }
        Ok(Some(value))
    }

    /// Sets the value at `path` and creates the missing objects on the path.
    ///
    /// # Errors
    ///
    /// Fails without a change if the path is invalid or passes through a value that is not an
    /// object.
    pub fn set(&mut self, path: &str, value: Value) -> Result<(), PathError> {
        let parts = split_path(path)?;
        let mut existing = Some(&self.root);
        for part in &parts {
            let Some(value) = existing else { break };
            let fields = value.as_object().ok_or(PathError::NotObject { path: path.into() })?;
            existing = fields.get(*part);
        }
        let mut target = &mut self.root;
        for part in parts {
            let fields =
                target.as_object_mut().ok_or(PathError::NotObject { path: path.into() })?;
            target = fields.entry(part).or_insert_with(|| Value::Object(Map::new()));
        }
        *target = value;
        Ok(())
    }

    /// Deletes and returns the value at `path`; the enclosing objects stay even if they are empty.
    ///
    /// # Errors
    ///
    /// Fails if the path is invalid or does not exist.
    pub fn delete(&mut self, path: &str) -> Result<Value, PathError> {
        let parts = split_path(path)?;
        let Some((last, above)) = parts.split_last() else {
            return Ok(std::mem::replace(&mut self.root, Value::Object(Map::new())));
        };
        let mut target = Some(&mut self.root);
        for part in above {
            target = target.and_then(|value| value.as_object_mut()?.get_mut(*part));
        }
        target
            .and_then(|value| value.as_object_mut()?.remove(*last))
            .ok_or(PathError::Absent { path: path.into() })
    }
}

/// Returns the team whose subtree contains `path`, or `None` if the path is outside all teams.
///
/// # Examples
///
/// ```
/// use pimentorock_settings::tree::team_of_path;
///
/// assert_eq!(team_of_path("/teams/north/accounts/shop"), Some("north"));
/// assert_eq!(team_of_path("/fleet/policies"), None);
/// ```
pub fn team_of_path(path: &str) -> Option<&str> {
    let rest = path.strip_prefix("/teams/")?;
    rest.split('/').next().filter(|team| !team.is_empty())
}

/// Splits a path into its components; `/` has none.
///
/// # Errors
///
/// Fails if the path does not begin with `/` or has an empty component.
pub fn split_path(path: &str) -> Result<Vec<&str>, PathError> {
    let invalid = || PathError::Invalid { path: path.into() };
    let rest = path.strip_prefix('/').ok_or_else(invalid)?;
    if rest.is_empty() {
        return Ok(Vec::new());
    }
    let parts: Vec<&str> = rest.split('/').collect();
    if parts.iter().any(|part| part.is_empty()) { Err(invalid()) } else { Ok(parts) }
}
