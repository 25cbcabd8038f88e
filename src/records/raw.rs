//! Parses records whose rules may be newer than this program.

use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::{JUDGING_RULES, LogRecord};

/// A record, parsed as far as this program can.
#[derive(Debug, Clone, PartialEq)]
pub enum RawRecord<B> {
    /// A record whose rules version this program supports.
    Known(LogRecord<B>),
    /// A record of a newer rules version, whose body may have parts unknown to this
    /// program. It must stop the reader and must not be treated as malformed.
    NewerRules,
    /// Text that is not a record. All readers skip it.
    Malformed,
}

/// The part of a record that every program version can parse.
#[derive(Deserialize)]
struct RulesPart {
    rules: u32,
}

impl<B> RawRecord<B>
where
    B: DeserializeOwned,
{
    /// Parses the text of a record.
    pub fn read(text: &str) -> Self {
        match serde_json::from_str::<RulesPart>(text) {
            Ok(part) if part.rules > JUDGING_RULES => Self::NewerRules,
            _ => serde_json::from_str(text).map_or(Self::Malformed, Self::Known),
        }
    }
}
