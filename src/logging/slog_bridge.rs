//! Forwards dropshot's `slog` records to `log`.

use std::fmt;

use log::kv::Value;
use log::{Level, Metadata, RecordBuilder};
use slog::{Drain, KV, Logger, Never, OwnedKVList, Serializer, o};

use super::REQUEST_KEY;

/// Key under which dropshot logs the id of a request.
const DROPSHOT_REQUEST_KEY: &str = "req_id";

/// Returns a logger for dropshot that writes to the process's `log` logger.
pub fn dropshot_logger() -> Logger {
    Logger::root(LogDrain, o!())
}

/// Forwards each record to the process's `log` logger.
struct LogDrain;

impl Drain for LogDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &slog::Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let metadata = Metadata::builder()
            .level(log_level(record.level()))
            .target(record.module())
            .build();
        if metadata.level() > log::max_level() || !log::logger().enabled(&metadata) {
            return Ok(());
        }
        let collector = collect(record, values);
        let pairs = collector.pairs.iter();
        let pairs = pairs.map(|(key, value)| (key.as_str(), Value::from(value.as_str())));
        let pairs = pairs.collect::<Vec<_>>();
        log::logger().log(
            &RecordBuilder::new()
                .metadata(metadata)
                .args(*record.msg())
                .key_values(&pairs)
                .build(),
        );
        Ok(())
    }
}

fn log_level(level: slog::Level) -> Level {
    match level {
        slog::Level::Critical | slog::Level::Error => Level::Error,
        slog::Level::Warning => Level::Warn,
        slog::Level::Info => Level::Info,
        slog::Level::Debug => Level::Debug,
        slog::Level::Trace => Level::Trace,
    }
}

fn collect(record: &slog::Record<'_>, values: &OwnedKVList) -> PairSerializer {
    let mut serializer = PairSerializer::default();
    // A value that fails to format is omitted, so that the rest of the line is still
    // written.
    let _ = values.serialize(record, &mut serializer);
    let _ = record.kv().serialize(record, &mut serializer);
    serializer
}

#[derive(Default)]
struct PairSerializer {
    pairs: Vec<(String, String)>,
}

impl Serializer for PairSerializer {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments<'_>) -> slog::Result {
        let name: &str = key.as_ref();
        let key = match name {
            DROPSHOT_REQUEST_KEY => REQUEST_KEY,
            other => other,
        };
        self.pairs.push((key.to_owned(), value.to_string()));
        Ok(())
    }
}
