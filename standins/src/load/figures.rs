//! Figures of one run, as the report contains them.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Largest recorded value, in microseconds: 10 min.
const MAX_MICROS: u64 = 600_000_000;
/// Significant digits of recorded values.
const DIGITS: u8 = 3;

/// Quantiles of times, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// The largest.
    pub max_ms: f64,
}

impl Quantiles {
    /// Computes the quantiles of `times`.
    pub fn of<I>(times: I) -> Self
    where
        I: IntoIterator<Item = std::time::Duration>,
    {
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_MICROS, DIGITS) else {
            return Self::default();
        };
        for time in times {
            histogram.saturating_record((time.as_micros() as u64).clamp(1, MAX_MICROS));
        }
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        match histogram.len() {
            0 => Self::default(),
            count => Self {
                count,
                p50_ms: at(0.5),
                p95_ms: at(0.95),
                p99_ms: at(0.99),
                max_ms: at(1.0),
            },
        }
    }
}

/// Outcomes of the generations in the measurement window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct RequestCounts {
    /// Requested.
    pub offered: u64,
    /// Completed within the deadline.
    pub in_time: u64,
    /// Completed after the deadline.
    pub late: u64,
    /// Refused before the first token.
    pub refused: u64,
    /// Cut after a token.
    pub cut: u64,
    /// Without a final response.
    pub unanswered: u64,
}

/// Figures of one organisation in the measurement window.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OrganisationFigures {
    /// Name.
    pub name: String,
    /// Requested generations per second.
    pub offered_per_second: f64,
    /// Share of them that completed within the deadline.
    pub in_time_part: f64,
    /// Time from the intended start to the first token.
    pub first_token: Quantiles,
}

/// Recovery from the death of a target or host.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RecoveryFigures {
    /// Requests that were on the target or host that was killed.
    pub requests: u64,
    /// Those of them that completed.
    pub whole: u64,
    /// Time from the death to the next token that needed a repair.
    pub next_token: Quantiles,
    /// The best possible repair, median over the requests, in milliseconds: processing
    /// the positions so far on a replacement of mean speed, and half of the usual time
    /// between tokens. After the death of a host, only the latter.
    pub best_possible_ms: f64,
    /// Median of the ratio of each request's time to its best possible time.
    pub ratio_p50: f64,
    /// 95th percentile of the same ratio.
    pub ratio_p95: f64,
}

/// Resources that the daemons used in the measurement window.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct UsageFigures {
    /// Mean number of cores that the threads of a daemon used, without the peer thread.
    pub cores_per_daemon: f64,
    /// Mean number of cores that the peer thread of a daemon used.
    pub peer_cores_per_daemon: f64,
    /// Number of cores that the process with daemons, stand-ins and callers used.
    pub process_cores: f64,
    /// Memory of the process at the end, in megabytes, including all records.
    pub process_megabytes: f64,
    /// Mean number of control bytes that a daemon sent per second.
    pub control_sent_per_daemon: f64,
    /// Mean number of control bytes that a daemon received per second.
    pub control_received_per_daemon: f64,
}

/// All figures of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LoadFigures {
    /// Name of the shape.
    pub shape: String,
    /// Routing policy.
    pub policy: String,
    /// Name of the fault.
    pub fault: String,
    /// Offered generations as a multiple of the hardware bound.
    pub rate_factor: f64,
    /// Factor on the arrivals of the first organisation.
    pub large_factor: f64,
    /// Seconds during which requests arrived.
    pub seconds: f64,
    /// Seed.
    pub seed: u64,
    /// Saturated rate of a stand-in engine as a share of its declared rate.
    pub engine_saturation: f64,
    /// Complete responses per second that the hardware allows.
    pub bound_requests_per_second: f64,
    /// Tokens per second that the hardware allows.
    pub bound_tokens_per_second: f64,
    /// Tokens received per second in the measurement window, as a share of the bound.
    pub throughput_of_bound: f64,
    /// Responses in time per second in the measurement window, as a share of the bound.
    pub goodput_of_bound: f64,
    /// Outcomes of the generations in the measurement window.
    pub counts: RequestCounts,
    /// Time from the intended start to the first token.
    pub first_token: Quantiles,
    /// Time between two tokens.
    pub between_tokens: Quantiles,
    /// Time from the intended start to the end of a complete response.
    pub whole_answer: Quantiles,
    /// Time from the intended start to a refusal before any token.
    pub refusal: Quantiles,
    /// Time from the intended start of a call of the plain service to its response.
    pub service_call: Quantiles,
    /// Refused calls of the plain service; a call that is sent to two hosts counts for
    /// each.
    pub calls_refused: u64,
    /// Requests with an idempotency key.
    pub keyed_calls: u64,
    /// Those of them that succeeded through any host. If they are few, the run hardly
    /// shows that no key runs twice.
    pub keyed_answered: u64,
    /// Requests with an idempotency key that were sent to two hosts.
    pub doubled_calls: u64,
    /// Refusals by reason, as counted by the daemons over the whole run.
    pub refusals: BTreeMap<String, u64>,
    /// Retries by reason, as counted by the daemons over the whole run.
    pub retries: BTreeMap<String, u64>,
    /// Figures of each organisation.
    pub organisations: Vec<OrganisationFigures>,
    /// Jain's index over the shares completed in time: 1 if all organisations get the
    /// same share.
    pub fairness: f64,
    /// Recovery from the death of a target or host.
    pub recovery: Option<RecoveryFigures>,
    /// Time from the fault until the tokens per second reached 90% of their rate before
    /// it, in milliseconds.
    pub throughput_back_ms: Option<f64>,
    /// Resources that the daemons used.
    pub usage: UsageFigures,
    /// Guarantees that the history violates.
    pub broken: Vec<String>,
}
