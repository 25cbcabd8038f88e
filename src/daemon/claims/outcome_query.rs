//! Outcome queries between the holder of a key and a host that lost it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use super::local_state::OutcomeReceiver;
use crate::claims::machine::ClaimEvent;
use crate::claims::record::{ClaimName, ClaimOutcome, StoredResponse};
use crate::claims::table::ClaimHolder;
use crate::daemon::core::DaemonCore;
use crate::ids::RecordId;
use crate::peer::{ClaimQuery, ClaimQueryReply};
use crate::verdict::RunVerdict;

/// Queries the holder of a key for the outcome of its request, and waits until it has
/// ended.
pub(super) async fn query_holder(
    core: &Arc<DaemonCore>,
    claim: &RecordId,
    holder: &ClaimHolder,
    wait: Duration,
) -> ClaimEvent {
    let is_local = holder.owner.host == *core.host();
    let outcome = match is_local {
        true => query_local(core, &holder.claim, wait).await,
        false => query_peer(core, claim, holder, wait).await,
    };
    match outcome {
        Some(outcome) => ClaimEvent::HolderReplied(outcome),
        None => ClaimEvent::HolderUnavailable,
    }
}

async fn query_local(core: &DaemonCore, claim: &RecordId, wait: Duration) -> Option<ClaimOutcome> {
    let receiver = core.tables.claims.lock().outcome_of(claim);
    wait_for_end(receiver?, wait).await
}

async fn wait_for_end(mut receiver: OutcomeReceiver, wait: Duration) -> Option<ClaimOutcome> {
    let ended = timeout(wait, receiver.wait_for(Option::is_some)).await;
    ended.ok()?.ok()?.clone()
}

async fn query_peer(
    core: &DaemonCore,
    claim: &RecordId,
    holder: &ClaimHolder,
    wait: Duration,
) -> Option<ClaimOutcome> {
    let address = peer_address(core, holder)?;
    let name = core.tables.claims.lock().active.get(claim)?.name.clone();
    // Heartbeats share the limit of open calls to a peer. If queries used all of it, the
    // peer would be suspected.
    let _slot = core.claim_queries.try_acquire().ok()?;
    let query = ClaimQuery {
        request: holder.request.clone(),
        service: "".into(),
        operation: String::new(),
        key: name.key,
        organisation: name.organisation,
    };
    match core.peers()?.claim_outcome(address, query, wait).await {
        Ok(outcome) => from_query_reply(outcome),
        Err(error) => {
            log::debug!(
                "claim outcome query to host {} failed: {error}",
                holder.owner.host
            );
            None
        }
    }
}

/// Returns the peer address of the daemon that holds the key, unless that incarnation has
/// ended.
fn peer_address(core: &DaemonCore, holder: &ClaimHolder) -> Option<SocketAddr> {
    let membership = core.tables.membership.lock();
    let member = membership.member(&holder.owner.host)?;
    let is_same_incarnation = member.incarnation == Some(holder.owner.incarnation);
    is_same_incarnation.then_some(member.peer_address)
}

/// Handles the query of a host that lost a key to this one.
pub(in crate::daemon) async fn handle_outcome_query(
    core: Arc<DaemonCore>,
    query: ClaimQuery,
) -> ClaimQueryReply {
    let name = ClaimName {
        organisation: query.organisation,
        key: query.key,
    };
    let receiver = {
        let state = core.tables.claims.lock();
        state.outcome_of_request(&name, &query.request)
    };
    let wait = core.options.timing.claim_timeout + core.options.timing.step_timeout;
    match receiver {
        Some(receiver) => to_query_reply(wait_for_end(receiver, wait).await),
        None => ClaimQueryReply::Unknown,
    }
}

fn to_query_reply(outcome: Option<ClaimOutcome>) -> ClaimQueryReply {
    let Some(outcome) = outcome else {
        return ClaimQueryReply::Unknown;
    };
    let body = match (outcome.verdict, outcome.answer) {
        (_, StoredResponse::Whole(text)) => Bytes::from(text),
        // The querying host finds the digest in the log. An empty body would be taken for
        // the response.
        (RunVerdict::Ran, StoredResponse::Digest(_)) => return ClaimQueryReply::Unknown,
        (_, StoredResponse::Digest(_)) => Bytes::new(),
    };
    ClaimQueryReply::Known {
        verdict: outcome.verdict,
        status: outcome.status,
        body,
    }
}

fn from_query_reply(outcome: ClaimQueryReply) -> Option<ClaimOutcome> {
    match outcome {
        ClaimQueryReply::Unknown => None,
        ClaimQueryReply::Known {
            verdict,
            status,
            body,
        } => Some(ClaimOutcome {
            verdict,
            status,
            answer: StoredResponse::Whole(String::from_utf8(body.to_vec()).ok()?),
        }),
    }
}
