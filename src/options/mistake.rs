//! Mistakes in a settings file.

use std::fmt;

/// A mistake in a settings file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum OptionMistake {
    /// The text is not TOML.
    #[error("line {line}: not valid TOML: {message}")]
    Syntax {
        /// Line number, from one.
        line: usize,
        /// Message of the parser.
        message: String,
    },
    /// The key does not exist.
    #[error("{key}: unknown key, known here: {known}")]
    UnknownKey {
        /// Path of the key.
        key: String,
        /// Valid keys of the same table, separated by commas.
        known: String,
    },
    /// A required key is missing.
    #[error("{key}: missing, expected {legal}")]
    Missing {
        /// Path of the key.
        key: String,
        /// The legal range.
        legal: String,
    },
    /// A value has the wrong type or is outside its legal range.
    #[error("{key}: {found} is not allowed, expected {legal}")]
    BadValue {
        /// Path of the key.
        key: String,
        /// Value as written in the file.
        found: String,
        /// The legal range.
        legal: String,
    },
}

/// All mistakes of a settings file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct OptionsError {
    /// Mistakes in the order of the sections, followed by those that concern two
    /// sections; at least one.
    pub mistakes: Vec<OptionMistake>,
}

impl OptionsError {
    /// Creates the error of a syntax mistake. The parser's full text is not used, since
    /// it quotes the line, which may contain a token.
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
