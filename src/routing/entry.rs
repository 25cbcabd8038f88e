//! The state of one target as this host knows it.

use std::time::{Duration, Instant};

use crate::resources::{TargetPhase, TargetSpec};
use crate::retry::TargetHealth;

use super::RouteSettings;
use super::affinity::PrefixView;
use super::load::{ReportedLoad, decay_weight};

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// A moving average and the time of its last sample.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct MeasuredValue {
    value: f64,
    sampled: Instant,
}

impl MeasuredValue {
    /// Adds a sample to `measured`, which starts at `prior`.
    pub(super) fn add(measured: &mut Option<Self>, prior: f64, sample: f64, now: Instant) {
        let before = measured.map_or(prior, |measured| measured.value);
        *measured = Some(Self {
            value: before + SAMPLE_WEIGHT * (sample - before),
            sampled: now,
        });
    }

    /// Returns the average, which decays towards `prior` as the last sample ages.
    ///
    /// A target that was slow once gets no work and so no new samples. Without the decay
    /// it would be avoided forever and stay idle beside busy targets.
    fn now_or(measured: Option<Self>, prior: f64, decay: Duration, now: Instant) -> f64 {
        let Some(measured) = measured else {
            return prior;
        };
        let weight = decay_weight(now.saturating_duration_since(measured.sampled), decay);
        prior + weight * (measured.value - prior)
    }
}

/// The smallest sample of the last one or two windows with samples.
///
/// An average of step times would include waiting, which the estimate adds itself: all
/// hosts would find a crowded target slow at the same time and turn away from it
/// together. The smallest sample is that of a step that found a free slot, unless none
/// did for two whole windows. The windows are short, so that a target that becomes slow
/// is detected soon.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct RecentMinimum {
    present: Option<f64>,
    last: Option<f64>,
    window_start: Option<Instant>,
}

impl RecentMinimum {
    /// Adds a sample.
    pub(super) fn add(&mut self, sample: f64, window: Duration, now: Instant) {
        let age = self.window_age(now);
        if age.is_none_or(|age| age >= window) {
            let is_recent = age.is_some_and(|age| age < window * 2);
            self.last = self.present.filter(|_| is_recent);
            self.present = None;
            self.window_start = Some(now);
        }
        let smallest = self.present.map_or(sample, |present| present.min(sample));
        self.present = Some(smallest);
    }

    /// Returns the smallest sample, or `None` if the last window began `memory` ago.
    fn value(&self, window: Duration, memory: Duration, now: Instant) -> Option<f64> {
        let age = self.window_age(now)?;
        match (self.present, self.last) {
            _ if age >= memory => None,
            (Some(present), Some(last)) if age < window => Some(present.min(last)),
            (present, _) => present,
        }
    }

    fn window_age(&self, now: Instant) -> Option<Duration> {
        self.window_start
            .map(|start| now.saturating_duration_since(start))
    }
}

/// A target with its declaration, counts, measurements and reports.
#[derive(Debug, Clone)]
pub(super) struct TargetEntry {
    /// The declaration.
    pub(super) spec: TargetSpec,
    /// Runs of this host that use it as a stage.
    pub(super) runs: u32,
    /// Steps and calls of this host in flight.
    pub(super) steps: u32,
    /// Measured seconds that a step occupies its slot.
    pub(super) step_seconds: RecentMinimum,
    /// Seconds per prompt token; the prior is the declared rate.
    pub(super) prefill_seconds: Option<MeasuredValue>,
    /// Seconds of a round trip; the prior depends on the zone.
    pub(super) link_seconds: Option<MeasuredValue>,
    /// Last load report.
    pub(super) load: Option<ReportedLoad>,
    /// What its prefix cache probably holds.
    pub(super) prefixes: PrefixView,
    /// Health as derived from recent failures.
    pub(super) health: TargetHealth,
}

impl TargetEntry {
    /// Returns a target of which only the declaration is known.
    pub(super) fn new(spec: TargetSpec) -> Self {
        Self {
            spec,
            runs: 0,
            steps: 0,
            step_seconds: RecentMinimum::default(),
            prefill_seconds: None,
            link_seconds: None,
            load: None,
            prefixes: PrefixView::default(),
            health: TargetHealth::default(),
        }
    }

    /// Returns whether its declared phase lets it take new work.
    pub(super) fn is_serving(&self) -> bool {
        self.spec.phase == TargetPhase::Serving
    }

    /// Returns the number of steps that run concurrently.
    pub(super) fn slots(&self) -> f64 {
        f64::from(self.spec.concurrency.max(1))
    }

    /// Returns the declared tokens per second, reduced while the target returns from
    /// ejection.
    pub(super) fn trusted_rate(&self, settings: &RouteSettings, now: Instant) -> f64 {
        self.spec.tokens_per_second * self.health.weight(&settings.ejection, now)
    }

    /// Returns the seconds that a step occupies its slot, derived from the declared rate
    /// with all slots busy.
    pub(super) fn declared_step(&self) -> f64 {
        self.slots() / self.spec.tokens_per_second
    }

    /// Returns the seconds that a step occupies its slot: recently measured, else
    /// declared.
    pub(super) fn step_time(&self, settings: &RouteSettings, now: Instant) -> f64 {
        self.measured_step(settings, now)
            .unwrap_or_else(|| self.declared_step())
    }

    /// Returns whether the slot time was measured recently.
    pub(super) fn is_measured(&self, settings: &RouteSettings, now: Instant) -> bool {
        self.measured_step(settings, now).is_some()
    }

    fn measured_step(&self, settings: &RouteSettings, now: Instant) -> Option<f64> {
        self.step_seconds
            .value(settings.rate_window, settings.rate_memory, now)
    }

    /// Returns the seconds per prompt token outside of the prefix cache.
    pub(super) fn prefill_time(&self, settings: &RouteSettings, now: Instant) -> f64 {
        let declared = self.spec.tokens_per_second.recip();
        MeasuredValue::now_or(self.prefill_seconds, declared, settings.rate_decay, now)
    }

    /// Returns the seconds of a round trip.
    pub(super) fn link_time(&self, settings: &RouteSettings, now: Instant) -> f64 {
        let assumed = self.assumed_link(settings);
        MeasuredValue::now_or(self.link_seconds, assumed, settings.rate_decay, now)
    }

    /// Returns the seconds assumed for a round trip before any is measured.
    pub(super) fn assumed_link(&self, settings: &RouteSettings) -> f64 {
        match self.spec.zone == settings.zone {
            true => settings.near_link.as_secs_f64(),
            false => settings.far_link.as_secs_f64(),
        }
    }

    /// Returns the steps of this host at the target: those in flight, or the share of its
    /// runs that is expected there if that is more.
    pub(super) fn local_steps(&self, stages: f64) -> f64 {
        f64::from(self.steps).max(f64::from(self.runs) / stages)
    }

    /// Returns the steps of all hosts at the target; `share` is this host's share of all
    /// steps.
    pub(super) fn total_steps(
        &self,
        stages: f64,
        share: f64,
        settings: &RouteSettings,
        now: Instant,
    ) -> f64 {
        let local = self.local_steps(stages);
        match self.load {
            Some(load) => load.steps(local, share, settings.load_decay, now),
            None => local,
        }
    }
}
