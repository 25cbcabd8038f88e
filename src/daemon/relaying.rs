//! Passing log records on to peers, and taking them from peers.

use std::sync::Arc;
use std::time::Duration;

use super::core::DaemonCore;
use super::in_force::put_in_force;
use crate::membership::MemberPhase;
use crate::peer::{RecordsQuestion, RelayedRange};
use crate::records::DECLARATION_STREAM;
use crate::replay::RelayRange;

/// Most records asked of a peer at once.
const RELAY_LIMIT: u32 = 256;
/// How long the log gets to bring what a peer has already, before the peer is
/// asked for it.
const LOG_HEAD_START: Duration = Duration::from_millis(300);

/// Answers a peer that asks for records.
pub(super) fn relay_records(core: &DaemonCore, question: &RecordsQuestion) -> RelayedRange {
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

/// Follows the live peer with the highest offset, if it is ahead.
pub(super) async fn catch_up_from_peers(core: &Arc<DaemonCore>) {
    let Some(peers) = core.peers() else {
        return;
    };
    loop {
        let from = core.tables.declarations.read().applied();
        let Some(ahead) = peer_ahead_of(core, from) else {
            return;
        };
        let question = RecordsQuestion {
            stream: DECLARATION_STREAM.to_owned(),
            from,
            limit: RELAY_LIMIT,
        };
        match peers.records(ahead, question).await {
            Ok(range) => {
                if follow_range(core, range) <= from {
                    return;
                }
            }
            Err(error) => {
                log::debug!("no records from {ahead}: {error}");
                return;
            }
        }
    }
}

fn peer_ahead_of(core: &DaemonCore, applied: u64) -> Option<std::net::SocketAddr> {
    let membership = core.tables.membership.lock();
    membership
        .members()
        .filter(|member| member.phase == MemberPhase::Live && member.applied_offset > applied)
        .max_by_key(|member| member.applied_offset)
        .map(|member| member.peer_address)
}

/// Applies what a peer handed over and gives the offset reached.
fn follow_range(core: &DaemonCore, range: RelayedRange) -> u64 {
    let range = RelayRange {
        first_offset: range.first_offset,
        end_offset: range.end_offset,
        records: range.records,
        checkpoint: range.checkpoint,
    };
    let reached = {
        let mut declarations = core.tables.declarations.write();
        if let Err(error) = declarations.follow(&range) {
            log::error!("a peer's records cannot be followed: {error}");
        }
        let mut relay = core.tables.relay.lock();
        for record in &range.records {
            if record.offset < declarations.applied() {
                relay.push(record.offset, record.body.clone());
            }
        }
        declarations.applied()
    };
    put_in_force(core);
    reached
}
