//! Positions of the values in a settings file.

use std::collections::HashMap;

/// A line and column in a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TextPosition {
    /// Line, counted from 1.
    pub line: u32,
    /// Column in characters, counted from 1.
    pub column: u32,
}

/// Positions of the values of one file, by settings path.
#[derive(Clone, Debug, Default)]
pub struct PositionMap {
    file: Box<str>,
    positions_by_path: HashMap<Box<str>, TextPosition>,
}

impl PositionMap {
    /// Returns an empty map for `file`.
    pub fn new(file: &str) -> PositionMap {
        PositionMap { file: file.into(), positions_by_path: HashMap::new() }
    }

    /// Returns the name of the file.
    pub fn file(&self) -> &str {
        &self.file
    }

    /// Returns the position of the value at `path`, or of the nearest enclosing value with a known
    /// position.
    pub fn find(&self, path: &str) -> Option<TextPosition> {
        let mut path = path;
        loop {
            if let Some(&position) = self.positions_by_path.get(path) {
                return Some(position);
            }
            path = &path[..path.rfind('/')?];
        }
    }

    /// Sets the position of the value at `path`.
    pub(crate) fn insert(&mut self, path: &str, position: TextPosition) {
        self.positions_by_path.insert(path.into(), position);
    }
}

/// Converts byte offsets in one text into lines and columns.
pub(crate) struct LineIndex<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    pub(crate) fn new(text: &'a str) -> LineIndex<'a> {
        let after_breaks = text.match_indices('\n').map(|(at, _)| at + 1);
        LineIndex { text, starts: std::iter::once(0).chain(after_breaks).collect() }
    }

    /// Returns the line and column of the byte `offset`.
    pub(crate) fn position(&self, offset: usize) -> TextPosition {
        let line = self.starts.partition_point(|&start| start <= offset);
        let start = self.starts[line - 1];
        let before = self.text.get(start..offset).unwrap_or("");
        TextPosition { line: line as u32, column: before.chars().count() as u32 + 1 }
    }
}
