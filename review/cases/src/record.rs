//! The record of a case: what was sent, answered and run, and when.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Debug, Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn open() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Adds a line as of `at`.
    pub fn add_at(&self, at: Instant, line: impl Into<String>) {
        let mut lines = self.lines.lock().unwrap_or_else(|error| error.into_inner());
        lines.push((at, line.into()));
    }

    /// Adds a line as of now.
    pub fn add(&self, line: impl Into<String>) {
        self.add_at(Instant::now(), line);
    }

    /// Returns the seconds from the start of the case to a moment.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    /// Writes the lines to `record.txt` in a folder, in their order of time.
    pub fn save(&self, folder: &str) -> std::io::Result<()> {
        let mut lines = self
            .lines
            .lock()
            .unwrap_or_else(|error| error.into_inner())
            .clone();
        lines.sort_by_key(|(at, _)| *at);
        let lines = lines.iter().map(|(at, line)| {
            let seconds = self.seconds(*at);
            format!("{seconds:9.3} {line}\n")
        });
        let text = lines.collect::<String>();
        std::fs::write(PathBuf::from(folder).join("record.txt"), text)
    }
}
