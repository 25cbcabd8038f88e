//! The metrics of an entry host on the users' platform.

use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use super::capacity_gauges::CapacityGauges;
use super::labels::{CauseLabel, ReasonLabel, SilenceLabels, ZoneLabels};
use super::retry_gauges::RetryGauges;
use super::set::{PREFIX, latency_histogram};
use crate::capacity::CapacityView;
use crate::ids::LogEra;
use crate::ids::ServiceId;
use crate::reason::RefusalReason;
use crate::retry::WindowUsage;
use crate::silence::{SilenceAction, SilenceCause};

/// Counters, gauges and histograms of one entry host. Label values are constants in the code,
/// so that the number of series is bounded; only the gauges of capacity, of retries and of the
/// shares of zones name the services, zones and priorities of the last view.
#[derive(Debug)]
pub struct ServingMetrics {
    registry: Registry,
    responses: Family<CauseLabel, Counter>,
    refusals: Family<ReasonLabel, Counter>,
    attempt_failures: Family<CauseLabel, Counter>,
    ejections: Family<CauseLabel, Counter>,
    repairs: Family<CauseLabel, Counter>,
    orders: Family<CauseLabel, Counter>,
    store_errors: Family<CauseLabel, Counter>,
    unreadable_records: Family<CauseLabel, Counter>,
    late_heartbeats: Counter,
    ends_under_requests: Family<CauseLabel, Counter>,
    target_limits: Family<CauseLabel, Counter>,
    target_pauses: Family<CauseLabel, Counter>,
    target_departures: Family<CauseLabel, Counter>,
    permits: Family<CauseLabel, Counter>,
    target_connections: Family<CauseLabel, Counter>,
    reachability_changes: Family<CauseLabel, Counter>,
    gateway_uses: Family<CauseLabel, Counter>,
    gateway_requests: Family<CauseLabel, Counter>,
    closed_unread: Family<CauseLabel, Counter>,
    panics: Family<CauseLabel, Counter>,
    connection_failures: Family<CauseLabel, Counter>,
    shutdown_ends: Family<CauseLabel, Counter>,
    end_reports: Family<CauseLabel, Counter>,
    capacity: CapacityGauges,
    start_decisions: Family<CauseLabel, Counter>,
    zone_choices: Family<CauseLabel, Counter>,
    retry_decisions: Family<CauseLabel, Counter>,
    retry_grants: Family<CauseLabel, Counter>,
    retries: RetryGauges,
    silences: Family<SilenceLabels, Counter>,
    zone_shares: Family<ZoneLabels, Gauge<f64, AtomicU64>>,
    starts_waiting: Gauge,
    log_era: Gauge,
    hosts_unknown: Gauge,
    buffered_bytes: Family<CauseLabel, Gauge>,
    caller_connections: Gauge,
    first_event: Histogram,
    between_events: Histogram,
    whole_request: Histogram,
    store_call: Histogram,
}

impl Default for ServingMetrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            responses: Family::default(),
            refusals: Family::default(),
            attempt_failures: Family::default(),
            ejections: Family::default(),
            repairs: Family::default(),
            orders: Family::default(),
            store_errors: Family::default(),
            unreadable_records: Family::default(),
            late_heartbeats: Counter::default(),
            ends_under_requests: Family::default(),
            target_limits: Family::default(),
            target_pauses: Family::default(),
            target_departures: Family::default(),
            permits: Family::default(),
            target_connections: Family::default(),
            reachability_changes: Family::default(),
            gateway_uses: Family::default(),
            gateway_requests: Family::default(),
            closed_unread: Family::default(),
            panics: Family::default(),
            connection_failures: Family::default(),
            shutdown_ends: Family::default(),
            end_reports: Family::default(),
            capacity: CapacityGauges::default(),
            start_decisions: Family::default(),
            zone_choices: Family::default(),
            retry_decisions: Family::default(),
            retry_grants: Family::default(),
            retries: RetryGauges::default(),
            silences: Family::default(),
            zone_shares: Family::default(),
            starts_waiting: Gauge::default(),
            log_era: Gauge::default(),
            hosts_unknown: Gauge::default(),
            buffered_bytes: Family::default(),
            caller_connections: Gauge::default(),
            first_event: latency_histogram(),
            between_events: latency_histogram(),
            whole_request: latency_histogram(),
            store_call: latency_histogram(),
        };
        metrics.register_counters();
        metrics.register_times();
        metrics.capacity.register(&mut metrics.registry);
        metrics.retries.register(&mut metrics.registry);
        for reason in RefusalReason::ALL.map(RefusalReason::name) {
            drop(metrics.refusals.get_or_create(&ReasonLabel { reason }));
        }
        metrics
    }
}

impl ServingMetrics {
    fn register_counters(&mut self) {
        let families = [
            (
                "answers",
                "Responses of targets passed to callers, by status class",
                &self.responses,
            ),
            (
                "attempt_failures",
                "Attempts without a usable response, by cause",
                &self.attempt_failures,
            ),
            (
                "ejections",
                "Temporary ejections of targets, by cause",
                &self.ejections,
            ),
            (
                "repairs",
                "Requests moved, resumed or cut, by action",
                &self.repairs,
            ),
            ("orders", "Orders to engines by result", &self.orders),
            (
                "store_errors",
                "Failed calls to the log service, by topic",
                &self.store_errors,
            ),
            (
                "unreadable_records",
                "Records of the log that cannot be parsed, by topic",
                &self.unreadable_records,
            ),
            (
                "ends_under_requests",
                "Targets that ended as a request began to run there, by verdict on the request",
                &self.ends_under_requests,
            ),
            (
                "target_limits",
                "Reports of rate limits by targets, by kind",
                &self.target_limits,
            ),
            (
                "target_pauses",
                "Pauses that targets request with refusals, by kind",
                &self.target_pauses,
            ),
            (
                "target_departures",
                "Targets found to be leaving before the log lists them as such, by sign",
                &self.target_departures,
            ),
            (
                "permits",
                "Requests for permits to send to targets with limits, by reply",
                &self.permits,
            ),
            (
                "target_connections",
                "Connections to targets, by result",
                &self.target_connections,
            ),
            (
                "reachability_changes",
                "Times at which this host lost all targets, or reached one again",
                &self.reachability_changes,
            ),
            (
                "gateway_uses",
                "Requests that this host sent through other hosts, by result",
                &self.gateway_uses,
            ),
            (
                "gateway_requests",
                "Requests of other hosts that this host was to pass on, by result",
                &self.gateway_requests,
            ),
            (
                "connections_closed_unread",
                "Connections of callers closed before a request was read, by cause",
                &self.closed_unread,
            ),
            (
                "panics",
                "Requests whose handling panicked, by what was running",
                &self.panics,
            ),
            (
                "connection_failures",
                "Connections of callers that failed under a request, by cause",
                &self.connection_failures,
            ),
            (
                "shutdown_ends",
                "Requests that the shutdown of this host ended, by how it did",
                &self.shutdown_ends,
            ),
            (
                "end_reports",
                "Targets reported to other hosts as ended, or reported by them, by source",
                &self.end_reports,
            ),
            (
                "start_decisions",
                "Decisions about requests of services with several priorities, by result",
                &self.start_decisions,
            ),
            (
                "zone_choices",
                "Attempts that were sent to another zone, or drawn for one, by cause",
                &self.zone_choices,
            ),
            (
                "retry_decisions",
                "Retries that the budget of their service granted or denied",
                &self.retry_decisions,
            ),
            (
                "retry_grants",
                "Granted retries that were sent, withheld at the sending, never sent, known to have arrived, or left without a response",
                &self.retry_grants,
            ),
        ];
        for (name, help, family) in families {
            self.registry.register(name, help, family.clone());
        }
        let refusals = self.refusals.clone();
        self.registry
            .register("refusals", "Refusals by reason", refusals);
        let silences = self.silences.clone();
        let help = "Silences of targets under requests, by cause and by what became of them";
        self.registry.register("silences", help, silences);
        let shares = self.zone_shares.clone();
        let help = "Share of the requests of this host's zone that goes to another zone";
        self.registry.register("zone_share", help, shares);
        let waiting = self.starts_waiting.clone();
        let help = "Requests that wait for room before they start";
        self.registry.register("starts_waiting", help, waiting);
        let help = "Heartbeats that the platform's log took after later ones";
        let late = self.late_heartbeats.clone();
        self.registry.register("late_heartbeats", help, late);
        let help = "Number of restores of the platform's log from an older copy";
        self.registry
            .register("log_era", help, self.log_era.clone());
        let help = "Whether there may be other entry hosts although this one knows none";
        self.registry
            .register("hosts_unknown", help, self.hosts_unknown.clone());
        let help = "Bytes of bodies that this host holds, without the first 16 KiB of each";
        let buffered = self.buffered_bytes.clone();
        self.registry.register("buffered_bytes", help, buffered);
        let help = "Open connections of callers";
        let connections = self.caller_connections.clone();
        self.registry
            .register("caller_connections", help, connections);
    }

    fn register_times(&mut self) {
        let times = [
            (
                "first_event",
                "Time from a stream's head to its first event",
                &self.first_event,
            ),
            (
                "between_events",
                "Time between two events of a stream",
                &self.between_events,
            ),
            (
                "request",
                "Time from a request's head to its complete response",
                &self.whole_request,
            ),
            (
                "store_call",
                "Time of an answered call to the log service",
                &self.store_call,
            ),
        ];
        for (name, help, histogram) in times {
            self.registry
                .register_with_unit(name, help, Unit::Seconds, histogram.clone());
        }
    }

    /// Counts a response of a target that was passed to the caller, by its status.
    pub fn response_forwarded(&self, status: u16, took: Duration) {
        let cause = match status {
            200..300 => "success",
            400..500 => "client_error",
            _ => "server_error",
        };
        count(&self.responses, cause);
        self.whole_request.observe(took.as_secs_f64());
    }

    /// Counts a refusal.
    pub fn refused(&self, reason: RefusalReason) {
        let reason = reason.name();
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts an attempt without a usable response.
    pub fn attempt_failed(&self, cause: &'static str) {
        count(&self.attempt_failures, cause);
    }

    /// Counts the temporary ejection of a target.
    pub fn ejected(&self, cause: &'static str) {
        count(&self.ejections, cause);
    }

    /// Counts a request that was moved, resumed or cut.
    pub fn repaired(&self, action: &'static str) {
        count(&self.repairs, action);
    }

    /// Counts an order to an engine.
    pub fn order_sent(&self, result: &'static str) {
        count(&self.orders, result);
    }

    /// Counts a record of a topic that cannot be parsed.
    pub fn unreadable_record(&self, topic: &'static str) {
        count(&self.unreadable_records, topic);
    }

    /// Counts a target that ended as a request began to run there, by the verdict on the
    /// request.
    pub fn ended_under_request(&self, verdict: &'static str) {
        count(&self.ends_under_requests, verdict);
    }

    /// Counts a response that changes the known limit of a target or carries an unusable
    /// one.
    pub fn limit_reported(&self, kind: &'static str) {
        count(&self.target_limits, kind);
    }

    /// Counts a pause that a target requested or that ended, or an unusable one.
    pub fn pause_observed(&self, kind: &'static str) {
        count(&self.target_pauses, kind);
    }

    /// Counts a target that is found to be leaving by another sign than the log.
    pub fn departure_observed(&self, sign: &'static str) {
        count(&self.target_departures, sign);
    }

    /// Counts a request for permits by its reply, or a caller's request that was refused
    /// because no permit was available.
    pub fn permit_requested(&self, reply: &'static str) {
        count(&self.permits, reply);
    }

    /// Counts a connection to a target, or the failure to make one.
    pub fn target_connected(&self, result: &'static str) {
        count(&self.target_connections, result);
    }

    /// Counts a change of whether targets accept connections of this host.
    pub fn reachability_changed(&self, change: &'static str) {
        count(&self.reachability_changes, change);
    }

    /// Counts a request that this host sent through another host.
    pub fn gateway_used(&self, result: &'static str) {
        count(&self.gateway_uses, result);
    }

    /// Counts a request that this host was to pass on for another host.
    pub fn gateway_served(&self, result: &'static str) {
        count(&self.gateway_requests, result);
    }

    /// Counts a connection that was closed before a request was read, since the host is
    /// overloaded.
    pub fn connection_closed_unread(&self) {
        count(&self.closed_unread, "overloaded");
    }

    /// Counts a connection that was closed before a request was read, since all connections
    /// are in use.
    pub fn connection_refused(&self) {
        count(&self.closed_unread, "connection_limit");
    }

    /// Counts a connection that made way for another one.
    pub fn connection_replaced(&self) {
        count(&self.closed_unread, "replaced");
    }

    /// Sets the bytes that bodies hold, and the number of callers' connections.
    pub fn set_buffers(&self, request_bytes: usize, response_bytes: usize, connections: usize) {
        let value = |count| i64::try_from(count).unwrap_or(i64::MAX);
        let bytes = [("request", request_bytes), ("response", response_bytes)];
        for (cause, bytes) in bytes {
            let label = CauseLabel { cause };
            self.buffered_bytes.get_or_create(&label).set(value(bytes));
        }
        self.caller_connections.set(value(connections));
    }

    /// Counts a request whose handling panicked, by what was running.
    pub fn panicked(&self, place: &'static str) {
        count(&self.panics, place);
    }

    /// Counts a connection of a caller that failed before its request had a whole response.
    pub fn connection_failed(&self, cause: &'static str) {
        count(&self.connection_failures, cause);
    }

    /// Counts a request that the shutdown of this host ended, by how it did.
    pub fn shutdown_ended(&self, end: &'static str) {
        count(&self.shutdown_ends, end);
    }

    /// Counts a report that a target has ended, by its source.
    pub fn end_reported(&self, source: &'static str) {
        count(&self.end_reports, source);
    }

    /// Sets the gauges of capacity and demand.
    pub fn capacity_known(&self, view: &CapacityView) {
        self.capacity.set(view);
    }

    /// Counts a decision about the start of a request whose service has several priorities.
    pub fn start_decided(&self, result: &'static str) {
        count(&self.start_decisions, result);
    }

    /// Counts an attempt that goes to another zone or was drawn for one.
    pub fn zone_chosen(&self, cause: &'static str) {
        count(&self.zone_choices, cause);
    }

    /// Replaces the shares of the requests that go to other zones, by service and zone.
    pub fn set_zone_shares<'a, I>(&self, shares: I)
    where
        I: Iterator<Item = (&'a str, &'a str, f64)>,
    {
        self.zone_shares.clear();
        for (service, zone, share) in shares {
            let (service, zone) = (service.to_owned(), zone.to_owned());
            let labels = ZoneLabels { service, zone };
            self.zone_shares.get_or_create(&labels).set(share);
        }
    }

    /// Counts a decision of a retry budget.
    pub fn retry_decided(&self, is_granted: bool) {
        let cause = if is_granted { "granted" } else { "denied" };
        count(&self.retry_decisions, cause);
    }

    /// Counts a granted retry that was sent or not, arrived, or got no response.
    pub fn count_retry_grant(&self, result: &'static str) {
        count(&self.retry_grants, result);
    }

    /// Counts a silence of a target under a request: when its cause is found, and what became
    /// of it.
    pub fn silence(&self, cause: SilenceCause, action: SilenceAction) {
        let (cause, action) = (cause.name(), action.name());
        let labels = SilenceLabels { cause, action };
        self.silences.get_or_create(&labels).inc();
    }

    /// Sets what the retry budgets of services hold.
    pub fn set_retry_usage(&self, usage: &[(ServiceId, WindowUsage)]) {
        self.retries.set_usage(usage);
    }

    /// Sets the number of hosts among which the retries are divided.
    pub fn set_retry_hosts(&self, hosts: usize) {
        self.retries.set_hosts(hosts);
    }

    /// Sets the number of requests that wait for room before they start.
    pub fn starts_waiting(&self, waiting: usize) {
        self.starts_waiting.set(waiting as i64);
    }

    /// Counts a heartbeat that the log took after later ones.
    pub fn late_heartbeat(&self) {
        self.late_heartbeats.inc();
    }

    /// Sets the era of the platform's log.
    pub fn log_era(&self, era: LogEra) {
        self.log_era.set(i64::try_from(era).unwrap_or(i64::MAX));
    }

    /// Sets whether there may be other entry hosts although this one knows none.
    pub fn set_hosts_unknown(&self, is_unknown: bool) {
        self.hosts_unknown.set(i64::from(is_unknown));
    }

    /// Observes a call to the log service, or counts an error if the call failed.
    pub fn store_called(&self, topic: &'static str, took: Duration, succeeded: bool) {
        match succeeded {
            true => self.store_call.observe(took.as_secs_f64()),
            false => count(&self.store_errors, topic),
        }
    }

    /// Observes the first event of a stream.
    pub fn first_event(&self, waited: Duration) {
        self.first_event.observe(waited.as_secs_f64());
    }

    /// Observes a further event of a stream.
    pub fn next_event(&self, waited: Duration) {
        self.between_events.observe(waited.as_secs_f64());
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        match text::encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n"),
        }
    }
}

fn count(family: &Family<CauseLabel, Counter>, cause: &'static str) {
    family.get_or_create(&CauseLabel { cause }).inc();
}
