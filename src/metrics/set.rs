//! The set of metrics and its registry.

use std::hash::Hash;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use super::labels::{
    AppendLabels, AppendOutcome, CauseLabel, ClaimLabel, ClaimResult, DropCause, KindLabel,
    ReasonLabel, RequestKind, RequestLabels, RequestOutcome, STREAMS,
};
use crate::reason::{RefusalReason, RetryReason};

/// Prefix of every metric.
pub(super) const PREFIX: &str = "jackdawwick";
/// Lowest bucket bound of the latency histograms, in seconds.
const LOWEST_BUCKET: f64 = 0.001;
/// Ratio between adjacent bucket bounds.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets, from 1 ms to about 33 s.
const BUCKET_COUNT: u16 = 16;

/// The metrics of one daemon.
#[derive(Debug)]
pub struct MetricSet {
    pub(super) registry: Registry,
    pub(super) requests: Family<RequestLabels, Counter>,
    pub(super) in_flight: Family<KindLabel, Gauge>,
    pub(super) refusals: Family<ReasonLabel, Counter>,
    pub(super) retries: Family<ReasonLabel, Counter>,
    pub(super) tokens: Counter,
    pub(super) first_token: Histogram,
    pub(super) between_tokens: Histogram,
    pub(super) dropped_responses: Family<CauseLabel, Counter>,
    pub(super) claims: Family<ClaimLabel, Counter>,
    pub(super) appends: Family<AppendLabels, Counter>,
    pub(super) applied_offset: Gauge,
    pub(super) differing_checkpoints: Counter,
    pub(super) control_sent: Counter,
    pub(super) control_received: Counter,
}

impl Default for MetricSet {
    fn default() -> Self {
        let mut set = Self {
            registry: Registry::with_prefix(PREFIX),
            requests: Family::default(),
            in_flight: Family::default(),
            refusals: Family::default(),
            retries: Family::default(),
            tokens: Counter::default(),
            first_token: latency_histogram(),
            between_tokens: latency_histogram(),
            dropped_responses: Family::default(),
            claims: Family::default(),
            appends: Family::default(),
            applied_offset: Gauge::default(),
            differing_checkpoints: Counter::default(),
            control_sent: Counter::default(),
            control_received: Counter::default(),
        };
        set.register_requests();
        set.register_log();
        set.create_series();
        set
    }
}

pub(super) fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        LOWEST_BUCKET,
        BUCKET_FACTOR,
        BUCKET_COUNT,
    ))
}

impl MetricSet {
    fn register_requests(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests by kind and outcome",
            self.requests.clone(),
        );
        registry.register(
            "requests_in_flight",
            "Requests in flight",
            self.in_flight.clone(),
        );
        registry.register("refusals", "Refusals by reason", self.refusals.clone());
        registry.register(
            "retries",
            "Steps and orders sent again or to another target, by reason",
            self.retries.clone(),
        );
        registry.register("tokens", "Tokens delivered to callers", self.tokens.clone());
        registry.register_with_unit(
            "first_token",
            "Time from a request's head to its first token",
            Unit::Seconds,
            self.first_token.clone(),
        );
        registry.register_with_unit(
            "between_tokens",
            "Time between two tokens of a response",
            Unit::Seconds,
            self.between_tokens.clone(),
        );
        registry.register(
            "dropped_answers",
            "Responses of targets that were dropped, by cause",
            self.dropped_responses.clone(),
        );
    }

    fn register_log(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "claims",
            "Claims on idempotency keys by result",
            self.claims.clone(),
        );
        registry.register(
            "appends",
            "Appends to the platform's log by stream and outcome",
            self.appends.clone(),
        );
        registry.register(
            "applied_offset",
            "Offset after the last declared change that this host has applied",
            self.applied_offset.clone(),
        );
        registry.register(
            "differing_checkpoints",
            "Checkpoints in the log that are damaged or differ from this host's state",
            self.differing_checkpoints.clone(),
        );
        registry.register_with_unit(
            "control_sent",
            "Bytes sent to peers",
            Unit::Bytes,
            self.control_sent.clone(),
        );
        registry.register_with_unit(
            "control_received",
            "Bytes received from peers",
            Unit::Bytes,
            self.control_received.clone(),
        );
    }

    /// Creates all series of the closed sets with the value 0.
    fn create_series(&self) {
        for kind in RequestKind::ALL.map(RequestKind::name) {
            init_series(&self.in_flight, &KindLabel { kind });
            for outcome in RequestOutcome::ALL.map(RequestOutcome::name) {
                init_series(&self.requests, &RequestLabels { kind, outcome });
            }
        }
        for reason in RefusalReason::ALL.map(RefusalReason::name) {
            init_series(&self.refusals, &ReasonLabel { reason });
        }
        for reason in RetryReason::ALL.map(RetryReason::name) {
            init_series(&self.retries, &ReasonLabel { reason });
        }
        for cause in DropCause::ALL.map(DropCause::name) {
            init_series(&self.dropped_responses, &CauseLabel { cause });
        }
        for result in ClaimResult::ALL.map(ClaimResult::name) {
            init_series(&self.claims, &ClaimLabel { result });
        }
        for stream in STREAMS {
            for outcome in AppendOutcome::ALL.map(AppendOutcome::name) {
                init_series(&self.appends, &AppendLabels { stream, outcome });
            }
        }
    }
}

/// Creates one series.
fn init_series<L, M>(family: &Family<L, M>, labels: &L)
where
    L: Clone + Eq + Hash,
    M: Default,
{
    drop(family.get_or_create(labels));
}
