//! Logging through `log` and `fern`, as text or JSON.
//!
//! A line about a request carries the request's id as the key-value pair `request`:
//! `log::info!(request:% = id; "answered")`. Tokens are never passed to a log macro, not
//! even as digests.

mod bounded_writer;
mod format;
mod slog_bridge;

use std::io::Write;

use log::{LevelFilter, Log, SetLoggerError};

use crate::options::{LogFormat, LogOptions};

pub use bounded_writer::{BoundedWriter, LogFlusher};

pub use slog_bridge::dropshot_logger;

/// Key of the request id in log lines.
pub const REQUEST_KEY: &str = "request";

/// Installs a logger to standard error for the whole process.
///
/// # Errors
/// Returns an error if a logger is already installed.
pub fn install(options: LogOptions) -> Result<(), SetLoggerError> {
    let (level, logger) = logger_to(options, std::io::stderr());
    log::set_boxed_logger(logger)?;
    log::set_max_level(level);
    Ok(())
}

/// Installs a JSON logger to standard output, through a bounded queue that never blocks.
/// Returns the handle by which the last lines are written before the process ends.
///
/// # Errors
/// Returns an error if a logger is already installed.
pub fn install_bounded() -> Result<LogFlusher, SetLoggerError> {
    let options = LogOptions {
        level: LevelFilter::Info,
        format: LogFormat::Json,
    };
    let writer = BoundedWriter::spawn(std::io::stdout());
    let flusher = writer.flusher();
    let (level, logger) = logger_to(options, writer);
    log::set_boxed_logger(logger)?;
    log::set_max_level(level);
    Ok(flusher)
}

/// Returns a logger that writes to `writer`, and the level that it needs.
pub fn logger_to<W>(options: LogOptions, writer: W) -> (LevelFilter, Box<dyn Log>)
where
    W: Write + Send + 'static,
{
    let writer: Box<dyn Write + Send> = Box::new(writer);
    fern::Dispatch::new()
        .level(options.level)
        .format(move |line, _, record| {
            let time = std::time::SystemTime::now();
            let text = format::format_record(options.format, record, time);
            line.finish(format_args!("{text}"));
        })
        .chain(writer)
        .into_log()
}
