//! Log lines in both formats, including those of dropshot.

use std::io::Write;
use std::sync::Arc;

use jackdawwick::logging;
use jackdawwick::options::{LogFormat, LogOptions};
use log::{Level, LevelFilter, Record};
use parking_lot::Mutex;
use serde_json::Value;

/// A writer whose text a test can read.
#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl SharedBuffer {
    fn lines(&self) -> Vec<String> {
        let text = String::from_utf8(self.0.lock().clone()).expect("text");
        text.lines().map(str::to_owned).collect()
    }
}

fn write_one(format: LogFormat, level: Level, message: &str) -> Vec<String> {
    let buffer = SharedBuffer::default();
    let options = LogOptions {
        level: LevelFilter::Info,
        format,
    };
    let (_, logger) = logging::logger_to(options, buffer.clone());
    let pairs = [("request", "r-1"), ("level", "forged")];
    logger.log(
        &Record::builder()
            .args(format_args!("{message}"))
            .level(level)
            .target("test")
            .key_values(&pairs)
            .build(),
    );
    buffer.lines()
}

/// A caller sends a text with a line break and the daemon logs it. An unescaped line
/// break would let the caller forge a log line.
#[test]
fn line_breaks_in_a_message_are_escaped() {
    for format in [LogFormat::Text, LogFormat::Json] {
        let lines = write_one(format, Level::Warn, "bad path /a\n2026 INFO forged");
        assert_eq!(lines.len(), 1, "{lines:?}");
    }
}

#[test]
fn lines_carry_time_level_target_request_and_message() {
    let [line] = &write_one(LogFormat::Text, Level::Warn, "refused")[..] else {
        panic!("one line");
    };
    let (_, rest) = line.split_once("Z ").expect("time");
    assert_eq!(rest, "WARN  test: refused request=r-1 level=forged");

    let [line] = &write_one(LogFormat::Json, Level::Warn, "refused \"x\"")[..] else {
        panic!("one line");
    };
    let object = serde_json::from_str::<Value>(line).expect("JSON");
    assert_eq!(object["request"], "r-1");
    assert_eq!(object["level"], "WARN");
    assert_eq!(object["message"], "refused \"x\"");
    assert_eq!(object["target"], "test");
    assert!(object["time"].is_string());
    assert!(write_one(LogFormat::Text, Level::Debug, "quiet").is_empty());
}

/// This is the only test that installs the process's logger.
#[test]
fn dropshot_lines_come_out_with_the_request_id() {
    let buffer = SharedBuffer::default();
    let options = LogOptions {
        level: LevelFilter::Info,
        format: LogFormat::Json,
    };
    let (level, logger) = logging::logger_to(options, buffer.clone());
    log::set_boxed_logger(logger).expect("first logger");
    log::set_max_level(level);
    let logger = logging::dropshot_logger().new(slog::o!("req_id" => "r-2"));
    slog::debug!(logger, "quiet");
    slog::error!(logger, "request failed"; "status" => 500);
    log::info!(request:% = "r-3"; "answered");

    let lines = buffer.lines();
    let objects = lines.iter().map(|line| serde_json::from_str::<Value>(line));
    let objects = objects.collect::<Result<Vec<_>, _>>().expect("JSON");
    let shown = objects.iter().map(|object| {
        let fields = ["level", "request", "message", "status"];
        fields.map(|field| object[field].as_str().unwrap_or("-").to_owned())
    });
    assert_eq!(
        shown.collect::<Vec<_>>(),
        [
            ["ERROR", "r-2", "request failed", "500"],
            ["INFO", "r-3", "answered", "-"]
        ]
    );
}
