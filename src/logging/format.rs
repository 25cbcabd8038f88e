//! Formats a log record as one line.

use std::fmt::Write;
use std::time::SystemTime;

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as JsonValue};

use crate::options::LogFormat;

/// Formats a record as one line without a line break at its end.
pub(super) fn format_record(format: LogFormat, record: &Record<'_>, time: SystemTime) -> String {
    match format {
        LogFormat::Text => format_text(record, time),
        LogFormat::Json => format_json(record, time),
    }
}

fn format_text(record: &Record<'_>, time: SystemTime) -> String {
    let time = humantime::format_rfc3339_millis(time);
    let message = record.args().to_string();
    let level = record.level();
    let target = record.target();
    let mut line = format!("{time} {level:<5} {target}: {}", escape_control(&message));
    for (key, value) in pairs(record) {
        // Writing to a string cannot fail.
        let _ = write!(line, " {key}={}", escape_control(&value));
    }
    line
}

/// Escapes control characters: a line break in external text would let its sender forge
/// log lines.
fn escape_control(text: &str) -> String {
    let escape = |character: char| match character.is_control() {
        true => character.escape_default().to_string(),
        false => character.to_string(),
    };
    text.chars().map(escape).collect()
}

fn format_json(record: &Record<'_>, time: SystemTime) -> String {
    let mut object = Map::new();
    for (key, value) in pairs(record) {
        object.insert(key, JsonValue::String(value));
    }
    // The fixed members are inserted last, so that no pair can override them.
    let time = humantime::format_rfc3339_millis(time).to_string();
    let fixed = [
        ("time", time),
        ("level", record.level().to_string()),
        ("target", record.target().to_owned()),
        ("message", record.args().to_string()),
    ];
    for (key, value) in fixed {
        object.insert(key.to_owned(), JsonValue::String(value));
    }
    JsonValue::Object(object).to_string()
}

fn pairs(record: &Record<'_>) -> Vec<(String, String)> {
    let mut collector = PairCollector::default();
    // The collector's visit never fails.
    let _ = record.key_values().visit(&mut collector);
    collector.pairs
}

#[derive(Default)]
struct PairCollector {
    pairs: Vec<(String, String)>,
}

impl<'kvs> VisitSource<'kvs> for PairCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.pairs.push((key.to_string(), value.to_string()));
        Ok(())
    }
}
