//! Reads the sections of a parsed settings file.

use toml::{Table, Value};

use super::OptionMistake;
use super::section::{SectionReader, bad_value};

/// A key that a settings file may contain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentedKey {
    /// Section or list that contains it, such as `timing` or `peers.seeds`.
    pub section: String,
    /// Name within the section.
    pub key: &'static str,
    /// Description of the legal range.
    pub legal: String,
}

/// Reader of a whole file.
pub(super) struct FileReader<'t> {
    table: &'t Table,
    sections: Vec<&'static str>,
    documented: Vec<DocumentedKey>,
    mistakes: Vec<OptionMistake>,
}

impl<'t> FileReader<'t> {
    /// Creates a reader of a parsed file.
    pub(super) fn new(table: &'t Table) -> Self {
        Self {
            table,
            sections: Vec::new(),
            documented: Vec::new(),
            mistakes: Vec::new(),
        }
    }

    /// Reads a section; a missing section counts as empty.
    pub(super) fn section<T, F>(&mut self, name: &'static str, read: F) -> Option<T>
    where
        F: FnOnce(&mut SectionReader<'_>) -> Option<T>,
    {
        self.sections.push(name);
        let empty = Table::new();
        let table = match self.table.get(name) {
            None => &empty,
            Some(Value::Table(table)) => table,
            Some(other) => {
                self.mistakes.push(bad_value(name, other, "a table"));
                return None;
            }
        };
        let mut section = SectionReader::new(name.to_owned(), table);
        let value = read(&mut section);
        section.finish(&mut self.documented, &mut self.mistakes);
        value
    }

    /// Reports a value that conflicts with a value of another section.
    pub(super) fn report_conflict(&mut self, key: &str, found: String, legal: String) {
        let key = key.to_owned();
        self.mistakes
            .push(OptionMistake::BadValue { key, found, legal });
    }

    /// Returns all mistakes, including unknown sections.
    pub(super) fn finish(mut self) -> Vec<OptionMistake> {
        let known = self.sections.join(", ");
        for key in self.table.keys() {
            if !self.sections.contains(&key.as_str()) {
                self.mistakes.push(OptionMistake::UnknownKey {
                    key: key.clone(),
                    known: known.clone(),
                });
            }
        }
        self.mistakes
    }

    /// Returns every key that was looked up, whether or not it is present.
    pub(super) fn into_documented(self) -> Vec<DocumentedKey> {
        self.documented
    }
}
