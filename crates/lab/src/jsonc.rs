//! Reads JSON with comments into typed values.

use std::{io, path::Path};

use serde::de::DeserializeOwned;

/// Reads a file of JSON with comments.
///
/// # Errors
///
/// Fails if the file cannot be read, is no JSON, or has another shape; the text names the
/// file.
pub fn read_file<T: DeserializeOwned>(path: &Path) -> io::Result<T> {
    let with_path = |problem: String| io::Error::other(format!("{}: {problem}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| with_path(error.to_string()))?;
    read_text(&text).map_err(with_path)
}

/// Reads JSON with comments.
///
/// # Errors
///
/// Fails with a text that names the place if the text is no JSON or has another shape.
pub fn read_text<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let value: Option<serde_json::Value> =
        jsonc_parser::parse_to_serde_value(text, &Default::default())
            .map_err(|error| error.to_string())?;
    serde_json::from_value(value.unwrap_or_default()).map_err(|error| error.to_string())
}
