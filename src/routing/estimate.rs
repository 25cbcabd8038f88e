//! Estimates when a request would complete on given targets.

use std::time::{Duration, Instant};

use super::entry::TargetEntry;
use super::{RouteRequest, RouteScore, RouteSettings};

/// Ratio of the total delay that a step causes on a crowded target to its own time.
const CROWDING_FACTOR: f64 = 2.0;

/// Estimated seconds that one target adds to a request.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct StageEstimate {
    /// Steps per slot, including this one.
    pub(super) crowding: f64,
    /// Seconds in the slot, for each step.
    pub(super) step: f64,
    /// Seconds on the link, for each step.
    pub(super) link: f64,
    /// Seconds of prompt processing outside of the prefix cache, once.
    pub(super) prefill: f64,
    /// Whether the slot time was measured recently.
    pub(super) is_measured: bool,
}

/// Returns the number of steps that a request of `max_tokens` sends to each stage.
pub(super) fn step_count(max_tokens: u64) -> f64 {
    max_tokens.max(1) as f64
}

impl StageEstimate {
    /// Returns the seconds that a step waits for its slot: with more steps than slots,
    /// its time grows by the ratio.
    fn wait(&self) -> f64 {
        self.step * (self.crowding - 1.0).max(0.0)
    }

    /// Returns the estimate for one target of a route with `stages` stages; `share` is
    /// this host's share of all steps.
    pub(super) fn new(
        entry: &TargetEntry,
        request: &RouteRequest,
        stages: usize,
        share: f64,
        settings: &RouteSettings,
        now: Instant,
    ) -> Self {
        let weight = entry.health.weight(&settings.ejection, now);
        let step = entry.step_time(settings, now) / weight;
        let steps_at_target = entry.total_steps(stages as f64, share, settings, now);
        let hit = entry
            .prefixes
            .expected_hit(&request.prefixes, settings.cache_decay, now);
        let computed = request.prompt_tokens as f64 * (1.0 - hit);
        Self {
            crowding: (steps_at_target + 1.0) / entry.slots(),
            step,
            link: entry.link_time(settings, now),
            prefill: entry.prefill_time(settings, now) / weight * computed,
            is_measured: entry.is_measured(settings, now),
        }
    }

    /// Returns the seconds that choosing the target costs this request and the others.
    ///
    /// A step that joins more steps than there are slots also delays those: as the time
    /// of a step grows in proportion to their number, the sum over all steps grows twice
    /// as fast as the time of one. If only a request's own time counted, a target four
    /// times as fast as another would be crowded until it is four times as slow, and the
    /// median would rise to that of the slow targets.
    pub(super) fn cost(&self, max_tokens: u64) -> f64 {
        let step = self.step * (CROWDING_FACTOR * self.crowding).max(1.0);
        (step + self.link) * step_count(max_tokens) + self.prefill
    }
}

/// Sums the stages of a route to its score.
///
/// A token passes each stage and each link in turn before the next one begins, so every
/// part counts once per token.
pub(super) fn route_score(stages: &[StageEstimate], max_tokens: u64) -> RouteScore {
    let count = step_count(max_tokens);
    let sum = |part: fn(&StageEstimate) -> f64| stages.iter().map(part).sum::<f64>();
    RouteScore {
        queue: seconds(sum(StageEstimate::wait) * count),
        prefill: seconds(sum(|stage| stage.prefill)),
        decode: seconds(sum(|stage| stage.step) * count),
        links: seconds(sum(|stage| stage.link) * count),
    }
}

/// Upper bound of an estimate, so that sums of estimates cannot overflow.
const MAX_ESTIMATE_SECONDS: f64 = 1e6;

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.min(MAX_ESTIMATE_SECONDS)).unwrap_or_default()
}
