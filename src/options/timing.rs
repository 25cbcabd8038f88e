//! Section `[timing]`: intervals, timeouts and windows.

use std::time::Duration;

use super::range::{DurationRange, NumberRange};
use super::section::SectionReader;

const SECOND_MS: u64 = 1000;
const MINUTE_MS: u64 = 60 * SECOND_MS;
const HOUR_MS: u64 = 60 * MINUTE_MS;
const DAY_MS: u64 = 24 * HOUR_MS;

const HEARTBEAT_INTERVAL: DurationRange = DurationRange::millis(20, 10 * SECOND_MS, 500);
const PEER_TIMEOUT: DurationRange = DurationRange::millis(50, MINUTE_MS, 2 * SECOND_MS);
const HOST_LIST_INTERVAL: DurationRange = DurationRange::millis(20, MINUTE_MS, SECOND_MS);
const LOAD_INTERVAL: DurationRange = DurationRange::millis(20, MINUTE_MS, SECOND_MS);
const LOG_WAIT: DurationRange = DurationRange::millis(10, 30 * SECOND_MS, SECOND_MS);
const DEFAULT_DEADLINE: DurationRange = DurationRange::millis(100, HOUR_MS, 30 * SECOND_MS);
const IDEMPOTENCY_WINDOW: DurationRange = DurationRange::millis(MINUTE_MS, 30 * DAY_MS, DAY_MS);
const CLAIM_TIMEOUT: DurationRange = DurationRange::millis(50, MINUTE_MS, 2 * SECOND_MS);
const CLOCK_SKEW: DurationRange = DurationRange::millis(0, HOUR_MS, 30 * SECOND_MS);
const STEP_TIMEOUT: DurationRange = DurationRange::millis(20, 5 * MINUTE_MS, 2 * SECOND_MS);
const CONNECT_TIMEOUT: DurationRange = DurationRange::millis(10, 30 * SECOND_MS, 300);
const LEASE_DURATION: DurationRange = DurationRange::millis(200, 5 * MINUTE_MS, 5 * SECOND_MS);
const CLOCK_RATE_MARGIN: NumberRange<f64> = NumberRange::new(0.0, 0.5, 0.01);
const DRAIN_TIMEOUT: DurationRange = DurationRange::millis(100, HOUR_MS, MINUTE_MS);

/// Intervals, timeouts and windows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimingOptions {
    /// Time between two heartbeats to a peer.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which a peer counts as unreachable.
    pub peer_timeout: Duration,
    /// Time between two reads of the platform's host list.
    pub host_list_interval: Duration,
    /// Time between two reads of the load report of a watched target.
    pub load_interval: Duration,
    /// Maximum time for which a read of the log waits for new records.
    pub log_wait: Duration,
    /// Deadline of a request that sets none.
    pub default_deadline: Duration,
    /// Age after which an idempotency key is refused.
    pub idempotency_window: Duration,
    /// Maximum time for a claim on an idempotency key to settle.
    pub claim_timeout: Duration,
    /// Maximum difference between the wall clocks of two hosts.
    pub clock_skew: Duration,
    /// Maximum time for a target to execute one step of a stage.
    pub step_timeout: Duration,
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Length of a lease, counted from before its append was sent.
    pub lease_duration: Duration,
    /// Maximum difference between the clock rates of two hosts, as a fraction.
    pub clock_rate_margin: f64,
    /// Maximum time for which a shutdown waits for requests in flight.
    pub drain_timeout: Duration,
}

pub(super) fn read(section: &mut SectionReader<'_>) -> Option<TimingOptions> {
    let heartbeat_interval = section.duration("heartbeat_interval", HEARTBEAT_INTERVAL);
    let peer_timeout = section.duration("peer_timeout", PEER_TIMEOUT);
    let host_list_interval = section.duration("host_list_interval", HOST_LIST_INTERVAL);
    let load_interval = section.duration("load_interval", LOAD_INTERVAL);
    let log_wait = section.duration("log_wait", LOG_WAIT);
    let default_deadline = section.duration("default_deadline", DEFAULT_DEADLINE);
    let idempotency_window = section.duration("idempotency_window", IDEMPOTENCY_WINDOW);
    let claim_timeout = section.duration("claim_timeout", CLAIM_TIMEOUT);
    let clock_skew = section.duration("clock_skew", CLOCK_SKEW);
    let step_timeout = section.duration("step_timeout", STEP_TIMEOUT);
    let connect_timeout = section.duration("connect_timeout", CONNECT_TIMEOUT);
    let lease_duration = section.duration("lease_duration", LEASE_DURATION);
    let clock_rate_margin = section.fraction("clock_rate_margin", CLOCK_RATE_MARGIN);
    let drain_timeout = section.duration("drain_timeout", DRAIN_TIMEOUT);
    check_constraints(
        section,
        &[
            // If the timeout covered less than two heartbeats, one lost heartbeat would
            // make a healthy peer look unreachable and its grants look free.
            DurationConstraint {
                key: "peer_timeout",
                found: peer_timeout,
                holds: peer_timeout >= heartbeat_interval.map(|interval| 2 * interval),
                legal: "at least twice timing.heartbeat_interval",
            },
            DurationConstraint {
                key: "connect_timeout",
                found: connect_timeout,
                holds: step_timeout.is_none() || connect_timeout <= step_timeout,
                legal: "at most timing.step_timeout",
            },
            DurationConstraint {
                key: "claim_timeout",
                found: claim_timeout,
                holds: default_deadline.is_none() || claim_timeout <= default_deadline,
                legal: "at most timing.default_deadline",
            },
        ],
    );
    Some(TimingOptions {
        heartbeat_interval: heartbeat_interval?,
        peer_timeout: peer_timeout?,
        host_list_interval: host_list_interval?,
        load_interval: load_interval?,
        log_wait: log_wait?,
        default_deadline: default_deadline?,
        idempotency_window: idempotency_window?,
        claim_timeout: claim_timeout?,
        clock_skew: clock_skew?,
        step_timeout: step_timeout?,
        connect_timeout: connect_timeout?,
        lease_duration: lease_duration?,
        clock_rate_margin: clock_rate_margin?,
        drain_timeout: drain_timeout?,
    })
}

/// Constraint on a duration in relation to another one.
struct DurationConstraint {
    key: &'static str,
    found: Option<Duration>,
    holds: bool,
    legal: &'static str,
}

/// Reports the constraints that do not hold. A duration that is itself invalid is not
/// compared with others.
fn check_constraints(section: &mut SectionReader<'_>, constraints: &[DurationConstraint]) {
    for constraint in constraints.iter().filter(|constraint| !constraint.holds) {
        if let Some(found) = constraint.found {
            let found = humantime::format_duration(found);
            section.report_conflict(constraint.key, &found, constraint.legal);
        }
    }
}
