//! A non-blocking log writer that drops lines when its reader is too slow.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread::Thread;
use std::time::{Duration, Instant};

/// Maximum number of queued lines; at about 200 bytes per line the queue stays below half
/// a megabyte.
const QUEUE_LINES: usize = 2048;
/// Maximum size of a line, in bytes, with which the queue stays below 16 megabytes. Lines have
/// names that callers and targets choose.
const MAX_LINE_BYTES: usize = 8 * 1024;
/// Average rate limit in lines per second: about ten times what a host writes on a day
/// with faults, and below 1% of a core.
const LINES_PER_S: f64 = 400.0;
/// Burst limit in lines; the loss of one engine affects some hundred requests.
const BURST_LINES: f64 = 800.0;

/// What is passed to the thread that writes.
#[derive(Debug)]
enum QueueEntry {
    Line(Vec<u8>),
    /// Asks for a notice once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Passes lines to a thread that writes them. When the queue is full, the rate limit is
/// exceeded or a line is too long, lines are dropped and counted, and the count is written with the next line
/// that fits.
///
/// A direct write would block the threads that serve requests as soon as the reader of
/// the log stops reading; all requests would stall at once.
#[derive(Debug)]
pub struct BoundedWriter {
    queue: SyncSender<QueueEntry>,
    thread: Thread,
    line: Vec<u8>,
    dropped_lines: u64,
    allowance: f64,
    refilled_at: Instant,
}

impl BoundedWriter {
    /// Starts the thread that writes to `output`.
    pub fn spawn<W>(output: W) -> Self
    where
        W: Write + Send + 'static,
    {
        let (queue, entries) = sync_channel(QUEUE_LINES);
        let writing = std::thread::spawn(move || write_lines(&entries, output));
        Self {
            queue,
            thread: writing.thread().clone(),
            line: Vec::new(),
            dropped_lines: 0,
            allowance: BURST_LINES,
            refilled_at: Instant::now(),
        }
    }

    /// Returns a handle that waits until queued lines are written.
    pub fn flusher(&self) -> LogFlusher {
        LogFlusher {
            queue: self.queue.clone(),
            thread: self.thread.clone(),
        }
    }

    fn send_line(&mut self, now: Instant) {
        let mut line = std::mem::take(&mut self.line);
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let refill = elapsed.as_secs_f64() * LINES_PER_S;
        self.allowance = (self.allowance + refill).min(BURST_LINES);
        if self.allowance < 1.0 || line.len() > MAX_LINE_BYTES {
            self.dropped_lines += 1;
            return;
        }
        self.allowance -= 1.0;
        if self.dropped_lines > 0 {
            let count = self.dropped_lines;
            line.extend_from_slice(
                format!("{{\"message\":\"lines left out\",\"count\":\"{count}\"}}\n").as_bytes(),
            );
        }
        match self.queue.try_send(QueueEntry::Line(line)) {
            Ok(()) => self.dropped_lines = 0,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped_lines += 1,
        }
    }
}

/// Waits for the lines of a [`BoundedWriter`], which would be lost if the process ended
/// before they are written.
#[derive(Debug, Clone)]
pub struct LogFlusher {
    queue: SyncSender<QueueEntry>,
    thread: Thread,
}

impl LogFlusher {
    /// Returns whether all lines that are queued were written within `limit`. The reader of
    /// the log may have stopped reading.
    pub fn flush(&self, limit: Duration) -> bool {
        let (written_sender, written) = sync_channel(1);
        if self
            .queue
            .try_send(QueueEntry::Flush(written_sender))
            .is_err()
        {
            return false;
        }
        self.thread.unpark();
        written.recv_timeout(limit).is_ok()
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            self.send_line(Instant::now());
        }
        Ok(bytes.len())
    }

    /// Returns at once: the logger flushes each line, and [`LogFlusher`] waits.
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Lines that are written at once.
#[derive(Debug, Default)]
struct LineBatch {
    text: Vec<u8>,
    /// Those that wait for the lines to be written.
    waiting: Vec<SyncSender<()>>,
}

impl LineBatch {
    fn add(&mut self, entry: QueueEntry) {
        match entry {
            QueueEntry::Line(line) => self.text.extend_from_slice(&line),
            QueueEntry::Flush(written) => self.waiting.push(written),
        }
    }
}

/// Writes all queued lines at once, and returns when the output is closed.
fn write_lines<W>(entries: &Receiver<QueueEntry>, mut output: W)
where
    W: Write,
{
    /// Pause between two writes, so that lines are written in batches. A flush ends it.
    const PAUSE: Duration = Duration::from_millis(100);
    while let Ok(entry) = entries.recv() {
        let mut batch = LineBatch::default();
        batch.add(entry);
        while let Ok(entry) = entries.try_recv() {
            batch.add(entry);
        }
        let written = output.write_all(&batch.text);
        if written.and_then(|()| output.flush()).is_err() {
            return;
        }
        for waiting in batch.waiting {
            // Whoever waited may have stopped.
            let _ = waiting.try_send(());
        }
        std::thread::park_timeout(PAUSE);
    }
}
