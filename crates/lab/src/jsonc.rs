//! Deserialises JSON with comments.

use std::{io, path::Path};

use serde::de::DeserializeOwned;

/// Reads a file of JSON with comments and deserialises it into a `T`.
///
/// # Errors
///
/// Fails if the file cannot be read, is not valid JSON, or does not match the fields of `T`.
/// The error text begins with the path of the file.
pub fn read_file<T: DeserializeOwned>(path: &Path) -> io::Result<T> {
    let with_path = |problem: String| io::Error::other(format!("{}: {problem}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| with_path(error.to_string()))?;
    read_text(&text).map_err(with_path)
}

/// Parses JSON with comments and deserialises it into a `T`.
///
/// # Errors
///
/// Returns the parser's message if the text is not valid JSON or does not match the fields of
/// `T`.
pub fn read_text<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let value: Option<serde_json::Value> =
        jsonc_parser::parse_to_serde_value(text, &Default::default())
            .map_err(|error| error.to_string())?;
    serde_json::from_value(value.unwrap_or_default()).map_err(|error| error.to_string())
}
