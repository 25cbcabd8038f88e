//! Tells a complete response without length and chunks from one whose target crashed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use http::header::{self, HeaderMap, HeaderValue};

use super::closed::is_closed;
use super::tables::ServingTables;
use crate::ids::TargetId;

/// Returns whether the body of a response has neither a length nor chunks, so that its end
/// is the end of its connection. Of several transfer codings the last one frames the body, and
/// a length beside one does not apply.
pub(super) fn ends_with_connection(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match codings.next_back() {
        Some(codings) => !is_chunked(codings),
        None => !headers.contains_key(header::CONTENT_LENGTH),
    }
}

fn is_chunked(codings: &HeaderValue) -> bool {
    let last = codings.as_bytes().rsplit(|byte| *byte == b',').next();
    last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}

/// Returns whether the process of a target has ended, although it did not state that it was
/// leaving. The system closes the connections of a process that crashes in the same way as a
/// target that has sent a complete response.
pub(super) async fn has_crashed(
    tables: &Arc<ServingTables>,
    target: &TargetId,
    address: SocketAddr,
) -> bool {
    let is_staying = {
        let fleet = tables.fleet.lock();
        let state = fleet.get(target);
        state.is_some_and(|state| !state.is_leaving())
    };
    is_staying && is_closed(tables, target, address, Instant::now()).await
}
