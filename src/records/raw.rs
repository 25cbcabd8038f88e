//! Reading the text of a record whose rules may be newer than this program.

use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::{JUDGING_RULES, LogRecord};

/// The text of a record, as far as it can be read.
#[derive(Debug, Clone, PartialEq)]
pub enum RawRecord<B> {
    /// A record under rules that this program knows.
    Known(LogRecord<B>),
    /// A record under newer rules, whose body may have parts unknown here. It
    /// must stop the reader from judging, not pass for a malformed one.
    NewerRules,
    /// No record. All readers skip it alike.
    Malformed,
}

/// The part of a record that every version of the program can read.
#[derive(Deserialize)]
struct RulesPart {
    rules: u32,
}

impl<B> RawRecord<B>
where
    B: DeserializeOwned,
{
    /// Reads the text of a record.
    pub fn read(text: &str) -> Self {
        match serde_json::from_str::<RulesPart>(text) {
            Ok(part) if part.rules > JUDGING_RULES => Self::NewerRules,
            _ => serde_json::from_str(text).map_or(Self::Malformed, Self::Known),
        }
    }
}
