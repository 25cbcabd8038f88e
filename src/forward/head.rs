//! Reads the head of a caller's request and builds the headers that are forwarded.

use std::time::{Duration, Instant};

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::request::Parts;

use crate::fleet::RequestSize;
use crate::ingress::EngineModel;
use crate::platform::names;
use crate::platform::prompt_parts::parse_shared_parts;

/// Parts of a caller's head that routing and limits depend on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct CallerHead {
    /// Id of the attempt, as sent by the caller.
    pub(super) id: String,
    /// Host name.
    pub(super) host: String,
    /// API key.
    pub(super) key: Option<String>,
    /// Time at which the caller stops waiting, if it sent one.
    pub(super) deadline: Option<Instant>,
}

impl CallerHead {
    pub(super) fn read(parts: &Parts, now: Instant) -> Self {
        let text = |name: &str| {
            let value = parts.headers.get(name)?;
            value.to_str().ok()
        };
        let wait = text(names::DEADLINE_MS).and_then(|value| value.trim().parse::<f64>().ok());
        let wait = wait.filter(|wait| !wait.is_nan());
        let authority = parts.uri.authority().map(http::uri::Authority::as_str);
        let bearer = |value: &str| {
            let (scheme, key) = value.split_once(' ')?;
            scheme
                .eq_ignore_ascii_case("bearer")
                .then(|| key.trim().to_owned())
        };
        Self {
            id: text(names::ATTEMPT_ID).unwrap_or_default().to_owned(),
            host: text("host").or(authority).unwrap_or_default().to_owned(),
            key: text("authorization").and_then(bearer),
            deadline: wait.map(|wait| now + milliseconds(wait)),
        }
    }
}

/// Converts milliseconds to a duration of at most a day, so that sums of times do not
/// overflow.
fn milliseconds(wait: f64) -> Duration {
    const DAY_MS: f64 = 86_400_000.0;
    Duration::from_secs_f64(wait.clamp(0.0, DAY_MS) / 1000.0)
}

/// Headers that concern one connection only, or that only this system may set.
const NOT_FORWARDED: [&str; 16] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "authorization",
    names::ORGANISATION,
    names::TARGET_INSTANCE,
    names::ENGINE_PATH,
    names::DEADLINE_MS,
];

/// Returns the headers of a request or a response that are passed on to the other side.
pub(super) fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok());
    let named = named
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_lowercase());
    let named = named.collect::<Vec<_>>();
    let passes = |name: &HeaderName| {
        let name = name.as_str();
        !NOT_FORWARDED.contains(&name)
            && name != names::URGENCY_CLASS
            && name != names::ASSUMED_VERSION
            && !named.iter().any(|listed| listed == name)
    };
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if passes(name) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Returns the expected size of a request, from the counts and the hint in its headers.
/// The model's usual sizes replace missing ones.
pub(super) fn request_size(headers: &HeaderMap, model: &EngineModel) -> RequestSize {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let counts = text(names::TOKEN_COUNTS).and_then(|value| value.split_once(','));
    let number = |value: &str| value.trim().parse::<u32>().ok();
    let prompt = counts.and_then(|(prompt, _)| number(prompt));
    let max_answer = counts
        .and_then(|(_, max_answer)| number(max_answer))
        .unwrap_or(u32::MAX);
    let hint = text(names::LENGTH_HINT).and_then(number);
    RequestSize {
        prompt: prompt.unwrap_or(model.usual_prompt),
        answer: hint.unwrap_or(model.usual_answer).min(max_answer),
    }
}

/// Maximum number of shared parts of a prompt that are told apart, a bound on the work and
/// the memory that one request takes. Further parts are ignored.
const MAX_SHARED_PARTS: usize = 32;

/// Returns the ids of the parts of the prompt that other requests may share, in their order
/// and each once.
pub(super) fn shared_parts(headers: &HeaderMap) -> Vec<String> {
    let mut ids: Vec<String> = Vec::new();
    for part in parse_shared_parts(headers) {
        let id = part.id.trim_start_matches('0').to_ascii_lowercase();
        if ids.len() < MAX_SHARED_PARTS && !ids.contains(&id) {
            ids.push(id);
        }
    }
    ids
}

/// Converts a number to a header value.
pub(super) fn number_value(number: u128) -> HeaderValue {
    let number = u64::try_from(number).unwrap_or(u64::MAX);
    HeaderValue::from(number)
}
