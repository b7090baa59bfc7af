//! Printing of Markdown tables.

/// A Markdown table that collects rows for printing.
#[derive(Debug)]
pub struct Table {
    columns: usize,
    lines: Vec<String>,
}

impl Table {
    /// Creates a table without rows from the names of its columns.
    pub fn new(names: &[&str]) -> Self {
        let head = format!("| {} |", names.join(" | "));
        let rule = format!("|{}", "---|".repeat(names.len()));

        Self { columns: names.len(), lines: vec![head, rule] }
    }

    /// Appends a row.
    ///
    /// # Panics
    ///
    /// Panics if the number of cells differs from the number of columns.
    pub fn add_row(&mut self, cells: &[String]) {
        assert_eq!(cells.len(), self.columns, "a row must have one cell per column");

        self.lines.push(format!("| {} |", cells.join(" | ")));
    }

    /// Prints a title, as a heading of level three, and the table to standard output.
    pub fn print(&self, title: &str) {
        println!("### {title}\n");
        for line in &self.lines {
            println!("{line}");
        }
        println!();
    }
}
