//! Recovery time of requests and of the whole fleet.

use std::time::{Duration, Instant};

use super::fault::InjectedFault;
use super::figures::{Quantiles, RecoveryFigures};
use super::outcome::GenerationOutcome;
use crate::check::RunHistory;
use crate::fleet::{FleetLayout, PREFILL_PER_STEP};

/// Length of the intervals in which tokens are counted.
const INTERVAL: Duration = Duration::from_secs(1);
/// Step between the starts of two such intervals.
const INTERVAL_STEP: Duration = Duration::from_millis(100);
/// Share of the earlier rate at which the fleet counts as recovered.
const RECOVERED_FRACTION: f64 = 0.9;

/// Input of the recovery figures.
pub(super) struct RecoveryInput<'a> {
    pub(super) layout: &'a FleetLayout,
    pub(super) injected: &'a InjectedFault,
    pub(super) recorded: &'a RunHistory,
    pub(super) generations: &'a [GenerationOutcome],
    /// Median time between tokens.
    pub(super) usual_gap: Duration,
}

impl RecoveryInput<'_> {
    /// Returns the expected time to the next token without a death: a death falls
    /// anywhere between two tokens, so half of the usual time on average.
    fn usual_wait(&self) -> Duration {
        self.usual_gap / 2
    }
}

/// A request that was on the target or host that was killed.
struct RepairedRequest {
    /// Time from the death to the next token that needed a repair.
    time: Option<Duration>,
    best_possible: Duration,
    is_complete: bool,
}

/// Returns the recovery of the requests that were on the target or host that was killed.
pub(super) fn recovery(input: &RecoveryInput<'_>) -> Option<RecoveryFigures> {
    let repaired: Vec<RepairedRequest> = match (&input.injected.target, input.injected.host) {
        (Some(target), _) => repaired_on_target(input, target),
        (None, Some(host)) => repaired_on_host(input, host),
        (None, None) => return None,
    };
    let times = || repaired.iter().filter_map(|request| request.time);
    let mut ratios: Vec<f64> = repaired
        .iter()
        .filter_map(|request| Some(request.time?.div_duration_f64(request.best_possible)))
        .collect();
    ratios.sort_by(f64::total_cmp);
    let best = Quantiles::of(repaired.iter().map(|request| request.best_possible));
    Some(RecoveryFigures {
        requests: repaired.len() as u64,
        whole: repaired
            .iter()
            .filter(|request| request.is_complete)
            .count() as u64,
        next_token: Quantiles::of(times()),
        best_possible_ms: best.p50_ms,
        ratio_p50: quantile(&ratios, 0.5),
        ratio_p95: quantile(&ratios, 0.95),
    })
}

fn quantile(sorted: &[f64], part: f64) -> f64 {
    let index = (sorted.len().saturating_sub(1) as f64 * part).round() as usize;
    sorted.get(index).copied().unwrap_or_default()
}

/// Returns the requests whose last position before the death ran on the target. Their
/// next position is the first one that needs a repair.
fn repaired_on_target(input: &RecoveryInput<'_>, target: &str) -> Vec<RepairedRequest> {
    let mut engines = input.recorded.steps.iter();
    let Some(engine) = engines.find(|engine| *engine.target == *target) else {
        return Vec::new();
    };
    let in_flight = input
        .generations
        .iter()
        .filter(|outcome| was_in_flight(outcome, input.injected.at));
    let repaired = in_flight.filter_map(|outcome| {
        let run = format!("{}~", outcome.history.request);
        let own = engine
            .records
            .iter()
            .filter(|record| record.request.starts_with(&run));
        let last = own.map(|record| record.position).max()?;
        let prompt = outcome.history.prompt.len() as u64;
        let number = (last + 1).saturating_sub(prompt - 1);
        if number >= outcome.history.max_tokens {
            return None;
        }
        let received = outcome.token_times().get(number as usize).copied();
        Some(RepairedRequest {
            time: received.map(|received| received.saturating_duration_since(input.injected.at)),
            best_possible: input.usual_wait() + replay_time(input.layout, last + 1),
            is_complete: outcome.is_complete(),
        })
    });
    repaired.collect()
}

/// Returns the requests that the host was streaming.
fn repaired_on_host(input: &RecoveryInput<'_>, host: usize) -> Vec<RepairedRequest> {
    let in_flight = input
        .generations
        .iter()
        .filter(|outcome| outcome.host == host && was_in_flight(outcome, input.injected.at));
    let repaired = in_flight.map(|outcome| {
        let times = outcome.token_times();
        let mut after = times.into_iter().filter(|at| *at > input.injected.at);
        RepairedRequest {
            time: after.next().map(|at| at - input.injected.at),
            best_possible: input.usual_wait(),
            is_complete: outcome.is_complete(),
        }
    });
    repaired.collect()
}

fn was_in_flight(outcome: &GenerationOutcome, at: Instant) -> bool {
    let began = outcome
        .history
        .responses
        .first()
        .is_some_and(|response| response.sent < at);
    began && outcome.ended().is_some_and(|ended| ended > at)
}

/// Returns the time to process `positions` positions on an engine of mean speed.
fn replay_time(layout: &FleetLayout, positions: u64) -> Duration {
    let engines = || layout.stages.iter().flat_map(|stage| &stage.engines);
    let sum: Duration = engines().map(|engine| engine.step_time).sum();
    let mean = sum / (engines().count() as u32).max(1);
    mean / PREFILL_PER_STEP * positions as u32
}

/// Returns the time after a fault at which the token rate was back at its earlier level.
pub(super) fn throughput_back(
    tokens: &[Instant],
    steady_begin: Instant,
    fault: Instant,
    end: Instant,
) -> Option<Duration> {
    let count = |from: Instant, to: Instant| {
        let inside = tokens.iter().filter(|at| (from..to).contains(*at));
        inside.count() as f64
    };
    let before = count(steady_begin, fault) / (fault - steady_begin).as_secs_f64();
    let normal = before * INTERVAL.as_secs_f64() * RECOVERED_FRACTION;
    let mut from = fault;
    // Recovery ends with the last drop, after which no interval falls below the limit.
    let mut recovered_at = fault;
    while from + INTERVAL <= end {
        if count(from, from + INTERVAL) < normal {
            recovered_at = from + INTERVAL_STEP;
        }
        from += INTERVAL_STEP;
    }
    (recovered_at + INTERVAL <= end).then(|| recovered_at - fault)
}
