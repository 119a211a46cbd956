//! The record of a run: what was sent, answered and run, with times in seconds.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines to the file that `run.sh` names as the second argument, `record.txt` in its folder.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Begins the record anew.
    pub fn begin() -> Record {
        let path = std::env::args().nth(2).unwrap_or_else(|| "record.txt".into());
        let file = File::create(path).expect("the record can be written");
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
