//! The record of a run: what was sent, answered and run, with times.

use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Create `record.txt` in a folder.
    pub fn create(dir: &Path) -> Self {
        let file = File::create(dir.join("record.txt")).expect("create record.txt");
        Self {
            began: Instant::now(),
            file: Mutex::new(file),
        }
    }

    /// Write a line with the time since the start.
    pub fn note(&self, text: impl Display) {
        let ms = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>4}.{:03}  {text}", ms / 1000, ms % 1000);
    }
}
