//! Between the host that holds a key and one that lost it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use super::desk::OutcomeWatch;
use crate::claims::machine::ClaimEvent;
use crate::claims::record::{ClaimName, ClaimOutcome, KeptAnswer};
use crate::claims::table::ClaimHolder;
use crate::daemon::core::DaemonCore;
use crate::ids::RecordId;
use crate::peer::{ClaimOutcome as PeerOutcome, ClaimQuery};
use crate::verdict::RunVerdict;

/// Asks the holder of a key how its request ended, and waits for the end.
pub(super) async fn ask_holder(
    core: &Arc<DaemonCore>,
    claim: &RecordId,
    holder: &ClaimHolder,
    wait: Duration,
) -> ClaimEvent {
    let is_own = holder.owner.host == *core.host();
    let outcome = match is_own {
        true => ask_own(core, &holder.claim, wait).await,
        false => ask_peer(core, claim, holder, wait).await,
    };
    match outcome {
        Some(outcome) => ClaimEvent::HolderAnswered(outcome),
        None => ClaimEvent::HolderSilent,
    }
}

async fn ask_own(core: &DaemonCore, claim: &RecordId, wait: Duration) -> Option<ClaimOutcome> {
    let watched = core.tables.claims.lock().outcome_of(claim);
    wait_for_end(watched?, wait).await
}

async fn wait_for_end(mut watched: OutcomeWatch, wait: Duration) -> Option<ClaimOutcome> {
    let ended = timeout(wait, watched.wait_for(Option::is_some)).await;
    ended.ok()?.ok()?.clone()
}

async fn ask_peer(
    core: &DaemonCore,
    claim: &RecordId,
    holder: &ClaimHolder,
    wait: Duration,
) -> Option<ClaimOutcome> {
    let address = peer_address(core, holder)?;
    let name = core.tables.claims.lock().active.get(claim)?.name.clone();
    // Heartbeats share the bound on open calls to a peer. Were all taken by
    // questions, the peer would look dead.
    let _slot = core.claim_questions.try_acquire().ok()?;
    let question = ClaimQuery {
        request: holder.request.clone(),
        service: "".into(),
        operation: String::new(),
        key: name.key,
        organisation: name.organisation,
    };
    match core.peers()?.claim_outcome(address, question, wait).await {
        Ok(outcome) => from_peer(outcome),
        Err(error) => {
            log::debug!("{} cannot be asked: {error}", holder.owner.host);
            None
        }
    }
}

/// Where the daemon that holds the key listens, if its life has not ended.
fn peer_address(core: &DaemonCore, holder: &ClaimHolder) -> Option<SocketAddr> {
    let membership = core.tables.membership.lock();
    let member = membership.member(&holder.owner.host)?;
    let is_same_life = member.incarnation == Some(holder.owner.incarnation);
    is_same_life.then_some(member.peer_address)
}

/// Answers a host that lost a key to this one.
pub(in crate::daemon) async fn answer_peer(
    core: Arc<DaemonCore>,
    question: ClaimQuery,
) -> PeerOutcome {
    let name = ClaimName {
        organisation: question.organisation,
        key: question.key,
    };
    let watched = {
        let desk = core.tables.claims.lock();
        desk.outcome_of_request(&name, &question.request)
    };
    let wait = core.options.timing.claim_timeout + core.options.timing.step_timeout;
    match watched {
        Some(watched) => to_peer(wait_for_end(watched, wait).await),
        None => PeerOutcome::Unknown,
    }
}

fn to_peer(outcome: Option<ClaimOutcome>) -> PeerOutcome {
    let Some(outcome) = outcome else {
        return PeerOutcome::Unknown;
    };
    let body = match (outcome.verdict, outcome.answer) {
        (_, KeptAnswer::Whole(text)) => Bytes::from(text),
        // The other host finds the digest in the log; an empty body would
        // pass for the answer.
        (RunVerdict::Ran, KeptAnswer::Digest(_)) => return PeerOutcome::Unknown,
        (_, KeptAnswer::Digest(_)) => Bytes::new(),
    };
    PeerOutcome::Known {
        verdict: outcome.verdict,
        status: outcome.status,
        body,
    }
}

fn from_peer(outcome: PeerOutcome) -> Option<ClaimOutcome> {
    match outcome {
        PeerOutcome::Unknown => None,
        PeerOutcome::Known {
            verdict,
            status,
            body,
        } => Some(ClaimOutcome {
            verdict,
            status,
            answer: KeptAnswer::Whole(String::from_utf8(body.to_vec()).ok()?),
        }),
    }
}
