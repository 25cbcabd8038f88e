//! Headers of targets whose value is one number.

use http::HeaderMap;

/// Content of a header whose value should be one number.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum NumberHeader {
    /// The header is absent.
    Absent,
    /// The number as written, which may be any number.
    Number(f64),
    /// The header is repeated or not a number.
    Unreadable,
}

/// Parses the header `name` of a response.
pub fn parse_number_header(headers: &HeaderMap, name: &str) -> NumberHeader {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => NumberHeader::Absent,
        (Some(value), None) => {
            let text = value.to_str().unwrap_or_default();
            let number = text.trim().parse().ok();
            number.map_or(NumberHeader::Unreadable, NumberHeader::Number)
        }
        _ => NumberHeader::Unreadable,
    }
}
