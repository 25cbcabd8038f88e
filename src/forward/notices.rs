//! Applies what targets state about themselves in the heads of their responses.

use std::sync::Arc;
use std::time::Instant;

use http::{HeaderMap, StatusCode};

use super::probe::TargetReply;
use super::tables::ServingTables;
use crate::ids::TargetId;
use crate::platform::target_notice::{TargetNotice, parse_notice};

/// A response whose head has been received, and the request that it responds to.
#[derive(Debug, Clone, Copy)]
pub(super) struct ObservedResponse<'a> {
    pub(super) target: &'a TargetId,
    /// Id of the attempt.
    pub(super) request: &'a str,
    /// When the request was sent.
    pub(super) sent: Instant,
    /// When the head of the response was received.
    pub(super) received: Instant,
}

impl ServingTables {
    /// Applies the statements in the head of a response. Returns the end of the pause that
    /// the target requests, if it requests one.
    pub(super) fn observe_notice(
        self: &Arc<Self>,
        observed: ObservedResponse<'_>,
        status: StatusCode,
        notice: &TargetNotice<'_>,
        headers: &HeaderMap,
    ) -> Option<Instant> {
        if !is_own_statement(notice, observed.request, status) {
            return None;
        }
        let ObservedResponse {
            target,
            sent,
            received,
            ..
        } = observed;
        self.observe_limit(target, notice, headers, sent, received);
        self.observe_leaving(target, notice);
        self.observe_pause(observed, status, notice, headers)
    }

    /// Applies the statements in the response to an order.
    pub fn observe_order_reply(&self, target: &TargetId, reply: &TargetReply) {
        if reply.status != StatusCode::MISDIRECTED_REQUEST {
            self.observe_leaving(target, &parse_notice(&reply.headers));
        }
    }

    /// Records a target that states that it is leaving. It gets no further requests of this
    /// host, whatever the log says, and continues those that it runs.
    pub(super) fn observe_leaving(&self, target: &TargetId, notice: &TargetNotice<'_>) {
        if notice.leaving && self.fleet.lock().observe_leaving(target) {
            self.metrics.departure_observed("response");
            log::info!(target_id:% = target; "target states that it is leaving");
        }
    }
}

/// Returns whether the statements of a response are those of the target that the request
/// was sent to. Another start of the target, or another target at its address, responds
/// with status 421; a response to another request may have been delayed.
///
/// The seal is not required, since targets may refuse a request without one. The request
/// names its target, so any other target responds with 421.
fn is_own_statement(notice: &TargetNotice<'_>, request: &str, status: StatusCode) -> bool {
    let is_own_request = notice.attempt.is_none_or(|attempt| attempt == request);
    status != StatusCode::MISDIRECTED_REQUEST && is_own_request
}
