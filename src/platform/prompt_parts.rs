//! Format of the header that lists the parts of a request's prompt.

use http::HeaderMap;

use crate::platform::names;

/// A part of a prompt, as its request lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart<'a> {
    /// Id in hexadecimal digits, equal in all requests that share the part except for case
    /// and leading zeros.
    pub id: &'a str,
    /// Length in tokens.
    pub tokens: u32,
}

/// Parses the parts of a request's prompt that other requests may share, in their order:
/// all but the last one, which belongs to the request itself or to its session. Entries that
/// are not in the format are left out.
pub fn parse_shared_parts(headers: &HeaderMap) -> Vec<PromptPart<'_>> {
    let values = headers.get_all(names::PROMPT_PREFIX).iter();
    let values = values.filter_map(|value| value.to_str().ok());
    let mut entries = values
        .flat_map(|value| value.split(','))
        .collect::<Vec<_>>();
    entries.pop();
    entries.into_iter().filter_map(parse_part).collect()
}

fn parse_part(entry: &str) -> Option<PromptPart<'_>> {
    let (id, tokens) = entry.trim().split_once(':')?;
    let is_hex = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_hexdigit());
    let tokens = tokens.parse().ok()?;
    is_hex.then_some(PromptPart { id, tokens })
}
