//! The record of a run: what was sent, answered and run, with the time in milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record file that threads share.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    /// Creates the file, or empties it.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), started_at: Instant::now() }
    }

    /// Returns the milliseconds since the start of the run.
    pub fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.1} {}", self.now_ms(), text.as_ref());
        let mut file = self.file.lock().expect("no writer panics");
        writeln!(file, "{line}").expect("the record can be written");
    }
}
