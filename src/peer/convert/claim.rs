//! Encoding of the calls about claims.

use bytes::Bytes;

use super::{string, text};
use crate::peer::message::{ClaimQuery, ClaimQueryReply};
use crate::peer_capnp as wire;
use crate::verdict::RunVerdict;

const VERDICT_NOT_RUN: &str = "not_run";
const VERDICT_MAY_HAVE_RUN: &str = "may_have_run";
const VERDICT_RAN: &str = "ran";

/// Encodes a query about a claim.
pub(in crate::peer) fn write_claim_query(
    mut builder: wire::peer_call::Builder<'_>,
    query: &ClaimQuery,
) {
    builder.set_request_id(&*query.request);
    builder.set_service(&*query.service);
    builder.set_operation(query.operation.as_str());
    builder.set_idempotency_key(&*query.key);
    builder.set_organisation(&*query.organisation);
}

/// Decodes a query about a claim.
///
/// # Errors
/// Fails as `read_heartbeat` does.
pub(in crate::peer) fn read_claim_query(
    reader: wire::peer_call::Reader<'_>,
) -> capnp::Result<ClaimQuery> {
    Ok(ClaimQuery {
        request: text(reader.get_request_id())?,
        service: text(reader.get_service())?,
        operation: string(reader.get_operation())?,
        key: text(reader.get_idempotency_key())?,
        organisation: text(reader.get_organisation())?,
    })
}

/// Encodes the outcome of a claim.
pub(in crate::peer) fn write_claim_outcome(
    mut builder: wire::peer_call_reply::Builder<'_>,
    outcome: &ClaimQueryReply,
) {
    let ClaimQueryReply::Known {
        verdict,
        status,
        body,
    } = outcome
    else {
        builder.set_known(false);
        return;
    };
    builder.set_known(true);
    builder.set_verdict(verdict_name(*verdict));
    builder.set_status(*status);
    builder.set_body(body);
}

/// Decodes the outcome of a claim.
///
/// # Errors
/// Fails as `read_heartbeat` does.
pub(in crate::peer) fn read_claim_outcome(
    reader: wire::peer_call_reply::Reader<'_>,
) -> capnp::Result<ClaimQueryReply> {
    if !reader.get_known() {
        return Ok(ClaimQueryReply::Unknown);
    }
    Ok(ClaimQueryReply::Known {
        verdict: verdict_named(reader.get_verdict()?.to_str()?),
        status: reader.get_status(),
        body: Bytes::copy_from_slice(reader.get_body()?),
    })
}

fn verdict_name(verdict: RunVerdict) -> &'static str {
    match verdict {
        RunVerdict::NotRun => VERDICT_NOT_RUN,
        RunVerdict::MayHaveRun => VERDICT_MAY_HAVE_RUN,
        RunVerdict::Ran => VERDICT_RAN,
    }
}

/// Converts the name of a verdict. An unknown name comes from a newer version and counts
/// as "may have run", because "not run" would allow the caller to repeat the request.
fn verdict_named(name: &str) -> RunVerdict {
    match name {
        VERDICT_NOT_RUN => RunVerdict::NotRun,
        VERDICT_RAN => RunVerdict::Ran,
        _ => RunVerdict::MayHaveRun,
    }
}
