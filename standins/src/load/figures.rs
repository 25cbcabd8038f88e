//! The figures of one run, as they are written down.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Largest value kept, in microseconds: ten minutes.
const MAX_MICROS: u64 = 600_000_000;
/// Significant digits kept.
const DIGITS: u8 = 3;

/// Quantiles of times, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Half of the values are at most this.
    pub p50_ms: f64,
    /// 95 in 100 are at most this.
    pub p95_ms: f64,
    /// 99 in 100 are at most this.
    pub p99_ms: f64,
    /// The largest.
    pub max_ms: f64,
}

impl Quantiles {
    /// Quantiles of `times`.
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

/// How generations of the steady part ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct RequestCounts {
    /// Asked for.
    pub offered: u64,
    /// Answered whole within the deadline.
    pub in_time: u64,
    /// Answered whole, but late.
    pub late: u64,
    /// Refused before the first token.
    pub refused: u64,
    /// Cut short after a token.
    pub cut: u64,
    /// Without any final answer.
    pub unanswered: u64,
}

/// How one organisation fared in the steady part.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OrganisationFigures {
    /// Name.
    pub name: String,
    /// Generations asked for a second.
    pub offered_per_second: f64,
    /// Part of them answered whole within the deadline.
    pub in_time_part: f64,
    /// Time from the intended start to the first token.
    pub first_token: Quantiles,
}

/// How long it took to recover from a death.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RecoveryFigures {
    /// Requests that were on the target or host that died.
    pub requests: u64,
    /// Of these, those answered whole.
    pub whole: u64,
    /// From the death to the next token that needed a repair.
    pub next_token: Quantiles,
    /// The best possible repair, median over the requests, in milliseconds:
    /// processing the positions so far on a replacement of mean speed, and half
    /// of the usual time between tokens. For a host's death: the latter alone.
    pub best_possible_ms: f64,
    /// Median of each request's time over its best possible one.
    pub ratio_p50: f64,
    /// 95th percentile of the same.
    pub ratio_p95: f64,
}

/// What the daemons used in the steady part.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct UsageFigures {
    /// Cores kept busy by a daemon's own threads for requests, mean.
    pub cores_per_daemon: f64,
    /// Cores kept busy by a daemon's thread for peers, mean.
    pub peer_cores_per_daemon: f64,
    /// Cores kept busy by the process: daemons, stand-ins and callers.
    pub process_cores: f64,
    /// Memory of the process at the end, in megabytes, with all records.
    pub process_megabytes: f64,
    /// Bytes a second sent for control by a daemon, mean.
    pub control_sent_per_daemon: f64,
    /// Bytes a second received for control by a daemon, mean.
    pub control_received_per_daemon: f64,
}

/// Everything measured in one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LoadFigures {
    /// Whose fleet and requests.
    pub shape: String,
    /// Routing policy.
    pub policy: String,
    /// What failed.
    pub fault: String,
    /// Offered generations as a multiple of the hardware bound.
    pub rate_factor: f64,
    /// Multiplier of the first organisation's arrivals.
    pub large_factor: f64,
    /// Seconds over which requests arrived.
    pub seconds: f64,
    /// Seed.
    pub seed: u64,
    /// Saturated rate of a stand-in engine as a share of its declared one.
    pub engine_saturation: f64,
    /// Whole answers a second that the hardware allows.
    pub bound_requests_per_second: f64,
    /// Tokens a second that the hardware allows.
    pub bound_tokens_per_second: f64,
    /// Tokens a second heard in the steady part, as a share of the bound.
    pub throughput_of_bound: f64,
    /// Answers in time a second in the steady part, as a share of the bound.
    pub goodput_of_bound: f64,
    /// How generations of the steady part ended.
    pub counts: RequestCounts,
    /// From the intended start to the first token.
    pub first_token: Quantiles,
    /// Between two tokens.
    pub between_tokens: Quantiles,
    /// From the intended start to the whole answer.
    pub whole_answer: Quantiles,
    /// From the intended start to a refusal before any token.
    pub refusal: Quantiles,
    /// From the intended start of a plain service's call to its answer.
    pub service_call: Quantiles,
    /// Calls of the plain service that were refused, each way counted.
    pub calls_refused: u64,
    /// Requests with an idempotency key.
    pub keyed_calls: u64,
    /// Of these, those that were answered by the service on any way; with few,
    /// it proves little that no key ran twice.
    pub keyed_answered: u64,
    /// Requests with an idempotency key that were sent to two hosts.
    pub doubled_calls: u64,
    /// Refusals by reason, as counted by the daemons over the whole run.
    pub refusals: BTreeMap<String, u64>,
    /// Retries by reason, as counted by the daemons over the whole run.
    pub retries: BTreeMap<String, u64>,
    /// Each organisation.
    pub organisations: Vec<OrganisationFigures>,
    /// Jain's index over the parts answered in time: 1 if all fare alike.
    pub fairness: f64,
    /// Recovery from a stage's or a host's death.
    pub recovery: Option<RecoveryFigures>,
    /// From the fault until the tokens of a second reached 90% of what they
    /// were before it, in milliseconds.
    pub throughput_back_ms: Option<f64>,
    /// What the daemons used.
    pub usage: UsageFigures,
    /// Promises broken in the history.
    pub broken: Vec<String>,
}
