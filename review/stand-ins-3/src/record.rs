//! The record of what was sent, answered and run.

use std::{
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A record that threads share.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { began: Instant::now(), lines: Arc::default() }
    }

    /// Returns the time since the record began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Adds a line and returns its time.
    pub fn note(&self, text: &str) -> Duration {
        let mut lines = self.lines.lock().unwrap();
        let now = self.now();
        lines.push(format!("{:9.3} s  {text}", now.as_secs_f64()));
        now
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: &str) -> Duration {
        println!("{text}");
        self.note(text)
    }

    /// Writes the record to a file.
    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
        for line in self.lines.lock().unwrap().iter() {
            writeln!(file, "{line}")?;
        }
        file.flush()
    }
}
