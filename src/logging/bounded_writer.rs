//! A non-blocking log writer that drops lines when its reader is too slow.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// Maximum number of queued lines; at about 200 bytes per line the queue stays below half
/// a megabyte.
const QUEUE_LINES: usize = 2048;
/// Average rate limit in lines per second: about ten times what a host writes on a day
/// with faults, and below 1% of a core.
const LINES_PER_S: f64 = 400.0;
/// Burst limit in lines; the loss of one engine affects some hundred requests.
const BURST_LINES: f64 = 800.0;

/// Passes lines to a thread that writes them. When the queue is full or the rate limit is
/// exceeded, lines are dropped and counted, and the count is written with the next line
/// that fits.
///
/// A direct write would block the threads that serve requests as soon as the reader of
/// the log stops reading; all requests would stall at once.
#[derive(Debug)]
pub struct BoundedWriter {
    queue: SyncSender<Vec<u8>>,
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
        let (queue, lines) = sync_channel(QUEUE_LINES);
        std::thread::spawn(move || write_lines(&lines, output));
        Self {
            queue,
            line: Vec::new(),
            dropped_lines: 0,
            allowance: BURST_LINES,
            refilled_at: Instant::now(),
        }
    }

    fn send_line(&mut self, now: Instant) {
        let mut line = std::mem::take(&mut self.line);
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let refill = elapsed.as_secs_f64() * LINES_PER_S;
        self.allowance = (self.allowance + refill).min(BURST_LINES);
        if self.allowance < 1.0 {
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
        match self.queue.try_send(line) {
            Ok(()) => self.dropped_lines = 0,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped_lines += 1,
        }
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

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes all queued lines at once, and returns when the output is closed.
fn write_lines<W>(lines: &Receiver<Vec<u8>>, mut output: W)
where
    W: Write,
{
    /// Pause between two writes, so that lines are written in batches.
    const PAUSE: Duration = Duration::from_millis(100);
    while let Ok(mut text) = lines.recv() {
        while let Ok(line) = lines.try_recv() {
            text.extend_from_slice(&line);
        }
        if output
            .write_all(&text)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
        std::thread::sleep(PAUSE);
    }
}
