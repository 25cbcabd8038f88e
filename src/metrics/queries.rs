//! Read access to the metrics.

use prometheus_client::encoding::text;

use super::labels::{KindLabel, ReasonLabel, RequestKind};
use super::set::MetricSet;
use crate::reason::{RefusalReason, RetryReason};

impl MetricSet {
    /// Returns all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        match text::encode(&mut text, &self.registry) {
            Ok(()) => text,
            // Writing to memory does not fail; if a metric cannot be encoded, the error
            // is returned instead of an incomplete set.
            Err(error) => format!("# {error}\n"),
        }
    }

    /// Returns the number of refusals for a reason.
    pub fn refusal_count(&self, reason: RefusalReason) -> u64 {
        let reason = reason.name();
        self.refusals.get_or_create(&ReasonLabel { reason }).get()
    }

    /// Returns the number of retries for a reason.
    pub fn retry_count(&self, reason: RetryReason) -> u64 {
        let reason = reason.name();
        self.retries.get_or_create(&ReasonLabel { reason }).get()
    }

    /// Returns the number of requests of a kind in flight.
    pub fn in_flight_count(&self, kind: RequestKind) -> u64 {
        let count = self
            .in_flight
            .get_or_create(&KindLabel { kind: kind.name() })
            .get();
        u64::try_from(count).unwrap_or(0)
    }

    /// Returns the number of tokens delivered to callers.
    pub fn token_count(&self) -> u64 {
        self.tokens.get()
    }
}
