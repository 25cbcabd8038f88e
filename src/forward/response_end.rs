//! Tells a complete response without length and chunks from one whose target ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::header::{self, HeaderMap, HeaderValue};

use super::closed::{PortState, port_state};
use super::tables::ServingTables;
use crate::ids::TargetId;

/// Time within which the system closes the sockets of a process that has ended, one after the
/// other. A socket that is open or accepts connections before that shows nothing.
const PROCESS_END_TIME: Duration = Duration::from_millis(20);

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

/// Returns whether a response that ended with its connection may be truncated. The system
/// closes the connections of a process that ends in the same way as a target that has sent a
/// complete response, so that a response counts as complete only if its target is known to
/// live.
pub(super) async fn may_be_truncated(
    tables: &Arc<ServingTables>,
    target: &TargetId,
    address: SocketAddr,
) -> bool {
    tokio::time::sleep(PROCESS_END_TIME).await;
    let port = port_state(tables, target, address, Instant::now()).await;
    let is_staying = {
        let fleet = tables.fleet.lock();
        let state = fleet.get(target);
        state.is_some_and(|state| !state.is_leaving())
    };
    let has_connections = tables.pending_reads(target).any();
    !is_alive(port, is_staying, has_connections)
}

/// Returns whether a target is known to live. One that is leaving may take no connections and
/// complete its requests, and a host may have lost its links for new connections alone: another
/// open connection to the target shows then that its process has not ended.
fn is_alive(port: PortState, is_staying: bool, has_connections: bool) -> bool {
    match port {
        PortState::Listening => true,
        PortState::Closed if is_staying => false,
        PortState::Closed | PortState::Unknown => has_connections,
    }
}
