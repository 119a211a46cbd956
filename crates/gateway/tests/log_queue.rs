//! Log lines while nobody reads them.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, Sender, channel},
    time::Duration,
};

use pimentorock_gateway::log_queue::{LogQueue, MAX_QUEUED_LINES};

/// A writer that waits for leave before each write.
struct GatedWriter {
    permits: Receiver<()>,
    written: Sender<String>,
}

impl Write for GatedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.permits.recv().map_err(io::Error::other)?;
        let text = String::from_utf8_lossy(bytes).into_owned();
        self.written.send(text).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stands_still_costs_lines_and_no_time() {
    let (grant, permits) = channel();
    let (written, writes) = channel();
    let queue = LogQueue::start(GatedWriter { permits, written }).unwrap();
    let pushed = 4 * MAX_QUEUED_LINES as u64;
    // Would never return if a push waited, as nothing is written before there is leave.
    for number in 0..pushed {
        queue.push(format!("line {number}"));
    }
    assert!(queue.dropped() >= pushed - 3 * MAX_QUEUED_LINES as u64);
    let mut lines = 0;
    let mut reported = 0;
    while lines + reported < pushed {
        grant.send(()).unwrap();
        let text = writes.recv_timeout(Duration::from_secs(20)).expect("lines go on");
        for line in text.lines() {
            if line.starts_with("line ") {
                lines += 1;
            } else {
                let dropped_line: serde_json::Value = serde_json::from_str(line).unwrap();
                reported += dropped_line["dropped"].as_u64().unwrap();
            }
        }
    }
    assert_eq!((lines + reported, reported), (pushed, queue.dropped()));
}

#[test]
fn lines_are_written_whole_and_a_pipe_takes_each_write_at_once() {
    let (grant, permits) = channel();
    let (written, writes) = channel();
    let queue = LogQueue::start(GatedWriter { permits, written }).unwrap();
    let lengths = [200, 3_000, 1_500, 20_000, 10, 4_095, 4_096, 1];
    let lines: Vec<String> = lengths.iter().map(|length| "x".repeat(*length)).collect();
    lines.iter().for_each(|line| queue.push(line.clone()));
    let mut read: Vec<String> = Vec::new();
    while read.len() < lines.len() {
        grant.send(()).unwrap();
        let text = writes.recv_timeout(Duration::from_secs(20)).expect("lines go on");
        assert!(text.ends_with('\n'));
        assert!(text.len() <= 4_096 || text.lines().count() == 1, "{} bytes", text.len());
        read.extend(text.lines().map(str::to_owned));
    }
    assert_eq!(read, lines);
}
