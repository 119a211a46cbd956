//! The log queue with a reader that is slow or does not read at all.

use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, Sender, channel},
    time::Duration,
};

use pimentorock_gateway::log_queue::{LogQueue, MAX_QUEUED_LINES};

/// A writer that waits for a permit before each write.
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

/// A blocked reader of the log must not block the entry. The queue drops lines instead, and the log
/// must account for each dropped line.
#[test]
fn a_blocked_reader_drops_lines_and_never_blocks_a_push() {
    let (grant, permits) = channel();
    let (written, writes) = channel();
    let queue = LogQueue::start(GatedWriter { permits, written }).unwrap();
    let pushed = 4 * MAX_QUEUED_LINES as u64;
    // If a push blocked, this loop would never end: no line is written before the first permit.
    for number in 0..pushed {
        queue.push(format!("line {number}"));
    }
    assert!(queue.dropped() >= pushed - 3 * MAX_QUEUED_LINES as u64);
    let mut lines = 0;
    let mut reported = 0;
    while lines + reported < pushed {
        grant.send(()).unwrap();
        let text =
            writes.recv_timeout(Duration::from_secs(20)).expect("the queue writes further lines");
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

/// Several processes may share a pipe. A write that ends within a line, or that is larger than the
/// pipe accepts atomically, could be interleaved with lines of another process.
#[test]
fn each_write_has_complete_lines_and_fits_a_pipe_unless_one_line_is_longer() {
    let (grant, permits) = channel();
    let (written, writes) = channel();
    let queue = LogQueue::start(GatedWriter { permits, written }).unwrap();
    let lengths = [200, 3_000, 1_500, 20_000, 10, 4_095, 4_096, 1];
    let lines: Vec<String> = lengths.iter().map(|length| "x".repeat(*length)).collect();
    lines.iter().for_each(|line| queue.push(line.clone()));
    let mut read: Vec<String> = Vec::new();
    while read.len() < lines.len() {
        grant.send(()).unwrap();
        let text =
            writes.recv_timeout(Duration::from_secs(20)).expect("the queue writes further lines");
        assert!(text.ends_with('\n'));
        assert!(text.len() <= 4_096 || text.lines().count() == 1, "{} bytes", text.len());
        read.extend(text.lines().map(str::to_owned));
    }
    assert_eq!(read, lines);
}

/// The last lines of a process say how it ended.
#[test]
fn a_flush_waits_until_all_queued_lines_are_written() {
    let (grant, permits) = channel();
    let (written, writes) = channel();
    let queue = LogQueue::start(GatedWriter { permits, written }).unwrap();
    queue.push("first".to_owned());
    queue.push("last".to_owned());
    assert!(!queue.flush(Duration::from_millis(400)), "the writer is blocked");
    grant.send(()).unwrap();
    assert!(queue.flush(Duration::from_secs(20)));
    assert_eq!(writes.try_iter().collect::<String>(), "first\nlast\n");
}
