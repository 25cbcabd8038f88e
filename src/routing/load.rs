//! Estimates the number of steps at a target from current local counts and delayed
//! reports.

use std::time::{Duration, Instant};

use crate::target::wire::LoadReport;

/// Weight of a new report in the averages.
const REPORT_WEIGHT: f64 = 0.1;

/// Weight of a fresh report against the local count, in steps.
const REPORT_PRIOR_WEIGHT: f64 = 2.0;

/// Lower bound of the mean, so that a target reported idle can still be estimated as
/// busy.
const MIN_MEAN_LOAD: f64 = 0.1;

/// Averages of the load reports of a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct ReportedLoad {
    /// Average number of steps at the target, of all hosts.
    total: f64,
    /// Average number of this host's steps there.
    local: f64,
    /// When the last reported values were observed.
    observed: Instant,
}

impl ReportedLoad {
    /// Returns the averages after a report; `local` is this host's count at the target. A
    /// report older than the last changes nothing.
    pub(super) fn after(
        known: Option<Self>,
        report: &LoadReport,
        local: f64,
        received: Instant,
    ) -> Self {
        let age = Duration::from_millis(report.age_ms);
        let total = f64::from(report.running) + f64::from(report.waiting);
        let fresh = Self {
            total: total.max(local),
            local,
            observed: received.checked_sub(age).unwrap_or(received),
        };
        match known {
            None => fresh,
            Some(known) if known.observed >= fresh.observed => known,
            Some(known) => Self {
                total: known.total + REPORT_WEIGHT * (fresh.total - known.total),
                local: known.local + REPORT_WEIGHT * (fresh.local - known.local),
                observed: fresh.observed,
            },
        }
    }

    /// Returns the estimated number of steps at the target, given the `local` count and
    /// this host's share of all steps.
    ///
    /// The local count is current but a sample, of which `share` is the sampling rate;
    /// the reported mean is a prior whose weight decreases with its age. All hosts
    /// receive the same reports, so a choice by reports alone would send all hosts to one
    /// target, and load would swing between targets at the reporting interval. The hosts'
    /// own counts differ, and scaled up they spread the load.
    pub(super) fn steps(&self, local: f64, share: f64, decay: Duration, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.observed);
        let prior_weight = REPORT_PRIOR_WEIGHT * decay_weight(age, decay);
        let mean = self.total.max(MIN_MEAN_LOAD);
        ((local + prior_weight) / (share + prior_weight / mean)).max(local)
    }
}

/// Sums of the averages of all targets with reports, updated incrementally.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct LoadSums {
    total: f64,
    local: f64,
}

/// Lower bound of this host's share of all steps.
const MIN_LOCAL_SHARE: f64 = 1e-3;

impl LoadSums {
    /// Removes the averages of one target.
    pub(super) fn remove(&mut self, load: Option<ReportedLoad>) {
        let Some(load) = load else { return };
        self.total = (self.total - load.total).max(0.0);
        self.local = (self.local - load.local).max(0.0);
    }

    /// Adds the averages of one target.
    pub(super) fn add(&mut self, load: Option<ReportedLoad>) {
        let Some(load) = load else { return };
        self.total += load.total;
        self.local += load.local;
    }

    /// Returns this host's share of all steps, above 0 and up to 1; 1 if nothing is
    /// reported.
    pub(super) fn local_share(&self) -> f64 {
        match self.total > 0.0 {
            true => (self.local / self.total).clamp(MIN_LOCAL_SHARE, 1.0),
            false => 1.0,
        }
    }
}

/// Returns the weight of a value observed `age` ago: 1 at first, 1/e at `decay`.
pub(super) fn decay_weight(age: Duration, decay: Duration) -> f64 {
    if decay.is_zero() {
        return if age.is_zero() { 1.0 } else { 0.0 };
    }
    (-age.as_secs_f64() / decay.as_secs_f64()).exp()
}
