//! A bounded queue of log lines, for output to a reader that may be slow.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::Duration,
};

/// Maximum number of queued lines; further lines are dropped and counted.
pub const MAX_QUEUED_LINES: usize = 4_096;

/// Time for which lines are collected before they are written, to reduce the number of system
/// calls.
const BATCH_PERIOD: Duration = Duration::from_millis(200);

/// Maximum number of bytes in one write. A pipe accepts a write of this size atomically, so lines
/// of several writers are not interleaved, and a reader that reads only a part of the available
/// data still gets complete lines.
const MAX_WRITE_BYTES: usize = 4_096;

/// An item of the queue.
#[derive(Debug)]
enum QueueItem {
    Line(String),
    /// A request to say when all lines before it are written.
    Flush(SyncSender<()>),
}

/// A bounded queue of lines with a thread that writes them.
///
/// A push never blocks. Lines that are pushed while the queue is full are dropped and counted; the
/// number of dropped lines is written as a log line once the reader continues to read.
#[derive(Clone, Debug)]
pub struct LogQueue {
    sender: SyncSender<QueueItem>,
    dropped: Arc<AtomicU64>,
}

impl LogQueue {
    /// Starts a thread that writes the queued lines to `writer`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(writer: impl Write + Send + 'static) -> io::Result<LogQueue> {
        let (sender, lines) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        std::thread::Builder::new()
            .name("logs".into())
            .spawn(move || write_lines(writer, &lines, &counted))?;
        Ok(LogQueue { sender, dropped })
    }

    /// Queues a line, which must not end with a newline, or drops it if the queue is full.
    pub fn push(&self, line: String) {
        if self.sender.try_send(QueueItem::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits until the lines that are queued now are written, for at most `timeout`; returns whether
    /// they are.
    pub fn flush(&self, timeout: Duration) -> bool {
        let (written, is_written) = sync_channel(1);
        let queued = self.sender.try_send(QueueItem::Flush(written)).is_ok();
        queued && is_written.recv_timeout(timeout).is_ok()
    }

    /// Returns the number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn write_lines(mut writer: impl Write, items: &Receiver<QueueItem>, dropped: &AtomicU64) {
    let mut reported = 0;
    while let Ok(first) = items.recv() {
        std::thread::sleep(BATCH_PERIOD);
        let (mut batch, mut flushed) = (Vec::new(), Vec::new());
        for item in std::iter::once(first).chain(items.try_iter().take(MAX_QUEUED_LINES)) {
            match item {
                QueueItem::Line(line) => batch.push(line),
                QueueItem::Flush(written) => flushed.push(written),
            }
        }
        let now_dropped = dropped.load(Ordering::Relaxed);
        if now_dropped > reported {
            batch.push(dropped_line(now_dropped - reported));
            reported = now_dropped;
        }
        for text in group_lines(&batch) {
            // A closed or broken log output must not affect the service.
            let _ = writer.write_all(text.as_bytes());
        }
        for written in flushed {
            // Nobody may be waiting any more.
            let _ = written.try_send(());
        }
    }
}

/// Joins lines into texts of at most [`MAX_WRITE_BYTES`] each; a longer line is a text of its own.
fn group_lines(lines: &[String]) -> Vec<String> {
    let mut texts: Vec<String> = Vec::new();
    for line in lines {
        let fits = |text: &&mut String| text.len() + line.len() < MAX_WRITE_BYTES;
        match texts.last_mut().filter(fits) {
            Some(text) => text.push_str(line),
            None => texts.push(line.clone()),
        }
        if let Some(text) = texts.last_mut() {
            text.push('\n');
        }
    }
    texts
}

fn dropped_line(count: u64) -> String {
    let line = serde_json::json!({
        "level": "WARN", "part": "logs", "message": "lines were dropped", "dropped": count,
    });
    line.to_string()
}
