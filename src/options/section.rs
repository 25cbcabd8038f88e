//! Reads values from one table of a settings file and collects all mistakes.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toml::{Table, Value};

use super::range::{DurationRange, NumberRange};
use super::{DocumentedKey, OptionMistake};

/// Maximum length of the name of a host, availability zone or operator, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Legal form of a name.
const NAME_FORM: &str = "1 to 64 letters, digits, '-', '_' or '.'";
/// Legal form of an address to listen on.
const ADDRESS_FORM: &str = "an IP address and port, such as \"127.0.0.1:8080\"";

/// Legal form of an address to connect to.
const REMOTE_FORM: &str =
    "an IP address and port that can be connected to, such as \"192.0.2.1:8080\"";

/// Reader of one table: a section or an entry of a list.
///
/// The getters report a mistake and return `None`, so that the other keys of the section
/// are still checked.
pub(super) struct SectionReader<'t> {
    path: String,
    table: &'t Table,
    requested: Vec<DocumentedKey>,
    nested: Vec<DocumentedKey>,
    mistakes: Vec<OptionMistake>,
}

impl<'t> SectionReader<'t> {
    /// Creates a reader of a table.
    pub(super) fn new(path: String, table: &'t Table) -> Self {
        Self {
            path,
            table,
            requested: Vec::new(),
            nested: Vec::new(),
            mistakes: Vec::new(),
        }
    }

    /// Reads a duration with a unit.
    pub(super) fn duration(&mut self, key: &'static str, range: DurationRange) -> Option<Duration> {
        let [min, max] = [range.min, range.max].map(humantime::format_duration);
        let legal = format!("a duration from \"{min}\" to \"{max}\"");
        self.optional(key, &legal, range.default, |value| {
            let duration = humantime::parse_duration(value.as_str()?).ok()?;
            range.check(duration)
        })
    }

    /// Reads an integer.
    pub(super) fn integer<N>(&mut self, key: &'static str, range: NumberRange<N>) -> Option<N>
    where
        N: Copy + PartialOrd + Display + TryFrom<i64>,
    {
        let legal = format!("a whole number from {} to {}", range.min, range.max);
        self.optional(key, &legal, range.default, |value| {
            let number = N::try_from(value.as_integer()?).ok()?;
            range.check(number)
        })
    }

    /// Reads a floating-point number.
    pub(super) fn fraction(&mut self, key: &'static str, range: NumberRange<f64>) -> Option<f64> {
        let legal = format!("a number from {:?} to {:?}", range.min, range.max);
        self.optional(key, &legal, range.default, |value| {
            let from_integer = value.as_integer().map(|number| number as f64);
            range.check(value.as_float().or(from_integer)?)
        })
    }

    /// Reads a required name.
    pub(super) fn name(&mut self, key: &'static str) -> Option<Arc<str>> {
        self.required(key, NAME_FORM, |value| {
            let name = value.as_str()?;
            is_name(name).then(|| Arc::from(name))
        })
    }

    /// Reads a required IP address and port.
    pub(super) fn address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.required(key, ADDRESS_FORM, parse_address)
    }

    /// Reads a required IP address and port to connect to.
    pub(super) fn remote_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        self.required(key, REMOTE_FORM, parse_remote)
    }

    /// Reads an optional IP address and port to connect to.
    pub(super) fn optional_remote_address(
        &mut self,
        key: &'static str,
    ) -> Option<Option<SocketAddr>> {
        self.optional(key, REMOTE_FORM, None, |value| {
            parse_remote(value).map(Some)
        })
    }

    /// Reads an optional value.
    pub(super) fn optional<T, F>(
        &mut self,
        key: &'static str,
        legal: &str,
        default: T,
        parse: F,
    ) -> Option<T>
    where
        F: FnOnce(&Value) -> Option<T>,
    {
        match self.lookup(key, legal) {
            None => Some(default),
            Some(value) => self.parse(key, legal, value, parse),
        }
    }

    /// Reads a required value.
    pub(super) fn required<T, F>(&mut self, key: &'static str, legal: &str, parse: F) -> Option<T>
    where
        F: FnOnce(&Value) -> Option<T>,
    {
        match self.lookup(key, legal) {
            None => {
                self.report_missing(key, legal);
                None
            }
            Some(value) => self.parse(key, legal, value, parse),
        }
    }

    /// Reads a required value that must not appear in a mistake.
    pub(super) fn secret<T, F>(&mut self, key: &'static str, legal: &str, parse: F) -> Option<T>
    where
        F: FnOnce(&Value) -> Option<T>,
    {
        // The value may be a token pasted in place of its digest. If it were shown, it
        // would end up in the log of the program that started the daemon.
        let parsed = self.required(key, legal, |value| Some(parse(value)))?;
        if parsed.is_none() {
            self.report_conflict(key, "the value", legal);
        }
        parsed
    }

    /// Reads a list of tables; a missing list counts as empty.
    pub(super) fn list<T, F>(&mut self, key: &'static str, mut read: F) -> Option<Vec<T>>
    where
        F: FnMut(&mut SectionReader<'_>) -> Option<T>,
    {
        let legal = "a list of tables";
        let entries = match self.lookup(key, legal) {
            None => return Some(Vec::new()),
            Some(Value::Array(entries)) => entries,
            Some(other) => {
                self.report_bad_value(key, other, legal);
                return None;
            }
        };
        let values = entries
            .iter()
            .enumerate()
            .map(|(index, entry)| self.entry(key, index, entry, &mut read))
            .collect::<Vec<_>>();
        values.into_iter().collect()
    }

    /// Reports a missing key that has no default.
    pub(super) fn report_missing(&mut self, key: &str, legal: &str) {
        self.mistakes.push(OptionMistake::Missing {
            key: self.key_path(key),
            legal: legal.to_owned(),
        });
    }

    /// Reports a value that conflicts with another value.
    pub(super) fn report_conflict<V>(&mut self, key: &str, found: &V, legal: &str)
    where
        V: Display + ?Sized,
    {
        self.mistakes.push(OptionMistake::BadValue {
            key: self.key_path(key),
            found: found.to_string(),
            legal: legal.to_owned(),
        });
    }

    fn entry<T, F>(
        &mut self,
        key: &'static str,
        index: usize,
        entry: &Value,
        read: &mut F,
    ) -> Option<T>
    where
        F: FnMut(&mut SectionReader<'_>) -> Option<T>,
    {
        let path = format!("{}[{index}]", self.key_path(key));
        let Value::Table(table) = entry else {
            self.mistakes.push(bad_value(&path, entry, "a table"));
            return None;
        };
        let mut section = SectionReader::new(path, table);
        let value = read(&mut section);
        section.finish(&mut self.nested, &mut self.mistakes);
        value
    }

    fn lookup(&mut self, key: &'static str, legal: &str) -> Option<&'t Value> {
        self.requested.push(DocumentedKey {
            section: self.path.clone(),
            key,
            legal: legal.to_owned(),
        });
        self.table.get(key)
    }

    fn parse<T, F>(&mut self, key: &str, legal: &str, value: &Value, parse: F) -> Option<T>
    where
        F: FnOnce(&Value) -> Option<T>,
    {
        let parsed = parse(value);
        if parsed.is_none() {
            self.report_bad_value(key, value, legal);
        }
        parsed
    }

    fn report_bad_value(&mut self, key: &str, found: &Value, legal: &str) {
        let mistake = bad_value(&self.key_path(key), found, legal);
        self.mistakes.push(mistake);
    }

    fn key_path(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }

    /// Finishes the table: keys that were not looked up are reported as unknown.
    pub(super) fn finish(
        mut self,
        documented: &mut Vec<DocumentedKey>,
        mistakes: &mut Vec<OptionMistake>,
    ) {
        let names = self.requested.iter().map(|requested| requested.key);
        let known = names.collect::<Vec<_>>();
        let unknown = self
            .table
            .keys()
            .filter(|key| !known.contains(&key.as_str()));
        for key in unknown {
            self.mistakes.push(OptionMistake::UnknownKey {
                key: self.key_path(key),
                known: known.join(", "),
            });
        }
        documented.append(&mut self.requested);
        documented.append(&mut self.nested);
        mistakes.append(&mut self.mistakes);
    }
}

fn is_name(name: &str) -> bool {
    let legal = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(legal)
}

fn parse_address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

fn parse_remote(value: &Value) -> Option<SocketAddr> {
    let address = parse_address(value)?;
    (address.port() != 0 && !address.ip().is_unspecified()).then_some(address)
}

/// Creates the mistake of an illegal value.
pub(super) fn bad_value(key: &str, found: &Value, legal: &str) -> OptionMistake {
    OptionMistake::BadValue {
        key: key.to_owned(),
        found: display_value(found),
        legal: legal.to_owned(),
    }
}

/// Formats a value for a mistake.
fn display_value(value: &Value) -> String {
    match value {
        Value::Table(_) => "a table".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        scalar => scalar.to_string(),
    }
}
