//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    begun: Instant,
}

impl Record {
    /// `record.txt` in the folder of a case.
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Record { file: Arc::new(Mutex::new(BufWriter::new(file))), begun: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{:>10.1} ms  {}", self.begun.elapsed().as_secs_f64() * 1000.0, text.as_ref());
        let _ = file.flush();
    }

    /// A line that is printed as well.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}
