//! `record.txt` in the case's folder: what was sent, answered and run, a line each, with the milliseconds since the
//! start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of one run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    /// Creates `record.txt` anew in the current folder.
    pub fn create() -> Record {
        let file = File::create("record.txt").expect("record.txt");
        Record { file: Arc::new(Mutex::new(file)), begun: Instant::now() }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> f64 {
        self.begun.elapsed().as_secs_f64() * 1000.0
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:9.1} ms  {text}\n", self.now_ms());
        let _ = self.file.lock().expect("the record").write_all(line.as_bytes());
    }
}
