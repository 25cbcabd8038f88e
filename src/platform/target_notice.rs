//! What targets state about themselves in the heads of their responses.

use std::net::SocketAddr;

use http::{HeaderMap, header};

use crate::platform::names;
use crate::platform::number_header::{NumberHeader, parse_number_header};

/// The statements in the head of one response.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetNotice<'a> {
    /// Id of the attempt that the response belongs to.
    pub attempt: Option<&'a str>,
    /// Whether the target proves that it created the response.
    pub sealed: bool,
    /// Whether the body has an encoding, which no target applies.
    pub encoded: bool,
    /// Whether the target states that it did not run the request.
    pub not_executed: bool,
    /// Address of the engine at fault, if the target names one.
    pub at_fault: Option<SocketAddr>,
    /// Limit on requests per second from all hosts together.
    pub limit: NumberHeader,
    /// Time in seconds for which the target wants no requests of this host, if the
    /// response is a refusal.
    pub retry_after: NumberHeader,
    /// Whether the target states that it is leaving.
    pub leaving: bool,
}

/// Parses the statements in the head of a response.
pub fn parse_notice(headers: &HeaderMap) -> TargetNotice<'_> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    TargetNotice {
        attempt: text(names::ATTEMPT_ID),
        sealed: headers.contains_key(names::SERVER_SEAL),
        encoded: headers.contains_key(header::CONTENT_ENCODING),
        not_executed: text(names::NOT_EXECUTED).is_some(),
        at_fault: text(names::AT_SERVER).and_then(|value| value.trim().parse().ok()),
        limit: parse_number_header(headers, names::SERVER_LIMIT),
        retry_after: parse_number_header(headers, header::RETRY_AFTER.as_str()),
        leaving: text(names::SERVER_LEAVING).map(str::trim) == Some(names::LEAVING),
    }
}
