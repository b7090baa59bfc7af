//! The record of a run: what was sent, answered and run, line by line.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start of the run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(folder: &Path) -> Result<Self, String> {
        let file = File::create(folder.join("record.txt")).map_err(|error| error.to_string())?;

        Ok(Self { began: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) })
    }

    /// Seconds since the start of the run.
    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let seconds = self.seconds();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:9.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3} {text}", self.seconds());
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
