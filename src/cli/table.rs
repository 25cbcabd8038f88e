//! Tables with aligned columns.

/// Number of spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Rows of text under a header, aligned on output.
pub(super) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with a header.
    pub(super) fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|&name| name.to_owned()).collect();
        Self { rows: vec![header] }
    }

    /// Adds a row with one cell per column.
    pub(super) fn row<C>(&mut self, cells: C)
    where
        C: IntoIterator<Item = String>,
    {
        self.rows.push(
            cells
                .into_iter()
                .map(|cell| replace_control_characters(&cell))
                .collect(),
        );
    }

    /// Returns the aligned lines.
    pub(super) fn lines(&self) -> Vec<String> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths = (0..columns).map(|column| self.width(column));
        let widths = widths.collect::<Vec<_>>();
        let lines = self.rows.iter().map(|row| align(row, &widths));
        lines.collect()
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

fn align(row: &[String], widths: &[usize]) -> String {
    let mut line = String::new();
    for (cell, &width) in row.iter().zip(widths) {
        let padding = width + COLUMN_GAP - cell.chars().count();
        line.push_str(cell);
        line.extend(std::iter::repeat_n(' ', padding));
    }
    line.trim_end().to_owned()
}

/// Replaces control characters. Text from another operator could otherwise move the
/// cursor and hide information that this operator needs for a decision.
fn replace_control_characters(cell: &str) -> String {
    cell.replace(char::is_control, "?")
}
