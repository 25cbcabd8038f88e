//! Passing log records on to peers, and taking them from peers.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::core::DaemonCore;
use super::declarations::apply_record;
use super::in_force::put_in_force;
use crate::membership::MemberPhase;
use crate::peer::{PeerHandle, RecordsRequest, RelayedRange};
use crate::records::DECLARATION_STREAM;
use crate::replay::{DeclarationTable, RelayError, RelayRange};

/// Most records asked of a peer at once.
const RELAY_LIMIT: u32 = 256;
/// How long the log gets to bring what a peer has already, before the peer is
/// asked for it.
const LOG_HEAD_START: Duration = Duration::from_millis(300);

/// Answers a peer that asks for records.
pub(super) fn relay_records(core: &DaemonCore, question: &RecordsRequest) -> RelayedRange {
    if question.stream != DECLARATION_STREAM {
        return RelayedRange::default();
    }
    let declarations = core.tables.declarations.read();
    let relay = core.tables.relay.lock();
    let limit = question.limit.min(RELAY_LIMIT) as usize;
    let range = relay.range(question.from, limit, &declarations);
    RelayedRange {
        first_offset: range.first_offset,
        end_offset: range.end_offset,
        records: range.records,
        checkpoint: range.checkpoint,
    }
}

/// Takes from peers what the log does not bring, until the daemon ends.
///
/// A zone that is cut off from the platform but not from its peers would
/// otherwise keep an old configuration while the others go on.
pub(super) async fn run_relaying(core: Arc<DaemonCore>) {
    loop {
        core.peer_ahead.notified().await;
        tokio::time::sleep(LOG_HEAD_START).await;
        catch_up_from_peers(&core).await;
    }
}

/// Follows the live peers that are ahead, the one with the highest offset
/// first.
pub(super) async fn catch_up_from_peers(core: &Arc<DaemonCore>) {
    let Some(peers) = core.peers() else {
        return;
    };
    for peer in peers_ahead(core) {
        follow_peer(core, peers, peer).await;
    }
}

/// Live peers that have applied more than this host, the newest first.
///
/// A peer may be heard and yet not answer, when only the way back is cut. If
/// the newest alone were asked, the host would stay behind for as long.
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

/// Takes from one peer all that it has.
async fn follow_peer(core: &DaemonCore, peers: &PeerHandle, peer: SocketAddr) {
    loop {
        let from = core.tables.declarations.read().applied();
        let question = RecordsRequest {
            stream: DECLARATION_STREAM.to_owned(),
            from,
            limit: RELAY_LIMIT,
        };
        let range = match peers.records(peer, question).await {
            Ok(range) => range,
            Err(error) => {
                log::debug!("no records from {peer}: {error}");
                return;
            }
        };
        if follow_range(core, range) <= from {
            return;
        }
    }
}

/// Applies what a peer handed over and gives the offset reached.
fn follow_range(core: &DaemonCore, range: RelayedRange) -> u64 {
    let reached = {
        let mut declarations = core.tables.declarations.write();
        if let Err(error) = apply_range(core, &mut declarations, range) {
            log::error!("a peer's records cannot be followed: {error}");
        }
        declarations.applied()
    };
    put_in_force(core);
    reached
}

fn apply_range(
    core: &DaemonCore,
    declarations: &mut DeclarationTable,
    range: RelayedRange,
) -> Result<(), RelayError> {
    let records = range.records;
    declarations.follow(&RelayRange {
        first_offset: range.first_offset,
        end_offset: range.end_offset,
        checkpoint: range.checkpoint,
        records: Vec::new(),
    })?;
    // Judged as those from the log are: a checkpoint that differs must be
    // told also by a host that the log does not reach.
    for record in &records {
        apply_record(core, declarations, record)?;
    }
    Ok(())
}
