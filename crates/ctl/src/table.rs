//! Formats tables as plain text.

/// A plain-text table; each column is as wide as its longest cell.
#[derive(Clone, Debug)]
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Returns a table that contains only a header row.
    pub(crate) fn new(header: &[&str]) -> TextTable {
        TextTable { rows: vec![header.iter().map(|cell| (*cell).to_owned()).collect()] }
    }

    /// Appends a row.
    pub(crate) fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Returns the table as text, one line per row.
    pub(crate) fn text(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells: Vec<String> =
                row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:<width$}")).collect();
            text.push_str(cells.join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}
