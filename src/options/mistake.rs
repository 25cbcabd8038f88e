//! What can be wrong with a settings file.

use std::fmt;

/// One mistake in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OptionMistake {
    /// The text is not TOML.
    #[error("line {line}: not valid TOML: {message}")]
    Syntax {
        /// Line, from one.
        line: usize,
        /// The cause.
        message: String,
    },
    /// A key that does not exist.
    #[error("{key}: unknown key, known here: {known}")]
    UnknownKey {
        /// Path of the key.
        key: String,
        /// Keys that exist in its place, separated by commas.
        known: String,
    },
    /// A required key is absent.
    #[error("{key}: missing, expected {legal}")]
    Missing {
        /// Path of the key.
        key: String,
        /// The legal range.
        legal: String,
    },
    /// A value has the wrong type or lies outside its legal range.
    #[error("{key}: {found} is not allowed, expected {legal}")]
    BadValue {
        /// Path of the key.
        key: String,
        /// The value as written.
        found: String,
        /// The legal range.
        legal: String,
    },
}

/// Every mistake that a settings file has.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct OptionsError {
    /// The mistakes, in the order of the sections, then those between
    /// two sections; at least one.
    pub mistakes: Vec<OptionMistake>,
}

impl OptionsError {
    /// The parser's own text is not used whole: it quotes the line, which may
    /// hold a token.
    pub(super) fn syntax(text: &str, error: &toml::de::Error) -> Self {
        let start = error.span().map_or(0, |span| span.start);
        let before = text.get(..start).unwrap_or(text);
        let line = 1 + before.matches('\n').count();
        let message = error.message().to_owned();
        Self {
            mistakes: vec![OptionMistake::Syntax { line, message }],
        }
    }
}

impl fmt::Display for OptionsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.mistakes.len();
        let noun = if count == 1 { "mistake" } else { "mistakes" };
        write!(formatter, "{count} {noun}:")?;
        for mistake in &self.mistakes {
            write!(formatter, "\n  {mistake}")?;
        }
        Ok(())
    }
}
