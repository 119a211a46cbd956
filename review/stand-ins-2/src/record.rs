//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines with the time since the start to `record.txt`.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Recorder {
    pub fn new(path: &Path) -> Recorder {
        let file = File::create(path).expect("record.txt can be written");
        Recorder { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let seconds = self.start.elapsed().as_secs_f64();
        let text = format!("{seconds:8.3} {}\n", line.as_ref());
        // A record that cannot be written does not change what the case shows.
        let _ = self.file.lock().unwrap().write_all(text.as_bytes());
    }
}
