//! Markdown tables.

/// `Table` collects rows and prints them.
#[derive(Debug)]
pub struct Table {
    columns: usize,
    lines: Vec<String>,
}

impl Table {
    /// `new` starts with the names of the columns.
    pub fn new(names: &[&str]) -> Self {
        let head = format!("| {} |", names.join(" | "));
        let rule = format!("|{}", "---|".repeat(names.len()));

        Self { columns: names.len(), lines: vec![head, rule] }
    }

    /// `row` adds a row.
    pub fn row(&mut self, cells: &[String]) {
        assert_eq!(cells.len(), self.columns, "a cell for each column");

        self.lines.push(format!("| {} |", cells.join(" | ")));
    }

    /// `print` prints a title and the table.
    pub fn print(&self, title: &str) {
        println!("### {title}\n");
        for line in &self.lines {
            println!("{line}");
        }
        println!();
    }
}
