//! The header in which a target states its limit on the rate of requests.

use http::HeaderMap;

use crate::platform::names;

/// Content of the limit header of a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitHeader {
    /// The header is absent.
    Absent,
    /// Requests per second as written, which may be any number.
    PerSecond(f64),
    /// The header is repeated or not a number.
    Unreadable,
}

/// Parses the limit header of a response.
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
