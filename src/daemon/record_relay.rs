//! Relays log records to peers and fetches them from peers.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::activation::activate_declarations;
use super::core::DaemonCore;
use super::declarations::apply_record;
use crate::membership::MemberPhase;
use crate::peer::{PeerHandle, RecordsRequest, RelayedRange};
use crate::records::DECLARATION_STREAM;
use crate::replay::{DeclarationTable, RelayError, RelayRange};

/// Maximum number of records in one request to a peer.
const RELAY_LIMIT: u32 = 256;
/// How long the log may take to deliver records that a peer already has, before they are
/// requested from the peer.
const LOG_HEAD_START: Duration = Duration::from_millis(300);

/// Handles a peer's request for records.
pub(super) fn relay_records(core: &DaemonCore, request: &RecordsRequest) -> RelayedRange {
    if request.stream != DECLARATION_STREAM {
        return RelayedRange::default();
    }
    let declarations = core.tables.declarations.read();
    let relay = core.tables.relay.lock();
    let limit = request.limit.min(RELAY_LIMIT) as usize;
    let range = relay.range(request.from, limit, &declarations);
    RelayedRange {
        first_offset: range.first_offset,
        end_offset: range.end_offset,
        records: range.records,
        checkpoint: range.checkpoint,
    }
}

/// Fetches records from peers that the log does not deliver, until the daemon ends.
///
/// Without this, a zone that is cut off from the platform but not from its peers would
/// keep an old configuration while the other zones move on.
pub(super) async fn run_catch_up(core: Arc<DaemonCore>) {
    loop {
        core.peer_ahead.notified().await;
        tokio::time::sleep(LOG_HEAD_START).await;
        catch_up_from_peers(&core).await;
    }
}

/// Fetches records from the live peers that are ahead, beginning with the highest offset.
pub(super) async fn catch_up_from_peers(core: &Arc<DaemonCore>) {
    let Some(peers) = core.peers() else {
        return;
    };
    for peer in peers_ahead(core) {
        follow_peer(core, peers, peer).await;
    }
}

/// Returns the live peers that have applied more than this host, highest offset first.
///
/// A peer may send heartbeats and still not respond, if only the path back is cut. If
/// only the most advanced peer were queried, this host would stay behind for as long.
fn peers_ahead(core: &DaemonCore) -> Vec<SocketAddr> {
    let applied = core.tables.declarations.read().applied();
    let membership = core.tables.membership.lock();
    let mut ahead: Vec<_> = membership
        .members()
        .filter(|member| member.phase == MemberPhase::Live && member.applied_offset > applied)
        .map(|member| (Reverse(member.applied_offset), member.peer_address))
        .collect();
    ahead.sort_unstable();
    ahead.into_iter().map(|(_, address)| address).collect()
}

/// Fetches all records that one peer has.
async fn follow_peer(core: &DaemonCore, peers: &PeerHandle, peer: SocketAddr) {
    loop {
        let from = core.tables.declarations.read().applied();
        let request = RecordsRequest {
            stream: DECLARATION_STREAM.to_owned(),
            from,
            limit: RELAY_LIMIT,
        };
        let range = match peers.records(peer, request).await {
            Ok(range) => range,
            Err(error) => {
                log::debug!("request for records to peer {peer} failed: {error}");
                return;
            }
        };
        if follow_range(core, range) <= from {
            return;
        }
    }
}

/// Applies the records from a peer and returns the offset reached.
fn follow_range(core: &DaemonCore, range: RelayedRange) -> u64 {
    let reached = {
        let mut declarations = core.tables.declarations.write();
        if let Err(error) = apply_range(core, &mut declarations, range) {
            log::error!("records from a peer cannot be applied: {error}");
        }
        declarations.applied()
    };
    activate_declarations(core);
    reached
}

fn apply_range(
    core: &DaemonCore,
    declarations: &mut DeclarationTable,
    range: RelayedRange,
) -> Result<(), RelayError> {
    let records = range.records;
    declarations.apply_range(&RelayRange {
        first_offset: range.first_offset,
        end_offset: range.end_offset,
        checkpoint: range.checkpoint,
        records: Vec::new(),
    })?;
    // Judged like records from the log: a host that cannot read the log must also report
    // a checkpoint that differs.
    for record in &records {
        apply_record(core, declarations, record)?;
    }
    Ok(())
}
