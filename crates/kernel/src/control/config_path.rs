//! Paths into the settings tree.

use serde_json::{Map, Value};

use crate::record::ChangeRefusal;

/// A path into the settings tree, split at its slashes; `/` and the empty text name the root.
///
/// Within a name `~1` stands for a slash and `~0` for a tilde, as in a JSON pointer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ConfigPath(Vec<Box<str>>);

impl ConfigPath {
    /// Parses a path.
    ///
    /// # Errors
    ///
    /// Fails if the path does not begin with a slash or holds an empty name.
    pub(crate) fn parse(text: &str) -> Result<ConfigPath, ChangeRefusal> {
        if text.is_empty() || text == "/" {
            return Ok(ConfigPath(Vec::new()));
        }
        let Some(names) = text.strip_prefix('/') else {
            return Err(refusal(text, "does not begin with a slash"));
        };
        if names.split('/').any(str::is_empty) {
            return Err(refusal(text, "holds an empty name"));
        }
        let unescape = |name: &str| name.replace("~1", "/").replace("~0", "~").into();
        Ok(ConfigPath(names.split('/').map(unescape).collect()))
    }

    /// Returns the text that parses to this path.
    pub(crate) fn text(&self) -> Box<str> {
        let escape = |name: &str| name.replace('~', "~0").replace('/', "~1");
        let names: Vec<String> = self.0.iter().map(|name| escape(name)).collect();
        format!("/{}", names.join("/")).into()
    }

    /// Reports whether an edit at one of the paths can change the value at the other: one is a
    /// prefix of the other.
    pub(crate) fn overlaps(&self, other: &ConfigPath) -> bool {
        self.0.iter().zip(&other.0).all(|(a, b)| a == b)
    }

    /// Reports whether this path equals `other` or is a prefix of it.
    pub(crate) fn is_prefix_of(&self, other: &ConfigPath) -> bool {
        other.0.starts_with(&self.0)
    }

    /// Sets the value at the path, or deletes it if `value` is `None`.
    ///
    /// Missing parent objects of a new value are created. Deleting the root leaves an empty object.
    ///
    /// # Errors
    ///
    /// Fails if the path leads through a value that is no object, or if the value to delete does
    /// not exist.
    pub(crate) fn edit(&self, tree: &mut Value, value: Option<Value>) -> Result<(), ChangeRefusal> {
        let Some((last, parents)) = self.0.split_last() else {
            *tree = value.unwrap_or_else(|| Value::Object(Map::new()));
            return Ok(());
        };
        let mut node = tree;
        for name in parents {
            let object = self.object(node)?;
            if !object.contains_key(name.as_ref()) && value.is_none() {
                return Err(refusal(&self.text(), "does not exist"));
            }
            node = object.entry(name.as_ref()).or_insert_with(|| Value::Object(Map::new()));
        }
        let object = self.object(node)?;
        match value {
            Some(value) => {
                object.insert(last.to_string(), value);
                Ok(())
            }
            None if object.remove(last.as_ref()).is_some() => Ok(()),
            None => Err(refusal(&self.text(), "does not exist")),
        }
    }

    fn object<'a>(&self, node: &'a mut Value) -> Result<&'a mut Map<String, Value>, ChangeRefusal> {
        node.as_object_mut()
            .ok_or_else(|| refusal(&self.text(), "leads through a value that is no object"))
    }
}

fn refusal(path: &str, problem: &str) -> ChangeRefusal {
    ChangeRefusal::Path { path: path.into(), problem: problem.into() }
}
