//! Headers of a call and their validation.

use std::sync::Arc;

use schemars::JsonSchema;
use serde::Deserialize;
use uuid::Uuid;

use super::wire::RefusalBody;
use crate::ids::{IdempotencyKey, RequestId};
use crate::reason::RefusalReason;

/// Maximum length of a request id or idempotency key, in bytes.
const MAX_LABEL_BYTES: usize = 128;

/// The headers of a call as documented.
#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct CallHeaders {
    /// `Bearer` and the organisation's token.
    pub(super) authorization: Option<String>,
    /// Key that identifies repeats of a non-idempotent request: a quoted string, or the
    /// bare key of 1 to 128 visible ASCII characters.
    #[serde(rename = "idempotency-key")]
    idempotency_key: Option<String>,
    /// `true` if the request may run at most once; `false` if absent.
    #[serde(rename = "x-non-idempotent")]
    non_idempotent: Option<String>,
    /// Request id chosen by the caller: 1 to 128 visible ASCII characters.
    #[serde(rename = "x-request-id")]
    request_id: Option<String>,
}

/// Validated headers of a call.
#[derive(Debug, Clone)]
pub(super) struct CallHead {
    /// Request id.
    pub(super) request: RequestId,
    /// Whether the request may run at most once.
    pub(super) non_idempotent: bool,
    /// Key that identifies repeats of the request.
    pub(super) key: Option<IdempotencyKey>,
}

impl CallHeaders {
    /// Returns the caller's request id, or a new one if it gave none.
    ///
    /// # Errors
    /// Returns a refusal if the caller's id cannot be used in headers and log lines.
    pub(super) fn request(&self) -> Result<RequestId, RefusalBody> {
        match self.request_id.as_deref() {
            None => Ok(Uuid::new_v4().to_string().into()),
            Some(text) if is_label(text) => Ok(text.into()),
            Some(_) => Err(malformed(
                "x-request-id must be 1 to 128 visible ASCII characters",
            )),
        }
    }

    /// Relates these headers to the id that the HTTP library logs.
    ///
    /// A call without an id gets the library's, so that all log lines of the request have
    /// the same id; if the caller gave one, a log line connects the two.
    #[must_use]
    pub(super) fn with_library_id(mut self, library_id: &str) -> Self {
        match &self.request_id {
            None => self.request_id = Some(library_id.to_owned()),
            Some(caller_id) if is_label(caller_id) => {
                log::info!(request:% = caller_id; "request id of the HTTP library: {library_id}");
            }
            Some(_) => {}
        }
        self
    }

    /// Validates the remaining headers of the call.
    ///
    /// # Errors
    /// Returns a refusal that names the header.
    pub(super) fn head(&self, request: RequestId) -> Result<CallHead, RefusalBody> {
        Ok(CallHead {
            request,
            non_idempotent: self.non_idempotent()?,
            key: self.key()?,
        })
    }

    fn non_idempotent(&self) -> Result<bool, RefusalBody> {
        match self.non_idempotent.as_deref() {
            None | Some("false") => Ok(false),
            Some("true") => Ok(true),
            // If any other value meant "false", a misspelt "true" would allow a request
            // to be repeated that the caller wants to run at most once.
            Some(_) => Err(malformed("x-non-idempotent must be true or false")),
        }
    }

    fn key(&self) -> Result<Option<IdempotencyKey>, RefusalBody> {
        let Some(text) = self.idempotency_key.as_deref() else {
            return Ok(None);
        };
        let key = match text.starts_with('"') {
            true => unquote(text),
            false => Some(text.to_owned()),
        };
        match key {
            Some(key) if is_label(&key) => Ok(Some(Arc::from(key))),
            _ => Err(malformed(
                "Idempotency-Key must be a quoted string or 1 to 128 visible ASCII characters",
            )),
        }
    }
}

/// Returns whether a text can be used unescaped in headers, log lines and records.
pub(super) fn is_label(text: &str) -> bool {
    let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
    visible && (1..=MAX_LABEL_BYTES).contains(&text.len())
}

/// Parses a structured-field string, in which only `"` and `\` may be escaped.
fn unquote(text: &str) -> Option<String> {
    let quoted = text.strip_prefix('"')?.strip_suffix('"')?;
    let mut unescaped = String::with_capacity(quoted.len());
    let mut characters = quoted.chars();
    while let Some(character) = characters.next() {
        match character {
            '"' => return None,
            '\\' => unescaped.push(
                characters
                    .next()
                    .filter(|next| matches!(next, '"' | '\\'))?,
            ),
            other => unescaped.push(other),
        }
    }
    Some(unescaped)
}

/// Creates the refusal of a malformed call.
pub(super) fn malformed(message: &str) -> RefusalBody {
    RefusalBody::not_run(RefusalReason::Malformed, message)
}
