//! The record of a scenario: what was sent, answered and run.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    began: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Record { file: Arc::new(Mutex::new(BufWriter::new(file))), began: Instant::now() }
    }

    pub fn note(&self, text: &str) {
        let seconds = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
        let _ = file.flush();
    }

    /// Notes a line and prints it.
    pub fn tell(&self, text: &str) {
        println!("{text}");
        self.note(text);
    }
}
