//! The record of a run, and what all scripts share.

use std::fs;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Default for Record {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        self.lines
            .lock()
            .expect("the lines")
            .push((at, text.to_owned()));
    }

    /// Adds a line and shows it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }

    /// Writes `record.txt` into the folder of the case.
    pub fn write(&self) {
        let lines = self.lines.lock().expect("the lines");
        let lines = lines
            .iter()
            .map(|(at, text)| format!("{at:>7} ms  {text}\n"));
        let folder =
            std::env::var("REVIEW_CASE").expect("REVIEW_CASE names the folder of the case");
        let path = PathBuf::from(folder).join("record.txt");
        fs::write(path, lines.collect::<String>()).expect("the record is written");
    }
}

/// Returns whether the disruption is to be made.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Creates the temporary folder of a run.
pub fn folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}
