//! The header in which a target names the rate of requests that it takes.

use http::HeaderMap;

use crate::platform::names;

/// What the head of an answer says of the target's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitHeader {
    /// Nothing.
    Absent,
    /// Requests a second, as written: any number at all.
    PerSecond(f64),
    /// Something else than one number.
    Unreadable,
}

/// Reads the head of an answer.
pub fn parse_limit_header(headers: &HeaderMap) -> LimitHeader {
    let mut values = headers.get_all(names::SERVER_LIMIT).iter();
    match (values.next(), values.next()) {
        (None, _) => LimitHeader::Absent,
        (Some(value), None) => {
            let text = value.to_str().unwrap_or_default();
            let rate = text.trim().parse().ok();
            rate.map_or(LimitHeader::Unreadable, LimitHeader::PerSecond)
        }
        _ => LimitHeader::Unreadable,
    }
}
