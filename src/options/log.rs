//! Section `[log]`: log level and format.

use log::LevelFilter;

use super::section::SectionReader;

const DEFAULT_LEVEL: LevelFilter = LevelFilter::Info;

/// Log level and format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogOptions {
    /// Lowest level that is written.
    pub level: LevelFilter,
    /// Format of a log line.
    pub format: LogFormat,
}

/// Format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LogFormat {
    /// Readable text on one line.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

pub(super) fn read(section: &mut SectionReader<'_>) -> Option<LogOptions> {
    let levels = "one of \"off\", \"error\", \"warn\", \"info\", \"debug\", \"trace\"";
    let level = section.optional("level", levels, DEFAULT_LEVEL, |value| {
        value.as_str()?.parse().ok()
    });
    let formats = "one of \"text\", \"json\"";
    let format = section.optional("format", formats, LogFormat::default(), |value| match value
        .as_str()?
    {
        "text" => Some(LogFormat::Text),
        "json" => Some(LogFormat::Json),
        _ => None,
    });
    Some(LogOptions {
        level: level?,
        format: format?,
    })
}
