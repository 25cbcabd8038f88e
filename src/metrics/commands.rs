//! Updates the counters, gauges and histograms.

use std::time::Duration;

use super::labels::{
    AppendLabels, AppendOutcome, CauseLabel, ClaimLabel, ClaimResult, DropCause, KindLabel,
    ReasonLabel, RequestKind, RequestLabels, RequestOutcome, STREAMS,
};
use super::set::MetricSet;
use crate::ids::LogOffset;
use crate::reason::{RefusalReason, RetryReason};

impl MetricSet {
    /// Counts a checkpoint that is damaged or differs from this host's state.
    pub fn checkpoint_differed(&self) {
        self.differing_checkpoints.inc();
    }

    /// Adds a request to those in flight.
    pub fn request_begun(&self, kind: RequestKind) {
        self.in_flight
            .get_or_create(&KindLabel { kind: kind.name() })
            .inc();
    }

    /// Removes a request from those in flight and counts its outcome.
    pub fn request_ended(&self, kind: RequestKind, outcome: RequestOutcome) {
        self.in_flight
            .get_or_create(&KindLabel { kind: kind.name() })
            .dec();
        let labels = RequestLabels {
            kind: kind.name(),
            outcome: outcome.name(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: RefusalReason) {
        let reason = reason.name();
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a step or order that is sent again or to another target.
    pub fn retried(&self, reason: RetryReason) {
        let reason = reason.name();
        self.retries.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts the first token of a response, `waited` after the head of the request.
    pub fn first_token(&self, waited: Duration) {
        self.tokens.inc();
        self.first_token.observe(waited.as_secs_f64());
    }

    /// Counts a further token, `waited` after the previous one.
    pub fn next_token(&self, waited: Duration) {
        self.tokens.inc();
        self.between_tokens.observe(waited.as_secs_f64());
    }

    /// Counts a response of a target that was dropped.
    pub fn response_dropped(&self, cause: DropCause) {
        self.dropped_responses
            .get_or_create(&CauseLabel {
                cause: cause.name(),
            })
            .inc();
    }

    /// Counts the result of a claim on an idempotency key.
    pub fn claim_settled(&self, result: ClaimResult) {
        self.claims
            .get_or_create(&ClaimLabel {
                result: result.name(),
            })
            .inc();
    }

    /// Counts an append. Streams other than the system's are not counted, so that the
    /// number of series stays bounded.
    pub fn appended(&self, stream: &str, outcome: AppendOutcome) {
        let Some(stream) = STREAMS.into_iter().find(|known| *known == stream) else {
            return;
        };
        let labels = AppendLabels {
            stream,
            outcome: outcome.name(),
        };
        self.appends.get_or_create(&labels).inc();
    }

    /// Sets the offset after the last declared change that was applied.
    pub fn set_applied_offset(&self, offset: LogOffset) {
        self.applied_offset
            .set(i64::try_from(offset).unwrap_or(i64::MAX));
    }

    /// Counts bytes sent to peers and to the platform.
    pub fn control_sent(&self, bytes: u64) {
        self.control_sent.inc_by(bytes);
    }

    /// Counts bytes received from peers and from the platform.
    pub fn control_received(&self, bytes: u64) {
        self.control_received.inc_by(bytes);
    }
}
