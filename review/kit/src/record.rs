//! The record of a run: what was sent, answered and run, with times in seconds.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines to `record.txt` in the current folder.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Begins the record anew.
    pub fn begin() -> Record {
        let file = File::create("record.txt").expect("record.txt can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Returns the seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}\n", self.now(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }

    /// Writes a line, and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.3} {}", self.now(), text.as_ref());
        self.line(text);
    }
}
