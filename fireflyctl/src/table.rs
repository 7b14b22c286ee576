//! Text tables with aligned columns.

use std::fmt;

/// Separator between columns.
const COLUMN_GAP: &str = "  ";

/// Table, with the headings as its first row.
#[derive(Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates an empty table with these headings.
    pub(crate) fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(|h| (*h).to_owned()).collect();
        Self {
            rows: vec![headings],
        }
    }

    /// Adds a row.
    pub(crate) fn row(&mut self, cells: impl IntoIterator<Item = impl Into<String>>) {
        self.rows.push(cells.into_iter().map(Into::into).collect());
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for (i, row) in self.rows.iter().enumerate() {
            let cells = row.iter().zip(&widths);
            let cells: Vec<String> = cells.map(|(cell, w)| format!("{cell:w$}")).collect();
            if i > 0 {
                writeln!(f)?;
            }
            f.write_str(cells.join(COLUMN_GAP).trim_end())?;
        }
        Ok(())
    }
}
